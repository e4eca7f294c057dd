package controlplane

import (
	"context"
	"errors"
	"net"
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
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

const (
	housekeepingInterval = 400 * time.Millisecond

	// maxFirstHousekeeping bounds the random delay before the first housekeeping, so that controllers that start at the same
	// time don't propose at the same time.
	maxFirstHousekeeping = 60 * time.Millisecond

	apiHeaderTimeout = 3 * time.Second  // for reading the header of a request
	apiIdleTimeout   = 30 * time.Second // for idle connections
	apiCloseTimeout  = time.Second      // for requests in flight when the controller shuts down
)

// Controller is one process of the control plane. Each machine of the control plane runs one.
type Controller struct {
	settings  *settings.Settings
	network   network.Network
	log       zerolog.Logger
	store     *acceptorstore.Store
	recovered consensus.AcceptorState // read from the disk by New
	self      identity
	clock     *monotonicClock
	loop      *eventLoop
	killed    chan struct{}
	routines  sync.WaitGroup

	table         *registry.Table
	events        *eventLog
	serverChanges *serverChangeLog
	departures    *departureLog
	hints         *hintSaver
	updates       *updateSchedule
	acceptor      *acceptorEndpoint
	learner       *learner
	contact       *contactMonitor
	verifier      *contactVerifier
	reports       *reportSync
	peers         *peerSet
	gossip        *gossiper
	gateways      *gatewayDirectory
	polls         *pollService
	heartbeats    *heartbeatService
	membership    *membershipManager
	completion    *replicaCompletion
	proposer      *proposer
	rollouts      *rolloutManager
	scheduler     *proposalScheduler
	drainer       *drainer

	housekeepingAt time.Duration // when housekeeping is due next; owned by the event loop
}

// New opens the state in the data directory and returns a controller that is inactive until Run is called. The settings must be
// valid. It returns an error if the data directory or the state file can be neither opened nor created. While another process holds the
// lock of the state file, New waits for it until the context is done; it then returns [acceptorstore.ErrLocked].
func New(ctx context.Context, s *settings.Settings, transport network.Network, log zerolog.Logger) (*Controller, error) {
	members, genesisID := genesisMembers(s)
	if !s.FirstStart {
		genesisID = 0
	}
	wait := &lockWait{ctx: ctx, log: log}
	store, setAside, err := acceptorstore.OpenWhile(s.DataDirectory, genesisID, wait.proceed)
	if err != nil {
		return nil, err
	}
	if setAside != "" {
		log.Warn().Str("file", setAside).Msg("state: damaged file set aside, starting with a new identity")
	}
	if err := store.OpenError(); err != nil {
		log.Warn().Err(err).Msg("state: the disk does not take the state file, voting for nothing until it does")
	}
	state := store.State()
	base := consensus.Genesis(members)
	if state.Value != nil {
		base = consensus.RecoveryBase(state.Value)
	}
	c := &Controller{settings: s, network: transport, log: log, store: store, recovered: state, clock: newMonotonicClock(), loop: newEventLoop(), killed: make(chan struct{})}
	c.self = identity{
		id:             state.ID,
		incarnation:    uint64(acceptorstore.NewAcceptorID()),
		address:        s.InternalAddress(settings.ControllerPort),
		controlAddress: s.Listen.Control,
		zone:           s.Zone,
	}
	c.wireRegister(base)
	c.wireServices(state.Promised.Number)
	c.wireProposals()
	c.hints.restore()
	return c, nil
}

// wireRegister creates the components that hold the replicated register and track the contact with its acceptors.
func (c *Controller) wireRegister(base *consensus.Value) {
	c.table = registry.NewTable(c.settings.HeartbeatInterval())
	c.events = newEventLog(c.clock)
	c.serverChanges = newServerChangeLog(c.table, c.events)
	c.updates = newUpdateSchedule(c.clock)
	c.learner = newLearner(base, c.clock, c.events, c, c.log)
	c.acceptor = newAcceptorEndpoint(c.store, c.loop, c.clock, c, c.log)
	c.contact = newContactMonitor(c.self, c.acceptor, c.learner)
	c.peers = newPeerSet(c.self, c.settings.SeedControllers(), c.network, c.clock, c.startGossip)
	c.departures = newDepartureLog(c.store, c.table, c.loop, c.clock, c, c.log)
	c.hints = newHintSaver(c.store, c.table, c.peers, c.learner, c.departures, c.loop, c.clock, c.log)
	c.verifier = newContactVerifier(c.contact, c.peers)
	c.reports = newReportSync(c.self, c.learner)
	c.membership = newMembershipManager(c.self, c.settings.ToleratedLosses, c.settings.Zones, c.learner, c.contact, c.peers)
	c.completion = newReplicaCompletion(c.self, c.learner, c.acceptor, c.contact, c.peers)
}

// wireServices creates the components that communicate with servers, gateways and peers.
func (c *Controller) wireServices(highestBallot uint64) {
	c.gateways = newGatewayDirectory(c.clock, c.events, c.updates)
	c.heartbeats = newHeartbeatService(c.clock, c.table, c.learner, c.contact, c.peers, c.departures, c.updates)
	c.polls = newPollService(pollDependencies{
		self:              c.self,
		heartbeatInterval: c.settings.HeartbeatInterval(),
		configApplyLimit:  settings.Milliseconds(c.settings.Bounds.ConfigApplyMS),
		clock:             c.clock,
		learner:           c.learner,
		contact:           c.contact,
		verifier:          c.verifier,
		reports:           c.reports,
		peers:             c.peers,
		gateways:          c.gateways,
		table:             c.table,
		updates:           c.updates,
	})
	id := consensus.ProposerID(acceptorstore.NewAcceptorID())
	c.proposer = newProposer(id, highestBallot, c.loop, c.learner, c.acceptor, c.peers)
	c.rollouts = newRolloutManager(rolloutDependencies{
		self:     c.self,
		loop:     c.loop,
		clock:    c.clock,
		learner:  c.learner,
		contact:  c.contact,
		peers:    c.peers,
		gateways: c.gateways,
		table:    c.table,
		events:   c.events,
		proposer: c.proposer,
		limits:   rollout.Limits{ExposureShare: c.settings.Bounds.ExposureShare},
		log:      c.log,
	})
	c.gossip = newGossiper(gossipDependencies{
		self:       c.self,
		loop:       c.loop,
		clock:      c.clock,
		table:      c.table,
		acceptor:   c.acceptor,
		learner:    c.learner,
		contact:    c.contact,
		verifier:   c.verifier,
		peers:      c.peers,
		gateways:   c.gateways,
		polls:      c.polls,
		reports:    c.reports,
		membership: c.membership,
		heartbeats: c.heartbeats,
		departures: c.departures,
		updates:    c.updates,
		rollouts:   c.rollouts,
	})
}

// wireProposals creates the components that start proposals.
func (c *Controller) wireProposals() {
	c.scheduler = newProposalScheduler(schedulerDependencies{
		firstStart: c.settings.FirstStart,
		loop:       c.loop,
		clock:      c.clock,
		learner:    c.learner,
		acceptor:   c.acceptor,
		membership: c.membership,
		completion: c.completion,
		proposer:   c.proposer,
	})
	c.drainer = &drainer{
		self:        c.self,
		gracePeriod: gracePeriod(c.settings.Bounds.GracePeriodS),
		loop:        c.loop,
		clock:       c.clock,
		learner:     c.learner,
		acceptor:    c.acceptor,
		peers:       c.peers,
		membership:  c.membership,
		completion:  c.completion,
		proposer:    c.proposer,
		killed:      c.killed,
		log:         c.log,
	}
}

// valueLearned implements learnListener.
func (c *Controller) valueLearned(v *consensus.Value) {
	for _, m := range v.Acceptors() {
		c.peers.add(m.Address)
	}
	c.updates.request(true)
	c.peers.gossipNow()
}

// decisionObserved implements learnListener.
func (c *Controller) decisionObserved(d consensus.Decision) { c.acceptor.recordDecision(d) }

// departuresStored implements departureListener.
func (c *Controller) departuresStored() {
	c.gossip.confirmStored()
	c.heartbeats.completeWaits()
}

// observeBallot implements ballotObserver.
func (c *Controller) observeBallot(number uint64) { c.proposer.observeBallot(number) }

func (c *Controller) startGossip(ctx context.Context, p *peer) { c.gossip.start(ctx, p) }

// Run serves until the context is canceled and the controller has drained, or until Kill is called. It returns an error if it can't
// listen on one of its addresses or can't close the state file. It must be called at most once.
func (c *Controller) Run(ctx context.Context) error {
	control, err := c.network.Listen(c.settings.Listen.Control)
	if err != nil {
		return eris.Wrap(err, "listening on the control address")
	}
	internal, err := c.network.Listen(c.self.address)
	if err != nil {
		control.Close()
		return eris.Wrap(err, "listening on the internal address")
	}
	server := &rpc.Server{Handle: c.handleFrame, OnClose: func(conn *rpc.Conn) { c.loop.post(func() { c.polls.drop(conn) }) }}
	api := &http.Server{Handler: c.handler(), ReadHeaderTimeout: apiHeaderTimeout, IdleTimeout: apiIdleTimeout}
	c.routines.Go(func() { server.Serve(internal) })
	c.routines.Go(func() { api.Serve(control) })
	c.routines.Go(c.runLoop)
	c.loop.post(c.begin)
	closeStore := c.store.Close
	select {
	case <-ctx.Done():
		stopBy := time.Now().Add(c.drainer.gracePeriod - exitReserve)
		closeStore = func() error { return c.closeStoreBy(stopBy) }
		c.drainBy(stopBy, control, api)
	case <-c.killed:
	}
	api.Close()
	internal.Close()
	c.loop.stop()
	c.routines.Wait()
	c.gossip.loops.Wait()
	return closeStore()
}

// drainBy drains the controller and then completes the requests that its API has received, both until a time at the latest.
func (c *Controller) drainBy(stopBy time.Time, control net.Listener, api *http.Server) {
	c.log.Info().Msg("controller: draining")
	c.drainer.drain()
	ctx, cancel := context.WithTimeout(context.Background(), min(apiCloseTimeout, time.Until(stopBy)))
	defer cancel()
	control.Close()
	api.Shutdown(ctx)
}

// closeStoreBy closes the state file unless its disk stalls until the given time. All that was acknowledged is on the disk already.
func (c *Controller) closeStoreBy(stopBy time.Time) error {
	err := c.store.CloseWithin(max(time.Until(stopBy), minStoreClose))
	if errors.Is(err, acceptorstore.ErrCloseTimeout) {
		c.log.Warn().Err(err).Msg("controller: stopped while its disk stalls")
		return nil
	}
	return err
}

// SetSeeds replaces the internal addresses of the controllers that this one contacts whether they have been seen or not. It is safe for
// concurrent use.
func (c *Controller) SetSeeds(addresses []string) {
	c.loop.post(func() { c.peers.setSeeds(addresses) })
}

// Kill makes Run return immediately without draining, as if the process were killed. It must be called at most once.
func (c *Controller) Kill() { close(c.killed) }

// StallDisk blocks the goroutine that accesses the state file for a duration. For tests.
func (c *Controller) StallDisk(d time.Duration) { c.acceptor.stall(d) }

// Freeze blocks the event loop for a duration, which simulates a process that is stopped: messages that arrive in the meantime are
// handled afterwards. If clock is true, the monotonic clock also stops, which simulates a machine that is suspended. For tests.
func (c *Controller) Freeze(d time.Duration, clock bool) {
	c.loop.post(func() {
		select {
		case <-time.After(d):
		case <-c.loop.stopped:
		}
		if clock {
			c.clock.setBack(d)
		}
	})
}

// Committed returns the slot of CommittedValue and its version of the configuration, or zeros if there is none.
func (c *Controller) Committed() (slot consensus.Slot, version consensus.Version) {
	v := c.CommittedValue()
	if v == nil {
		return 0, 0
	}
	return v.Slot, v.Version
}

// CommittedValue returns the newest value that this controller knows to be decided. It returns nil if there is none or the
// controller has stopped.
func (c *Controller) CommittedValue() *consensus.Value {
	v, _ := query(c.loop, c.learner.decided)
	return v
}

// StoredState returns the acceptor state on the disk after all queued updates. ok is false if the disk doesn't answer within a
// second. For tests.
func (c *Controller) StoredState() (state consensus.AcceptorState, ok bool) {
	return c.acceptor.storedState()
}
