package consensus

// AcceptorState is what one acceptor stores on its disk. Its methods return new states and never change it.
//
// Promised never falls, and is never below Accepted: an acceptor that promised a ballot accepts nothing at a lower one. This
// is what makes prepare replies of a majority conclusive.
type AcceptorState struct {
	ID       AcceptorID
	Promised Ballot // nothing is accepted at a lower one
	Accepted Ballot // at which Value was accepted
	Value    *Value // accepted last; nil = none

	// Decided is the ballot at which the acceptor had accepted a value when it learned that this value is decided. It says
	// something about Value only where it is Accepted: a later value leaves it behind.
	Decided Ballot
}

// Prepare is phase 1 of a proposal: it asks an acceptor to promise a ballot.
type Prepare struct {
	To     AcceptorID
	Ballot Ballot
}

// PrepareReply answers a Prepare.
type PrepareReply struct {
	From     AcceptorID
	OK       bool   // the ballot is promised
	Promised Ballot // the acceptor's highest promise; where OK is false, the one for which the ballot was rejected
	Accepted Ballot // at which Value was accepted
	Value    *Value // accepted last; nil = none
}

// Accept is phase 2 of a proposal: it asks an acceptor to accept a value.
type Accept struct {
	To     AcceptorID
	Ballot Ballot
	Value  *Value
}

// AcceptReply answers an Accept.
type AcceptReply struct {
	From     AcceptorID
	OK       bool   // the value is accepted
	Promised Ballot // as in a PrepareReply
}

// HandlePrepare returns the state to store, and the reply to send once that is stored. A message for another acceptor, one
// whose disk was replaced by this one, is rejected: this disk does not know what that one promised.
func (s AcceptorState) HandlePrepare(p Prepare) (AcceptorState, PrepareReply) {
	if p.To != s.ID || p.Ballot.Compare(s.Promised) < 0 {
		return s, PrepareReply{From: s.ID, Promised: s.Promised}
	}
	s.Promised = p.Ballot
	return s, PrepareReply{From: s.ID, OK: true, Promised: s.Promised, Accepted: s.Accepted, Value: s.Value}
}

// HandleAccept returns the state to store, and the reply to send once that is stored. It rejects what HandlePrepare rejects.
func (s AcceptorState) HandleAccept(a Accept) (AcceptorState, AcceptReply) {
	if a.To != s.ID || a.Value == nil || a.Ballot.Compare(s.Promised) < 0 {
		return s, AcceptReply{From: s.ID, Promised: s.Promised}
	}
	s.Promised = a.Ballot
	s.Accepted = a.Ballot
	s.Value = a.Value
	return s, AcceptReply{From: s.ID, OK: true, Promised: s.Promised}
}

// WithDecision returns the state to store once the acceptor knows that a value is decided.
//
// It differs only where the acceptor holds that very value and the value is not confirmed. After a restart such a value is then
// known to be decided, and its members alone decide the next, even if those before them can't be asked any more. A confirmed
// value needs no note: its members are those before it.
func (s AcceptorState) WithDecision(d Decision) AcceptorState {
	if s.Value == nil || s.Value.Slot != d.Value.Slot || s.Value.Confirmed() || !d.ReplicatedBy(s.Replica()) {
		return s
	}
	s.Decided = s.Accepted
	return s
}

// HoldsDecision reports whether Value is known to be decided.
func (s AcceptorState) HoldsDecision() bool {
	return s.Value != nil && s.Decided == s.Accepted && s.Accepted != (Ballot{})
}

// DiffersFrom reports whether the state must be stored before the reply that came with it is sent.
func (s AcceptorState) DiffersFrom(previous AcceptorState) bool {
	return s.Promised != previous.Promised || s.Accepted != previous.Accepted || s.Value != previous.Value ||
		s.Decided != previous.Decided
}

// Replica returns what the acceptor's disk holds.
func (s AcceptorState) Replica() Replica {
	if s.Value == nil {
		return Replica{}
	}
	return Replica{Slot: s.Value.Slot, Ballot: s.Accepted}
}
