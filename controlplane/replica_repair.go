package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// describeSelfWithReplica is what this hive tells other hives of itself: what its disk holds, and since which ballot the value that it
// knows is decided.
func (h *Controller) describeSelfWithReplica() *rpc.Controller {
	m := h.describeSelf()
	m.StoredSlot, m.StoredBallot, m.Draining = uint64(h.acceptor.replica.Slot), rpc.BallotToProto(h.acceptor.replica.Ballot), h.draining
	if h.learner.confirmed {
		m.LowestDecidedBallot = rpc.BallotToProto(h.learner.decision.First)
		if h.learner.decision.Last != h.learner.decision.First {
			m.HighestDecidedBallot = rpc.BallotToProto(h.learner.decision.Last)
		}
	}
	return m
}

// observeReplica takes what another hive tells of its disk, and since which ballot the turn that it knows is decided.
func (h *Controller) observeReplica(p *peer, from *rpc.Controller, turn consensus.Slot) {
	p.reportsReplica, p.draining = from.StoredBallot != nil, from.Draining
	p.replica = consensus.Replica{Slot: consensus.Slot(from.StoredSlot), Ballot: rpc.BallotFromProto(from.StoredBallot)}
	h.learner.observeBallot(turn, rpc.BallotFromProto(from.LowestDecidedBallot))
	h.learner.observeBallot(turn, rpc.BallotFromProto(from.HighestDecidedBallot))
}

// How long a lacking copy is given, and up to as much more by lot. The machine that lacks it is the first to act: it costs the
// others nothing. A round of all is for what it can't do by itself.
const (
	selfRepairDelay = 400 * time.Millisecond // an Accept on its way is not overtaken
	repairDelay     = 1600 * time.Millisecond
)

// replicasIncomplete tells whether this hive owes a round that stores the agreed value again, for members in contact whose copies
// are not proven. It looks each time, so that a copy counts as lacking from when it was first seen.
func (h *Controller) replicasIncomplete(now time.Duration) bool {
	if !h.learner.confirmed || !consensus.Contains(h.learner.value.Members, h.self.id) || !h.contact.hasQuorum(now) {
		return false
	}
	copies := h.peers.replicas(now, h.acceptor.replica)
	lacking := slices.DeleteFunc(h.learner.decision.Unreplicated(copies), func(m consensus.Member) bool {
		_, told := copies[m.ID]
		return !told
	})
	h.completeOwnReplica(now, lacking)
	return h.repair.Due(now, h.learner.value.Slot, lacking, h.acceptor.replica.Ballot, rand.Float64())
}

// completeOwnReplica has this machine's disk take the Accept that decided the agreed value, where that never reached it. Where it
// has promised a higher ballot since, it refuses, and a round completes the copy.
func (h *Controller) completeOwnReplica(now time.Duration, lacking []consensus.Member) {
	own := slices.DeleteFunc(slices.Clone(lacking), func(m consensus.Member) bool { return m.ID != h.self.id })
	if !h.selfRepair.Due(now, h.learner.value.Slot, own, h.acceptor.replica.Ballot, rand.Float64()) {
		return
	}
	h.selfRepair.RecordAttempt(now, rand.Float64())
	a, ok := h.learner.decision.CatchUpAccept(h.self.id)
	if ok {
		h.acceptor.catchUp(a, h.learner.decision)
	}
}

// StoredState is what this machine's disk holds. It waits for the disk. For tests and the emulator.
func (h *Controller) StoredState() (consensus.AcceptorState, bool) { return h.acceptor.storedState() }

// CommittedValue is the newest value that this hive knows to be agreed; nil = none. For tests and the emulator.
func (h *Controller) CommittedValue() *consensus.Value {
	known, _ := query(h.loop, h.learner.decided)
	return known
}
