package gatherer

import (
	"cmp"
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"oxbowspan/internal/operatorconfig"
	"oxbowspan/memorybudget"
)

// Limits are what the machine grants, in whatever form a number takes. Zero means not stated.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// Parts of the descriptors: some for files, the listener, discovery and the runtime; half of the rest for servers, half
// for clients, who hold a third of all for requests, says the protocol's later page. A fleet has a connection to each of
// its servers: with a quarter, 154 of 640, the rest of 200 servers were out of reach for as long as those stayed open.
const (
	reservedDescriptors     = 24
	serverDescriptorDivisor = 2
)

// splitDescriptors shares the descriptors out.
func (l Limits) splitDescriptors() (clients, servers int) {
	all := int(l.Sockets)
	if all <= 0 {
		all = 1024
	}
	left := max(all-reservedDescriptors, 8)
	servers = max(left/serverDescriptorDivisor, 2)
	return left - servers, servers
}

// bodyBytes is how many bytes of request bodies may be held at once: an eighth of the memory, as each is there a second
// time in parts and text, and heaps grow by more than what is live.
func (l Limits) bodyBytes() int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 / 2
	}
	return max(int64(l.MemoryMB*(1<<20))/8, 2*maxBodyBytes)
}

// activeConnBytes is what a connection that is awake is taken to hold with all that its request may: its goroutine's stacks,
// buffers, and a request in hand.
const activeConnBytes = 48 << 10

// maxActiveConns is how many connections may be awake at once: a quarter of the memory, and at least 64.
func (l Limits) maxActiveConns() int {
	if l.MemoryMB <= 0 {
		return 0
	}
	return max(int(l.MemoryMB*(1<<20))/4/activeConnBytes, 64)
}

// What work holds, in bytes, as docs/measured/idle-connections.md has it. Requests' own bytes come on top.
const (
	activeConnMemory = 24 << 10 // a connection with its goroutine, stacks and buffers
	idleConnMemory   = 192      // one without
	requestMemory    = 4 << 10  // an open search, beside its parts
	callMemory       = 1 << 10  // a part of it, beside its value
	bodyCopies       = 3        // a body lies in the buffer it came in, there once more to be taken apart, and in what it says
	initialValueSize = 256      // a value, until one of its query type has been seen
)

// memoryLimits is what all work together may hold. Without a section [memory] bodies have their own limit, and nothing else has one.
func (l Limits) memoryLimits(m *operatorconfig.Memory) memorybudget.Options {
	sum := memorybudget.Bytes(0)
	if m != nil {
		sum = cmp.Or(memorybudget.Bytes(m.Limit), memorybudget.TotalFor(memorybudget.Bytes(l.MemoryMB*(1<<20))))
	}
	return memorybudget.DefaultOptions(sum, bodyCopies*memorybudget.Bytes(l.bodyBytes()))
}

// Apply sets the Go runtime to the limits; it is for a program, not for an embedder's process.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		// Collect early enough that stacks, buffers of the kernel's and garbage fit beside the heap.
		debug.SetMemoryLimit(int64(l.MemoryMB * 0.7 * (1 << 20)))
	}
}

// descriptorPool is the servers' share of them.
type descriptorPool struct {
	available atomic.Int64
}

func newDescriptorPool(n int) *descriptorPool {
	d := &descriptorPool{}
	d.available.Store(int64(n))
	return d
}

// Acquire takes one; false = none is left.
func (d *descriptorPool) Acquire() bool {
	if d.available.Add(-1) < 0 {
		d.available.Add(1)
		return false
	}
	return true
}

// Release gives one back.
func (d *descriptorPool) Release() { d.available.Add(1) }
