package controlplane

import (
	"context"
	"errors"
	"sync"
	"time"

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

// confirmStored tells the peers which of their departures have been stored since the last message to them.
func (g *gossiper) confirmStored() {
	for _, p := range g.peers.byAddress {
		if p.receipts.Confirm(g.departures.isStored) {
			p.gossipNow()
		}
	}
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
