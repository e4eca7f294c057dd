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
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// Rhythm of the hive's own talk.
const (
	gossipInterval       = 400 * time.Millisecond // to each other hive
	peerCallTimeout      = 800 * time.Millisecond // for an answer of another hive
	housekeepingInterval = 400 * time.Millisecond
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
	contact          *contactMonitor
	verifier         *contactVerifier
	table            *registry.Table
	gateways         *gatewayDirectory
	polls            *pollService
	updates          *updateSchedule
	peers            *peerSet
	replicationWaits []*replicationWait // emptied by acks and time
	events           *eventLog
	serverChanges    *serverChangeLog
	housekeepingAt   time.Duration
	proposing        bool // a round to resolve or to join is on its way
	proposeAfter     time.Duration
	draining         bool
	hintsSavedAt     time.Duration
	hintsCursor      registry.Cursor // up to which the reports are on the disk, as hints
	savingHints      bool
}

// replicationWait waits until a report is held by enough of the core.
type replicationWait struct {
	cursor   registry.Cursor
	done     chan struct{}
	deadline time.Duration
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
		highestBallot: state.Promised.Number}
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
	h.contact = newContactMonitor(h.self, h.acceptor, h.learner)
	h.peers = newPeerSet(h.self, set.SeedControllers(), on, h.clock, h.startGossip)
	h.verifier = newContactVerifier(h.contact, h.peers)
	h.updates = newUpdateSchedule(h.clock)
	h.gateways = newGatewayDirectory(h.clock, h.events, h.updates)
	h.polls = &pollService{
		self:              h.self,
		heartbeatInterval: set.HeartbeatInterval(),
		inForceWithin:     settings.Milliseconds(set.Bounds.ConfigApplyMS),
		clock:             h.clock,
		learner:           h.learner,
		contact:           h.contact,
		verifier:          h.verifier,
		peers:             h.peers,
		gateways:          h.gateways,
		table:             h.table,
		updates:           h.updates,
		waiters:           map[*pollWaiter]bool{},
	}
	h.selfRepair, h.repair = consensus.RepairSchedule{Delay: selfRepairDelay}, consensus.RepairSchedule{Delay: repairDelay}
	h.proposalToken <- struct{}{}
	h.restoreHints(store.Hints())
	return h, nil
}

// valueLearned implements learnListener.
func (h *Controller) valueLearned(v *consensus.Value) {
	for _, m := range v.Acceptors() {
		h.peers.add(m.Address)
	}
	h.updates.request(true)
	h.peers.gossipNow()
}

func (h *Controller) startGossip(ctx context.Context, p *peer) {
	h.wg.Go(func() { h.gossipLoop(ctx, p) })
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
	talk := &rpc.Server{Handle: h.handleFrame, OnClose: func(c *rpc.Conn) { h.loop.post(func() { h.polls.drop(c) }) }}
	web := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	h.wg.Go(func() { talk.Serve(inner) })
	h.wg.Go(func() { web.Serve(control) })
	h.wg.Go(h.runLoop)
	h.loop.post(func() {
		for _, a := range h.settings.SeedControllers() {
			h.peers.add(a)
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
	h.peers.closeAll()
}

// advance does what is due and returns when the next thing is.
func (h *Controller) advance(now time.Duration) time.Duration {
	if now >= h.housekeepingAt {
		h.housekeepingAt = now + housekeepingInterval
		h.housekeep(now)
	}
	contactLost, checkAt := h.contact.check(now)
	if contactLost {
		h.polls.respondAll(now) // gateways must learn at once that this controller may be out of date
	}
	next := min(h.housekeepingAt, checkAt, h.verifier.check(now))
	if due, at := h.updates.due(now); due {
		h.polls.notify(now)
	} else if at != 0 {
		next = min(next, at)
	}
	return h.polls.expire(now, next)
}

// housekeep forgets what is over and starts the rounds that this hive owes.
func (h *Controller) housekeep(now time.Duration) {
	if h.table.Expire(now) {
		h.updates.request(false)
	}
	h.serverChanges.record(now)
	h.gateways.expire(now)
	// Foragers are told whom they may ask: also when no forager has come or gone.
	for _, p := range h.peers.updateListed(now) {
		h.events.add(eventController, "hive "+p.address+map[bool]string{true: " is heard", false: " is not heard any more"}[p.listed])
		h.gateways.listChanged()
	}
	h.peers.forget(now, h.learner.isMemberAddress)
	kept := h.replicationWaits[:0]
	for _, s := range h.replicationWaits {
		if now < s.deadline {
			kept = append(kept, s)
		}
	}
	h.replicationWaits = kept
	h.contact.prune(now)
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
		h.loop.post(func() { h.polls.receive(c, f.Id, b.Poll) })
	}
}
