package dataplane

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/balancer"
)

// recordingHandler is a loopHandler that records its calls.
type recordingHandler struct {
	timers      []balancer.TimerID
	maintenance []balancer.Time
	stopped     bool
}

func (r *recordingHandler) maintain(now balancer.Time) { r.maintenance = append(r.maintenance, now) }

func (r *recordingHandler) timerFired(event timerEvent, _ balancer.Time) {
	r.timers = append(r.timers, event.timer)
}

func (r *recordingHandler) loopStopped() { r.stopped = true }

func TestEventLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, handler := newEventLoop(), &recordingHandler{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			loop.run(handler)
		}()
		loop.post(func() {
			loop.schedule(ticks(30*time.Millisecond), timerEvent{timer: 3})
			loop.schedule(ticks(10*time.Millisecond), timerEvent{timer: 1})
			loop.schedule(ticks(20*time.Millisecond), timerEvent{timer: 2})
			loop.schedule(ticks(time.Hour), timerEvent{timer: 4})
			cancelled := loop.schedule(ticks(15*time.Millisecond), timerEvent{timer: 5})
			fired := loop.schedule(0, timerEvent{timer: 6})
			loop.schedule(ticks(25*time.Millisecond), timerEvent{timer: 7})
			loop.cancel(cancelled)
			loop.cancel(cancelled)
			loop.cancel(nil)
			time.AfterFunc(5*time.Millisecond, func() { loop.post(func() { loop.cancel(fired) }) })
		})
		time.Sleep(100 * time.Millisecond)
		loop.post(func() { loop.expedite(ticks(150 * time.Millisecond)) })
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		loop.stop()
		<-ended
		if want := []balancer.TimerID{6, 1, 2, 7, 3}; !slices.Equal(handler.timers, want) {
			t.Errorf("timers fired in the order %v, want %v", handler.timers, want)
		}
		want := []balancer.Time{0, ticks(150 * time.Millisecond), ticks(400 * time.Millisecond), ticks(650 * time.Millisecond), ticks(900 * time.Millisecond)}
		if !slices.Equal(handler.maintenance, want) {
			t.Errorf("periodic work at %v, want %v", handler.maintenance, want)
		}
		if !handler.stopped {
			t.Error("loopStopped was not called")
		}
	})
}

func TestPostAfterStop(t *testing.T) {
	loop := newEventLoop()
	for range commandQueueSize {
		loop.post(func() {})
	}
	loop.stop()
	if loop.post(func() { t.Error("a command ran after the loop was stopped") }) {
		t.Error("post() = true with a full queue after the loop was stopped, want false")
	}
}
