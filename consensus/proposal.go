package consensus

// ChangeFunc makes a round's proposal from the newest value that may have been decided. It returns that value itself where
// nothing is to be changed: the round then makes sure that it is decided.
type ChangeFunc func(newest *Value) *Value

// Proposal is one ballot of one proposer, from the first Prepare to the decision. It is used once.
type Proposal struct {
	ballot          Ballot
	change          ChangeFunc
	base            *Value // decided, or the genesis
	promised        map[AcceptorID]bool
	accepted        map[AcceptorID]bool
	prepareSent     map[AcceptorID]bool
	highestAccepted Ballot
	newest          *Value
	value           *Value
	decided         bool
	preempted       bool
	changeApplied   bool // change was asked for the proposal
	preemptedBy     Ballot
}

// NewProposal starts a round. Known is a value that this proposer knows to be decided, or the genesis.
func NewProposal(ballot Ballot, known *Value, change ChangeFunc) *Proposal {
	return &Proposal{ballot: ballot, change: change, base: known, newest: known, promised: map[AcceptorID]bool{},
		accepted: map[AcceptorID]bool{}, prepareSent: map[AcceptorID]bool{}, preemptedBy: ballot}
}

// Ballot is the round's.
func (r *Proposal) Ballot() Ballot { return r.ballot }

// Base is the value that the round started from.
func (r *Proposal) Base() *Value { return r.base }

// IncludesChange tells whether the proposal is what the change made: where it is not, a set of acceptors had to be decided first.
func (r *Proposal) IncludesChange() bool { return r.changeApplied }

// NextPrepares returns the acceptors that are to be sent a Prepare now and were not before.
func (r *Proposal) NextPrepares() (to []Member) {
	if r.value != nil || r.preempted {
		return nil
	}
	for _, m := range r.newest.Acceptors() {
		if !r.prepareSent[m.ID] {
			r.prepareSent[m.ID] = true
			to = append(to, m)
		}
	}
	return to
}

// HandlePrepareReply takes an acceptor's answer to a Prepare. It returns the acceptors that are to be sent an Accept of Proposal
// now; none while too few have promised. Ask may name further acceptors afterwards.
func (r *Proposal) HandlePrepareReply(p PrepareReply) (to []Member) {
	if r.value != nil || r.preempted {
		return nil
	}
	if !p.OK {
		r.handleRejection(p.Promised)
		return nil
	}
	r.promised[p.From] = true
	// The newest is the one with the highest ballot, whatever was heard of before. Where that is of no later turn than one known
	// to be decided, what is known stands: a vote for a later turn at a lower ballot has lost.
	if p.Value != nil && p.Accepted.Compare(r.highestAccepted) > 0 {
		r.highestAccepted, r.newest = p.Accepted, r.base
		if p.Value.Slot > r.base.Slot {
			r.newest = p.Value
		}
	}
	if !r.hasPrepareQuorum() {
		return nil
	}
	switch r.value = r.newest; {
	case r.newest.Confirmed():
		r.value, r.changeApplied = r.change(r.newest), true
	case r.newest.Equal(r.base): // decided: from here on its own acceptors are enough
		r.value = r.newest.Confirm()
	}
	return r.value.Acceptors()
}

// hasPrepareQuorum tells whether those who have promised show every value that may have been decided. What follows a value that is
// known to be decided needs a majority of its members, whoever voted before them: a majority of these is enough. Of a value
// that was only found in votes it is not known whether the set before it gave way: majorities of both sets are needed.
func (r *Proposal) hasPrepareQuorum() bool {
	has := func(id AcceptorID) bool { return r.promised[id] }
	if r.newest.Equal(r.base) {
		return HasMajority(r.base.Members, has)
	}
	return hasQuorum(r.newest, has)
}

// Value is what the Accepts carry; nil = not yet known.
func (r *Proposal) Value() *Value { return r.value }

// HandleAcceptReply takes an acceptor's answer to an Accept and tells whether the proposal is now decided.
func (r *Proposal) HandleAcceptReply(a AcceptReply) bool {
	if r.preempted || r.value == nil {
		return false
	}
	if !a.OK {
		r.handleRejection(a.Promised)
		return false
	}
	r.accepted[a.From] = true
	r.decided = r.decided || hasQuorum(r.value, func(id AcceptorID) bool { return r.accepted[id] })
	return r.decided
}

// handleRejection ends the round where a higher ballot stands against it. A stranger's refusal, with none, only does not count.
func (r *Proposal) handleRejection(by Ballot) {
	if !r.decided && by.Compare(r.ballot) > 0 {
		r.preempted = true
		if by.Compare(r.preemptedBy) > 0 {
			r.preemptedBy = by
		}
	}
}

// Preempted tells whether a higher ballot ended the round, and which. A later round takes a higher number.
func (r *Proposal) Preempted() (Ballot, bool) { return r.preemptedBy, r.preempted }
