package controlplane

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

const (
	gossipInterval         = 400 * time.Millisecond // between messages to a peer
	redialInterval         = 100 * time.Millisecond // between attempts to connect to a peer that refuses connections
	gatewayRefreshInterval = time.Second            // between reports of all gateways; a quarter of gatewayTimeout
	digestInterval         = 2 * time.Second        // between comparisons of server reports by digests
)

// gossiper exchanges updates with each peer: the newest value, servers' reports, gateways, and which controllers are alive. The
// gossip loops run on their own goroutines, all other methods on the event loop.
type gossiper struct {
	gossipDependencies
	loops sync.WaitGroup
}

// gossipDependencies are the components and settings that a gossiper uses.
type gossipDependencies struct {
	self       identity
	loop       *eventLoop
	clock      *monotonicClock
	table      *registry.Table
	acceptor   *acceptorEndpoint
	learner    *learner
	contact    *contactMonitor
	verifier   *contactVerifier
	peers      *peerSet
	gateways   *gatewayDirectory
	polls      *pollService
	reports    *reportSync
	membership *membershipManager
	heartbeats *heartbeatService
	departures *departureLog
	updates    *updateSchedule
	rollouts   *rolloutManager
}

func newGossiper(d gossipDependencies) *gossiper { return &gossiper{gossipDependencies: d} }

// outgoingGossip is a message, the time at which it was built, and the cursor up to which the receiver has this controller's reports
// once it has processed the message.
type outgoingGossip struct {
	message *rpc.Gossip
	sentAt  time.Duration
	cursor  registry.Cursor
}

// start starts the gossip loop for a peer. It runs until the context is canceled or the event loop stops.
func (g *gossiper) start(ctx context.Context, p *peer) {
	g.loops.Go(func() { g.run(ctx, p) })
}

// run sends messages to a peer, each one only after the previous one was answered or failed.
func (g *gossiper) run(ctx context.Context, p *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
			return
		case <-g.loop.stopped:
			return
		}
		sent, ok := query(g.loop, func() outgoingGossip { return g.build(p) })
		if !ok {
			return
		}
		pause := g.send(ctx, p, sent)
		if reports := len(sent.message.Rollouts); reports > 0 {
			pause = min(pause, max(rolloutInterval, time.Duration(reports)*rolloutGossipPerGateway))
		}
		timer.Reset(pause)
	}
}

// send sends one message and returns the delay before the next one.
func (g *gossiper) send(ctx context.Context, p *peer, sent outgoingGossip) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := p.client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Gossip{Gossip: sent.message}})
	switch {
	case errors.Is(err, rpc.ErrTimeout):
		p.client.Disconnect()
	case err != nil:
		return redialInterval // the peer may be starting
	case reply.GetGossipReply() != nil:
		g.loop.post(func() { g.receiveReply(p, reply.GetGossipReply(), sent) })
	}
	return gossipInterval
}

// describeSelf returns this controller's description for its peers: the replica on its disk, and the lowest and highest ballot at
// which the newest value is known to be decided.
func (g *gossiper) describeSelf() *rpc.Controller {
	m := g.self.describe(g.learner.isMember(g.self.id))
	m.StoredSlot, m.StoredBallot = uint64(g.acceptor.replica.Slot), rpc.BallotToProto(g.acceptor.replica.Ballot)
	m.Draining = g.membership.draining
	if g.learner.confirmed {
		decision := g.learner.decision
		m.LowestDecidedBallot = rpc.BallotToProto(decision.First)
		if decision.Last != decision.First {
			m.HighestDecidedBallot = rpc.BallotToProto(decision.Last)
		}
	}
	return m
}

