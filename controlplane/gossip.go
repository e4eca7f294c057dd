package controlplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/dance"
	"oxbowspan/quorum"
	"oxbowspan/registry"
)

// peer is another hive. Its fields are the owner's, save those that are set when it is made.
type peer struct {
	address string
	caller  *dance.Caller
	wake    chan struct{}
	cancel  context.CancelFunc

	id               consensus.AcceptorID
	control          string
	zone             string
	incarnation      uint64                   // of its process
	addedAt          time.Duration            // when this hive first tried to reach it
	lastSeen         time.Duration            // 0 = never
	listed           bool                     // among those that foragers are told of
	slot             consensus.Slot           // that it knows
	ackedCursor      registry.Cursor          // up to which it has this hive's reports
	ackedGateways    uint64                   // up to which number it has the foragers that ask this hive,
	sentGateways     uint64                   // and up to which the pulse on its way names them whole
	gatewaysSentAt   time.Duration            // when all of them were last named
	differingRanges  []int                    // ranges of reports in which it differs
	digestsSentAt    time.Duration            // when digests were last sent
	restoresBodies   bool                     // the bodies that a told value leaves out
	missingBody      bool                     // a body of the value that it was told: it is told whole
	requestFullValue bool                     // this hive lacks one of the value that the peer told, and asks for all of it
	replica          consensus.Replica        // what its disk holds,
	reportsReplica   bool                     // where it tells that
	draining         bool                     // it was told to end
	silences         map[string]time.Duration // how long it has not heard others, by address, as it last told
}

// redialInterval is how often a hive that refuses connections is tried again.
const redialInterval = 100 * time.Millisecond

// gatewayRefreshInterval is how often a hive names the foragers that ask it to the others: they are lost after four times as long.
const gatewayRefreshInterval = time.Second

func (p *peer) close() {
	p.cancel()
	p.caller.Close()
}

func (p *peer) describe(now time.Duration, voter bool) *dance.Hive {
	return &dance.Hive{Id: uint64(p.id), Address: p.address, Control: p.control, Zone: p.zone, Voter: voter,
		SilentMs: uint32((now - max(p.lastSeen, p.addedAt)) / time.Millisecond)}
}

func (h *Controller) describeSelf() *dance.Hive {
	return &dance.Hive{Id: uint64(h.self), Address: h.address, Control: h.settings.Listen.Control, Zone: h.settings.Zone,
		Voter: consensus.Contains(h.known.Members, h.self), PutsIn: true}
}

// addPeer makes a hive known.
func (h *Controller) addPeer(address string) *peer {
	if address == h.address || address == "" {
		return nil
	}
	if p := h.peers[address]; p != nil {
		return p
	}
	ctx, quit := context.WithCancel(context.Background())
	p := &peer{address: address, caller: &dance.Caller{Address: address, Net: h.network}, wake: make(chan struct{}, 1), cancel: quit, addedAt: h.now(),
		silences: map[string]time.Duration{}}
	h.peers[address] = p
	h.wg.Go(func() { h.gossipLoop(ctx, p) })
	return p
}

// gossipNow has what changed told to all hives now.
func (h *Controller) gossipNow() {
	for _, p := range h.peers {
		p.gossipNow()
	}
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
		case <-h.stopped:
			return
		}
		next, ok := inquire(h, func() outgoingGossip { return h.buildGossip(p, h.now()) })
		if !ok {
			return
		}
		limit, cancel := context.WithTimeout(ctx, peerCallTimeout)
		back, err := p.caller.Call(limit, &dance.Frame{Body: &dance.Frame_Pulse{Pulse: next.message}})
		cancel()
		if err == dance.ErrSilent {
			p.caller.Drop()
		}
		if err == nil && back.GetPulseBack() != nil {
			h.do(func() { h.receiveGossipReply(p, back.GetPulseBack(), next, h.now()) })
		}
		if err != nil && err != dance.ErrSilent { // it may just be starting
			timer.Reset(redialInterval)
		} else {
			timer.Reset(gossipInterval)
		}
	}
}

// outgoingGossip is a pulse, when it was made, and up to which cursor its receiver will have this hive's reports.
type outgoingGossip struct {
	message *dance.Pulse
	sentAt  time.Duration
	cursor  registry.Cursor
}

