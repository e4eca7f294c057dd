package consensus

// AcceptorState is the state that an acceptor stores on its disk. Its methods return new states and never modify the
// receiver.
//
// Promised never decreases and is never below Accepted: an acceptor that promised a ballot accepts nothing at a lower one.
// The prepare replies of a majority are conclusive because of this.
type AcceptorState struct {
	ID       AcceptorID
	Promised Ballot // highest promised ballot; nothing is accepted at a lower one
	Accepted Ballot // ballot at which Value was accepted
	Value    *Value // value accepted last; nil = none

	// Decided is the ballot at which the acceptor had accepted a value when it learned that this value is decided. It
	// applies to Value only while it equals Accepted: accepting a later value does not reset it.
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
	OK       bool   // the acceptor promised the ballot
	Promised Ballot // the acceptor's highest promised ballot; if OK is false, the promise because of which it rejected the Prepare
	Accepted Ballot // ballot at which Value was accepted
	Value    *Value // value accepted last; nil = none
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
	OK       bool   // the acceptor accepted the value
	Promised Ballot // as in PrepareReply
}

// HandlePrepare returns the state to store and the reply to send once that state is stored. A Prepare for a different
// acceptor, one whose disk was replaced by this one, is rejected: this disk does not record what the other disk promised.
func (s AcceptorState) HandlePrepare(p Prepare) (AcceptorState, PrepareReply) {
	if p.To != s.ID || p.Ballot.Compare(s.Promised) < 0 {
		return s, PrepareReply{From: s.ID, Promised: s.Promised}
	}
	s.Promised = p.Ballot
	return s, PrepareReply{From: s.ID, OK: true, Promised: s.Promised, Accepted: s.Accepted, Value: s.Value}
}

// HandleAccept returns the state to store and the reply to send once that state is stored. It rejects an Accept for the same
// reasons as HandlePrepare, and one without a value.
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
// The state changes only if the acceptor has accepted this value and the value is not confirmed. After a restart the
// acceptor then knows that the value is decided, so that a majority of the value's members is enough to decide the next one,
// even if the prior members can no longer be reached. A confirmed value needs no such record, as its members equal its prior
// members.
func (s AcceptorState) WithDecision(d Decision) AcceptorState {
	if s.Value == nil || s.Value.Slot != d.Value.Slot || s.Value.Confirmed() || !d.ReplicatedBy(s.Replica()) {
		return s
	}
	s.Decided = s.Accepted
	return s
}

// RecordsDecision reports whether the state records that Value is decided.
func (s AcceptorState) RecordsDecision() bool {
	return s.Value != nil && s.Decided == s.Accepted && s.Accepted != (Ballot{})
}

// DiffersFrom reports whether the state differs from a previous one and must be stored before the reply returned with it is
// sent.
func (s AcceptorState) DiffersFrom(previous AcceptorState) bool {
	return s.Promised != previous.Promised || s.Accepted != previous.Accepted || s.Value != previous.Value ||
		s.Decided != previous.Decided
}

// Replica returns the slot and the ballot of the accepted value; the zero Replica if there is none.
func (s AcceptorState) Replica() Replica {
	if s.Value == nil {
		return Replica{}
	}
	return Replica{Slot: s.Value.Slot, Ballot: s.Accepted}
}
