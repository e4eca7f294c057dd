package controlplane

import "time"

// commandBacklog is the number of functions that may be queued for the loop before post blocks.
const commandBacklog = 1024

// minLoopWait is the minimum time that the loop waits for its next deadline.
const minLoopWait = time.Millisecond

// eventLoop runs functions one at a time on a single goroutine. That goroutine owns the state of every component of the
// controller, so no component needs a lock. Goroutines that wait for sockets or the disk post functions to the loop; the loop
// itself never waits for any of them.
type eventLoop struct {
	commands chan func()
	stopped  chan struct{} // closed by stop
}

func newEventLoop() *eventLoop {
	return &eventLoop{commands: make(chan func(), commandBacklog), stopped: make(chan struct{})}
}

// post queues a function. It returns false if the loop was stopped before the function could be queued.
func (l *eventLoop) post(f func()) bool {
	select {
	case l.commands <- f:
		return true
	case <-l.stopped:
		return false
	}
}

// execute queues a function, waits until it has run and reports whether it has. If the loop is stopped, execute returns false
// without waiting for the function, which may still be running: the function must not write variables that the caller reads. Use
// query for a function with a result.
func (l *eventLoop) execute(f func()) bool {
	_, done := query(l, func() struct{} { f(); return struct{}{} })
	return done
}

// query queues a function and waits for its result; ok is false if the loop was stopped first. The result is passed through a
// channel, so that a caller that returns because of the stop shares no variable with a function that is still running.
func query[T any](l *eventLoop, f func() T) (result T, ok bool) {
	results := make(chan T, 1) // the loop must not wait for the caller
	if !l.post(func() { results <- f() }) {
		return result, false
	}
	select {
	case result = <-results:
		return result, true
	case <-l.stopped:
		return result, false
	}
}

// run executes posted functions until the loop is stopped. After each batch it calls advance, which handles the timers that are
// due and returns the time until the next one.
func (l *eventLoop) run(firstWait time.Duration, advance func() time.Duration) {
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	for {
		select {
		case f := <-l.commands:
			f()
		case <-timer.C:
		case <-l.stopped:
			return
		}
		for range len(l.commands) {
			(<-l.commands)()
		}
		timer.Reset(max(advance(), minLoopWait))
	}
}

// stop ends the loop and unblocks all callers that wait for it. It must be called at most once.
func (l *eventLoop) stop() { close(l.stopped) }
