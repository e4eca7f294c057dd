// Package controlplane is the control plane as a library: one core machine, which takes the servers' calls and the operator's,
// agrees with the other core machines on the configuration, and brings all of it to the foragers that ask.
//
// One goroutine, the owner, holds every table of the package and works through a queue of commands; those that speak on
// sockets hand it commands. Decisions are made by swarm (ballots), waggle (reports) and seats.go (who should vote).
package controlplane

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/lease"
	"oxbowspan/quorum"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// Rhythm of the hive's own talk.
const (
	gossipInterval       = 400 * time.Millisecond  // to each other hive
	peerCallTimeout      = 800 * time.Millisecond  // for an answer of another hive
	peerLivenessTimeout  = 1500 * time.Millisecond // another hive counts as heard so long after its last word
	housekeepingInterval = 400 * time.Millisecond
	updateDelay          = 60 * time.Millisecond // what is not urgent is gathered so long
	gatewayTimeout       = 4 * time.Second       // without a question, a forager is held to be gone
	peerForgetTimeout    = 30 * time.Second      // without a word, a hive that does not vote is forgotten
	resolveDelay         = 400 * time.Millisecond
)

// Controller is one core machine's process.
type Controller struct {
	settings      *settings.Settings
	network       network.Network
	log           zerolog.Logger
	store         *acceptorstore.Store
	self          identity
	learner       *learner
	acceptor      *acceptorEndpoint
	proposerID    consensus.ProposerID
	clock         *steadyClock
	loop          *eventLoop
	killed        chan struct{}
	proposalToken chan struct{} // holds one token: this hive's rounds go one at a time
	wg            sync.WaitGroup

	// The owner's.
	highestBallot    uint64                   // the highest number seen
	selfRepair       consensus.RepairSchedule // when this machine's own copy is to be completed
	repair           consensus.RepairSchedule // when a round is owed for copies that lack
	contact          *quorum.ContactTracker
	wasInContact     bool // in contact, when last looked
	verifier         verifications
	table            *registry.Table
	gateways         map[uint64]*gatewayState // emptied of those not heard for a while
	membershipEpoch  uint64                   // number of the list of foragers
	gatewaySequence  uint64                   // of the last forager that there was something to tell the other hives of
	peers            map[string]*peer         // emptied of those unheard that do not vote
	waiters          map[*pollWaiter]bool     // emptied by answers
	replicationWaits []*replicationWait       // emptied by acks and time
	events           *eventLog
	serverChanges    *serverChangeLog
	updateAt         time.Duration // when waiters are to be told; 0 = nothing to tell
	housekeepingAt   time.Duration
	proposing        bool // a round to resolve or to join is on its way
	proposeAfter     time.Duration
	draining         bool
	hintsSavedAt     time.Duration
	hintsCursor      registry.Cursor // up to which the reports are on the disk, as hints
	savingHints      bool
}

type gatewayState struct {
	incarnation uint64
	address     string
	zone        string
	lastSeen    time.Duration
	direct      bool   // heard by this hive itself
	sequence    uint64 // in the order in which this hive had something to tell the others of
	stats       *rpc.GatewayStats
	slot        uint64        // that it has in force, of one that asks here
	polledAt    time.Duration // when it last did
	sentBytes   int           // bytes of the version that this hive last gave it,
	sentAt      time.Duration // and when
}

// pollsHere tells whether a forager asks this hive, of late.
func (f *gatewayState) pollsHere(now time.Duration) bool {
	return f.polledAt > 0 && now-f.polledAt < gatewayTimeout/2
}

// replicationWait waits until a report is held by enough of the core.
type replicationWait struct {
	cursor   registry.Cursor
	done     chan struct{}
	deadline time.Duration
}

// pollWaiter is a forager's held question.
type pollWaiter struct {
	conn     *rpc.Conn
	id       uint64
	poll     *rpc.Poll
	deadline time.Duration

	verifying bool // until a majority has answered what it was asked after the question came
}

