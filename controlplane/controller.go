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
	"sync/atomic"
	"time"

	"github.com/emirpasic/gods/v2/queues/circularbuffer"
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
	self          consensus.AcceptorID
	proposerID    consensus.ProposerID
	incarnation   uint64
	address       string
	startedAt     time.Time
	commands      chan func()
	stopped       chan struct{}
	killed        chan struct{}
	proposalToken chan struct{} // holds one token: this hive's rounds go one at a time
	wg            sync.WaitGroup
	acceptedValue atomic.Pointer[consensus.Value] // on the disk; written before the vote is told; nil = none
	acceptedSlot  atomic.Uint64                   // of the vote on the disk; written before the vote is told

	// The owner's.
	known            *consensus.Value         // decided, or what a round may start from
	confirmed        bool                     // known was decided
	history          consensus.History        // of decided values; bounded by itself
	highestBallot    uint64                   // the highest number seen
	documentTimes    map[string]documentTime  // since when each note's version is known here; as many as there are notes
	decision         consensus.Decision       // known, and at which ballots it was decided
	ownReplica       consensus.Replica        // what this machine's disk holds
	selfRepair       consensus.RepairSchedule // when this machine's own copy is to be completed
	repair           consensus.RepairSchedule // when a round is owed for copies that lack
	contact          *quorum.ContactTracker
	wasInContact     bool // in contact, when last looked
	verifier         verifications
	newestAccepted   consensus.Slot // the newest turn that this acceptor voted for
	acceptedAt       time.Duration
	table            *registry.Table
	gateways         map[uint64]*gatewayState           // emptied of those not heard for a while
	membershipEpoch  uint64                             // number of the list of foragers
	gatewaySequence  uint64                             // of the last forager that there was something to tell the other hives of
	peers            map[string]*peer                   // emptied of those unheard that do not vote
	waiters          map[*pollWaiter]bool               // emptied by answers
	replicationWaits []*replicationWait                 // emptied by acks and time
	events           *circularbuffer.Queue[eventRecord] // the newest eventLogCapacity
	eventSequence    uint64
	eventCursor      registry.Cursor   // up to which servers' changes were noted as events,
	serverStates     map[string]string // with what each was then; kept to those of the table
	updateAt         time.Duration     // when waiters are to be told; 0 = nothing to tell
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

type documentTime struct {
	version consensus.Version
	since   time.Duration
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
	genesis, self := genesisMembers(set)
	if !set.FirstStart {
		self = 0
	}
	store, aside, err := acceptorstore.Open(set.DataDirectory, self)
	if err != nil {
		return nil, err
	}
	if aside != "" {
		log.Warn().Str("file", aside).Msg("state: damaged file set aside, coming back as a stranger")
	}
	state := store.State()
	h := &Controller{settings: set, network: on, log: log, store: store, self: state.ID, proposerID: consensus.ProposerID(acceptorstore.NewAcceptorID()), incarnation: uint64(acceptorstore.NewAcceptorID()),
		address: set.InternalAddress(settings.ControllerPort), startedAt: time.Now(), commands: make(chan func(), 1024), stopped: make(chan struct{}), killed: make(chan struct{}),
		proposalToken: make(chan struct{}, 1), known: consensus.Genesis(genesis), table: registry.NewTable(set.HeartbeatInterval()),
		gateways: map[uint64]*gatewayState{}, peers: map[string]*peer{}, waiters: map[*pollWaiter]bool{}, serverStates: map[string]string{}, events: circularbuffer.New[eventRecord](eventLogCapacity), documentTimes: map[string]documentTime{}, highestBallot: state.Promised.Number, contact: quorum.NewContactTracker()}
	if v := state.Value; v != nil {
		// Whether it was decided is not known.
		h.newestAccepted, h.known = v.Slot, consensus.RecoveryBase(v)
		h.acceptedSlot.Store(uint64(v.Slot))
		h.acceptedValue.Store(v)
	}
	h.ownReplica, h.decision = state.Replica(), consensus.Decision{Value: h.known}
	h.selfRepair, h.repair = consensus.RepairSchedule{Delay: selfRepairDelay}, consensus.RepairSchedule{Delay: repairDelay}
	h.proposalToken <- struct{}{}
	h.restoreHints(store.Hints())
	return h, nil
}

