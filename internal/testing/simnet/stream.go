package simnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxIdleWait bounds how long a read blocks while no arrival, end of the stream or deadline is due. Every change of the stream
// wakes it earlier.
const maxIdleWait = time.Hour

// errWouldBlock is returned by stream.read while there is nothing to read.
var errWouldBlock = errors.New("read would block")

// segment holds the bytes of one write and the time at which they arrive.
type segment struct {
	arrival time.Time
	data    []byte
}

// stream is one direction of a connection. It belongs to the receiving end.
type stream struct {
	mu       sync.Mutex
	segments []segment
	closeErr error         // returned by reads after the last segment; nil while the stream is open
	closedAt time.Time     // time from which reads return closeErr
	deadline time.Time     // read deadline; the zero time means none
	wakeup   chan struct{} // holds a token after each change
}

func newStream() *stream { return &stream{wakeup: make(chan struct{}, 1)} }

// read copies bytes that have arrived into b. If there are none yet, it returns errWouldBlock and the time until the next
// arrival, end of the stream or deadline, at most maxIdleWait.
func (s *stream) read(b []byte, closed, reachable bool) (n int, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait = maxIdleWait
	switch {
	case closed:
		return 0, 0, net.ErrClosed
	case !s.deadline.IsZero() && !now.Before(s.deadline):
		return 0, 0, os.ErrDeadlineExceeded
	case !reachable: // the link delivers neither data nor the end of the stream
	case len(s.segments) > 0:
		if !now.Before(s.segments[0].arrival) {
			return s.consume(b), 0, nil
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

// consume copies bytes from the first segment into b and removes the segment once it is empty.
func (s *stream) consume(b []byte) int {
	first := &s.segments[0]
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		*first = segment{} // so that the data can be garbage-collected
		s.segments = s.segments[1:]
	}
	return n
}

// write appends a segment that arrives at the given time. It returns EPIPE if the stream is closed.
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

// closeWith ends the stream: from the time at, reads return err. Only the first call has an effect.
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

// wake makes the blocked read, or the next one, check the stream again. It never blocks.
func (s *stream) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// await blocks until the stream changes or wait has passed.
func (s *stream) await(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.wakeup:
	case <-timer.C:
	}
}
