package consensus

// ChangeFunc returns the value to propose, given the newest value that may have been decided. It returns that value itself
// where nothing is to be changed: the proposal then makes sure that it is decided.
type ChangeFunc func(newest *Value) *Value

// Proposal is a proposer's attempt at one ballot, from the first Prepare to the decision. It is used once: a proposer that
// was preempted, or whose messages were lost, starts another with a higher ballot.
//
// The caller sends a Prepare to the acceptors of NextPrepares, hands the replies to HandlePrepareReply, sends an Accept of
// Value to the acceptors that it returns, and hands the replies to HandleAcceptReply.
type Proposal struct {
	ballot Ballot
	change ChangeFunc
	base   *Value // known to be decided, or the genesis value

	prepareSent     map[AcceptorID]bool
	promised        map[AcceptorID]bool
	newest          *Value // that may have been decided, so far
	highestAccepted Ballot // in a prepare reply; none is taken from a lower one

	value         *Value // proposed; nil during phase 1
	changeApplied bool   // value is what change returned
	accepted      map[AcceptorID]bool
	decided       bool

	preempted   bool
	preemptedBy Ballot // the highest known for which ballot was rejected
}

// NewProposal starts a proposal. Base is a value that the proposer knows to be decided, or the genesis value.
func NewProposal(ballot Ballot, base *Value, change ChangeFunc) *Proposal {
	return &Proposal{
		ballot:      ballot,
		change:      change,
		base:        base,
		prepareSent: map[AcceptorID]bool{},
		promised:    map[AcceptorID]bool{},
		newest:      base,
		accepted:    map[AcceptorID]bool{},
		preemptedBy: ballot,
	}
}

// Ballot returns the proposal's ballot.
func (p *Proposal) Ballot() Ballot { return p.ballot }

// Base returns the value that the proposal started from.
func (p *Proposal) Base() *Value { return p.base }

// Value returns the proposed value, which the Accepts carry; nil until enough acceptors have promised the ballot.
func (p *Proposal) Value() *Value { return p.value }

// IncludesChange reports whether the proposed value is what the ChangeFunc returned. Where it is not, a change of the members
// had to be decided first, and the caller starts another proposal after this one.
func (p *Proposal) IncludesChange() bool { return p.changeApplied }

// Preempted reports whether a higher ballot ended the proposal, and which. A later proposal takes a higher number.
func (p *Proposal) Preempted() (Ballot, bool) { return p.preemptedBy, p.preempted }

// NextPrepares returns the acceptors to send a Prepare to now, each once. Replies may make further ones necessary.
func (p *Proposal) NextPrepares() []Member {
	if p.value != nil || p.preempted {
		return nil
	}
	var acceptors []Member
	for _, m := range p.newest.Acceptors() {
		if !p.prepareSent[m.ID] {
			p.prepareSent[m.ID] = true
			acceptors = append(acceptors, m)
		}
	}
	return acceptors
}

// HandlePrepareReply takes an acceptor's reply to a Prepare. It returns the acceptors to send an Accept of Value to now,
// none while too few have promised the ballot. NextPrepares may return further acceptors afterwards.
func (p *Proposal) HandlePrepareReply(reply PrepareReply) []Member {
	if p.value != nil || p.preempted {
		return nil
	}
	if !reply.OK {
		p.handleRejection(reply.Promised)
		return nil
	}
	p.promised[reply.From] = true
	p.learn(reply)
	if !p.hasPrepareQuorum() {
		return nil
	}
	p.chooseValue()
	return p.value.Acceptors()
}

// learn takes the value of a prepare reply as the newest that may have been decided, if it is.
//
// The newest is the one accepted at the highest ballot, whatever was received before. Where that value is of no later slot
// than the base, which is decided, the base stands: a value of a later slot that was accepted at a lower ballot has lost.
func (p *Proposal) learn(reply PrepareReply) {
	if reply.Value == nil || reply.Accepted.Compare(p.highestAccepted) <= 0 {
		return
	}
	p.highestAccepted = reply.Accepted
	if reply.Value.Slot > p.base.Slot {
		p.newest = reply.Value
	} else {
		p.newest = p.base
	}
}

// hasPrepareQuorum reports whether the acceptors that promised the ballot show every value that may have been decided.
//
// A value that follows one known to be decided needs a majority of the known value's members to be decided, whichever others accepted
// the values before: a majority of these members is enough. Of a value that was only found in prepare replies it is not
// known whether its prior members gave way: majorities of both sets are needed.
func (p *Proposal) hasPrepareQuorum() bool {
	promised := func(id AcceptorID) bool { return p.promised[id] }
	if p.newest.Equal(p.base) {
		return HasMajority(p.base.Members, promised)
	}
	return hasQuorum(p.newest, promised)
}

// chooseValue ends phase 1. No value may follow one that is not confirmed: a change of the members that is known to be
// decided is confirmed, by its own members alone; one that is not known to be decided is proposed again as it is.
func (p *Proposal) chooseValue() {
	switch {
	case p.newest.Confirmed():
		p.value = p.change(p.newest)
		p.changeApplied = true
	case p.newest.Equal(p.base):
		p.value = p.newest.Confirm()
	default:
		p.value = p.newest
	}
}

// HandleAcceptReply takes an acceptor's reply to an Accept. It reports whether Value is decided now.
func (p *Proposal) HandleAcceptReply(reply AcceptReply) bool {
	if p.preempted || p.value == nil {
		return false
	}
	if !reply.OK {
		p.handleRejection(reply.Promised)
		return false
	}
	p.accepted[reply.From] = true
	if !p.decided {
		p.decided = hasQuorum(p.value, func(id AcceptorID) bool { return p.accepted[id] })
	}
	return p.decided
}

// handleRejection ends the proposal if an acceptor has promised a higher ballot. The rejection of an acceptor with another disk
// names no such ballot; the acceptor just does not count. A decision can't be undone.
func (p *Proposal) handleRejection(promised Ballot) {
	if p.decided || promised.Compare(p.ballot) <= 0 {
		return
	}
	p.preempted = true
	if promised.Compare(p.preemptedBy) > 0 {
		p.preemptedBy = promised
	}
}
