package raftnode

import (
	"sync/atomic"
	"time"
)

// sequence generates a sender's sequence numbers. They rise over restarts, as they follow the clock. It is safe for concurrent use.
type sequence struct{ last atomic.Uint64 }

// next returns a number larger than all before.
func (s *sequence) next() uint64 {
	for {
		last := s.last.Load()
		number := max(last+1, uint64(time.Now().UnixNano()))
		if s.last.CompareAndSwap(last, number) {
			return number
		}
	}
}

// raise makes the next number larger than one that a voter has already seen.
func (s *sequence) raise(seen uint64) {
	for last := s.last.Load(); last < seen && !s.last.CompareAndSwap(last, seen); last = s.last.Load() {
	}
}
