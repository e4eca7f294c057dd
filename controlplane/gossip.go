package controlplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// redialInterval is how often a hive that refuses connections is tried again.
const redialInterval = 100 * time.Millisecond

// gatewayRefreshInterval is how often a hive names the foragers that ask it to the others: they are lost after four times as long.
const gatewayRefreshInterval = time.Second

func (h *Controller) describeSelf() *rpc.Controller {
	return h.self.describe(h.learner.isMember(h.self.id))
}

// gossipLoop sends pulses to one hive, each after the answer to the one before.
func (h *Controller) gossipLoop(ctx context.Context, p *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
			return
		case <-h.loop.stopped:
			return
		}
		next, ok := query(h.loop, func() outgoingGossip { return h.buildGossip(p, h.clock.now()) })
		if !ok {
			return
		}
		limit, cancel := context.WithTimeout(ctx, peerCallTimeout)
		back, err := p.client.Call(limit, &rpc.Frame{Body: &rpc.Frame_Gossip{Gossip: next.message}})
		cancel()
		if err == rpc.ErrTimeout {
			p.client.Disconnect()
		}
		if err == nil && back.GetGossipReply() != nil {
			h.loop.post(func() { h.receiveGossipReply(p, back.GetGossipReply(), next, h.clock.now()) })
		}
		if err != nil && err != rpc.ErrTimeout { // it may just be starting
			timer.Reset(redialInterval)
		} else {
			timer.Reset(gossipInterval)
		}
	}
}

// outgoingGossip is a pulse, when it was made, and up to which cursor its receiver will have this hive's reports.
type outgoingGossip struct {
	message *rpc.Gossip
	sentAt  time.Duration
	cursor  registry.Cursor
}

// buildGossip makes what one hive is to be told now.
func (h *Controller) buildGossip(p *peer, now time.Duration) outgoingGossip {
	m := &rpc.Gossip{From: h.describeSelfWithReplica(), Incarnation: h.self.incarnation, Slot: uint64(h.learner.value.Slot), MissingBody: p.requestFullValue}
	p.requestFullValue = false
	if !h.learner.confirmed {
		m.Slot = 0
	} else if p.slot < h.learner.value.Slot && p.lastSeen > 0 {
		m.Value = h.valueForPeer(p)
	}
	upTo := h.table.Cursor()
	sent := map[registry.InstanceID]bool{}
	deaf := func(from string) bool { return p.silences[from] > 2*gossipInterval }
	for _, r := range h.table.UpdatesFor(p.ackedCursor, p.address, deaf) {
		sent[r.Instance] = true
		if r.ChangedAfter(p.ackedCursor) {
			m.Reports = append(m.Reports, encodeReport(r, now))
		} else {
			m.Reports = append(m.Reports, &rpc.ServerReport{Instance: string(r.Instance), Sequence: uint64(r.Sequence),
				AgeMs: uint32(max(now-r.HeartbeatAt, 0) / time.Millisecond), Refresh: true,
				HealthCheckAgeMs: uint32(max(now-r.HealthyAt, 0) / time.Millisecond), FencingToken: r.Lease.FencingToken, LeaseHolder: r.Lease.Holder})
		}
	}
	for _, no := range p.differingRanges { // mended from the newer: it takes what is newer than its own
		for _, r := range h.table.Range(no) {
			if !sent[r.Instance] {
				m.Reports = append(m.Reports, encodeReport(r, now))
			}
		}
	}
	p.differingRanges = nil
	refresh := now-p.gatewaysSentAt >= gatewayRefreshInterval
	for _, f := range h.gateways.byIncarnation {
		switch age := uint32((now - f.lastSeen) / time.Millisecond); {
		case !f.direct:
		case f.sequence > p.ackedGateways:
			m.Gateways = append(m.Gateways, &rpc.Gateway{Incarnation: f.incarnation, Address: f.address, Zone: f.zone, AgeMs: age})
		case refresh:
			m.Gateways = append(m.Gateways, &rpc.Gateway{Incarnation: f.incarnation, AgeMs: age})
		}
	}
	if refresh {
		p.gatewaysSentAt = now
	}
	p.sentGateways = h.gateways.sequence
	for _, o := range h.peers.byAddress {
		m.Controllers = append(m.Controllers, &rpc.Controller{Address: o.address, AgeMs: uint32((now - max(o.lastSeen, o.addedAt)) / time.Millisecond)})
	}
	if now-p.digestsSentAt > 2*time.Second {
		p.digestsSentAt = now
		sums := h.table.Digests()
		m.RangeDigests = sums[:]
	}
	return outgoingGossip{m, now, upTo}
}

