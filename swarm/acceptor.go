package swarm

// State is what one acceptor keeps on its disk.
type State struct {
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

// Promise answers a Prepare. Where OK is false, Promised is what stands against it.
type Promise struct {
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

// Accepted answers an Accept.
type Accepted struct {
	From     AcceptorID
	OK       bool
	Promised Ballot
}

// Prepare returns the state to be stored and the answer to be told once that is stored. Where the state is unchanged
// nothing need be stored. A wish for another acceptor is one for a disk that is gone: it is refused.
func (s State) Prepare(p Prepare) (State, Promise) {
	if p.To != s.ID || p.Ballot.Compare(s.Promised) < 0 {
		return s, Promise{From: s.ID, Promised: s.Promised}
	}
	s.Promised = p.Ballot
	return s, Promise{s.ID, true, s.Promised, s.Accepted, s.Value}
}

// Accept returns the state to be stored and the answer to be told once that is stored.
func (s State) Accept(a Accept) (State, Accepted) {
	if a.To != s.ID || a.Value == nil || a.Ballot.Compare(s.Promised) < 0 {
		return s, Accepted{From: s.ID, Promised: s.Promised}
	}
	s.Promised, s.Accepted, s.Value = a.Ballot, a.Ballot, a.Value
	return s, Accepted{s.ID, true, s.Promised}
}

// Changed tells whether a state must be stored before the answer that came with it is told.
func (s State) Changed(from State) bool {
	return s.Promised != from.Promised || s.Accepted != from.Accepted || s.Value != from.Value
}
