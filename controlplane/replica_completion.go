package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/consensus"
)

// The minimum time before an incomplete replica is repaired; up to the same time is added at random. The controller with the
// incomplete replica repairs it first, as that involves no other controller. A proposal, which involves all members, follows only if
// that was not sufficient.
const (
	selfRepairDelay = 400 * time.Millisecond // leaves time for an Accept in flight to arrive
	repairDelay     = 1600 * time.Millisecond
)

// replicaCompletion determines which members lack the newest value on their disks, and repairs this controller's own replica. It is
// owned by the event loop.
type replicaCompletion struct {
	self       identity
	learner    *learner
	acceptor   *acceptorEndpoint
	contact    *contactMonitor
	peers      *peerSet
	selfRepair consensus.RepairSchedule // for this controller's own replica
	repair     consensus.RepairSchedule // for the replicas of all members, by a proposal
}

func newReplicaCompletion(self identity, learner *learner, acceptor *acceptorEndpoint, contact *contactMonitor, peers *peerSet) *replicaCompletion {
	return &replicaCompletion{
		self: self, learner: learner, acceptor: acceptor, contact: contact, peers: peers,
		selfRepair: consensus.RepairSchedule{Delay: selfRepairDelay},
		repair:     consensus.RepairSchedule{Delay: repairDelay},
	}
}

// replicas returns the replicas that live acceptors have reported, including this controller's own.
func (c *replicaCompletion) replicas(now time.Duration) map[consensus.AcceptorID]consensus.Replica {
	return c.peers.replicas(now, c.acceptor.replica)
}

// incomplete returns the members that are not known to hold the newest value.
func (c *replicaCompletion) incomplete(now time.Duration) []consensus.Member {
	return c.learner.decision.Unreplicated(c.replicas(now))
}

// due reports whether a proposal should store the decided value again, because live members are not known to hold it. It must be
// called regularly, as the delays start at the call that first finds a replica incomplete.
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

// recordAttempt records the end of a proposal that due required.
func (c *replicaCompletion) recordAttempt(now time.Duration) {
	c.repair.RecordAttempt(now, rand.Float64())
}

// completeOwn passes the Accept that decided the newest value to this controller's acceptor if it never arrived there. If the
// acceptor has promised a higher ballot since, it refuses the Accept, and a proposal must complete the replica.
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
