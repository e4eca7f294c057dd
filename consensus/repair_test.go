package consensus

import (
	"testing"
	"time"
)

const testRepairDelay = 500 * time.Millisecond

// Repairs of a member that is in contact but never stores the value must be attempted repeatedly, with increasing intervals.
func TestRepairScheduleBacksOff(t *testing.T) {
	const duration = 4 * time.Minute
	r := RepairSchedule{Delay: testRepairDelay}
	var attempts []time.Duration
	for now := time.Duration(0); now < duration; now += 100 * time.Millisecond {
		if r.Due(now, 7, testMembers(3), Ballot{5, 1}, 0.5) {
			attempts = append(attempts, now)
			r.RecordAttempt(now, 0.5)
		}
	}
	if attempts[0] > 2*testRepairDelay {
		t.Errorf("the first attempt is due after %v, want at most %v", attempts[0], 2*testRepairDelay)
	}
	if len(attempts) < 15 || len(attempts) > 25 {
		t.Errorf("%d attempts in %v, want 15 to 25: %v", len(attempts), duration, attempts)
	}
	for i := 2; i < len(attempts); i++ {
		interval, previous := attempts[i]-attempts[i-1], attempts[i-1]-attempts[i-2]
		if interval < previous && interval < MaxRepairBackoff {
			t.Errorf("the interval before attempt %d is %v, shorter than the previous one, %v", i, interval, previous)
		}
	}

	// An attempt for a member that is newly missing is due after Delay.
	now := duration
	r.Due(now, 7, testMembers(3, 4), Ballot{5, 1}, 0)
	now += testRepairDelay
	if !r.Due(now, 7, testMembers(3, 4), Ballot{5, 1}, 0) {
		t.Error("no attempt is due for a newly missing member after the delay")
	}
	if r.Due(now, 7, testMembers(3, 4), Ballot{6, 2}, 0) {
		t.Error("a proposal of another process does not count as an attempt")
	}
	if r.Due(now+time.Hour, 7, nil, Ballot{6, 2}, 0) {
		t.Error("an attempt is due although no member is missing")
	}
}
