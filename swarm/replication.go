package swarm

import (
	"slices"
	"time"
)

// Copy is what an acceptor's disk holds: the turn of the value that it voted for, and the ballot of that vote. An acceptor
// tells it only of a vote that is stored; what it merely knows to be decided is no copy.
type Copy struct {
	Turn   Turn
	Ballot Ballot
}

// Copy is what the acceptor's disk holds.
func (s State) Copy() Copy {
	if s.Value == nil {
		return Copy{}
	}
	return Copy{s.Value.Turn, s.Accepted}
}

// Decision is a value that is known to be decided, and the lowest and the highest ballot at which it is known to have been:
// a round that proposes a value again decides it again. Zero ballots = at which is not known.
type Decision struct {
	Value       *Value
	First, Last Ballot
}

// DecidedAt returns the decision with one more ballot at which its value was decided; the zero Ballot tells nothing.
func (d Decision) DecidedAt(b Ballot) Decision {
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
func (d Decision) Resolves(own Copy) bool {
	return own.Turn <= d.Value.Turn || own.Ballot.Compare(d.Last) < 0
}

// ProvenBy tells whether a disk with such a copy holds the decision's value or one that follows it. The turn alone does not
// tell: a vote of the same turn at a lower ballot may be for another value, or lose against one. A vote for a later turn that
// has lost proves nothing either: its holder would go on telling of a turn that never was.
func (d Decision) ProvenBy(c Copy) bool {
	if d.Value.Turn == 0 {
		return true // nothing was agreed yet
	}
	if c.Turn > d.Value.Turn {
		return d.Last != (Ballot{}) && c.Ballot.Compare(d.Last) >= 0
	}
	return d.First != (Ballot{}) && c.Turn == d.Value.Turn && c.Ballot.Compare(d.First) >= 0
}

// Lacking are the members whose copies are not proven. Copies are what members said of their disks; one that said nothing
// has none.
func (d Decision) Lacking(copies map[AcceptorID]Copy) (out []Member) {
	for _, m := range d.Value.Members {
		if c, told := copies[m.ID]; d.Value.Turn > 0 && (!told || !d.ProvenBy(c)) {
			out = append(out, m)
		}
	}
	return out
}

// Late is the Accept that decided the value, for an acceptor that it has not reached: at a ballot at which the value is known
// to have been decided it can only have been proposed as it is, so the message is one that may still come. There is none
// where no such ballot is known, or where the acceptor is no voter of the value.
func (d Decision) Late(to AcceptorID) (a Accept, ok bool) {
	if d.Last == (Ballot{}) || !Has(d.Value.Voters(), to) {
		return Accept{}, false
	}
	return Accept{to, d.Last, d.Value}, true
}

// Stay is why a member that is told to end should not go yet.
type Stay uint8

// The reasons to stay.
const (
	MayGo            Stay = iota
	UnresolvedVote        // it voted for a value whose fate it does not know
	UnconfirmedSet        // a change of the members is not confirmed: the majority of the set before is still needed
	IncompleteCopies      // a member that stays is not known to hold what this one holds
)

// String is the reason in words.
func (s Stay) String() string {
	switch s {
	case UnresolvedVote:
		return "the fate of a vote is not known"
	case UnconfirmedSet:
		return "a change of the members is not confirmed"
	case IncompleteCopies:
		return "not all who stay are known to hold what is agreed"
	}
	return "nothing"
}

// MayLeave tells whether a member may end for good, perhaps with its disk, and if not, why, and whose copies lack. Own is
// what its disk holds, copies are what the others said of theirs of late.
func (d Decision) MayLeave(self AcceptorID, own Copy, copies map[AcceptorID]Copy) (Stay, []Member) {
	if !d.Resolves(own) {
		return UnresolvedVote, nil
	}
	if !d.Value.Settled() {
		return UnconfirmedSet, nil
	}
	lacking := d.Lacking(copies)
	lacking = slices.DeleteFunc(lacking, func(m Member) bool { return m.ID == self })
	if len(lacking) > 0 {
		return IncompleteCopies, lacking
	}
	return MayGo, nil
}

// RepairPauseMax is the longest pause between two attempts to complete copies that did not help.
const RepairPauseMax = 10 * time.Second

// Repair tells when an attempt is owed to complete copies that lack. It keeps what was last seen and tried. One with a Wait
// and nothing else has seen nothing.
type Repair struct {
	Wait    time.Duration // that a lacking copy is given before the first attempt, and up to as much more by lot
	turn    Turn
	lacking []Member // at the last look
	stored  Ballot   // of this machine's own copy at the last look
	tries   int
	own     bool          // this machine's own attempt was the last
	at      time.Duration // no round before
}

// Due tells whether an attempt is owed now. Lacking are the members in contact whose copies are not proven; stored is the
// ballot of this machine's own copy: where it rises, a round stored the value anew, whoever's it was. Lot is drawn from
// [0, 1), so that not all who see it begin at once.
func (r *Repair) Due(now time.Duration, turn Turn, lacking []Member, stored Ballot, lot float64) bool {
	if len(lacking) == 0 {
		*r = Repair{Wait: r.Wait}
		return false
	}
	isNew := func(m Member) bool { return !Has(r.lacking, m.ID) }
	if r.turn != turn || slices.ContainsFunc(lacking, isNew) {
		*r = Repair{Wait: r.Wait, turn: turn, stored: stored, at: now + time.Duration((1+lot)*float64(r.Wait))}
	}
	r.lacking = lacking
	if stored.Compare(r.stored) > 0 {
		r.stored = stored
		if !r.own {
			r.tried(now, lot)
		}
		r.own = false
	}
	return now >= r.at
}

// Tried notes that this machine's own attempt has ended.
func (r *Repair) Tried(now time.Duration, lot float64) {
	r.own = true
	r.tried(now, lot)
}

// tried has the next attempt wait twice as long as the one before, up to a bound.
func (r *Repair) tried(now time.Duration, lot float64) {
	r.tries++
	pause := min(r.Wait<<min(r.tries, 10), RepairPauseMax)
	r.at = now + time.Duration((1+lot)*float64(pause))
}
