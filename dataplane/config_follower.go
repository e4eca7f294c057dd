package dataplane

import (
	"context"
	"errors"
	"time"

	"oxbowspan/config"
	"oxbowspan/rpc"
)

// Timing of the polls of controllers.
const (
	pollHold              = time.Second // for which a controller may hold a poll until there is something new
	rolloutHoldPerGateway = 2 * time.Millisecond
	minRolloutHold        = 200 * time.Millisecond // while a rollout runs: each poll reports how it fares
	pollTimeoutMargin     = 700 * time.Millisecond // beyond that, after which it counts as unreachable
	retryPause            = 120 * time.Millisecond // between controllers that don't answer or have no quorum,
	startupRetryPause     = 40 * time.Millisecond  // and while no configuration is known: until then every client is refused
	startupGrace          = 3 * time.Second        // after this an update of a controller without a quorum is accepted, as none with a quorum was found
	peerPollInterval      = 2 * time.Second        // between polls of other gateways, while no controller with a quorum answers
)

// updateSink takes the updates of controllers and other gateways. All methods run on the loop's goroutine.
type updateSink interface {
	// activateConfig takes a configuration with its encoding.
	activateConfig(c *config.Configuration, text []byte, slot uint64)
	// applyReports takes reports of servers.
	applyReports(update *rpc.Update)
	// applyPeerUpdate takes another gateway's documents and reports.
	applyPeerUpdate(update *rpc.Update)
	// applyUpdate takes all but the configuration of a controller's update, which answers a poll sent at polledAt.
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

// configFollower polls the controllers for updates, one at a time, each poll with what is known already. While no controller with a
// quorum answers, it polls other gateways as well. It runs on a goroutine of its own, which owns its fields.
type configFollower struct {
	process     *process
	loop        commandLoop
	stopped     <-chan struct{} // closed when the loop has stopped
	sink        updateSink
	controllers *controllerList
	clients     map[string]*rpc.Client // by address, of known controllers

	// What is known already.
	slot                  uint64 // of the configuration, 0 = none
	controllerIncarnation uint64 // of the controller that cursor belongs to, 0 = begin anew
	cursor                uint64
	membershipEpoch       uint64

	peers        []string // internal addresses of other gateways
	peerPolls    int
	startedAt    time.Time
	lastQuorumAt time.Time // when the poll was sent that a controller with a quorum answered last
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

// pollController polls the current controller once. It moves on to the next one if the controller does not respond in time, has no
// quorum or may be outdated.
func (f *configFollower) pollController(ctx context.Context) {
	client := f.client(f.controllers.current().address)
	poll := f.newPoll()
	sentAt, polledAt := time.Now(), duration(f.loop.now())
	timeout := f.pollTimeout()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	reply, err := client.Call(callCtx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: poll}})
	cancel()
	update := reply.GetUpdate()
	if err != nil || update == nil || time.Since(sentAt) > timeout { // one that was read late, after a freeze, may be outdated
		if errors.Is(err, rpc.ErrTimeout) {
			client.Disconnect()
		}
		f.moveOn(ctx, f.retryPause())
		return
	}
	if f.outdated(update) {
		f.loop.post(func() { f.sink.applyReports(update) })
		f.moveOn(ctx, f.retryPause())
		return
	}
	if update.HasQuorum {
		f.lastQuorumAt = sentAt
	}
	f.accept(update, polledAt)
	if !update.HasQuorum {
		f.moveOn(ctx, retryPause)
	}
}

// newPoll returns a poll with what is known already.
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

// fillStatus puts the gateway's status into a poll. The loop sends it through a channel, so that this goroutine shares no variable with
// the loop when the stop releases it.
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

// rolloutHold returns how long a poll may be held while a rollout runs: the more gateways there are, the longer, as all poll the same
// controllers.
func rolloutHold(gateways int) time.Duration {
	return min(max(minRolloutHold, time.Duration(gateways)*rolloutHoldPerGateway), pollHold)
}

// pollTimeout returns how long to wait for an update. A controller that is polled for the first time answers at once.
func (f *configFollower) pollTimeout() time.Duration {
	if f.controllerIncarnation == 0 {
		return pollTimeoutMargin
	}
	return pollHold + pollTimeoutMargin
}

// outdated reports whether an update may be outdated: it comes from a controller without a quorum, which is isolated or has just
// started, and the configuration known here is newer, or this gateway has just started and may still find a controller with a quorum.
func (f *configFollower) outdated(update *rpc.Update) bool {
	if update.HasQuorum {
		return false
	}
	return f.slot == 0 && time.Since(f.startedAt) < startupGrace || f.slot > update.Slot
}

// accept takes an update.
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
	changed, stays := f.controllers.update(announced)
	if !changed {
		return
	}
	for address, client := range f.clients {
		if _, known := f.controllers.known[address]; !known {
			client.Close()
			delete(f.clients, address)
		}
	}
	if !stays {
		f.controllerIncarnation = 0
	}
}

// moveOn makes the next controller the current one, and waits before it is polled.
func (f *configFollower) moveOn(ctx context.Context, pause time.Duration) {
	f.controllers.advance()
	f.controllerIncarnation = 0
	sleep(ctx, pause)
}

// retryPause returns the pause before the next controller is polled.
func (f *configFollower) retryPause() time.Duration {
	if f.slot == 0 {
		return startupRetryPause
	}
	return retryPause
}

// isolated reports whether it is time to poll another gateway, as no controller with a quorum has answered for a while.
func (f *configFollower) isolated() bool {
	now := time.Now()
	return len(f.peers) > 0 && now.Sub(f.lastQuorumAt) > peerPollInterval && now.Sub(f.peerPolledAt) > peerPollInterval
}

// pollPeer polls another gateway, each time the next: it may reach controllers that this one does not. The active configuration
// of any gateway has been decided, so that it is safe to use.
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

// parseConfig parses an update's configuration and passes it to the loop.
func (f *configFollower) parseConfig(update *rpc.Update) {
	if !update.HasConfig {
		return
	}
	parsed, err := config.Parse(update.Config)
	if err != nil {
		f.process.log.Error().Err(err).Uint64("version", update.Version).Msg("config: invalid version ignored")
		return
	}
	f.loop.post(func() { f.sink.activateConfig(parsed, update.Config, update.Slot) })
}

// client returns the client of a controller.
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

// sleep waits for a time, or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
