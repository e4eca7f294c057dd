package admission

import (
	"testing"
	"time"
)

// A quarter of the target has not passed at the client when it hears, and no request is given up at once.
func TestHoldLimit(t *testing.T) {
	for _, target := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond, 500 * time.Millisecond, 30 * time.Second} {
		limit, limited := HoldLimit(target)
		if !limited || limit < minHold || limit > minHold && limit+clientRoundTrip > target/4 {
			t.Errorf("target %v: held for %v", target, limit)
		}
	}
	if _, limited := HoldLimit(0); limited {
		t.Error("a request without a target is given up")
	}
}

func TestDecide(t *testing.T) {
	for wait, want := range map[DispatchState]Decision{{}: Reject, {Pending: true}: Recheck, {Dispatched: true}: AwaitResponse, {Dispatched: true, Pending: true, WarmingUp: true}: AwaitResponse, {WarmingUp: true}: Recheck} {
		if got := wait.Decide(); got != want {
			t.Errorf("%+v: %d, want %d", wait, got, want)
		}
	}
}

func TestWarmingUp(t *testing.T) {
	interval := 1200 * time.Millisecond
	if !WarmingUp(0, interval) || !WarmingUp(2*interval-1, interval) || WarmingUp(2*interval, interval) {
		t.Error("fresh for another time than two intervals")
	}
}
