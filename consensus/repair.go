package consensus

import (
	"slices"
	"time"
)

// MaxRepairBackoff is the longest backoff between two attempts to complete replicas, before jitter.
const MaxRepairBackoff = 10 * time.Second

// maxRepairDoublings bounds the doublings of the backoff, so that it does not overflow.
const maxRepairDoublings = 10

// RepairSchedule decides when to attempt to complete replicas that members lack, with exponential backoff and jitter.
// Times are durations on the caller's monotonic clock. A schedule with only a Delay has seen nothing yet.
type RepairSchedule struct {
	// Delay is how long a missing replica is waited for before the first attempt, and up to as long again by jitter.
	Delay time.Duration

	slot             Slot     // at the last call of Due
	missing          []Member // at the last call of Due
	storedBallot     Ballot   // of this process's own replica, at the last call of Due
	attempts         int
	lastAttemptLocal bool // the last attempt was this process's own
	nextAttempt      time.Duration
}

// Due reports whether an attempt is due now. Missing are the members in contact that are not known to hold the value of the
// slot. StoredBallot is the ballot of this process's own replica: where it rises, some proposal stored the value again,
// which counts as an attempt of any process. Jitter is drawn from [0, 1), so that not all processes begin at once.
func (r *RepairSchedule) Due(now time.Duration, slot Slot, missing []Member, storedBallot Ballot, jitter float64) bool {
	if len(missing) == 0 {
		*r = RepairSchedule{Delay: r.Delay}
		return false
	}
	if r.slot != slot || r.hasNew(missing) {
		*r = RepairSchedule{Delay: r.Delay, slot: slot, storedBallot: storedBallot, nextAttempt: now + withJitter(r.Delay, jitter)}
	}
	r.missing = missing
	if storedBallot.Compare(r.storedBallot) > 0 {
		r.storedBallot = storedBallot
		if !r.lastAttemptLocal { // else RecordAttempt has counted it
			r.scheduleNext(now, jitter)
		}
		r.lastAttemptLocal = false
	}
	return now >= r.nextAttempt
}

// RecordAttempt records that this process's own attempt has ended.
func (r *RepairSchedule) RecordAttempt(now time.Duration, jitter float64) {
	r.lastAttemptLocal = true
	r.scheduleNext(now, jitter)
}

// hasNew reports whether a member is missing that was not at the last call of Due.
func (r *RepairSchedule) hasNew(missing []Member) bool {
	return slices.ContainsFunc(missing, func(m Member) bool { return !Contains(r.missing, m.ID) })
}

// scheduleNext doubles the backoff, up to its bound.
func (r *RepairSchedule) scheduleNext(now time.Duration, jitter float64) {
	r.attempts++
	backoff := min(r.Delay<<min(r.attempts, maxRepairDoublings), MaxRepairBackoff)
	r.nextAttempt = now + withJitter(backoff, jitter)
}

// withJitter lengthens a duration by a share of itself.
func withJitter(d time.Duration, jitter float64) time.Duration {
	return time.Duration((1 + jitter) * float64(d))
}
