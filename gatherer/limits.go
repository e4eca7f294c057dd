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

// Limits are the resources of the machine. Zero means unknown.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"` // file descriptors
}

// Shares of the descriptors. Servers get half, as each of them needs a connection: with a quarter, 154 of 640, the rest of
// 200 servers could not be reached while those were open. Clients get the other half; the protocol gives them a third of
// all.
const (
	defaultDescriptors      = 1024 // if unknown
	reservedDescriptors     = 24   // files, the listener, discovery and the runtime
	serverDescriptorDivisor = 2    // of the rest
	minDescriptors          = 8    // of the rest, however few there are
	minServerDescriptors    = 2
)

// splitDescriptors returns the descriptors for connections of clients and to servers.
func (l Limits) splitDescriptors() (clients, servers int) {
	all := int(l.Sockets)
	if all <= 0 {
		all = defaultDescriptors
	}
	left := max(all-reservedDescriptors, minDescriptors)
	servers = max(left/serverDescriptorDivisor, minServerDescriptors)
	return left - servers, servers
}

// bodyBytes returns how many bytes of request bodies may be in memory at once: an eighth of the memory, as each is copied
// and the heap is larger than what is live.
func (l Limits) bodyBytes() int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 / 2
	}
	return max(int64(l.MemoryMB*(1<<20))/8, 2*maxBodyBytes)
}

// Limits of active connections: those with a goroutine.
const (
	activeConnBytes = 48 << 10 // estimate of one with its stacks, buffers and a request
	minActiveConns  = 64
)

// maxActiveConns returns how many connections may be active at once, by a quarter of the memory; 0 = no limit.
func (l Limits) maxActiveConns() int {
	if l.MemoryMB <= 0 {
		return 0
	}
	return max(int(l.MemoryMB*(1<<20))/4/activeConnBytes, minActiveConns)
}

// Memory of work in bytes, measured in docs/measured/idle-connections.md. The bytes of requests come on top.
const (
	activeConnMemory = 24 << 10 // a connection with its goroutine, stacks and buffers
	idleConnMemory   = 192      // a parked connection
	requestMemory    = 4 << 10  // an open request, without its calls
	callMemory       = 1 << 10  // a call, without its value
	bodyCopies       = 3        // of a body: as read, while it is parsed, and its content
	initialValueSize = 256      // a value, before one of its query type was received
)

// memoryLimits returns the limits of memory. Without the section [memory] only bodies are limited.
func (l Limits) memoryLimits(m *operatorconfig.Memory) memorybudget.Options {
	total := memorybudget.Bytes(0)
	if m != nil {
		total = cmp.Or(memorybudget.Bytes(m.Limit), memorybudget.TotalFor(memorybudget.Bytes(l.MemoryMB*(1<<20))))
	}
	return memorybudget.DefaultOptions(total, bodyCopies*memorybudget.Bytes(l.bodyBytes()))
}

// memoryLimitShare is the share of the memory that the Go runtime may use. The rest is for buffers of the kernel and the
// heap's growth between collections.
const memoryLimitShare = 0.7

// Apply applies the limits to the Go runtime. It is for a program of its own, not for one that embeds a gatherer.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitShare * (1 << 20)))
	}
}

// descriptorPool is the descriptors for connections to servers. It implements shardconn.DescriptorBudget.
type descriptorPool struct {
	available atomic.Int64
}

func newDescriptorPool(n int) *descriptorPool {
	p := &descriptorPool{}
	p.available.Store(int64(n))
	return p
}

// Acquire takes a descriptor. It reports false if none is available.
func (p *descriptorPool) Acquire() bool {
	if p.available.Add(-1) < 0 {
		p.available.Add(1)
		return false
	}
	return true
}

// Release returns a descriptor.
func (p *descriptorPool) Release() { p.available.Add(1) }