// genesisMembers are the first acceptors, and this machine's identity among them, 0 = none. At the first start every process is
// told the same seeds, so that all name the same set.
func genesisMembers(set *settings.Settings) (members []consensus.Member, self consensus.AcceptorID) {
	for i, a := range set.SeedControllers() {
		id := genesisID(set.SeedAddresses[i])
		members = append(members, consensus.Member{ID: id, Address: a})
		if set.SeedAddresses[i] == set.Listen.Control {
			self = id
		}
	}
	return members, self
}

// now is the steady clock.
func (h *Controller) now() time.Duration { return time.Since(h.startedAt) }

// do hands the owner a command. It tells whether the owner still works.
func (h *Controller) do(f func()) bool {
	select {
	case h.commands <- f:
		return true
	case <-h.stopped:
		return false
	}
}

// ask hands the owner a command and waits for its end. A caller that the stop releases does not wait for the command, which
// may still run: it must write nothing that the caller reads. What has an answer is asked by inquire.
func (h *Controller) ask(f func()) bool {
	_, done := inquire(h, func() struct{} { f(); return struct{}{} })
	return done
}

// inquire hands the owner a question and waits for its answer. The answer travels through a channel: a caller that the stop
// releases shares no variable with a question that still runs. It tells whether there was an answer.
func inquire[T any](h *Controller, question func() T) (answer T, ok bool) {
	answers := make(chan T, 1) // the owner waits for no caller
	if !h.do(func() { answers <- question() }) {
		return answer, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-h.stopped:
		return answer, false
	}
}

