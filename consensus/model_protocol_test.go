package consensus

import "slices"

// This file contains the messages of the model and how its nodes handle them.

func (m *model) sendPrepares(p *activeProposal) {
	for _, to := range p.proposal.NextPrepares() {
		m.send(func() { m.handlePrepare(m.nodeAt(to.Address), Prepare{To: to.ID, Ballot: p.proposal.Ballot()}, p) })
	}
}

func (m *model) handlePrepare(n *node, prepare Prepare, p *activeProposal) {
	recipient := prepare.To
	if m.injected == replyFromOtherDisk {
		prepare.To = n.state.ID
	}
	next, reply := n.state.HandlePrepare(prepare)
	if m.injected == replyFromOtherDisk {
		reply.From = recipient
	}
	if m.injected == prepareReplyOmitsAccepted && reply.OK {
		reply.Value = nil
		reply.Accepted = Ballot{}
	}
	m.store(n, next)
	m.send(func() { m.handlePrepareReply(p, reply) })
}

func (m *model) handlePrepareReply(p *activeProposal, reply PrepareReply) {
	if !slices.Contains(p.node.proposals, p) {
		return
	}
	if m.injected == lowerBallotWins && reply.OK && reply.Value != nil {
		reply.Accepted.Number = 1 << 40 >> min(reply.Accepted.Number, 39)
	}
	acceptors := p.proposal.HandlePrepareReply(reply)
	if acceptors == nil {
		m.sendPrepares(p)
	}
	if m.injected == prepareTakenAsDecided && acceptors != nil {
		m.recordDecided(p.proposal.Value())
	}
	for _, to := range acceptors {
		accept := Accept{To: to.ID, Ballot: p.proposal.Ballot(), Value: p.proposal.Value()}
		m.send(func() { m.handleAccept(m.nodeAt(to.Address), accept, p) })
	}
	p.recordPreemption()
}

func (m *model) handleAccept(n *node, accept Accept, p *activeProposal) {
	recipient, state := accept.To, n.state
	if m.injected == promiseForgotten {
		state.Promised = Ballot{}
	}
	if m.injected == replyFromOtherDisk {
		accept.To = state.ID
	}
	next, reply := state.HandleAccept(accept)
	if m.injected == replyFromOtherDisk {
		reply.From = recipient
	}
	if reply.OK {
		m.store(n, next)
		if m.injected == historyFromAccepts {
			n.history.Learn(accept.Value)
		}
	}
	m.send(func() { m.handleAcceptReply(p, reply) })
}

func (m *model) handleAcceptReply(p *activeProposal, reply AcceptReply) {
	if !slices.Contains(p.node.proposals, p) {
		return
	}
	if p.proposal.HandleAcceptReply(reply) {
		m.complete(p)
	}
	p.recordPreemption()
}

// complete ends a proposal whose value is decided. Some of the other nodes learn the value.
func (m *model) complete(p *activeProposal) {
	v := p.proposal.Value()
	m.recordDecided(v)
	if v.Slot >= p.node.known.Slot {
		m.learn(p.node, v)
	}
	if p.proposal.IncludesChange() && v.Confirmed() {
		m.acknowledge(p)
	}
	for _, n := range m.nodes {
		if (n == p.node || m.random.IntN(2) == 0) && n.up && v.Slot >= n.known.Slot {
			m.learn(n, v)
		}
	}
	p.node.proposals = slices.DeleteFunc(p.node.proposals, func(o *activeProposal) bool { return o == p })
}

// recordPreemption raises the node's ballot number to that of the ballot that preempted the proposal, if any.
func (p *activeProposal) recordPreemption() {
	if by, preempted := p.proposal.Preempted(); preempted {
		p.node.number = max(p.node.number, by.Number)
	}
}
