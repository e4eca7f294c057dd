package consensus

import (
	"slices"
	"time"
)

// MaxRepairBackoff is the maximum backoff between two repair attempts, before jitter.
const MaxRepairBackoff = 10 * time.Second

// maxRepairDoublings limits how often the backoff is doubled, so that the shift does not overflow.
const maxRepairDoublings = 10

// RepairSchedule determines when to attempt a repair, that is, to store the decided value on members that lack it. It uses
// exponential backoff with jitter. Times are durations on the caller's monotonic clock. A schedule with only Delay set is
// ready for use.
type RepairSchedule struct {
	// Delay is the time from when a replica is first missing to the first attempt. Jitter extends it to at most twice its
	// length.
	Delay time.Duration

	slot             Slot     // as of the last call of Due
	missing          []Member // as of the last call of Due
	storedBallot     Ballot   // ballot of this process's own replica as of the last call of Due
	attempts         int
	lastAttemptLocal bool // the last attempt was made by this process
	nextAttempt      time.Duration
}

// Due reports whether an attempt is due now. The missing members are those that are in contact but not known to store the
// value of the slot. The storedBallot is the ballot of this process's own replica: when it increases, a proposal of some
// process stored the value again, which counts as an attempt. The jitter is a random number from [0, 1) that prevents all
// processes from starting at the same time.
func (r *RepairSchedule) Due(now time.Duration, slot Slot, missing []Member, storedBallot Ballot, jitter float64) bool {
	if len(missing) == 0 {
		*r = RepairSchedule{Delay: r.Delay}
		return false
	}
	if r.slot != slot || r.hasNewlyMissing(missing) {
		*r = RepairSchedule{Delay: r.Delay, slot: slot, storedBallot: storedBallot, nextAttempt: now + withJitter(r.Delay, jitter)}
	}
	r.missing = missing
	if storedBallot.Compare(r.storedBallot) > 0 {
		r.storedBallot = storedBallot
		if !r.lastAttemptLocal { // a local attempt was already counted by RecordAttempt
			r.scheduleNext(now, jitter)
		}
		r.lastAttemptLocal = false
	}
	return now >= r.nextAttempt
}

// RecordAttempt records that an attempt of this process has ended.
func (r *RepairSchedule) RecordAttempt(now time.Duration, jitter float64) {
	r.lastAttemptLocal = true
	r.scheduleNext(now, jitter)
}

// hasNewlyMissing reports whether missing contains a member that was not missing at the last call of Due.
func (r *RepairSchedule) hasNewlyMissing(missing []Member) bool {
	return slices.ContainsFunc(missing, func(m Member) bool { return !Contains(r.missing, m.ID) })
}

// scheduleNext schedules the next attempt with twice the previous backoff, at most MaxRepairBackoff before jitter.
func (r *RepairSchedule) scheduleNext(now time.Duration, jitter float64) {
	r.attempts++
	backoff := min(r.Delay<<min(r.attempts, maxRepairDoublings), MaxRepairBackoff)
	r.nextAttempt = now + withJitter(backoff, jitter)
}

// withJitter returns d multiplied by 1 + jitter.
func withJitter(d time.Duration, jitter float64) time.Duration {
	return time.Duration((1 + jitter) * float64(d))
}
