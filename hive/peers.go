package hive

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
	call    *dance.Caller
	kick    chan struct{}
	quit    context.CancelFunc

	id        consensus.AcceptorID
	control   string
	zone      string
	life      uint64                   // of its process
	metAt     time.Duration            // when this hive first tried to reach it
	heardAt   time.Duration            // 0 = never
	listed    bool                     // among those that foragers are told of
	turn      consensus.Slot           // that it knows
	has       registry.Cursor          // up to which it has this hive's reports
	crowd     uint64                   // up to which number it has the foragers that ask this hive,
	told      uint64                   // and up to which the pulse on its way names them whole
	crowdAt   time.Duration            // when all of them were last named
	differ    []int                    // ranges of reports in which it differs
	digests   time.Duration            // when digests were last sent
	putsIn    bool                     // the bodies that a told value leaves out
	lacks     bool                     // a body of the value that it was told: it is told whole
	asks      bool                     // this hive lacks one of the value that the peer told, and asks for all of it
	copy      consensus.Replica        // what its disk holds,
	tellsCopy bool                     // where it tells that
	leaving   bool                     // it was told to end
	silent    map[string]time.Duration // how long it has not heard others, by address, as it last told
}

// redialEvery is how often a hive that refuses connections is tried again.
const redialEvery = 100 * time.Millisecond

// crowdEvery is how often a hive names the foragers that ask it to the others: they are lost after four times as long.
const crowdEvery = time.Second

func (p *peer) end() {
	p.quit()
	p.call.Close()
}

func (p *peer) tells(now time.Duration, voter bool) *dance.Hive {
	return &dance.Hive{Id: uint64(p.id), Address: p.address, Control: p.control, Zone: p.zone, Voter: voter,
		SilentMs: uint32((now - max(p.heardAt, p.metAt)) / time.Millisecond)}
}

func (h *Hive) me() *dance.Hive {
	return &dance.Hive{Id: uint64(h.self), Address: h.address, Control: h.set.Listen.Control, Zone: h.set.Zone,
		Voter: consensus.Contains(h.known.Members, h.self), PutsIn: true}
}

// meet makes a hive known.
func (h *Hive) meet(address string) *peer {
	if address == h.address || address == "" {
		return nil
	}
	if p := h.peers[address]; p != nil {
		return p
	}
	ctx, quit := context.WithCancel(context.Background())
	p := &peer{address: address, call: &dance.Caller{Address: address, Net: h.net}, kick: make(chan struct{}, 1), quit: quit, metAt: h.now(),
		silent: map[string]time.Duration{}}
	h.peers[address] = p
	h.wg.Go(func() { h.talk(ctx, p) })
	return p
}

// hurry has what changed told to all hives now.
func (h *Hive) hurry() {
	for _, p := range h.peers {
		p.hurry()
	}
}

// talk sends pulses to one hive, each after the answer to the one before.
func (h *Hive) talk(ctx context.Context, p *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.kick:
		case <-ctx.Done():
			return
		case <-h.stopped:
			return
		}
		next, ok := inquire(h, func() outgoingPulse { return h.pulse(p, h.now()) })
		if !ok {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callLimit)
		back, err := p.call.Call(limit, &dance.Frame{Body: &dance.Frame_Pulse{Pulse: next.message}})
		cancel()
		if err == dance.ErrSilent {
			p.call.Drop()
		}
		if err == nil && back.GetPulseBack() != nil {
			h.do(func() { h.pulsedBack(p, back.GetPulseBack(), next, h.now()) })
		}
		if err != nil && err != dance.ErrSilent { // it may just be starting
			timer.Reset(redialEvery)
		} else {
			timer.Reset(pulseEvery)
		}
	}
}

// outgoingPulse is a pulse, when it was made, and up to which cursor its receiver will have this hive's reports.
type outgoingPulse struct {
	message *dance.Pulse
	sentAt  time.Duration
	upTo    registry.Cursor
}

// pulse makes what one hive is to be told now.
func (h *Hive) pulse(p *peer, now time.Duration) outgoingPulse {
	m := &dance.Pulse{From: h.meWithCopy(), Life: h.life, Turn: uint64(h.known.Slot), LacksBody: p.asks}
	p.asks = false
	if !h.confirmed {
		m.Turn = 0
	} else if p.turn < h.known.Slot && p.heardAt > 0 {
		m.Value = h.tellValue(p)
	}
	upTo := h.table.Cursor()
	sent := map[registry.InstanceID]bool{}
	deaf := func(from string) bool { return p.silent[from] > 2*pulseEvery }
	for _, r := range h.table.UpdatesFor(p.has, p.address, deaf) {
		sent[r.Instance] = true
		if r.ChangedAfter(p.has) {
			m.Reports = append(m.Reports, fromReport(r, now))
		} else {
			m.Reports = append(m.Reports, &dance.Report{Instance: string(r.Instance), Sequence: uint64(r.Sequence),
				AgeMs: uint32(max(now-r.HeartbeatAt, 0) / time.Millisecond), Refresh: true,
				WitnessAgeMs: uint32(max(now-r.HealthyAt, 0) / time.Millisecond), Fence: r.Lease.FencingToken, Holder: r.Lease.Holder})
		}
	}
	for _, no := range p.differ { // mended from the newer: it takes what is newer than its own
		for _, r := range h.table.Range(no) {
			if !sent[r.Instance] {
				m.Reports = append(m.Reports, fromReport(r, now))
			}
		}
	}
	p.differ = nil
	refresh := now-p.crowdAt >= crowdEvery
	for _, f := range h.foragers {
		switch age := uint32((now - f.heardAt) / time.Millisecond); {
		case !f.told:
		case f.no > p.crowd:
			m.Foragers = append(m.Foragers, &dance.Forager{Life: f.life, Address: f.address, Zone: f.zone, AgeMs: age})
		case refresh:
			m.Foragers = append(m.Foragers, &dance.Forager{Life: f.life, AgeMs: age})
		}
	}
	if refresh {
		p.crowdAt = now
	}
	p.told = h.names
	for _, o := range h.peers {
		m.Hives = append(m.Hives, &dance.Hive{Address: o.address, SilentMs: uint32((now - max(o.heardAt, o.metAt)) / time.Millisecond)})
	}
	if now-p.digests > 2*time.Second {
		p.digests = now
		sums := h.table.Digests()
		m.Digests = sums[:]
	}
	return outgoingPulse{m, now, upTo}
}

