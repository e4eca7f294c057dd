package consensus

import (
	"slices"
	"time"
)

// Replica is what an acceptor's disk holds: the turn of the value that it voted for, and the ballot of that vote. An acceptor
// tells it only of a vote that is stored; what it merely knows to be decided is no copy.
type Replica struct {
	Slot   Slot
	Ballot Ballot
}

// Replica is what the acceptor's disk holds.
func (s AcceptorState) Replica() Replica {
	if s.Value == nil {
		return Replica{}
	}
	return Replica{s.Value.Slot, s.Accepted}
}

// Decision is a value that is known to be decided, and the lowest and the highest ballot at which it is known to have been:
// a round that proposes a value again decides it again. Zero ballots = at which is not known.
type Decision struct {
	Value       *Value
	First, Last Ballot
}

// WithBallot returns the decision with one more ballot at which its value was decided; the zero Ballot tells nothing.
func (d Decision) WithBallot(b Ballot) Decision {
	if b == (Ballot{}) {
		return d
	}
	if d.First == (Ballot{}) || b.Compare(d.First) < 0 {
		d.First = b
	}
	if b.Compare(d.Last) > 0 {
		d.Last = b
	}
	return d
}

// Resolves tells whether the fate of an acceptor's newest vote is known: it is decided, or can't be any more. A vote for a
// later turn is lost once a round of a higher ballot has decided the earlier one again: it would have found what was decided.
func (d Decision) Resolves(own Replica) bool {
	return own.Slot <= d.Value.Slot || own.Ballot.Compare(d.Last) < 0
}

// ReplicatedBy tells whether a disk with such a copy holds the decision's value or one that follows it. The turn alone does not
// tell: a vote of the same turn at a lower ballot may be for another value, or lose against one. A vote for a later turn that
// has lost proves nothing either: its holder would go on telling of a turn that never was.
func (d Decision) ReplicatedBy(c Replica) bool {
	if d.Value.Slot == 0 {
		return true // nothing was agreed yet
	}
	if c.Slot > d.Value.Slot {
		return d.Last != (Ballot{}) && c.Ballot.Compare(d.Last) >= 0
	}
	return d.First != (Ballot{}) && c.Slot == d.Value.Slot && c.Ballot.Compare(d.First) >= 0
}

// Unreplicated are the members whose copies are not proven. Copies are what members said of their disks; one that said nothing
// has none.
func (d Decision) Unreplicated(replicas map[AcceptorID]Replica) (out []Member) {
	for _, m := range d.Value.Members {
		if c, told := replicas[m.ID]; d.Value.Slot > 0 && (!told || !d.ReplicatedBy(c)) {
			out = append(out, m)
		}
	}
	return out
}

// CatchUpAccept is the Accept that decided the value, for an acceptor that it has not reached: at a ballot at which the value is known
// to have been decided it can only have been proposed as it is, so the message is one that may still come. There is none
// where no such ballot is known, or where the acceptor is no voter of the value.
func (d Decision) CatchUpAccept(to AcceptorID) (a Accept, ok bool) {
	if d.Last == (Ballot{}) || !Contains(d.Value.Acceptors(), to) {
		return Accept{}, false
	}
	return Accept{to, d.Last, d.Value}, true
}

// LeaveStatus is why a member that is told to end should not go yet.
type LeaveStatus uint8

// The reasons to stay.
const (
	LeaveAllowed       LeaveStatus = iota
	UnresolvedAccept               // it voted for a value whose fate it does not know
	UnconfirmedMembers             // a change of the members is not confirmed: the majority of the set before is still needed
	IncompleteReplicas             // a member that stays is not known to hold what this one holds
)

// String is the reason in words.
func (s LeaveStatus) String() string {
	switch s {
	case UnresolvedAccept:
		return "the fate of a vote is not known"
	case UnconfirmedMembers:
		return "a change of the members is not confirmed"
	case IncompleteReplicas:
		return "not all who stay are known to hold what is agreed"
	}
	return "nothing"
}

// CheckLeave tells whether a member may end for good, perhaps with its disk, and if not, why, and whose copies lack. Own is
// what its disk holds, copies are what the others said of theirs of late.
func (d Decision) CheckLeave(self AcceptorID, own Replica, replicas map[AcceptorID]Replica) (LeaveStatus, []Member) {
	if !d.Resolves(own) {
		return UnresolvedAccept, nil
	}
	if !d.Value.Confirmed() {
		return UnconfirmedMembers, nil
	}
	missing := d.Unreplicated(replicas)
	missing = slices.DeleteFunc(missing, func(m Member) bool { return m.ID == self })
	if len(missing) > 0 {
		return IncompleteReplicas, missing
	}
	return LeaveAllowed, nil
}

// MaxRepairBackoff is the longest pause between two attempts to complete copies that did not help.
const MaxRepairBackoff = 10 * time.Second

// RepairSchedule tells when an attempt is owed to complete copies that lack. It keeps what was last seen and tried. One with a Wait
// and nothing else has seen nothing.
type RepairSchedule struct {
	Delay            time.Duration // that a lacking copy is given before the first attempt, and up to as much more by lot
	slot             Slot
	missing          []Member // at the last look
	storedBallot     Ballot   // of this machine's own copy at the last look
	attempts         int
	lastAttemptLocal bool          // this machine's own attempt was the last
	nextAttempt      time.Duration // no round before
}

// Due tells whether an attempt is owed now. Lacking are the members in contact whose copies are not proven; stored is the
// ballot of this machine's own copy: where it rises, a round stored the value anew, whoever's it was. Lot is drawn from
// [0, 1), so that not all who see it begin at once.
func (r *RepairSchedule) Due(now time.Duration, turn Slot, lacking []Member, stored Ballot, lot float64) bool {
	if len(lacking) == 0 {
		*r = RepairSchedule{Delay: r.Delay}
		return false
	}
	isNew := func(m Member) bool { return !Contains(r.missing, m.ID) }
	if r.slot != turn || slices.ContainsFunc(lacking, isNew) {
		*r = RepairSchedule{Delay: r.Delay, slot: turn, storedBallot: stored, nextAttempt: now + time.Duration((1+lot)*float64(r.Delay))}
	}
	r.missing = lacking
	if stored.Compare(r.storedBallot) > 0 {
		r.storedBallot = stored
		if !r.lastAttemptLocal {
			r.scheduleNext(now, lot)
		}
		r.lastAttemptLocal = false
	}
	return now >= r.nextAttempt
}

// RecordAttempt notes that this machine's own attempt has ended.
func (r *RepairSchedule) RecordAttempt(now time.Duration, lot float64) {
	r.lastAttemptLocal = true
	r.scheduleNext(now, lot)
}

// scheduleNext has the next attempt wait twice as long as the one before, up to a bound.
func (r *RepairSchedule) scheduleNext(now time.Duration, lot float64) {
	r.attempts++
	pause := min(r.Delay<<min(r.attempts, 10), MaxRepairBackoff)
	r.nextAttempt = now + time.Duration((1+lot)*float64(pause))
}
