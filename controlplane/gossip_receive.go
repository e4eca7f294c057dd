package controlplane

import (
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// receive processes a message of a peer and returns the reply. This controller is described as it is after the message: the ballots in the
// description are those of the slot that the reply names.
func (g *gossiper) receive(m *rpc.Gossip) *rpc.GossipReply {
	reply := &rpc.GossipReply{Incarnation: g.self.incarnation, VotedSlot: g.acceptor.acceptedSlot.Load()}
	if m.From != nil {
		if p := g.peers.add(m.From.Address); p != nil {
			g.receiveFrom(p, m, reply)
		}
	}
	reply.From = g.describeSelf()
	return reply
}

// receiveFrom processes a message of a peer and adds what the peer needs to the reply.
func (g *gossiper) receiveFrom(p *peer, m *rpc.Gossip, reply *rpc.GossipReply) {
	now := g.clock.now()
	if p.incarnation != m.Incarnation || now-p.lastSeen > peerLivenessTimeout {
		p.gossipNow() // it has restarted or reconnected: contact requires its reply, and the next regular message would delay that
	}
	g.observePeer(p, m.From, m.Incarnation, consensus.Slot(m.Slot), now)
	g.receiveControllers(p, m.Controllers)
	p.missingBody = p.missingBody || m.MissingBody
	reply.MissingBody = g.learner.learnMessage(m.Value, g.acceptor.acceptedValue.Load())
	g.observeReplica(p, m.From, consensus.Slot(m.Slot))
	g.receiveReports(p, m.Reports, now)
	reply.StoredCursor = g.acknowledgeReports(p, m)
	if isComplete(m) && g.reports.observe(p.id) {
		g.polls.reportsReceived(now)
	}
	reply.UnknownGateway = g.receiveGateways(m.Gateways, now)
	for _, report := range m.Rollouts {
		g.gateways.receiveRollouts(report, now)
	}
	reply.DifferingRanges = g.compareDigests(p, m.RangeDigests)
	if g.learner.confirmed {
		reply.Slot = uint64(g.learner.value.Slot)
		if g.learner.value.Slot > p.slot {
			reply.Value = g.valueFor(p)
		}
	}
}

// isComplete reports whether a message contains all reports of its sender. Earlier releases don't tell.
func isComplete(m *rpc.Gossip) bool { return m.CompleteReports || !m.From.StoresDepartures }

// acknowledgeReports records up to which cursor a message brings the reports of a peer, and to which the peer has stored those of this
// controller. It returns the cursor up to which the peer's departures are on this controller's disk.
func (g *gossiper) acknowledgeReports(p *peer, m *rpc.Gossip) (stored uint64) {
	current := m.ToIncarnation == g.self.incarnation // otherwise the sender doesn't know yet that this controller has restarted
	if current {
		p.observeStored(m.StoredCursor)
		g.heartbeats.completeWaits()
	}
	if current || m.CompleteReports {
		p.receipts.Add(registry.Cursor(m.ReportsCursor), g.table.Cursor())
		p.receipts.Confirm(g.departures.isStored)
	}
	return uint64(p.receipts.Stored())
}

// receiveReply processes the reply to a message.
func (g *gossiper) receiveReply(p *peer, m *rpc.GossipReply, sent outgoingGossip) {
	if m.From == nil {
		return
	}
	now := g.clock.now()
	sameIncarnation := p.incarnation == m.Incarnation || p.incarnation == 0
	g.observePeer(p, m.From, m.Incarnation, consensus.Slot(m.Slot), now)
	if sameIncarnation {
		p.ackedCursor, p.ackedGateways = max(p.ackedCursor, sent.cursor), p.sentGateways
		p.observeStored(m.StoredCursor)
	}
	if m.UnknownGateway {
		p.ackedGateways = 0
	}
	g.receiveValueReply(p, m)
	g.observeReplica(p, m.From, consensus.Slot(m.Slot))
	g.contact.observeReply(p.id, quorum.Reply{Incarnation: m.Incarnation, SentAt: sent.sentAt, Slot: consensus.Slot(max(m.VotedSlot, m.Slot))})
	g.verifier.finish(now)
	for _, index := range m.DifferingRanges {
		if index < registry.DigestRangeCount && !slices.Contains(p.differingRanges, int(index)) {
			p.differingRanges = append(p.differingRanges, int(index))
		}
	}
	g.heartbeats.completeWaits()
}

// receiveControllers records how recently a peer has seen other controllers, and adds those that it has seen recently or that are
// members.
func (g *gossiper) receiveControllers(p *peer, controllers []*rpc.Controller) {
	for _, m := range controllers {
		if m.AgeMs < milliseconds(peerExpiryTimeout) || g.learner.isMemberAddress(m.Address) {
			g.peers.add(m.Address)
		}
		p.lastSeenAges[m.Address] = duration(m.AgeMs)
	}
}

// receiveReports merges servers' reports into the table. If a report takes a server out of service, gateways are notified without
// delay.
func (g *gossiper) receiveReports(p *peer, reports []*rpc.ServerReport, now time.Duration) {
	urgent, before := false, g.table.Cursor()
	for _, m := range reports {
		in := decodeReport(m, now)
		state := registry.Ready
		if known := g.table.Get(in.Instance); known != nil {
			state = known.State
		}
		if g.table.Merge(in, p.address) && in.State > state {
			urgent = true
		}
	}
	if len(g.table.ChangesAfter(before)) > 0 {
		g.updates.request(urgent)
	}
	if urgent {
		g.departures.record()
	}
}

// receiveGateways records the gateways that poll a peer. unknown is true if one of them was identified only by its incarnation and
// isn't in the directory, so that the peer must report it in full.
func (g *gossiper) receiveGateways(gateways []*rpc.Gateway, now time.Duration) (unknown bool) {
	for _, m := range gateways {
		if m.Address == "" && !m.Left && g.gateways.byIncarnation[m.Incarnation] == nil {
			unknown = true
		}
		g.gateways.observe(m, now-duration(m.AgeMs), false)
	}
	return unknown
}

// compareDigests returns the ranges in which a peer's reports differ from this controller's. The next messages in both directions
// carry all reports of these ranges.
func (g *gossiper) compareDigests(p *peer, digests []uint64) (differing []uint32) {
	if len(digests) != registry.DigestRangeCount {
		return nil
	}
	for index, digest := range g.table.Digests() {
		if digest != digests[index] {
			differing = append(differing, uint32(index))
			p.differingRanges = append(p.differingRanges, index)
		}
	}
	return differing
}

// observePeer records that a peer is alive. A peer that has restarted no longer has the state that it acknowledged, and is sent it at
// once.
func (g *gossiper) observePeer(p *peer, from *rpc.Controller, incarnation uint64, slot consensus.Slot, now time.Duration) {
	if p.incarnation != incarnation && p.incarnation != 0 {
		p.forgetReplicas()
		p.gossipNow()
	}
	g.contact.observeIncarnation(consensus.AcceptorID(from.Id), incarnation)
	p.restoresBodies, p.storesDepartures = from.RestoresBodies, from.StoresDepartures
	p.incarnation, p.id, p.controlAddress, p.zone = incarnation, consensus.AcceptorID(from.Id), from.ControlAddress, from.Zone
	p.lastSeen, p.slot = max(now, 1), slot
}

// observeReplica records the replica on a peer's disk, and the ballots at which the slot that the peer knows was decided.
func (g *gossiper) observeReplica(p *peer, from *rpc.Controller, slot consensus.Slot) {
	p.reportsReplica, p.draining = from.StoredBallot != nil, from.Draining
	p.replica = consensus.Replica{Slot: consensus.Slot(from.StoredSlot), Ballot: rpc.BallotFromProto(from.StoredBallot)}
	g.learner.observeBallot(slot, rpc.BallotFromProto(from.LowestDecidedBallot))
	g.learner.observeBallot(slot, rpc.BallotFromProto(from.HighestDecidedBallot))
}

// receiveValueReply learns the value in a reply. If either side lacks a body, the next message is sent immediately.
func (g *gossiper) receiveValueReply(p *peer, m *rpc.GossipReply) {
	p.requestFullValue = g.learner.learnMessage(m.Value, g.acceptor.acceptedValue.Load())
	p.missingBody = p.missingBody || m.MissingBody
	if p.requestFullValue || p.missingBody {
		p.gossipNow()
	}
}
