package controlplane

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
)

const (
	defaultGracePeriod   = 3500 * time.Millisecond // if the settings have none
	shutdownMargin       = 1500 * time.Millisecond // part of the grace period that is reserved for stopping after the drain
	exitReserve          = 250 * time.Millisecond  // part of the grace period that remains after the state file was closed or given up
	minStoreClose        = 100 * time.Millisecond  // minimum time for closing the state file
	shutdownPollInterval = 20 * time.Millisecond   // between two checks whether the controller may stop
)

// leaveStatus describes whether a member may stop, and what prevents it.
type leaveStatus struct {
	reason     consensus.LeaveStatus
	incomplete []consensus.Member // members that are not known to hold the newest value
	successor  *consensus.Member  // may replace this controller; nil = there is none, or this controller is not a member
}

// drainer delays the shutdown of a controller until no replica and no accepted value is lost by it.
type drainer struct {
	self        identity
	gracePeriod time.Duration
	loop        *eventLoop
	clock       *monotonicClock
	learner     *learner
	acceptor    *acceptorEndpoint
	peers       *peerSet
	membership  *membershipManager
	completion  *replicaCompletion
	proposer    *proposer
	killed      <-chan struct{}
	log         zerolog.Logger
}

// gracePeriod returns the time from the signal to stop until the process is killed, given the setting; 0 or less means that there is none.
func gracePeriod(seconds float64) time.Duration {
	if seconds <= 0 {
		return defaultGracePeriod
	}
	return settings.Seconds(seconds)
}

// drain returns when the controller may stop permanently, even if its disk is lost: its membership was handed over to a controller
// that was not a member, the change is confirmed, and all remaining members have reported that their disks hold the newest value. It
// returns immediately if the replicas are complete and there is no controller to which the membership can be handed over, and after
// the timeout at the latest. It must not be called on the event loop.
func (d *drainer) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), max(d.gracePeriod-shutdownMargin, 0))
	defer cancel()
	needed, ok := query(d.loop, d.begin)
	if !ok || !needed {
		return
	}
	for {
		status, ok := query(d.loop, d.status)
		if !ok || status.reason == consensus.LeaveAllowed && status.successor == nil {
			return
		}
		if status.successor != nil {
			handOver(ctx, d.proposer, d.self.id, *status.successor)
		}
		select {
		case <-time.After(shutdownPollInterval):
		case <-ctx.Done():
			d.log.Warn().Stringer("reason", status.reason).Interface("incomplete", status.incomplete).Msg("controller: drain timed out")
			return
		case <-d.killed:
			return
		}
	}
}

// begin starts the drain. It reports whether stopping now may lose a replica or an accepted value that is needed: the controller is
// an acceptor of the newest value, or it is unknown whether the value that it accepted was decided. Other controllers may stop
// immediately.
func (d *drainer) begin() (needed bool) {
	d.membership.draining = true
	d.peers.gossipNow() // the replies report the current replicas of the peers
	if !d.learner.confirmed {
		return d.acceptor.newestSlot > 0
	}
	return consensus.Contains(d.learner.value.Acceptors(), d.self.id) || !d.learner.decision.Resolves(d.acceptor.replica)
}

// status returns whether the controller may stop now, and what prevents it.
func (d *drainer) status() leaveStatus {
	if !d.learner.confirmed {
		return leaveStatus{reason: consensus.UnresolvedAccept}
	}
	now := d.clock.now()
	reason, incomplete := d.learner.decision.CheckLeave(d.self.id, d.acceptor.replica, d.completion.replicas(now))
	return leaveStatus{reason, incomplete, d.membership.successor(now)}
}
