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

// Limits are the resources of the machine that the program may use. Zero means unknown.
type Limits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors float64 `json:"sockets"` // file descriptors
}

// Shares of the file descriptors. Half of those that are not reserved are for connections to servers, as each server
// needs one: with a quarter, 154 of 640, the other servers of a cluster of 200 were unreachable while those connections
// were open. The other half is for clients, to which the protocol grants a third of all descriptors.
const (
	defaultDescriptors      = 1024 // if their number is unknown
	reservedDescriptors     = 24   // for files, the listener, discovery and the runtime
	serverDescriptorDivisor = 2    // divisor of the unreserved descriptors for the share of servers
	minDescriptors          = 8    // lower bound of the unreserved descriptors
	minServerDescriptors    = 2
)

// splitDescriptors returns the numbers of descriptors for connections of clients and for connections to servers.
func (l Limits) splitDescriptors() (clients, servers int) {
	all := int(l.Descriptors)
	if all <= 0 {
		all = defaultDescriptors
	}
	left := max(all-reservedDescriptors, minDescriptors)
	servers = max(left/serverDescriptorDivisor, minServerDescriptors)
	return left - servers, servers
}

// bodyBytes returns how many bytes of request bodies may be in memory at once. It is an eighth of the memory, as each
// body is copied and the heap is larger than the live objects.
func (l Limits) bodyBytes() int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 / 2
	}
	return max(int64(l.MemoryMB*(1<<20))/8, 2*maxBodyBytes)
}

// Limits of active connections, which are those with a goroutine.
const (
	activeConnBytes = 48 << 10 // estimate for a connection with its stacks, buffers and a request
	minActiveConns  = 64
)

// maxActiveConns returns how many connections may be active at once, so that they use a quarter of the memory; it is at
// least minActiveConns. 0 = no limit.
func (l Limits) maxActiveConns() int {
	if l.MemoryMB <= 0 {
		return 0
	}
	return max(int(l.MemoryMB*(1<<20))/4/activeConnBytes, minActiveConns)
}

// Memory charged to the budget, in bytes, according to docs/measured/idle-connections.md. The texts of requests are
// charged in addition.
const (
	activeConnMemory = 24 << 10 // a connection with its goroutine, stacks and buffers
	idleConnMemory   = 192      // a parked connection
	requestMemory    = 4 << 10  // an open request, without its calls
	callMemory       = 1 << 10  // a call, without its value
	bodyCopies       = 3        // copies of a body: as read, while it is parsed, and its content
	initialValueSize = 256      // a value, until one of its query type was received
)

// memoryLimits returns the options of the memory budget. If m, the section [memory] of the operator's configuration, is
// nil, only bodies are limited.
func (l Limits) memoryLimits(m *operatorconfig.Memory) memorybudget.Options {
	total := memorybudget.Bytes(0)
	if m != nil {
		total = cmp.Or(memorybudget.Bytes(m.Limit), memorybudget.TotalFor(memorybudget.Bytes(l.MemoryMB*(1<<20))))
	}
	return memorybudget.DefaultOptions(total, bodyCopies*memorybudget.Bytes(l.bodyBytes()))
}

// memoryLimitShare is the share of the memory that is set as the Go runtime's memory limit. The rest is for kernel
// buffers and for growth of the heap between garbage collections.
const memoryLimitShare = 0.7

// Apply sets GOMAXPROCS and the memory limit of the Go runtime. It is for a stand-alone program, not for one that
// embeds a gatherer.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitShare * (1 << 20)))
	}
}

// descriptorPool counts the available descriptors for connections to servers. It implements shardconn.DescriptorBudget.
type descriptorPool struct {
	available atomic.Int64
}

func newDescriptorPool(n int) *descriptorPool {
	p := &descriptorPool{}
	p.available.Store(int64(n))
	return p
}

// Acquire reserves a descriptor. It reports false if none is available.
func (p *descriptorPool) Acquire() bool {
	if p.available.Add(-1) < 0 {
		p.available.Add(1)
		return false
	}
	return true
}

// Release returns a descriptor.
func (p *descriptorPool) Release() { p.available.Add(1) }