// New opens the state and makes a hive that does nothing yet.
func New(set *settings.Settings, on network.Network, log zerolog.Logger) (*Controller, error) {
	members, id := genesisMembers(set)
	if !set.FirstStart {
		id = 0
	}
	store, setAside, err := acceptorstore.Open(set.DataDirectory, id)
	if err != nil {
		return nil, err
	}
	if setAside != "" {
		log.Warn().Str("file", setAside).Msg("state: damaged file set aside, coming back as a stranger")
	}
	state := store.State()
	h := &Controller{settings: set, network: on, log: log, store: store, proposerID: consensus.ProposerID(acceptorstore.NewAcceptorID()),
		clock: newSteadyClock(), loop: newEventLoop(), killed: make(chan struct{}),
		proposalToken: make(chan struct{}, 1), table: registry.NewTable(set.HeartbeatInterval()),
		gateways: map[uint64]*gatewayState{}, peers: map[string]*peer{}, waiters: map[*pollWaiter]bool{}, highestBallot: state.Promised.Number, contact: quorum.NewContactTracker()}
	h.self = identity{id: state.ID, incarnation: uint64(acceptorstore.NewAcceptorID()), address: set.InternalAddress(settings.ControllerPort),
		controlAddress: set.Listen.Control, zone: set.Zone}
	h.events = newEventLog(h.clock)
	h.serverChanges = newServerChangeLog(h.table, h.events)
	base := consensus.Genesis(members)
	if state.Value != nil {
		base = consensus.RecoveryBase(state.Value)
	}
	h.learner = newLearner(base, h.clock, h.events, h, log)
	h.acceptor = newAcceptorEndpoint(store, h.loop, h.clock, h, log)
	h.selfRepair, h.repair = consensus.RepairSchedule{Delay: selfRepairDelay}, consensus.RepairSchedule{Delay: repairDelay}
	h.proposalToken <- struct{}{}
	h.restoreHints(store.Hints())
	return h, nil
}

// valueLearned implements learnListener.
func (h *Controller) valueLearned(v *consensus.Value) {
	for _, m := range v.Acceptors() {
		h.addPeer(m.Address)
	}
	h.scheduleUpdate(true)
	h.gossipNow()
}

// observeBallot implements ballotObserver.
func (h *Controller) observeBallot(number uint64) { h.highestBallot = max(h.highestBallot, number) }

// Run serves until the context is done.
func (h *Controller) Run(ctx context.Context) error {
	control, err := h.network.Listen(h.settings.Listen.Control)
	if err != nil {
		return eris.Errorf("the control address can't be listened on: %v", err)
	}
	inner, err := h.network.Listen(h.self.address)
	if err != nil {
		control.Close()
		return eris.Errorf("the internal address can't be listened on: %v", err)
	}
	talk := &rpc.Server{Handle: h.handleFrame, OnClose: func(c *rpc.Conn) { h.loop.post(func() { h.dropConnection(c) }) }}
	web := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	h.wg.Go(func() { talk.Serve(inner) })
	h.wg.Go(func() { web.Serve(control) })
	h.wg.Go(h.runLoop)
	h.loop.post(func() {
		for _, a := range h.settings.SeedControllers() {
			h.addPeer(a)
		}
		h.housekeepingAt = h.clock.now() + time.Duration(rand.Int64N(int64(60*time.Millisecond))) // who begins is left to chance
		h.log.Info().Uint64("identity", uint64(h.self.id)).Uint64("turn", uint64(h.acceptor.newestSlot)).Msg("hive: started")
	})
	select {
	case <-ctx.Done():
		h.log.Info().Msg("hive: leaving")
		h.drain()
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		control.Close()
		web.Shutdown(end)
	case <-h.killed:
	}
	web.Close()
	inner.Close()
	h.loop.stop()
	h.wg.Wait()
	return h.store.Close()
}

// Kill has Run return at once, in no order, as a kill of the process would. It must be called once at most.
func (h *Controller) Kill() { close(h.killed) }

// StallDisk has the disk answer nothing for a time, as one that stalls. For tests and the emulator.
func (h *Controller) StallDisk(d time.Duration) { h.acceptor.stall(d) }

// Freeze has the owner stand still for a time, as in a process that is frozen: what comes meanwhile is worked on afterwards.
// With clock, the steady clock stands still as long, as on a machine that is suspended. For tests.
func (h *Controller) Freeze(d time.Duration, clock bool) {
	h.loop.post(func() {
		select {
		case <-time.After(d):
		case <-h.loop.stopped:
		}
		if clock {
			h.clock.setBack(d)
		}
	})
}

// Committed is the newest turn and version that this hive knows to be agreed.
func (h *Controller) Committed() (slot consensus.Slot, version consensus.Version) {
	known := h.CommittedValue()
	if known == nil {
		return 0, 0
	}
	return known.Slot, known.Version
}

