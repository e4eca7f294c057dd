package dataplane

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/balancer"
)

// recordedLoop records what a loop routes, and when.
type recordedLoop struct {
	timers      []balancer.TimerID
	maintenance []balancer.Time
	stopped     bool
}

func (r *recordedLoop) maintain(now balancer.Time) { r.maintenance = append(r.maintenance, now) }

func (r *recordedLoop) timerFired(event timerEvent, _ balancer.Time) {
	r.timers = append(r.timers, event.timer)
}

func (r *recordedLoop) loopStopped() { r.stopped = true }

func TestEventLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, routed := newEventLoop(), &recordedLoop{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			loop.run(routed)
		}()
		loop.post(func() {
			loop.schedule(ticks(30*time.Millisecond), timerEvent{timer: 3})
			loop.schedule(ticks(10*time.Millisecond), timerEvent{timer: 1})
			loop.schedule(ticks(20*time.Millisecond), timerEvent{timer: 2})
			loop.schedule(ticks(time.Hour), timerEvent{timer: 4})
		})
		time.Sleep(100 * time.Millisecond)
		loop.post(func() { loop.expedite(ticks(150 * time.Millisecond)) })
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		loop.stop()
		<-ended
		if want := []balancer.TimerID{1, 2, 3}; !slices.Equal(routed.timers, want) {
			t.Errorf("timers %v fired, want %v", routed.timers, want)
		}
		want := []balancer.Time{0, ticks(150 * time.Millisecond), ticks(400 * time.Millisecond), ticks(650 * time.Millisecond), ticks(900 * time.Millisecond)}
		if !slices.Equal(routed.maintenance, want) {
			t.Errorf("periodic work at %v, want %v", routed.maintenance, want)
		}
		if !routed.stopped {
			t.Error("loopStopped was not called")
		}
	})
}

func TestPostAfterStop(t *testing.T) {
	loop := newEventLoop()
	for range commandQueue {
		loop.post(func() {})
	}
	loop.stop()
	if loop.post(func() { t.Error("a command ran after the stop") }) {
		t.Error("post() = true with a full queue after the stop")
	}
}
