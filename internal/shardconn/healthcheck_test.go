package shardconn

import (
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

func TestHealthCheck(t *testing.T) {
	h := newHarness(t)
	attempts := h.dispatch("a.0")
	c := receive(t, h.dials)
	h.readFrame(c)
	h.client.TrySubmit(HealthCheck{})
	if got := h.readFrame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	c.Write(frame.New(frame.HealthCheckFrame, "broke"))
	if e := receive(t, h.checks); e.Outcome != balancer.Errored {
		t.Errorf("got %+v", e)
	}
	h.client.TrySubmit(HealthCheck{})
	h.readFrame(c)
	c.Close()
	if e := receive(t, h.checks); e.Outcome != balancer.Reset {
		t.Errorf("got %+v", e)
	}
	h.expectOutcome(attempts[0].ID, balancer.Reset)
}

// A health check opens a connection if none has capacity, and times out if it is not answered.
func TestHealthCheckOpensConnectionAndTimesOut(t *testing.T) {
	h := newHarness(t)
	h.client.TrySubmit(HealthCheck{})
	c := receive(t, h.dials)
	if got := h.readFrame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	h.advance(2500)
	// Makes the client process its timeouts, and must not close a connection with a health check in flight.
	h.client.TrySubmit(CloseIdle{})
	if e := receive(t, h.checks); e.Outcome != balancer.TimedOut {
		t.Errorf("got %+v", e)
	}
	// The next check opens a new connection, as the old one is silent. A late answer on the old one is accepted.
	h.client.TrySubmit(HealthCheck{})
	d := receive(t, h.dials)
	h.readFrame(d)
	go c.Write(frame.New(frame.HealthCheckFrame, "served"))
	d.Write(frame.New(frame.HealthCheckFrame, "served"))
	if e := receive(t, h.checks); e.Outcome != balancer.Answered {
		t.Errorf("got %+v", e)
	}
	h.refuse.Store(true)
	h.client.TrySubmit(CloseAll{})
	h.client.TrySubmit(HealthCheck{})
	if e := receive(t, h.checks); e.Outcome != balancer.ConnectFailed && e.Outcome != balancer.Reset {
		t.Errorf("got %+v", e)
	}
}
