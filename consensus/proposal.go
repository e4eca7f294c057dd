package consensus

// ChangeFunc returns the value to propose, given the newest value that may have been decided. If there is nothing to change,
// it returns that same value, and the proposal ensures that it is decided.
type ChangeFunc func(newest *Value) *Value

// Proposal is a proposer's attempt at one ballot, from the first Prepare to the decision. It is used only once: a proposer
// that was preempted, or whose messages were lost, starts another Proposal with a higher ballot.
//
// The caller sends a Prepare to the acceptors that NextPrepares returns, passes the replies to HandlePrepareReply, sends an
// Accept of Value to the acceptors that HandlePrepareReply returns, and passes the replies to HandleAcceptReply.
type Proposal struct {
	ballot Ballot
	change ChangeFunc
	base   *Value // known to be decided, or the genesis value

	prepareSent     map[AcceptorID]bool
	promised        map[AcceptorID]bool
	newest          *Value // newest value that may have been decided, by the replies so far
	highestAccepted Ballot // highest Accepted of the prepare replies; values accepted at lower ballots are ignored

	value         *Value // proposed value; nil during phase 1
	changeApplied bool   // value was returned by change
	accepted      map[AcceptorID]bool
	decided       bool

	preempted   bool
	preemptedBy Ballot // highest promised ballot that caused a rejection
}

// NewProposal returns a proposal at the given ballot. The base is a value that the proposer knows to be decided, or the
// genesis value.
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

// Value returns the proposed value, to be sent in Accepts; nil until enough acceptors have promised the ballot.
func (p *Proposal) Value() *Value { return p.value }

// IncludesChange reports whether the proposed value was returned by the ChangeFunc. If it was not, a membership change must
// be decided first, and the caller starts another proposal after this one.
func (p *Proposal) IncludesChange() bool { return p.changeApplied }

// Preempted returns the higher ballot that ended the proposal, if there was one. A later proposal must use a higher number.
func (p *Proposal) Preempted() (Ballot, bool) { return p.preemptedBy, p.preempted }

// NextPrepares returns the acceptors to which a Prepare must be sent now. It returns each acceptor only once. Replies may
// add acceptors to later results.
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

// HandlePrepareReply processes an acceptor's reply to a Prepare. It returns the acceptors to which an Accept of Value must
// be sent now, or none while too few acceptors have promised the ballot. In that case NextPrepares may return further
// acceptors.
func (p *Proposal) HandlePrepareReply(reply PrepareReply) []Member {
	if p.value != nil || p.preempted {
		return nil
	}
	if !reply.OK {
		p.handleRejection(reply.Promised)
		return nil
	}
	p.promised[reply.From] = true
	p.updateNewest(reply)
	if !p.hasPrepareQuorum() {
		return nil
	}
	p.chooseValue()
	return p.value.Acceptors()
}

// updateNewest sets newest from the value of a prepare reply if that value was accepted at a higher ballot than those of
// earlier replies.
//
// The newest value that may have been decided is the one accepted at the highest ballot, regardless of the order of the
// replies. If its slot is not above that of the base, which is decided, newest is reset to the base: a value of a later slot
// that was accepted at a lower ballot was not decided and can no longer be.
func (p *Proposal) updateNewest(reply PrepareReply) {
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

// hasPrepareQuorum reports whether the acceptors that promised the ballot are enough to reveal every value that may have
// been decided.
//
// A successor of the base, which is known to be decided, can only be decided with a majority of the base's members, no
// matter which acceptors accepted the values before it. So promises from a majority of these members suffice. For a value
// that is known only from prepare replies, it is not known whether its members have taken over from its prior members.
// Majorities of both sets are needed.
func (p *Proposal) hasPrepareQuorum() bool {
	promised := func(id AcceptorID) bool { return p.promised[id] }
	if p.newest.Equal(p.base) {
		return HasMajority(p.base.Members, promised)
	}
	return hasQuorum(p.newest, promised)
}

// chooseValue ends phase 1 by setting the proposed value. An unconfirmed value must not be succeeded by a change: if the
// newest value is a membership change that is known to be decided, the proposal confirms it, for which a majority of its own
// members suffices; if it is not known to be decided, the proposal proposes it again unchanged.
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

// HandleAcceptReply processes an acceptor's reply to an Accept and reports whether Value is now decided.
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

// handleRejection ends the proposal if an acceptor has promised a higher ballot. A rejection because the acceptor has a
// different disk need not report a higher ballot; then the acceptor is just not counted. A proposal that is already decided
// is not ended, as a decision is permanent.
func (p *Proposal) handleRejection(promised Ballot) {
	if p.decided || promised.Compare(p.ballot) <= 0 {
		return
	}
	p.preempted = true
	if promised.Compare(p.preemptedBy) > 0 {
		p.preemptedBy = promised
	}
}
