package dataplane

import (
	"context"
	"errors"
	"time"

	"oxbowspan/config"
	"oxbowspan/rpc"
)

// Timing of polls to controllers and to other gateways.
const (
	pollHold              = time.Second // how long a controller may hold a poll until there is an update
	rolloutHoldPerGateway = 2 * time.Millisecond
	minRolloutHold        = 200 * time.Millisecond // while a rollout runs, as each poll reports its outcomes
	pollTimeoutMargin     = 700 * time.Millisecond // beyond the hold time, after which the controller counts as unreachable
	retryPause            = 120 * time.Millisecond // before the next controller, after one that does not answer or has no quorum
	startupRetryPause     = 40 * time.Millisecond  // the same while no configuration is known, when all clients are refused
	startupGrace          = 3 * time.Second        // from the start; if no controller with a quorum was found by then, one without is accepted
	peerPollInterval      = 2 * time.Second        // between polls of other gateways, while no controller with a quorum answers
)

// updateSink receives the updates of controllers and other gateways. All methods run on the loop's goroutine.
type updateSink interface {
	// activateConfig activates a configuration of a slot.
	activateConfig(c *config.Configuration, encoded []byte, slot uint64)
	// applyReports applies an update's server reports.
	applyReports(update *rpc.Update)
	// applyPeerUpdate applies the documents and server reports of another gateway.
	applyPeerUpdate(update *rpc.Update)
	// applyUpdate applies a controller's update except for its configuration. polledAt is when the poll was sent that it answers.
	applyUpdate(update *rpc.Update, polledAt time.Duration)
	// pollStatus returns the status that a poll reports.
	pollStatus() pollStatus
}

// pollStatus is the status of this gateway that a poll reports to the controllers.
type pollStatus struct {
	healthChecks []*rpc.ServerReport
	stats        *rpc.GatewayStats    // nil = nothing to report
	rollouts     *rpc.GatewayRollouts // nil = none is running
}

// configFollower polls the controllers for updates, one controller at a time. Each poll states the versions that this gateway has. While
// no controller with a quorum answers, it polls other gateways as well. It runs on its own goroutine, which owns its fields.
type configFollower struct {
	process     *process
	loop        commandLoop
	stopped     <-chan struct{} // closed when the loop has stopped
	sink        updateSink
	controllers *controllerList
	clients     map[string]*rpc.Client // of the known controllers, by address

	// What this gateway has received so far.
	slot                  uint64 // of the configuration, 0 = none
	controllerIncarnation uint64 // of the controller that issued cursor, 0 = request a full update
	cursor                uint64
	membershipEpoch       uint64

	peers        []string // internal addresses of other gateways
	peerPolls    int
	startedAt    time.Time
	lastQuorumAt time.Time // when the last poll was sent that a controller with a quorum answered
	peerPolledAt time.Time
}

func newConfigFollower(p *process, loop commandLoop, stopped <-chan struct{}, sink updateSink) *configFollower {
	return &configFollower{
		process:     p,
		loop:        loop,
		stopped:     stopped,
		sink:        sink,
		controllers: newControllerList(p),
		clients:     map[string]*rpc.Client{},
	}
}

// run polls until the context is done.
func (f *configFollower) run(ctx context.Context) {
	f.startedAt = time.Now()
	f.lastQuorumAt, f.peerPolledAt = f.startedAt, f.startedAt
	defer f.closeClients()
	for ctx.Err() == nil {
		if f.isolated() {
			f.pollPeer(ctx)
		}
		f.pollController(ctx)
	}
}

// pollController polls the current controller once. It switches to the next one if the controller does not respond in time, has no
// quorum or may be outdated.
func (f *configFollower) pollController(ctx context.Context) {
	f.controllers.adoptSeeds()
	client := f.client(f.controllers.current().address)
	poll := f.newPoll()
	sentAt, polledAt := time.Now(), duration(f.loop.now())
	timeout := f.pollTimeout()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	reply, err := client.Call(callCtx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: poll}})
	cancel()
	update := reply.GetUpdate()
	if err != nil || update == nil || time.Since(sentAt) > timeout { // a reply that was read late, after this process was frozen, may be outdated
		if errors.Is(err, rpc.ErrTimeout) {
			client.Disconnect()
		}
		f.switchController(ctx, f.retryPause())
		return
	}
	if f.outdated(update) {
		f.loop.post(func() { f.sink.applyReports(update) })
		f.switchController(ctx, f.retryPause())
		return
	}
	if update.HasQuorum {
		f.lastQuorumAt = sentAt
	}
	f.accept(update, polledAt)
	if !update.HasQuorum {
		f.switchController(ctx, retryPause)
	}
}

// newPoll returns a poll that states what this gateway has received so far, and its status.
func (f *configFollower) newPoll() *rpc.Poll {
	poll := &rpc.Poll{
		From: &rpc.Gateway{
			Incarnation: f.process.incarnation,
			Address:     string(f.process.name),
			Zone:        f.process.settings.Zone,
			Left:        f.process.draining.Load(),
		},
		Slot:                  f.slot,
		ControllerIncarnation: f.controllerIncarnation,
		Cursor:                f.cursor,
		MembershipEpoch:       f.membershipEpoch,
		WaitMs:                uint32(pollHold / time.Millisecond),
	}
	f.fillStatus(poll)
	return poll
}