// runLoop is the event loop's goroutine.
func (h *Controller) runLoop() {
	h.loop.run(housekeepingInterval, func() time.Duration {
		next := h.advance(h.clock.now())
		return next - h.clock.now()
	})
	for _, p := range h.peers {
		p.close()
	}
}

// advance does what is due and returns when the next thing is.
func (h *Controller) advance(now time.Duration) time.Duration {
	if now >= h.housekeepingAt {
		h.housekeepingAt = now + housekeepingInterval
		h.housekeep(now)
	}
	next := min(h.housekeepingAt, h.checkContact(now), h.checkVerifications(now))
	if h.updateAt != 0 {
		if now >= h.updateAt {
			h.updateAt = 0
			h.notifyWaiters(now)
		} else {
			next = min(next, h.updateAt)
		}
	}
	for w := range h.waiters {
		if now >= w.deadline {
			h.answerPoll(w, now)
		} else {
			next = min(next, w.deadline)
		}
	}
	return next
}

// housekeep forgets what is over and starts the rounds that this hive owes.
func (h *Controller) housekeep(now time.Duration) {
	if h.table.Expire(now) {
		h.scheduleUpdate(false)
	}
	h.serverChanges.record(now)
	for life, f := range h.gateways {
		if now-f.lastSeen > gatewayTimeout {
			h.events.add(eventGateway, "gatherer "+f.address+" is not heard any more")
			delete(h.gateways, life)
			h.membershipEpoch++
			h.scheduleUpdate(false)
		}
	}
	// Foragers are told whom they may ask: also when no forager has come or gone.
	for _, p := range h.peers {
		if heard := p.lastSeen > 0 && now-p.lastSeen < peerLivenessTimeout; heard != p.listed {
			p.listed = heard
			h.events.add(eventController, "hive "+p.address+map[bool]string{true: " is heard", false: " is not heard any more"}[heard])
			h.membershipEpoch++
			h.scheduleUpdate(false)
		}
	}
	for a, p := range h.peers {
		if now-p.lastSeen > peerForgetTimeout && !h.learner.isMemberAddress(a) && !h.isSeed(a) {
			delete(h.peers, a)
			p.close()
		}
	}
	kept := h.replicationWaits[:0]
	for _, s := range h.replicationWaits {
		if now < s.deadline {
			kept = append(kept, s)
		}
	}
	h.replicationWaits = kept
	h.contact.Prune(now - 2*contactLifetime)
	h.startDueProposal(now)
	h.saveHints(now)
}

// hintInterval is how often changed reports are put on the disk at most.
const hintInterval = 2 * time.Second

// saveHints puts the servers that are known on the disk, so that a core whose every machine lost power knows them before
// they have called again. What is there may be old: a server that does not call is soon silent again.
func (h *Controller) saveHints(now time.Duration) {
	upTo := h.table.Cursor()
	if h.savingHints || now-h.hintsSavedAt < hintInterval || len(h.table.ChangesAfter(h.hintsCursor)) == 0 {
		return
	}
	m := &rpc.Gossip{}
	for _, r := range h.table.ChangesAfter(0) {
		m.Reports = append(m.Reports, encodeReport(r, now))
	}
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	h.hintsSavedAt = now
	h.savingHints = h.store.SaveHints(text, func(err error) {
		go h.loop.post(func() {
			if h.savingHints = false; err == nil {
				h.hintsCursor = upTo
			}
		})
	})
}

func (h *Controller) restoreHints(hints []byte) {
	m := &rpc.Gossip{}
	if len(hints) == 0 || proto.Unmarshal(hints, m) != nil {
		return
	}
	for _, r := range m.Reports {
		r.AgeMs = 0 // how long ago that was nobody knows
		h.table.Merge(decodeReport(r, h.clock.now()), "disk")
	}
}

// scheduleUpdate has the waiters told, at once or soon.
func (h *Controller) scheduleUpdate(urgent bool) {
	at := h.clock.now()
	if !urgent {
		at += updateDelay
	}
	if h.updateAt == 0 || at < h.updateAt {
		h.updateAt = max(at, 1)
	}
}

