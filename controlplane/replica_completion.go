package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/consensus"
)

// How long an incomplete replica is left alone, and up to as much more at random. The machine whose replica it is acts first, as
// that costs the others nothing. A proposal, which involves all, is for what that machine can't do alone.
const (
	selfRepairDelay = 400 * time.Millisecond // an Accept in flight is not overtaken
	repairDelay     = 1600 * time.Millisecond
)

// replicaCompletion determines when members lack the newest value on their disks, and completes this controller's own replica. It
// belongs to the event loop.
type replicaCompletion struct {
	self       identity
	learner    *learner
	acceptor   *acceptorEndpoint
	contact    *contactMonitor
	peers      *peerSet
	selfRepair consensus.RepairSchedule // of this controller's own replica
	repair     consensus.RepairSchedule // of all, by a proposal
}

func newReplicaCompletion(self identity, learner *learner, acceptor *acceptorEndpoint, contact *contactMonitor, peers *peerSet) *replicaCompletion {
	return &replicaCompletion{
		self: self, learner: learner, acceptor: acceptor, contact: contact, peers: peers,
		selfRepair: consensus.RepairSchedule{Delay: selfRepairDelay},
		repair:     consensus.RepairSchedule{Delay: repairDelay},
	}
}

// replicas returns what the acceptors in contact reported of their disks, this controller's own among them.
func (c *replicaCompletion) replicas(now time.Duration) map[consensus.AcceptorID]consensus.Replica {
	return c.peers.replicas(now, c.acceptor.replica)
}

// incomplete returns the members that are not known to hold the newest value.
func (c *replicaCompletion) incomplete(now time.Duration) []consensus.Member {
	return c.learner.decision.Unreplicated(c.replicas(now))
}

// due reports whether a proposal should store the decided value again, for members in contact that are not known to hold it. It
// is to be called regularly: a replica counts as incomplete from when a call first saw it.
func (c *replicaCompletion) due(now time.Duration) bool {
	if !c.learner.confirmed || !c.learner.isMember(c.self.id) || !c.contact.hasQuorum(now) {
		return false
	}
	replicas := c.replicas(now)
	incomplete := slices.DeleteFunc(c.learner.decision.Unreplicated(replicas), func(m consensus.Member) bool {
		_, reported := replicas[m.ID]
		return !reported
	})
	c.completeOwn(now, incomplete)
	return c.repair.Due(now, c.learner.value.Slot, incomplete, c.acceptor.replica.Ballot, rand.Float64())
}

// recordAttempt notes that a proposal which due asked for has ended.
func (c *replicaCompletion) recordAttempt(now time.Duration) {
	c.repair.RecordAttempt(now, rand.Float64())
}

// completeOwn has this controller's acceptor take the Accept that decided the newest value, where that never arrived. If the
// acceptor has promised a higher ballot since, it refuses, and a proposal completes the replica.
func (c *replicaCompletion) completeOwn(now time.Duration, incomplete []consensus.Member) {
	own := slices.DeleteFunc(slices.Clone(incomplete), func(m consensus.Member) bool { return m.ID != c.self.id })
	if !c.selfRepair.Due(now, c.learner.value.Slot, own, c.acceptor.replica.Ballot, rand.Float64()) {
		return
	}
	c.selfRepair.RecordAttempt(now, rand.Float64())
	if accept, ok := c.learner.decision.CatchUpAccept(c.self.id); ok {
		c.acceptor.catchUp(accept, c.learner.decision)
	}
}
