package shardconn

import (
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

func TestHealthCheck(t *testing.T) {
	r := newHarness(t)
	attempts := r.dispatch("a.0")
	c := receive(t, r.dials)
	r.readFrame(c)
	r.client.TrySubmit(HealthCheck{})
	if got := r.readFrame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	c.Write(frame.New(frame.HealthCheckFrame, "broke"))
	if e := receive(t, r.checks); e.Outcome != balancer.Errored {
		t.Errorf("got %+v", e)
	}
	r.client.TrySubmit(HealthCheck{})
	r.readFrame(c)
	c.Close()
	if e := receive(t, r.checks); e.Outcome != balancer.Reset {
		t.Errorf("got %+v", e)
	}
	r.expectOutcome(attempts[0].ID, balancer.Reset)
}

// A health check opens a connection where none has capacity, and times out if it is not answered.
func TestHealthCheckOpensConnectionAndTimesOut(t *testing.T) {
	r := newHarness(t)
	r.client.TrySubmit(HealthCheck{})
	c := receive(t, r.dials)
	if got := r.readFrame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	r.advance(2500)
	r.client.TrySubmit(CloseIdle{}) // wakes the client up, and must not close a connection with a health check in flight
	if e := receive(t, r.checks); e.Outcome != balancer.TimedOut {
		t.Errorf("got %+v", e)
	}
	// The next one opens a new connection, as the silent one proves nothing. A late answer on the old one is accepted.
	r.client.TrySubmit(HealthCheck{})
	d := receive(t, r.dials)
	r.readFrame(d)
	go c.Write(frame.New(frame.HealthCheckFrame, "served"))
	d.Write(frame.New(frame.HealthCheckFrame, "served"))
	if e := receive(t, r.checks); e.Outcome != balancer.Answered {
		t.Errorf("got %+v", e)
	}
	r.refuse.Store(true)
	r.client.TrySubmit(CloseAll{})
	r.client.TrySubmit(HealthCheck{})
	if e := receive(t, r.checks); e.Outcome != balancer.ConnectFailed && e.Outcome != balancer.Reset {
		t.Errorf("got %+v", e)
	}
}
