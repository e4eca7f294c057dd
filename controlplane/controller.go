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

	"oxbowspan/consensus"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// Rhythm of the hive's own talk.
const (
	housekeepingInterval = 400 * time.Millisecond
)

// Controller is one core machine's process.
type Controller struct {
	settings *settings.Settings
	network  network.Network
	log      zerolog.Logger
	store    *acceptorstore.Store
	self     identity
	learner  *learner
	acceptor *acceptorEndpoint
	clock    *steadyClock
	loop     *eventLoop
	killed   chan struct{}
	wg       sync.WaitGroup

	// The owner's.
	contact        *contactMonitor
	verifier       *contactVerifier
	table          *registry.Table
	gateways       *gatewayDirectory
	polls          *pollService
	heartbeats     *heartbeatService
	hints          *hintSaver
	membership     *membershipManager
	completion     *replicaCompletion
	proposer       *proposer
	scheduler      *proposalScheduler
	drainer        *drainer
	gossip         *gossiper
	updates        *updateSchedule
	peers          *peerSet
	events         *eventLog
	serverChanges  *serverChangeLog
	housekeepingAt time.Duration
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
	h := &Controller{settings: set, network: on, log: log, store: store,
		clock: newSteadyClock(), loop: newEventLoop(), killed: make(chan struct{}),
		table: registry.NewTable(set.HeartbeatInterval())}
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
	h.heartbeats = newHeartbeatService(h.clock, h.table, h.learner, h.contact, h.peers, h.updates)
	h.gossip = &gossiper{
		self:       h.self,
		loop:       h.loop,
		clock:      h.clock,
		table:      h.table,
		acceptor:   h.acceptor,
		learner:    h.learner,
		contact:    h.contact,
		verifier:   h.verifier,
		peers:      h.peers,
		gateways:   h.gateways,
		heartbeats: h.heartbeats,
		updates:    h.updates,
	}
	h.hints = newHintSaver(store, h.table, h.loop, h.clock)
	h.membership = newMembershipManager(h.self, set.ToleratedLosses.Machines, h.learner, h.contact, h.peers)
	h.gossip.membership = h.membership
	h.completion = newReplicaCompletion(h.self, h.learner, h.acceptor, h.contact, h.peers)
	h.proposer = newProposer(consensus.ProposerID(acceptorstore.NewAcceptorID()), state.Promised.Number, h.loop, h.learner, h.acceptor, h.peers)
	h.scheduler = &proposalScheduler{
		firstStart: set.FirstStart,
		loop:       h.loop,
		clock:      h.clock,
		learner:    h.learner,
		acceptor:   h.acceptor,
		membership: h.membership,
		completion: h.completion,
		proposer:   h.proposer,
	}
	h.drainer = &drainer{
		self:       h.self,
		timeout:    drainTimeout(set.Bounds.GracePeriodS),
		loop:       h.loop,
		clock:      h.clock,
		learner:    h.learner,
		acceptor:   h.acceptor,
		peers:      h.peers,
		membership: h.membership,
		completion: h.completion,
		proposer:   h.proposer,
		killed:     h.killed,
		log:        h.log,
	}
	h.hints.restore()
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
	h.gossip.start(ctx, p)
}

// observeBallot implements ballotObserver.
func (h *Controller) observeBallot(number uint64) { h.proposer.observeBallot(number) }

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
		h.drainer.drain()
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
	h.gossip.loops.Wait()
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
	h.heartbeats.expireWaits(now)
	h.contact.prune(now)
	h.scheduler.startDue(now)
	h.hints.save(now)
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
		back, ok := query(h.loop, func() *rpc.GossipReply { return h.gossip.receive(b.Gossip) })
		if ok {
			c.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_GossipReply{GossipReply: back}})
		}
	case *rpc.Frame_Poll:
		h.loop.post(func() { h.polls.receive(c, f.Id, b.Poll) })
	}
}

// StoredState returns what the disk holds, after all that is queued for it; ok is false when the disk doesn't answer within a
// second. For tests.
func (h *Controller) StoredState() (state consensus.AcceptorState, ok bool) {
	return h.acceptor.storedState()
}

// CommittedValue returns the newest value that this controller knows to be decided; nil = none, or the controller has ended.
func (h *Controller) CommittedValue() *consensus.Value {
	v, _ := query(h.loop, h.learner.decided)
	return v
}
