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
	ownDescriptors = 24
	serversPart    = 2
)

// split shares the descriptors out.
func (l Limits) split() (clients, servers int) {
	all := int(l.Sockets)
	if all <= 0 {
		all = 1024
	}
	left := max(all-ownDescriptors, 8)
	servers = max(left/serversPart, 2)
	return left - servers, servers
}

// bodies is how many bytes of request bodies may be held at once: an eighth of the memory, as each is there a second
// time in parts and text, and heaps grow by more than what is live.
func (l Limits) bodies() int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 / 2
	}
	return max(int64(l.MemoryMB*(1<<20))/8, 2*mostBody)
}

// awakeBytes is what a connection that is awake is taken to hold with all that its request may: its goroutine's stacks,
// buffers, and a request in hand.
const awakeBytes = 48 << 10

// awake is how many connections may be awake at once: a quarter of the memory, and at least 64.
func (l Limits) awake() int {
	if l.MemoryMB <= 0 {
		return 0
	}
	return max(int(l.MemoryMB*(1<<20))/4/awakeBytes, 64)
}

// What work holds, in bytes, as docs/measured/idle-connections.md has it. Requests' own bytes come on top.
const (
	awakeHolds  = 24 << 10 // a connection with its goroutine, stacks and buffers
	parkedHolds = 192      // one without
	searchHolds = 4 << 10  // an open search, beside its parts
	partHolds   = 1 << 10  // a part of it, beside its value
	bodyTimes   = 3        // a body lies in the buffer it came in, there once more to be taken apart, and in what it says
	firstValue  = 256      // a value, until one of its query type has been seen
)

// ledger is what all work together may hold. Without a section [memory] bodies have their own limit, and nothing else has one.
func (l Limits) ledger(m *operatorconfig.Memory) memorybudget.Figures {
	sum := memorybudget.Bytes(0)
	if m != nil {
		sum = cmp.Or(memorybudget.Bytes(m.Limit), memorybudget.SumFor(memorybudget.Bytes(l.MemoryMB*(1<<20))))
	}
	return memorybudget.For(sum, bodyTimes*memorybudget.Bytes(l.bodies()))
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

// descriptors is the servers' share of them.
type descriptors struct {
	left atomic.Int64
}

func newDescriptors(n int) *descriptors {
	d := &descriptors{}
	d.left.Store(int64(n))
	return d
}

// Acquire takes one; false = none is left.
func (d *descriptors) Acquire() bool {
	if d.left.Add(-1) < 0 {
		d.left.Add(1)
		return false
	}
	return true
}

// Release gives one back.
func (d *descriptors) Release() { d.left.Add(1) }