// build builds the next message to a peer.
func (g *gossiper) build(p *peer) outgoingGossip {
	now := g.clock.now()
	m := &rpc.Gossip{From: g.describeSelf(), Incarnation: g.self.incarnation, MissingBody: p.requestFullValue}
	p.requestFullValue = false
	if g.learner.confirmed {
		m.Slot = uint64(g.learner.value.Slot)
		if p.slot < g.learner.value.Slot && p.lastSeen > 0 {
			m.Value = g.valueFor(p)
		}
	}
	m.Rollouts = g.rollouts.gatewayReports(now)
	cursor := g.table.Cursor()
	m.ReportsCursor = uint64(cursor)
	m.StoredCursor, m.ToIncarnation = uint64(p.receipts.Stored()), p.incarnation
	m.CompleteReports = p.ackedCursor == 0
	g.addReports(m, p, now)
	g.addGateways(m, p, now)
	for _, other := range g.peers.byAddress {
		m.Controllers = append(m.Controllers, &rpc.Controller{Address: other.address, AgeMs: milliseconds(other.lastSeenAge(now))})
	}
	if now-p.digestsSentAt > digestInterval {
		p.digestsSentAt = now
		digests := g.table.Digests()
		m.RangeDigests = digests[:]
	}
	return outgoingGossip{m, now, cursor}
}

// addReports adds the server reports that the peer doesn't have yet, and all reports of the ranges in which the digests differ; each
// side merges those that are newer than its own.
func (g *gossiper) addReports(m *rpc.Gossip, p *peer, now time.Duration) {
	sent := map[registry.InstanceID]bool{}
	unreachable := func(from string) bool { return p.lastSeenAges[from] > 2*gossipInterval }
	for _, r := range g.table.UpdatesFor(p.ackedCursor, p.address, unreachable) {
		sent[r.Instance] = true
		if r.ChangedAfter(p.ackedCursor) {
			m.Reports = append(m.Reports, encodeReport(r, now))
		} else {
			m.Reports = append(m.Reports, encodeRefresh(r, now))
		}
	}
	for _, index := range p.differingRanges {
		for _, r := range g.table.RecordsInRange(index) {
			if !sent[r.Instance] {
				m.Reports = append(m.Reports, encodeReport(r, now))
			}
		}
	}
	p.differingRanges = nil
}

// addGateways adds the gateways that poll this controller: in full if the peer doesn't have them yet, and every
// gatewayRefreshInterval the others by their incarnation only.
func (g *gossiper) addGateways(m *rpc.Gossip, p *peer, now time.Duration) {
	refresh := now-p.gatewaysSentAt >= gatewayRefreshInterval
	for _, gateway := range g.gateways.byIncarnation {
		age := milliseconds(now - gateway.lastSeen)
		switch {
		case !gateway.direct:
		case gateway.sequence > p.ackedGateways:
			m.Gateways = append(m.Gateways, &rpc.Gateway{Incarnation: gateway.incarnation, Address: gateway.address, Zone: gateway.zone, AgeMs: age})
		case refresh:
			m.Gateways = append(m.Gateways, &rpc.Gateway{Incarnation: gateway.incarnation, AgeMs: age})
		}
	}
	if refresh {
		p.gatewaysSentAt = now
	}
	p.sentGateways = g.gateways.sequence
}

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

// confirmStored tells the peers which of their departures have been stored since the last message to them.
func (g *gossiper) confirmStored() {
	for _, p := range g.peers.byAddress {
		if p.receipts.Confirm(g.departures.isStored) {
			p.gossipNow()
		}
	}
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

// valueFor returns the newest value for a peer that doesn't know that it is decided. Most of these peers have accepted the value, so
// bodies are omitted unless the peer can't restore them or has reported that one is missing.
func (g *gossiper) valueFor(p *peer) *rpc.Value {
	v := g.learner.value
	if p.restoresBodies && !p.missingBody {
		return rpc.ValueToProto(v, rpc.BodyDigests(v)...)
	}
	p.missingBody = false
	return rpc.ValueToProto(v)
}

// receiveValueReply learns the value in a reply. If either side lacks a body, the next message is sent immediately.
func (g *gossiper) receiveValueReply(p *peer, m *rpc.GossipReply) {
	p.requestFullValue = g.learner.learnMessage(m.Value, g.acceptor.acceptedValue.Load())
	p.missingBody = p.missingBody || m.MissingBody
	if p.requestFullValue || p.missingBody {
		p.gossipNow()
	}
}
