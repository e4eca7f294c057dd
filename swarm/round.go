package swarm

// Change makes a round's proposal from the newest value that may have been decided. It returns that value itself where
// nothing is to be changed: the round then makes sure that it is decided.
type Change func(newest *Value) *Value

// Round is one ballot of one proposer, from the first Prepare to the decision. It is used once.
type Round struct {
	ballot   Ballot
	change   Change
	known    *Value // decided, or the genesis
	promised map[AcceptorID]bool
	accepted map[AcceptorID]bool
	asked    map[AcceptorID]bool
	highest  Ballot
	newest   *Value
	proposal *Value
	done     bool
	lost     bool
	changed  bool // change was asked for the proposal
	against  Ballot
}

// NewRound starts a round. Known is a value that this proposer knows to be decided, or the genesis.
func NewRound(ballot Ballot, known *Value, change Change) *Round {
	return &Round{ballot: ballot, change: change, known: known, newest: known, promised: map[AcceptorID]bool{},
		accepted: map[AcceptorID]bool{}, asked: map[AcceptorID]bool{}, against: ballot}
}

// Ballot is the round's.
func (r *Round) Ballot() Ballot { return r.ballot }

// Known is the value that the round started from.
func (r *Round) Known() *Value { return r.known }

// Asked tells whether the proposal is what the change made: where it is not, a set of acceptors had to be decided first.
func (r *Round) Asked() bool { return r.changed }

// Ask returns the acceptors that are to be sent a Prepare now and were not before.
func (r *Round) Ask() (to []Member) {
	if r.proposal != nil || r.lost {
		return nil
	}
	for _, m := range r.newest.Voters() {
		if !r.asked[m.ID] {
			r.asked[m.ID] = true
			to = append(to, m)
		}
	}
	return to
}

// Promised takes an acceptor's answer to a Prepare. It returns the acceptors that are to be sent an Accept of Proposal
// now; none while too few have promised. Ask may name further acceptors afterwards.
func (r *Round) Promised(p Promise) (to []Member) {
	if r.proposal != nil || r.lost {
		return nil
	}
	if !p.OK {
		r.refused(p.Promised)
		return nil
	}
	r.promised[p.From] = true
	// The newest is the one with the highest ballot, whatever was heard of before. Where that is of no later turn than one known
	// to be decided, what is known stands: a vote for a later turn at a lower ballot has lost.
	if p.Value != nil && p.Accepted.Compare(r.highest) > 0 {
		r.highest, r.newest = p.Accepted, r.known
		if p.Value.Turn > r.known.Turn {
			r.newest = p.Value
		}
	}
	if !r.enough() {
		return nil
	}
	switch r.proposal = r.newest; {
	case r.newest.Settled():
		r.proposal, r.changed = r.change(r.newest), true
	case r.newest.Same(r.known): // decided: from here on its own acceptors are enough
		r.proposal = r.newest.Settle()
	}
	return r.proposal.Voters()
}

// enough tells whether those who have promised show every value that may have been decided. What follows a value that is
// known to be decided needs a majority of its members, whoever voted before them: a majority of these is enough. Of a value
// that was only found in votes it is not known whether the set before it gave way: majorities of both sets are needed.
func (r *Round) enough() bool {
	has := func(id AcceptorID) bool { return r.promised[id] }
	if r.newest.Same(r.known) {
		return Majority(r.known.Members, has)
	}
	return decides(r.newest, has)
}

// Proposal is what the Accepts carry; nil = not yet known.
func (r *Round) Proposal() *Value { return r.proposal }

// Accepted takes an acceptor's answer to an Accept and tells whether the proposal is now decided.
func (r *Round) Accepted(a Accepted) bool {
	if r.lost || r.proposal == nil {
		return false
	}
	if !a.OK {
		r.refused(a.Promised)
		return false
	}
	r.accepted[a.From] = true
	r.done = r.done || decides(r.proposal, func(id AcceptorID) bool { return r.accepted[id] })
	return r.done
}

// refused ends the round where a higher ballot stands against it. A stranger's refusal, with none, only does not count.
func (r *Round) refused(by Ballot) {
	if !r.done && by.Compare(r.ballot) > 0 {
		r.lost = true
		if by.Compare(r.against) > 0 {
			r.against = by
		}
	}
}

// Lost tells whether a higher ballot ended the round, and which. A later round takes a higher number.
func (r *Round) Lost() (Ballot, bool) { return r.against, r.lost }