// fillStatus adds the gateway's status to a poll. The loop sends the status over a channel: if the loop stops meanwhile, this goroutine
// returns without sharing a variable with it.
func (f *configFollower) fillStatus(poll *rpc.Poll) {
	statuses := make(chan pollStatus, 1)
	if !f.loop.post(func() { statuses <- f.sink.pollStatus() }) {
		return
	}
	select {
	case status := <-statuses:
		poll.HealthChecks, poll.Stats, poll.Rollouts = status.healthChecks, status.stats, status.rollouts
		if poll.Rollouts != nil {
			poll.WaitMs = uint32(rolloutHold(len(f.peers)+1) / time.Millisecond)
		}
	case <-f.stopped:
	}
}

// rolloutHold returns how long a poll may be held while a rollout runs. It grows with the number of gateways, as all of them poll the
// same controllers.
func rolloutHold(gateways int) time.Duration {
	return min(max(minRolloutHold, time.Duration(gateways)*rolloutHoldPerGateway), pollHold)
}

// pollTimeout returns how long to wait for an update. A controller answers the first poll without holding it.
func (f *configFollower) pollTimeout() time.Duration {
	if f.controllerIncarnation == 0 {
		return pollTimeoutMargin
	}
	return pollHold + pollTimeoutMargin
}

// outdated reports whether an update may be outdated. It may be if it comes from a controller without a quorum, which is isolated or has
// just started, and either the configuration of this gateway is newer, or this gateway has just started and may still find a controller
// with a quorum.
func (f *configFollower) outdated(update *rpc.Update) bool {
	if update.HasQuorum {
		return false
	}
	return f.slot == 0 && time.Since(f.startedAt) < startupGrace || f.slot > update.Slot
}

// accept applies an update that is not outdated.
func (f *configFollower) accept(update *rpc.Update, polledAt time.Duration) {
	f.controllerIncarnation, f.cursor = update.ControllerIncarnation, update.Cursor
	if update.HasGateways {
		f.setPeers(update)
	}
	if update.Slot > f.slot {
		f.slot = update.Slot
		f.parseConfig(update)
	}
	f.loop.post(func() { f.sink.applyUpdate(update, polledAt) })
	if len(update.Controllers) > 0 {
		f.setControllers(update.Controllers)
	}
}

func (f *configFollower) setPeers(update *rpc.Update) {
	f.membershipEpoch = update.MembershipEpoch
	f.peers = f.peers[:0]
	for _, gateway := range update.Gateways {
		if gateway.Address != string(f.process.name) {
			f.peers = append(f.peers, gateway.Address)
		}
	}
}

func (f *configFollower) setControllers(announced []*rpc.Controller) {
	changed, currentKept := f.controllers.update(announced)
	if !changed {
		return
	}
	for address, client := range f.clients {
		if _, known := f.controllers.known[address]; !known {
			client.Close()
			delete(f.clients, address)
		}
	}
	if !currentKept {
		f.controllerIncarnation = 0
	}
}

// switchController makes the next controller the current one, and pauses before it is polled.
func (f *configFollower) switchController(ctx context.Context, pause time.Duration) {
	f.controllers.advance()
	f.controllerIncarnation = 0
	sleep(ctx, pause)
}

// retryPause returns the pause before the next controller is polled, after one that did not answer or may be outdated.
func (f *configFollower) retryPause() time.Duration {
	if f.slot == 0 {
		return startupRetryPause
	}
	return retryPause
}

// isolated reports whether a poll of another gateway is due because no controller with a quorum has answered for peerPollInterval.
func (f *configFollower) isolated() bool {
	now := time.Now()
	return len(f.peers) > 0 && now.Sub(f.lastQuorumAt) > peerPollInterval && now.Sub(f.peerPolledAt) > peerPollInterval
}

// pollPeer polls the next of the other gateways in turn: it may reach controllers that this one does not reach. The active
// configuration of any gateway has been decided, so it is safe to use.
func (f *configFollower) pollPeer(ctx context.Context) {
	f.peerPolledAt = time.Now()
	f.peerPolls++
	address := f.peers[f.peerPolls%len(f.peers)]
	client := &rpc.Client{Address: address, Network: f.process.network}
	defer client.Close()
	callCtx, cancel := context.WithTimeout(ctx, pollTimeoutMargin)
	defer cancel()
	sentAt := time.Now()
	reply, err := client.Call(callCtx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{Slot: f.slot}}})
	update := reply.GetUpdate()
	if err != nil || update == nil || time.Since(sentAt) > pollTimeoutMargin {
		return
	}
	f.loop.post(func() { f.sink.applyPeerUpdate(update) })
	if update.Slot > f.slot && update.HasConfig {
		f.process.log.Info().Str("peer", address).Uint64("version", update.Version).
			Msg("config: no controller with a quorum answers, taken from a peer")
		f.parseConfig(update)
		f.slot = update.Slot
	}
}

// parseConfig parses an update's configuration, if it contains one, and passes it to the loop.
func (f *configFollower) parseConfig(update *rpc.Update) {
	if !update.HasConfig {
		return
	}
	parsed, err := config.Parse(update.Config)
	if err != nil {
		f.process.log.Error().Err(err).Uint64("version", update.Version).Msg("config: invalid configuration ignored")
		return
	}
	f.loop.post(func() { f.sink.activateConfig(parsed, update.Config, update.Slot) })
}

// client returns the RPC client for a controller, which it creates on first use.
func (f *configFollower) client(address string) *rpc.Client {
	client := f.clients[address]
	if client == nil {
		client = &rpc.Client{Address: address, Network: f.process.network}
		f.clients[address] = client
	}
	return client
}

func (f *configFollower) closeClients() {
	for _, client := range f.clients {
		client.Close()
	}
}

// sleep waits for d, or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
