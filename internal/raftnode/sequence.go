package raftnode

import (
	"sync/atomic"
	"time"
)

// sequence generates the sequence numbers of a sender. They follow the wall clock, so that they also increase across
// restarts. It is safe for concurrent use.
type sequence struct{ last atomic.Uint64 }

// next returns a number that is larger than all previous ones.
func (s *sequence) next() uint64 {
	for {
		last := s.last.Load()
		number := max(last+1, uint64(time.Now().UnixNano()))
		if s.last.CompareAndSwap(last, number) {
			return number
		}
	}
}

// raise ensures that the next number is larger than seen, which a voter has already accepted.
func (s *sequence) raise(seen uint64) {
	for last := s.last.Load(); last < seen && !s.last.CompareAndSwap(last, seen); last = s.last.Load() {
	}
}
