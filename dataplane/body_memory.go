package dataplane

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"oxbowspan/internal/settings"
	"oxbowspan/memorybudget"
)

// bodyMemoryShare is the share of the process's memory limit that the bodies of requests may use. The garbage collector's limit leaves room
// for as much garbage.
const bodyMemoryShare = 0.3

// bodyMemory limits the memory in use by the bodies of requests, from the first byte of a body until the request has been answered and no
// attempt writes it any more. It is safe for concurrent use.
type bodyMemory struct {
	budget     *memorybudget.Budget
	rejections atomic.Uint64 // requests rejected for lack of memory
}

// newBodyMemory returns a limit of a share of memory_mb; without memory_mb there is no limit.
func newBodyMemory(options *settings.Settings, log zerolog.Logger) *bodyMemory {
	maxTotal := memorybudget.Bytes(options.Limits.MemoryMB * bodyMemoryShare * (1 << 20))
	return &bodyMemory{budget: memorybudget.New(memorybudget.Options{MaxTotal: maxTotal}, func(_, to memorybudget.Pressure, s memorybudget.Snapshot) {
		log.Warn().Stringer("pressure", to).Int64("bytes", int64(s.Total)).Int64("limit", int64(s.MaxTotal)).Msg("bodies: memory pressure changed")
	})}
}

// reserve reserves memory for a body of up to size bytes; 0 = the request has no body, nil is returned for it. It reports false if the limit
// would be exceeded. A body that is the only one may exceed it, as it would otherwise never be accepted.
func (m *bodyMemory) reserve(size int) (body *requestBody, ok bool) {
	if size == 0 {
		return nil, true
	}
	reserved := memorybudget.Bytes(size)
	if !m.budget.Reserve(memorybudget.Bodies, reserved) {
		if m.budget.Snapshot().Total > 0 {
			m.rejections.Add(1)
			return nil, false
		}
		m.budget.ForceReserve(memorybudget.Bodies, reserved)
	}
	body = &requestBody{memory: m, reserved: reserved}
	body.holders.Store(1)
	return body, true
}

// requestBody is the body of a request. The connection of the client holds it, and each attempt that writes it. Its memory stays reserved until
// all of them have released it. Methods may be called on nil, which is the body of a request without one.
type requestBody struct {
	content  []byte
	memory   *bodyMemory
	reserved memorybudget.Bytes
	holders  atomic.Int32
}

// bytes returns the content of the body, which must not be modified.
func (b *requestBody) bytes() []byte {
	if b == nil {
		return nil
	}
	return b.content
}

// set sets the content of the body, and returns what was reserved in excess.
func (b *requestBody) set(content []byte) {
	if b == nil {
		return
	}
	b.content = content
	if excess := b.reserved - memorybudget.Bytes(len(content)); excess > 0 {
		b.memory.budget.Release(memorybudget.Bodies, excess)
		b.reserved -= excess
	}
}

// retain adds a holder.
func (b *requestBody) retain() {
	if b != nil {
		b.holders.Add(1)
	}
}

// release removes a holder.
func (b *requestBody) release() {
	if b != nil && b.holders.Add(-1) == 0 {
		b.memory.budget.Release(memorybudget.Bodies, b.reserved)
	}
}