// notifyWaiters answers the waiters for whom there is news.
func (h *Controller) notifyWaiters(now time.Duration) {
	for w := range h.waiters {
		switch {
		case w.verifying:
		case h.hasUpdate(w.poll, now):
			h.answerPoll(w, now)
		default:
			h.scheduleVersion(w.poll)
		}
	}
}

func (h *Controller) hasUpdate(a *rpc.Poll, now time.Duration) bool {
	return h.hasVersion(a) && now >= h.nextVersionAt(a) || a.ControllerIncarnation != h.self.incarnation || a.MembershipEpoch != h.membershipEpoch ||
		len(h.table.ChangesAfter(registry.Cursor(a.Cursor))) > 0
}

func (h *Controller) answerPoll(w *pollWaiter, now time.Duration) {
	delete(h.waiters, w)
	a := w.poll
	n := &rpc.Update{ControllerIncarnation: h.self.incarnation, Cursor: uint64(h.table.Cursor()), HasQuorum: h.learner.confirmed && !w.verifying && h.inContact(now), Slot: a.Slot,
		Warm: now > 3*h.settings.HeartbeatInterval(), MembershipEpoch: h.membershipEpoch}
	if h.hasVersion(a) && now >= h.nextVersionAt(a) {
		h.recordVersionSent(a, len(h.learner.value.Body), now)
		n.Slot, n.Version, n.HasConfig, n.Config = uint64(h.learner.value.Slot), uint64(h.learner.value.Version), h.learner.value.Digest != "", h.learner.value.Body
		for _, note := range h.learner.value.Documents {
			m := rpc.DocumentToProto(note)
			m.PriorRevisions, m.AgeMs = nil, uint32((now-h.learner.documentTimes[note.Name].since)/time.Millisecond)
			n.Documents = append(n.Documents, m)
		}
	}
	after := registry.Cursor(a.Cursor)
	if a.ControllerIncarnation != h.self.incarnation {
		n.Full, after = true, 0
	}
	for _, r := range h.table.ChangesAfter(after) {
		n.Reports = append(n.Reports, encodeReport(r, now))
	}
	if a.MembershipEpoch != h.membershipEpoch || n.Full {
		n.HasGateways = true
		for _, f := range h.gateways {
			n.Gateways = append(n.Gateways, &rpc.Gateway{Incarnation: f.incarnation, Address: f.address, Zone: f.zone})
		}
		n.Controllers = append(n.Controllers, h.describeSelf())
		for _, p := range h.peers {
			if p.lastSeen > 0 && now-p.lastSeen < peerLivenessTimeout {
				n.Controllers = append(n.Controllers, p.describe(now, h.learner.isMemberAddress(p.address)))
			}
		}
	}
	// The owner waits for no peer: one that does not read holds up its own answer only, until its connection is closed.
	go w.conn.Respond(w.id, &rpc.Frame{Body: &rpc.Frame_Update{Update: n}})
}

// dropConnection drops the questions of a connection that has ended.
func (h *Controller) dropConnection(c *rpc.Conn) {
	for w := range h.waiters {
		if w.conn == c {
			delete(h.waiters, w)
		}
	}
}

// handleFrame takes a frame of another process, in the goroutine of its connection.
func (h *Controller) handleFrame(c *rpc.Conn, f *rpc.Frame) {
	switch b := f.Body.(type) {
	case *rpc.Frame_Prepare:
		h.acceptor.handlePrepare(b.Prepare, func(p *rpc.PrepareReply) {
			c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_PrepareReply{PrepareReply: p}})
		})
	case *rpc.Frame_Accept:
		h.acceptor.handleAccept(b.Accept, func(a *rpc.AcceptReply) {
			c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_AcceptReply{AcceptReply: a}})
		})
	case *rpc.Frame_Gossip:
		back, ok := query(h.loop, func() *rpc.GossipReply { return h.receiveGossip(b.Gossip, h.clock.now()) })
		if ok {
			c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_GossipReply{GossipReply: back}})
		}
	case *rpc.Frame_Poll:
		h.loop.post(func() { h.receivePoll(c, f.Id, b.Poll, h.clock.now()) })
	}
}

