package admission

import (
	"testing"
	"time"
)

// The client must receive a rejection before a quarter of its target has passed, and no request is rejected at once.
func TestHoldLimit(t *testing.T) {
	for _, target := range []time.Duration{
		10 * time.Millisecond,
		60 * time.Millisecond,
		500 * time.Millisecond,
		30 * time.Second,
	} {
		t.Run(target.String(), func(t *testing.T) {
			limit, ok := HoldLimit(target)
			if !ok || limit < minHold || limit > minHold && limit+clientRoundTrip > target/4 {
				t.Errorf("HoldLimit(%v) = %v, %v", target, limit, ok)
			}
		})
	}
	t.Run("no target", func(t *testing.T) {
		if limit, ok := HoldLimit(0); ok {
			t.Errorf("HoldLimit(0) = %v, want no limit", limit)
		}
	})
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name  string
		state DispatchState
		want  Decision
	}{
		{"no server is available", DispatchState{}, Reject},
		{"a shard call is pending", DispatchState{Pending: true}, ExtendHold},
		{"the gateway is warming up", DispatchState{WarmingUp: true}, ExtendHold},
		{"dispatched", DispatchState{Dispatched: true}, AwaitResponse},
		{"dispatched while other calls are pending", DispatchState{Dispatched: true, Pending: true, WarmingUp: true}, AwaitResponse},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.state.Decide(); got != test.want {
				t.Errorf("Decide() = %d, want %d", got, test.want)
			}
		})
	}
}

func TestWarmingUp(t *testing.T) {
	const interval = 1200 * time.Millisecond
	for _, test := range []struct {
		name   string
		uptime time.Duration
		want   bool
	}{
		{"at start", 0, true},
		{"just before two heartbeats", 2*interval - 1, true},
		{"after two heartbeats", 2 * interval, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := WarmingUp(test.uptime, interval); got != test.want {
				t.Errorf("WarmingUp(%v) = %v, want %v", test.uptime, got, test.want)
			}
		})
	}
}
