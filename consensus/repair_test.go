package consensus

import (
	"testing"
	"time"
)

const testRepairDelay = 500 * time.Millisecond

// A member that is in contact and never stores the value is repaired again and again, with longer and longer pauses.
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
		t.Errorf("the first attempt is due after %v", attempts[0])
	}
	if len(attempts) < 15 || len(attempts) > 25 {
		t.Errorf("%d attempts in %v: %v", len(attempts), duration, attempts)
	}
	for i := 2; i < len(attempts); i++ {
		pause, previous := attempts[i]-attempts[i-1], attempts[i-1]-attempts[i-2]
		if pause < previous && pause < MaxRepairBackoff {
			t.Errorf("the pause before attempt %d is %v, shorter than the one before", i, pause)
		}
	}

	// A member that is newly missing is repaired soon.
	now := duration
	r.Due(now, 7, testMembers(3, 4), Ballot{5, 1}, 0)
	now += testRepairDelay
	if !r.Due(now, 7, testMembers(3, 4), Ballot{5, 1}, 0) {
		t.Error("a newly missing member is not repaired soon")
	}
	if r.Due(now, 7, testMembers(3, 4), Ballot{6, 2}, 0) {
		t.Error("the proposal of another process does not count as an attempt")
	}
	if r.Due(now+time.Hour, 7, nil, Ballot{6, 2}, 0) {
		t.Error("an attempt is due though nothing is missing")
	}
}
