package dataplane

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/deadlineheap"
)

// Timing of the event loop.
const (
	maintenanceInterval = 250 * time.Millisecond // between two rounds of periodic work, unless one is expedited
	minLoopSleep        = 100 * time.Microsecond
	commandQueue        = 4096 // commands that may wait for the loop before post blocks
)

// eventLoop runs everything that touches the gateway's tables on one goroutine: commands that other goroutines post, timers and
// periodic work. It only routes; the components behind loopHandler hold the state.
type eventLoop struct {
	startedAt time.Time
	commands  chan func()
	stopped   chan struct{} // closed when the gateway stops

	// Owned by the loop's goroutine.
	timers          deadlineheap.Heap[timerEvent] // popped as they fire
	nextMaintenance balancer.Time
}

// loopHandler is what the loop routes to. All methods run on the loop's goroutine.
type loopHandler interface {
	// maintain does the periodic work of all components.
	maintain(now balancer.Time)
	// timerFired is called once for each scheduled event, when it is due.
	timerFired(event timerEvent, now balancer.Time)
	// loopStopped is called last, when the gateway stops.
	loopStopped()
}

// clock returns the time since the gateway's start. It is monotonic.
type clock interface {
	now() balancer.Time
}

// commandLoop is the part of the loop that components use: its clock, and running commands on its goroutine.
type commandLoop interface {
	clock
	// post runs a command on the loop's goroutine later. It reports false once the loop has stopped.
	post(command func()) bool
}

// timerEvent is one scheduled event: the time limit of an attempt, the hold limit of a request, or else a timer of the balancer.
type timerEvent struct {
	timer        balancer.TimerID
	attempt      *attempt
	undispatched *request
}

func newEventLoop() *eventLoop {
	return &eventLoop{
		startedAt: time.Now(),
		commands:  make(chan func(), commandQueue),
		stopped:   make(chan struct{}),
	}
}

func (l *eventLoop) now() balancer.Time { return ticks(time.Since(l.startedAt)) }

func (l *eventLoop) post(command func()) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.stopped:
		return false
	}
}

// schedule fires an event at the given time.
func (l *eventLoop) schedule(at balancer.Time, event timerEvent) { l.timers.Push(int64(at), event) }

// expedite moves the next periodic work forward to the given time. It never delays it.
func (l *eventLoop) expedite(at balancer.Time) { l.nextMaintenance = min(l.nextMaintenance, at) }

// stop ends the loop. It must be called once.
func (l *eventLoop) stop() { close(l.stopped) }

// run routes until the loop is stopped.
func (l *eventLoop) run(handler loopHandler) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := l.now()
		if now >= l.nextMaintenance {
			l.nextMaintenance = now + ticks(maintenanceInterval)
			handler.maintain(now)
		}
		l.fireTimers(handler, now)
		timer.Reset(max(duration(l.nextWakeup()-l.now()), minLoopSleep))
		select {
		case command := <-l.commands:
			command()
		case <-timer.C:
		case <-l.stopped:
			handler.loopStopped()
			return
		}
		for range len(l.commands) {
			(<-l.commands)()
		}
	}
}

func (l *eventLoop) fireTimers(handler loopHandler, now balancer.Time) {
	for {
		at, ok := l.timers.Next()
		if !ok || balancer.Time(at) > now {
			return
		}
		handler.timerFired(l.timers.Pop(), now)
	}
}

func (l *eventLoop) nextWakeup() balancer.Time {
	if at, ok := l.timers.Next(); ok {
		return min(l.nextMaintenance, balancer.Time(at))
	}
	return l.nextMaintenance
}