// receiveGossip takes what another hive tells and answers it.
func (h *Controller) receiveGossip(m *rpc.Gossip, now time.Duration) *rpc.GossipReply {
	back := &rpc.GossipReply{From: h.describeSelfWithReplica(), Incarnation: h.self.incarnation, VotedSlot: h.acceptor.acceptedSlot.Load()}
	from := m.From
	if from == nil || from.Address == h.self.address {
		return back
	}
	p := h.peers.add(from.Address)
	if p == nil {
		return back
	}
	if p.incarnation != m.Incarnation || now-p.lastSeen > peerLivenessTimeout {
		p.gossipNow() // it is there again: contact needs a question to it, for which a time would be waited
	}
	h.observePeer(p, from, m.Incarnation, consensus.Slot(m.Slot), now)
	for _, o := range m.Controllers {
		if o.AgeMs < uint32(peerForgetTimeout/time.Millisecond) || h.learner.isMemberAddress(o.Address) {
			h.peers.add(o.Address)
		}
		p.silences[o.Address] = time.Duration(o.AgeMs) * time.Millisecond
	}
	p.missingBody = p.missingBody || m.MissingBody
	back.MissingBody = h.learner.learnMessage(m.Value, h.acceptor.acceptedValue.Load())
	h.observeReplica(p, from, consensus.Slot(m.Slot))
	urgent, changed := false, h.table.Cursor()
	for _, r := range m.Reports {
		in := decodeReport(r, now)
		was := h.table.Get(in.Instance)
		before := registry.Ready
		if was != nil {
			before = was.State
		}
		if h.table.Merge(in, p.address) && in.State > before {
			urgent = true
		}
	}
	if len(h.table.ChangesAfter(changed)) > 0 {
		h.updates.request(urgent)
	}
	for _, f := range m.Gateways {
		back.UnknownGateway = back.UnknownGateway || f.Address == "" && !f.Left && h.gateways.byIncarnation[f.Incarnation] == nil
		h.gateways.observe(f, now-time.Duration(f.AgeMs)*time.Millisecond, false)
	}
	if len(m.RangeDigests) == registry.RangeCount {
		for no, sum := range h.table.Digests() {
			if sum != m.RangeDigests[no] {
				back.DifferingRanges = append(back.DifferingRanges, uint32(no))
				p.differingRanges = append(p.differingRanges, no)
			}
		}
	}
	if h.learner.confirmed {
		if back.Slot = uint64(h.learner.value.Slot); h.learner.value.Slot > p.slot {
			back.Value = h.valueForPeer(p)
		}
	}
	return back
}

// receiveGossipReply takes the answer to a pulse.
func (h *Controller) receiveGossipReply(p *peer, m *rpc.GossipReply, sent outgoingGossip, now time.Duration) {
	if m.From == nil {
		return
	}
	lived := p.incarnation == m.Incarnation || p.incarnation == 0
	h.observePeer(p, m.From, m.Incarnation, consensus.Slot(m.Slot), now)
	if lived {
		p.ackedCursor, p.ackedGateways = max(p.ackedCursor, sent.cursor), p.sentGateways
	}
	if m.UnknownGateway {
		p.ackedGateways = 0
	}
	h.receiveValueReply(p, m)
	h.observeReplica(p, m.From, consensus.Slot(m.Slot))
	h.contact.observeReply(p.id, quorum.Reply{Incarnation: m.Incarnation, SentAt: sent.sentAt, Slot: consensus.Slot(max(m.VotedSlot, m.Slot))})
	h.verifier.finish(now)
	for _, no := range m.DifferingRanges {
		if no < registry.RangeCount && !slices.Contains(p.differingRanges, int(no)) {
			p.differingRanges = append(p.differingRanges, int(no))
		}
	}
	kept := h.replicationWaits[:0]
	for _, s := range h.replicationWaits {
		if h.peers.replicated(h.learner.value.Members, s.cursor) {
			close(s.done)
		} else {
			kept = append(kept, s)
		}
	}
	h.replicationWaits = kept
}

// observePeer notes that a hive lives. One that began anew has nothing of this hive's.
func (h *Controller) observePeer(p *peer, from *rpc.Controller, life uint64, turn consensus.Slot, now time.Duration) {
	if p.incarnation != life && p.incarnation != 0 {
		p.ackedCursor, p.slot, p.ackedGateways = 0, 0, 0
	}
	h.contact.observeIncarnation(consensus.AcceptorID(from.Id), life)
	p.restoresBodies = from.RestoresBodies
	p.incarnation, p.id, p.controlAddress, p.zone = life, consensus.AcceptorID(from.Id), from.ControlAddress, from.Zone
	p.lastSeen, p.slot = max(now, 1), turn
}