// Run serves until the context is done.
func (h *Controller) Run(ctx context.Context) error {
	control, err := h.network.Listen(h.settings.Listen.Control)
	if err != nil {
		return eris.Errorf("the control address can't be listened on: %v", err)
	}
	inner, err := h.network.Listen(h.address)
	if err != nil {
		control.Close()
		return eris.Errorf("the internal address can't be listened on: %v", err)
	}
	talk := &rpc.Server{Handle: h.handleFrame, OnClose: func(c *rpc.Conn) { h.do(func() { h.dropConnection(c) }) }}
	web := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	h.wg.Go(func() { talk.Serve(inner) })
	h.wg.Go(func() { web.Serve(control) })
	h.wg.Go(h.runLoop)
	h.do(func() {
		for _, a := range h.settings.SeedControllers() {
			h.addPeer(a)
		}
		h.housekeepingAt = h.now() + time.Duration(rand.Int64N(int64(60*time.Millisecond))) // who begins is left to chance
		h.log.Info().Uint64("identity", uint64(h.self)).Uint64("turn", uint64(h.newestAccepted)).Msg("hive: started")
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
	close(h.stopped)
	h.wg.Wait()
	return h.store.Close()
}

// Kill has Run return at once, in no order, as a kill of the process would. It must be called once at most.
func (h *Controller) Kill() { close(h.killed) }

// StallDisk has the disk answer nothing for a time, as one that stalls. For tests and the emulator.
func (h *Controller) StallDisk(d time.Duration) {
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { time.Sleep(d); return s }, func(consensus.AcceptorState, error) {})
}

// Freeze has the owner stand still for a time, as in a process that is frozen: what comes meanwhile is worked on afterwards.
// With clock, the steady clock stands still as long, as on a machine that is suspended. For tests.
func (h *Controller) Freeze(d time.Duration, clock bool) {
	h.do(func() {
		select {
		case <-time.After(d):
		case <-h.stopped:
		}
		if clock {
			h.startedAt = h.startedAt.Add(d)
		}
	})
}

// Committed is the newest turn and version that this hive knows to be agreed.
func (h *Controller) Committed() (turn consensus.Slot, version consensus.Version) {
	known, _ := inquire(h, func() *consensus.Value {
		if !h.confirmed {
			return &consensus.Value{}
		}
		return h.known
	})
	if known == nil {
		return 0, 0
	}
	return known.Slot, known.Version
}

// runLoop is the owner: it works through the queue of commands.
func (h *Controller) runLoop() {
	timer := time.NewTimer(housekeepingInterval)
	defer timer.Stop()
	for {
		select {
		case f := <-h.commands:
			f()
		case <-timer.C:
		case <-h.stopped:
			for _, p := range h.peers {
				p.close()
			}
			return
		}
		for range len(h.commands) {
			(<-h.commands)()
		}
		next := h.advance(h.now())
		timer.Reset(max(next-h.now(), time.Millisecond))
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
	h.logServerChanges(now)
	for life, f := range h.gateways {
		if now-f.lastSeen > gatewayTimeout {
			h.logEvent("node", "gatherer "+f.address+" is not heard any more")
			delete(h.gateways, life)
			h.membershipEpoch++
			h.scheduleUpdate(false)
		}
	}
	// Foragers are told whom they may ask: also when no forager has come or gone.
	for _, p := range h.peers {
		if heard := p.lastSeen > 0 && now-p.lastSeen < peerLivenessTimeout; heard != p.listed {
			p.listed = heard
			h.logEvent("hive", "hive "+p.address+map[bool]string{true: " is heard", false: " is not heard any more"}[heard])
			h.membershipEpoch++
			h.scheduleUpdate(false)
		}
	}
	for a, p := range h.peers {
		if now-p.lastSeen > peerForgetTimeout && !h.isMemberAddress(a) && !h.isSeed(a) {
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
		go h.do(func() {
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
		h.table.Merge(decodeReport(r, h.now()), "disk")
	}
}

// scheduleUpdate has the waiters told, at once or soon.
func (h *Controller) scheduleUpdate(urgent bool) {
	at := h.now()
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
	return h.hasVersion(a) && now >= h.nextVersionAt(a) || a.ControllerIncarnation != h.incarnation || a.MembershipEpoch != h.membershipEpoch ||
		len(h.table.ChangesAfter(registry.Cursor(a.Cursor))) > 0
}

func (h *Controller) answerPoll(w *pollWaiter, now time.Duration) {
	delete(h.waiters, w)
	a := w.poll
	n := &rpc.Update{ControllerIncarnation: h.incarnation, Cursor: uint64(h.table.Cursor()), HasQuorum: h.confirmed && !w.verifying && h.inContact(now), Slot: a.Slot,
		Warm: now > 3*h.settings.HeartbeatInterval(), MembershipEpoch: h.membershipEpoch}
	if h.hasVersion(a) && now >= h.nextVersionAt(a) {
		h.recordVersionSent(a, len(h.known.Body), now)
		n.Slot, n.Version, n.HasConfig, n.Config = uint64(h.known.Slot), uint64(h.known.Version), h.known.Digest != "", h.known.Body
		for _, note := range h.known.Documents {
			m := rpc.DocumentToProto(note)
			m.PriorRevisions, m.AgeMs = nil, uint32((now-h.documentTimes[note.Name].since)/time.Millisecond)
			n.Documents = append(n.Documents, m)
		}
	}
	after := registry.Cursor(a.Cursor)
	if a.ControllerIncarnation != h.incarnation {
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
				n.Controllers = append(n.Controllers, p.describe(now, h.isMemberAddress(p.address)))
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
		h.handlePrepare(b.Prepare, func(p *rpc.PrepareReply) { c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_PrepareReply{PrepareReply: p}}) })
	case *rpc.Frame_Accept:
		h.handleAccept(b.Accept, func(a *rpc.AcceptReply) { c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_AcceptReply{AcceptReply: a}}) })
	case *rpc.Frame_Gossip:
		back, ok := inquire(h, func() *rpc.GossipReply { return h.receiveGossip(b.Gossip, h.now()) })
		if ok {
			c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_GossipReply{GossipReply: back}})
		}
	case *rpc.Frame_Poll:
		h.do(func() { h.receivePoll(c, f.Id, b.Poll, h.now()) })
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
	case a.ControllerIncarnation != h.incarnation && h.confirmed && h.inContact(now):
		w.verifying, w.deadline = true, now+2*verifyTimeout
		h.verifyContact(now, func(verified bool) {
			if h.waiters[w] {
				w.verifying = !verified
				h.answerPoll(w, h.now())
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
			h.logEvent("node", "gatherer "+h.gateways[f.Incarnation].address+" leaves")
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
	if h.now()-at > gatewayTimeout/2 && !told {
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
	h.logEvent("node", "gatherer "+f.Address+" in "+f.Zone+" comes")
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
