package offer

import (
	"testing"
	"time"
)

// A quarter of the target has not passed at the client when it hears, and no request is given up at once.
func TestHoldLimitLeavesTimeForAnotherTry(t *testing.T) {
	for _, target := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond, 500 * time.Millisecond, 30 * time.Second} {
		limit, limited := HoldLimit(target)
		if !limited || limit < leastHeld || limit > leastHeld && limit+clientTravel > target/4 {
			t.Errorf("target %v: held for %v", target, limit)
		}
	}
	if _, limited := HoldLimit(0); limited {
		t.Error("a request without a target is given up")
	}
}

func TestOnlyWhatNobodyCanBeOfferedIsGivenUp(t *testing.T) {
	for wait, want := range map[Wait]Verdict{{}: GiveUp, {Pending: true}: LookAgain, {Offered: true}: Served, {Offered: true, Pending: true, Fresh: true}: Served, {Fresh: true}: LookAgain} {
		if got := wait.Judge(); got != want {
			t.Errorf("%+v: %d, want %d", wait, got, want)
		}
	}
}

func TestAGathererIsFreshForTwoHeartbeats(t *testing.T) {
	interval := 1200 * time.Millisecond
	if !Fresh(0, interval) || !Fresh(2*interval-1, interval) || Fresh(2*interval, interval) {
		t.Error("fresh for another time than two intervals")
	}
}