// buildGossip makes what one hive is to be told now.
func (h *Controller) buildGossip(p *peer, now time.Duration) outgoingGossip {
	m := &dance.Pulse{From: h.describeSelfWithReplica(), Life: h.incarnation, Turn: uint64(h.known.Slot), LacksBody: p.requestFullValue}
	p.requestFullValue = false
	if !h.confirmed {
		m.Turn = 0
	} else if p.slot < h.known.Slot && p.lastSeen > 0 {
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
			m.Reports = append(m.Reports, &dance.Report{Instance: string(r.Instance), Sequence: uint64(r.Sequence),
				AgeMs: uint32(max(now-r.HeartbeatAt, 0) / time.Millisecond), Refresh: true,
				WitnessAgeMs: uint32(max(now-r.HealthyAt, 0) / time.Millisecond), Fence: r.Lease.FencingToken, Holder: r.Lease.Holder})
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
	for _, f := range h.gateways {
		switch age := uint32((now - f.lastSeen) / time.Millisecond); {
		case !f.direct:
		case f.sequence > p.ackedGateways:
			m.Foragers = append(m.Foragers, &dance.Forager{Life: f.incarnation, Address: f.address, Zone: f.zone, AgeMs: age})
		case refresh:
			m.Foragers = append(m.Foragers, &dance.Forager{Life: f.incarnation, AgeMs: age})
		}
	}
	if refresh {
		p.gatewaysSentAt = now
	}
	p.sentGateways = h.gatewaySequence
	for _, o := range h.peers {
		m.Hives = append(m.Hives, &dance.Hive{Address: o.address, SilentMs: uint32((now - max(o.lastSeen, o.addedAt)) / time.Millisecond)})
	}
	if now-p.digestsSentAt > 2*time.Second {
		p.digestsSentAt = now
		sums := h.table.Digests()
		m.Digests = sums[:]
	}
	return outgoingGossip{m, now, upTo}
}

// receiveGossip takes what another hive tells and answers it.
func (h *Controller) receiveGossip(m *dance.Pulse, now time.Duration) *dance.PulseBack {
	back := &dance.PulseBack{From: h.describeSelfWithReplica(), Life: h.incarnation, Voted: h.acceptedSlot.Load()}
	from := m.From
	if from == nil || from.Address == h.address {
		return back
	}
	p := h.addPeer(from.Address)
	if p == nil {
		return back
	}
	if p.incarnation != m.Life || now-p.lastSeen > peerLivenessTimeout {
		p.gossipNow() // it is there again: contact needs a question to it, for which a time would be waited
	}
	h.observePeer(p, from, m.Life, consensus.Slot(m.Turn), now)
	for _, o := range m.Hives {
		if o.SilentMs < uint32(peerForgetTimeout/time.Millisecond) || h.isMemberAddress(o.Address) {
			h.addPeer(o.Address)
		}
		p.silences[o.Address] = time.Duration(o.SilentMs) * time.Millisecond
	}
	p.missingBody = p.missingBody || m.LacksBody
	back.LacksBody = h.receiveValue(m.Value)
	h.observeReplica(p, from, consensus.Slot(m.Turn))
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
		h.scheduleUpdate(urgent)
	}
	for _, f := range m.Foragers {
		back.Unknown = back.Unknown || f.Address == "" && !f.Left && h.gateways[f.Life] == nil
		h.observeGateway(f, now-time.Duration(f.AgeMs)*time.Millisecond, false)
	}
	if len(m.Digests) == registry.RangeCount {
		for no, sum := range h.table.Digests() {
			if sum != m.Digests[no] {
				back.Differ = append(back.Differ, uint32(no))
				p.differingRanges = append(p.differingRanges, no)
			}
		}
	}
	if h.confirmed {
		if back.Turn = uint64(h.known.Slot); h.known.Slot > p.slot {
			back.Value = h.valueForPeer(p)
		}
	}
	return back
}

// receiveGossipReply takes the answer to a pulse.
func (h *Controller) receiveGossipReply(p *peer, m *dance.PulseBack, sent outgoingGossip, now time.Duration) {
	if m.From == nil {
		return
	}
	lived := p.incarnation == m.Life || p.incarnation == 0
	h.observePeer(p, m.From, m.Life, consensus.Slot(m.Turn), now)
	if lived {
		p.ackedCursor, p.ackedGateways = max(p.ackedCursor, sent.cursor), p.sentGateways
	}
	if m.Unknown {
		p.ackedGateways = 0
	}
	h.receiveValueReply(p, m)
	h.observeReplica(p, m.From, consensus.Slot(m.Turn))
	h.contact.Answered(p.id, quorum.Answer{Life: m.Life, SentAt: sent.sentAt, Turn: consensus.Slot(max(m.Voted, m.Turn))}, h.known.Slot)
	h.finishVerifications(now)
	for _, no := range m.Differ {
		if no < registry.RangeCount && !slices.Contains(p.differingRanges, int(no)) {
			p.differingRanges = append(p.differingRanges, int(no))
		}
	}
	kept := h.replicationWaits[:0]
	for _, s := range h.replicationWaits {
		if h.replicatedToMajority(s.cursor) {
			close(s.done)
		} else {
			kept = append(kept, s)
		}
	}
	h.replicationWaits = kept
}

// replicatedToMajority tells whether a majority of the acceptors' machines hold the reports up to a cursor.
func (h *Controller) replicatedToMajority(cursor registry.Cursor) bool {
	return consensus.HasMajority(h.known.Members, func(id consensus.AcceptorID) bool {
		if id == h.self {
			return true
		}
		for _, p := range h.peers {
			if p.id == id && p.ackedCursor >= cursor {
				return true
			}
		}
		return false
	})
}

// observePeer notes that a hive lives. One that began anew has nothing of this hive's.
func (h *Controller) observePeer(p *peer, from *dance.Hive, life uint64, turn consensus.Slot, now time.Duration) {
	if p.incarnation != life && p.incarnation != 0 {
		p.ackedCursor, p.slot, p.ackedGateways = 0, 0, 0
	}
	h.contact.Began(consensus.AcceptorID(from.Id), life)
	p.restoresBodies = from.PutsIn
	p.incarnation, p.id, p.control, p.zone = life, consensus.AcceptorID(from.Id), from.Control, from.Zone
	p.lastSeen, p.slot = max(now, 1), turn
}

// isMemberAddress tells whether an acceptor votes at an address; seed, whether the settings name it.
func (h *Controller) isMemberAddress(address string) bool {
	return slices.ContainsFunc(h.known.Members, func(m consensus.Member) bool { return m.Address == address })
}

func (h *Controller) isSeed(address string) bool {
	return slices.Contains(h.settings.SeedHives(), address)
}
