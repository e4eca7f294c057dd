package controlplane

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
)

const (
	shutdownMargin         = 1500 * time.Millisecond // of the grace period, left for the end itself
	defaultShutdownTimeout = 2 * time.Second         // without a grace period
	shutdownPollInterval   = 20 * time.Millisecond   // between two checks whether the controller may end
)

// leaveStatus is what keeps a member from ending.
type leaveStatus struct {
	reason     consensus.LeaveStatus
	incomplete []consensus.Member // not known to hold the newest value
	successor  *consensus.Member  // who may become a member in place of this controller; nil = there is none, or this controller is no member
}

// drainer keeps a controller that is to end running until its end loses nothing.
type drainer struct {
	self       identity
	timeout    time.Duration
	loop       *eventLoop
	clock      *steadyClock
	learner    *learner
	acceptor   *acceptorEndpoint
	peers      *peerSet
	membership *membershipManager
	completion *replicaCompletion
	proposer   *proposer
	killed     <-chan struct{}
	log        zerolog.Logger
}

// drainTimeout returns how long a controller with a grace period, in seconds, may take to drain.
func drainTimeout(gracePeriodS float64) time.Duration {
	if gracePeriodS <= 0 {
		return defaultShutdownTimeout
	}
	return max(settings.Seconds(gracePeriodS)-shutdownMargin, 0)
}

// drain returns when the controller may end for good, perhaps with its disk: its membership was handed to a controller that is
// no member, the change is confirmed, and all members that stay have reported that their disks hold the newest value. It returns
// at once where the replicas are complete and there is no controller to hand the membership to, and after the timeout at the latest. Not
// on the event loop.
func (d *drainer) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
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

// begin starts to drain. It reports whether the controller's end may lose a replica or an accepted value that is needed: it is an
// acceptor of the newest value, or doesn't know whether what it accepted was decided. Others may end at once.
func (d *drainer) begin() (needed bool) {
	d.membership.draining = true
	d.peers.gossipNow() // the replies report what the peers' disks hold now
	if !d.learner.confirmed {
		return d.acceptor.newestSlot > 0
	}
	return consensus.Contains(d.learner.value.Acceptors(), d.self.id) || !d.learner.decision.Resolves(d.acceptor.replica)
}

// status returns what keeps the controller from ending now.
func (d *drainer) status() leaveStatus {
	if !d.learner.confirmed {
		return leaveStatus{reason: consensus.UnresolvedAccept}
	}
	now := d.clock.now()
	reason, incomplete := d.learner.decision.CheckLeave(d.self.id, d.acceptor.replica, d.completion.replicas(now))
	return leaveStatus{reason, incomplete, d.membership.successor(now)}
}