// receivePoll takes a forager's question.
func (h *Controller) receivePoll(c *rpc.Conn, id uint64, a *rpc.Poll, now time.Duration) {
	if f := a.From; f != nil && f.Incarnation != 0 {
		h.observeGateway(f, now, true)
		if known := h.gateways[f.Incarnation]; known != nil {
			known.stats, known.slot, known.polledAt = a.Stats, a.Slot, now
		}
	}
	for _, r := range a.HealthChecks {
		in := decodeReport(r, now)
		if h.table.ConfirmHealthy(in.Instance, in.Lease, in.HealthyAt) {
			h.scheduleUpdate(false)
		}
	}
	w := &pollWaiter{conn: c, id: id, poll: a, deadline: now + time.Duration(a.WaitMs)*time.Millisecond}
	h.waiters[w] = true
	switch {
	case a.ControllerIncarnation != h.self.incarnation && h.learner.confirmed && h.inContact(now):
		w.verifying, w.deadline = true, now+2*verifyTimeout
		h.verifyContact(now, func(verified bool) {
			if h.waiters[w] {
				w.verifying = !verified
				h.answerPoll(w, h.clock.now())
			}
		})
	case h.hasUpdate(a, now) || a.WaitMs == 0:
		h.answerPoll(w, now)
	default:
		h.scheduleVersion(a)
	}
}

// observeGateway notes that a forager lives. One life at an address ends those before it.
func (h *Controller) observeGateway(f *rpc.Gateway, at time.Duration, told bool) {
	if f.Left {
		if h.gateways[f.Incarnation] != nil {
			h.events.add(eventGateway, "gatherer "+h.gateways[f.Incarnation].address+" leaves")
			delete(h.gateways, f.Incarnation)
			h.membershipEpoch++
			h.scheduleUpdate(false)
		}
		return
	}
	if old := h.gateways[f.Incarnation]; old != nil {
		if old.lastSeen = max(old.lastSeen, at); told && !old.direct {
			h.gatewaySequence++ // from now on this hive tells the others of it, whole at first
			old.direct, old.sequence = true, h.gatewaySequence
		}
		return
	}
	if f.Address == "" {
		return // one that is not known, named by its life alone: it will be told whole
	}
	if h.clock.now()-at > gatewayTimeout/2 && !told {
		return // old news of one that may have been forgotten
	}
	for life, o := range h.gateways {
		if o.address == f.Address {
			if o.lastSeen > at {
				return
			}
			delete(h.gateways, life)
		}
	}
	h.events.add(eventGateway, "gatherer "+f.Address+" in "+f.Zone+" comes")
	h.membershipEpoch++
	h.gatewaySequence++
	h.gateways[f.Incarnation] = &gatewayState{incarnation: f.Incarnation, address: f.Address, zone: f.Zone, lastSeen: at, direct: told, sequence: h.gatewaySequence}
	h.scheduleUpdate(false)
}

func encodeReport(r *registry.Record, now time.Duration) *rpc.ServerReport {
	return &rpc.ServerReport{Instance: string(r.Instance), Service: string(r.Service), Address: r.Address, Zone: r.Zone, Version: r.Version,
		Slots: uint32(r.Slots), State: uint32(r.State), WarmUpMs: uint32(max(r.SlowStartEndsAt-now, 0) / time.Millisecond),
		Sequence: uint64(r.Sequence), AgeMs: uint32(max(now-r.HeartbeatAt, 0) / time.Millisecond), Overdue: r.Unresponsive, NoHeartbeats: r.HeartbeatMissed,
		HealthCheckAgeMs: uint32(max(now-r.HealthyAt, 0) / time.Millisecond), FencingToken: r.Lease.FencingToken, LeaseHolder: r.Lease.Holder}
}

func decodeReport(r *rpc.ServerReport, now time.Duration) registry.Record {
	return registry.Record{Instance: registry.InstanceID(r.Instance), Service: registry.ServiceID(r.Service), Address: r.Address, Zone: r.Zone,
		Version: r.Version, Slots: int(r.Slots), State: registry.State(min(r.State, uint32(registry.Deregistered))),
		HeartbeatOnly: r.Refresh, Unresponsive: r.Overdue, HeartbeatMissed: r.NoHeartbeats, SlowStartEndsAt: now + time.Duration(r.WarmUpMs)*time.Millisecond, Sequence: registry.Sequence(r.Sequence),
		HeartbeatAt: now - time.Duration(r.AgeMs)*time.Millisecond, HealthyAt: now - time.Duration(r.HealthCheckAgeMs)*time.Millisecond,
		Lease: lease.Lease{FencingToken: r.FencingToken, Holder: r.LeaseHolder}}
}
