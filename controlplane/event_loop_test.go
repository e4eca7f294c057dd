package controlplane

import (
	"testing"
	"time"
)

func TestEventLoop(t *testing.T) {
	loop := newEventLoop()
	advanced := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		loop.run(time.Hour, func() time.Duration {
			select {
			case advanced <- struct{}{}:
			default:
			}
			return time.Hour
		})
		close(ended)
	}()
	if got, ok := query(loop, func() int { return 7 }); got != 7 || !ok {
		t.Errorf("query returned %d, %v, want 7, true", got, ok)
	}
	if !loop.execute(func() {}) {
		t.Error("execute did not run the function")
	}
	<-advanced
	loop.stop()
	<-ended
	if _, ok := query(loop, func() int { return 7 }); ok {
		t.Error("query succeeded after the loop was stopped")
	}
}

func TestUpdateSchedule(t *testing.T) {
	s := newUpdateSchedule(clockAt(time.Minute))
	if due, next := s.due(time.Hour); due || next != 0 {
		t.Errorf("due without a request: %v, %v", due, next)
	}
	s.requestAt(90 * time.Second)
	s.requestAt(80 * time.Second)
	s.requestAt(85 * time.Second)
	if due, next := s.due(70 * time.Second); due || next != 80*time.Second {
		t.Errorf("before the scheduled time: due %v, next at %v", due, next)
	}
	s.request(true)
	if due, _ := s.due(61 * time.Second); !due {
		t.Error("an urgent request is not due")
	}
	if due, next := s.due(time.Hour); due || next != 0 {
		t.Errorf("due again without a request: %v, %v", due, next)
	}
	s.request(false)
	if due, next := s.due(time.Minute); due || next < time.Minute+updateDelay {
		t.Errorf("a request that is not urgent: due %v, next at %v", due, next)
	}
}

func TestEventLogRetainsNewest(t *testing.T) {
	l := newEventLog(clockAt(time.Minute))
	for range eventLogCapacity + 10 {
		l.add(eventServer, "text")
	}
	events := l.list("10.0.1.1:7100")
	if len(events) != eventLogCapacity || events[0].Sequence != 11 || events[len(events)-1].Sequence != eventLogCapacity+10 {
		t.Errorf("%d events, from %d to %d", len(events), events[0].Sequence, events[len(events)-1].Sequence)
	}
}
