package consensus

// AcceptorState is what one acceptor keeps on its disk.
type AcceptorState struct {
	ID       AcceptorID
	Promised Ballot // no lower one is voted for
	Accepted Ballot // of the vote last cast
	Value    *Value // voted for; nil = none
}

// Prepare asks for a promise.
type Prepare struct {
	To     AcceptorID
	Ballot Ballot
}

// PrepareReply answers a Prepare. Where OK is false, Promised is what stands against it.
type PrepareReply struct {
	From               AcceptorID
	OK                 bool
	Promised, Accepted Ballot
	Value              *Value
}

// Accept asks for a vote.
type Accept struct {
	To     AcceptorID
	Ballot Ballot
	Value  *Value
}

// AcceptReply answers an Accept.
type AcceptReply struct {
	From     AcceptorID
	OK       bool
	Promised Ballot
}

// HandlePrepare returns the state to be stored and the answer to be told once that is stored. Where the state is unchanged
// nothing need be stored. A wish for another acceptor is one for a disk that is gone: it is refused.
func (s AcceptorState) HandlePrepare(p Prepare) (AcceptorState, PrepareReply) {
	if p.To != s.ID || p.Ballot.Compare(s.Promised) < 0 {
		return s, PrepareReply{From: s.ID, Promised: s.Promised}
	}
	s.Promised = p.Ballot
	return s, PrepareReply{s.ID, true, s.Promised, s.Accepted, s.Value}
}

// HandleAccept returns the state to be stored and the answer to be told once that is stored.
func (s AcceptorState) HandleAccept(a Accept) (AcceptorState, AcceptReply) {
	if a.To != s.ID || a.Value == nil || a.Ballot.Compare(s.Promised) < 0 {
		return s, AcceptReply{From: s.ID, Promised: s.Promised}
	}
	s.Promised, s.Accepted, s.Value = a.Ballot, a.Ballot, a.Value
	return s, AcceptReply{s.ID, true, s.Promised}
}

// DiffersFrom tells whether a state must be stored before the answer that came with it is told.
func (s AcceptorState) DiffersFrom(previous AcceptorState) bool {
	return s.Promised != previous.Promised || s.Accepted != previous.Accepted || s.Value != previous.Value
}
