package simnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// idleWait bounds how long a read with nothing to wait for sleeps before it looks again; every change wakes it earlier.
const idleWait = time.Hour

// errWouldBlock is returned by stream.read while there is nothing to read.
var errWouldBlock = errors.New("read would block")

// segment is what one write put on the wire.
type segment struct {
	arrival time.Time
	data    []byte
}

// stream is one direction of a connection, held by its receiving end.
type stream struct {
	mu       sync.Mutex
	segments []segment
	closeErr error // what a read returns after the segments; nil while the stream is open
	closedAt time.Time
	deadline time.Time     // of reads; the zero time means none
	wakeup   chan struct{} // holds a token after each change
}

func newStream() *stream { return &stream{wakeup: make(chan struct{}, 1)} }

// read takes what has arrived. If there is nothing yet it returns errWouldBlock and how long to wait for it.
func (s *stream) read(b []byte, closed, reachable bool) (n int, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait = idleWait
	switch {
	case closed:
		return 0, 0, net.ErrClosed
	case !s.deadline.IsZero() && !now.Before(s.deadline):
		return 0, 0, os.ErrDeadlineExceeded
	case !reachable: // whatever has arrived or ended is held back by the link
	case len(s.segments) > 0:
		if !now.Before(s.segments[0].arrival) {
			return s.take(b), 0, nil
		}
		wait = s.segments[0].arrival.Sub(now)
	case s.closeErr != nil:
		if !now.Before(s.closedAt) {
			return 0, 0, s.closeErr
		}
		wait = s.closedAt.Sub(now)
	}
	if !s.deadline.IsZero() {
		wait = min(wait, s.deadline.Sub(now))
	}
	return 0, wait, errWouldBlock
}

// take copies from the first segment and removes it once it is used up.
func (s *stream) take(b []byte) int {
	first := &s.segments[0]
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	return n
}

// write appends a segment that arrives at a time.
func (s *stream) write(b []byte, arrival time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return 0, syscall.EPIPE
	}
	s.segments = append(s.segments, segment{arrival: arrival, data: append([]byte(nil), b...)})
	s.wake()
	return len(b), nil
}

// closeWith ends the stream with an error that is seen from a time on. Only the first call has an effect.
func (s *stream) closeWith(err error, at time.Time) {
	s.mu.Lock()
	if s.closeErr == nil {
		s.closeErr, s.closedAt = err, at
	}
	s.mu.Unlock()
	s.wake()
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	s.deadline = t
	s.mu.Unlock()
	s.wake()
}

// wake makes the blocked read, or the next one, look again. It never blocks.
func (s *stream) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// await blocks until something changes or a time has passed.
func (s *stream) await(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.wakeup:
	case <-timer.C:
	}
}