// pulsed takes what another hive tells and answers it.
func (h *Hive) pulsed(m *dance.Pulse, now time.Duration) *dance.PulseBack {
	back := &dance.PulseBack{From: h.meWithCopy(), Life: h.life, Voted: h.voteTurn.Load()}
	from := m.From
	if from == nil || from.Address == h.address {
		return back
	}
	p := h.meet(from.Address)
	if p == nil {
		return back
	}
	if p.life != m.Life || now-p.heardAt > settledFor {
		p.hurry() // it is there again: contact needs a question to it, for which a time would be waited
	}
	h.word(p, from, m.Life, consensus.Slot(m.Turn), now)
	for _, o := range m.Hives {
		if o.SilentMs < uint32(peerLost/time.Millisecond) || h.seat(o.Address) {
			h.meet(o.Address)
		}
		p.silent[o.Address] = time.Duration(o.SilentMs) * time.Millisecond
	}
	p.lacks = p.lacks || m.LacksBody
	back.LacksBody = h.takeValue(m.Value)
	h.toldCopy(p, from, consensus.Slot(m.Turn))
	urgent, changed := false, h.table.Cursor()
	for _, r := range m.Reports {
		in := toReport(r, now)
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
		h.news(urgent)
	}
	for _, f := range m.Foragers {
		back.Unknown = back.Unknown || f.Address == "" && !f.Left && h.foragers[f.Life] == nil
		h.foragerHeard(f, now-time.Duration(f.AgeMs)*time.Millisecond, false)
	}
	if len(m.Digests) == registry.RangeCount {
		for no, sum := range h.table.Digests() {
			if sum != m.Digests[no] {
				back.Differ = append(back.Differ, uint32(no))
				p.differ = append(p.differ, no)
			}
		}
	}
	if h.confirmed {
		if back.Turn = uint64(h.known.Slot); h.known.Slot > p.turn {
			back.Value = h.tellValue(p)
		}
	}
	return back
}

// pulsedBack takes the answer to a pulse.
func (h *Hive) pulsedBack(p *peer, m *dance.PulseBack, sent outgoingPulse, now time.Duration) {
	if m.From == nil {
		return
	}
	lived := p.life == m.Life || p.life == 0
	h.word(p, m.From, m.Life, consensus.Slot(m.Turn), now)
	if lived {
		p.has, p.crowd = max(p.has, sent.upTo), p.told
	}
	if m.Unknown {
		p.crowd = 0
	}
	h.toldBack(p, m)
	h.toldCopy(p, m.From, consensus.Slot(m.Turn))
	h.contact.Answered(p.id, quorum.Answer{Life: m.Life, SentAt: sent.sentAt, Turn: consensus.Slot(max(m.Voted, m.Turn))}, h.known.Slot)
	h.verified(now)
	for _, no := range m.Differ {
		if no < registry.RangeCount && !slices.Contains(p.differ, int(no)) {
			p.differ = append(p.differ, int(no))
		}
	}
	kept := h.spreads[:0]
	for _, s := range h.spreads {
		if h.borne(s.cursor) {
			close(s.done)
		} else {
			kept = append(kept, s)
		}
	}
	h.spreads = kept
}

// borne tells whether a majority of the acceptors' machines hold the reports up to a cursor.
func (h *Hive) borne(cursor registry.Cursor) bool {
	return consensus.HasMajority(h.known.Members, func(id consensus.AcceptorID) bool {
		if id == h.self {
			return true
		}
		for _, p := range h.peers {
			if p.id == id && p.has >= cursor {
				return true
			}
		}
		return false
	})
}

// word notes that a hive lives. One that began anew has nothing of this hive's.
func (h *Hive) word(p *peer, from *dance.Hive, life uint64, turn consensus.Slot, now time.Duration) {
	if p.life != life && p.life != 0 {
		p.has, p.turn, p.crowd = 0, 0, 0
	}
	h.contact.Began(consensus.AcceptorID(from.Id), life)
	p.putsIn = from.PutsIn
	p.life, p.id, p.control, p.zone = life, consensus.AcceptorID(from.Id), from.Control, from.Zone
	p.heardAt, p.turn = max(now, 1), turn
}

// seat tells whether an acceptor votes at an address; seed, whether the settings name it.
func (h *Hive) seat(address string) bool {
	return slices.ContainsFunc(h.known.Members, func(m consensus.Member) bool { return m.Address == address })
}

func (h *Hive) seed(address string) bool { return slices.Contains(h.set.SeedHives(), address) }
