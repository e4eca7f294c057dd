package dataplane

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/deadlineheap"
)

// Timing of the event loop.
const (
	maintenanceInterval = 250 * time.Millisecond // between two rounds of periodic work, unless the next one is expedited
	minLoopSleep        = 100 * time.Microsecond
	commandQueueSize    = 4096 // commands that may be queued for the loop before post blocks
)

// eventLoop runs all code that accesses the gateway's tables on one goroutine: commands posted by other goroutines, timers and periodic
// work. It only dispatches; the state is held by the components behind loopHandler.
type eventLoop struct {
	startedAt time.Time
	commands  chan func()
	stopped   chan struct{} // closed by stop

	// Owned by the loop's goroutine.
	timers          deadlineheap.Indexed[*timer] // that have neither fired nor been cancelled
	nextMaintenance balancer.Time
}

// loopHandler handles the events of the loop. All methods run on the loop's goroutine.
type loopHandler interface {
	// maintain does the periodic work of all components.
	maintain(now balancer.Time)
	// timerFired is called once for each scheduled event, when it is due.
	timerFired(event timerEvent, now balancer.Time)
	// loopStopped is called once, as the last method, when the loop is stopped.
	loopStopped()
}

// clock measures time from the gateway's start.
type clock interface {
	// now returns the time since the gateway's start. It is monotonic.
	now() balancer.Time
}

// commandLoop is the part of the loop that components use: its clock, and the execution of commands on its goroutine.
type commandLoop interface {
	clock
	// post queues a command to run on the loop's goroutine, and blocks while the queue is full. Once the loop has stopped, the command may
	// never run; post reports false if it could not queue it.
	post(command func()) bool
}

// timerEvent is a scheduled event: the timeout of attempt if that is set, the limit on holding the request undispatched if that is set,
// or else a timer of the balancer.
type timerEvent struct {
	timer        balancer.TimerID
	attempt      *attempt
	undispatched *request
}

// timer is a scheduled event. Its owner must cancel it once the event is of no use: until then it keeps all that the event refers to in
// memory, such as the body of a request.
type timer struct {
	deadlineheap.Position
	event   timerEvent
	pending bool // it has neither fired nor been cancelled
}

func newEventLoop() *eventLoop {
	return &eventLoop{
		startedAt: time.Now(),
		commands:  make(chan func(), commandQueueSize),
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

// schedule schedules an event to fire at the given time unless its timer is cancelled before.
func (l *eventLoop) schedule(at balancer.Time, event timerEvent) *timer {
	t := &timer{event: event, pending: true}
	l.timers.Push(int64(at), t)
	return t
}

// cancel cancels a timer. It does nothing if the timer is nil, has fired or has been cancelled.
func (l *eventLoop) cancel(t *timer) {
	if t != nil && t.pending {
		t.pending = false
		l.timers.Remove(t)
	}
}

// expedite moves the next round of periodic work to the given time if that is earlier.
func (l *eventLoop) expedite(at balancer.Time) { l.nextMaintenance = min(l.nextMaintenance, at) }

// stop ends the loop. It must be called once.
func (l *eventLoop) stop() { close(l.stopped) }

// run dispatches events to the handler until the loop is stopped.
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

// fireTimers passes the events that are due to the handler.
func (l *eventLoop) fireTimers(handler loopHandler, now balancer.Time) {
	for {
		at, ok := l.timers.Next()
		if !ok || balancer.Time(at) > now {
			return
		}
		t, _ := l.timers.First()
		l.cancel(t)
		handler.timerFired(t.event, now)
	}
}

// nextWakeup returns when the next event or round of periodic work is due.
func (l *eventLoop) nextWakeup() balancer.Time {
	if at, ok := l.timers.Next(); ok {
		return min(l.nextMaintenance, balancer.Time(at))
	}
	return l.nextMaintenance
}
