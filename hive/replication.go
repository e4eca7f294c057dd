package hive

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/dance"
)

// meWithCopy is what this hive tells other hives of itself: what its disk holds, and since which ballot the value that it
// knows is decided.
func (h *Hive) meWithCopy() *dance.Hive {
	m := h.me()
	m.StoredTurn, m.StoredBallot, m.Leaving = uint64(h.copy.Slot), dance.FromBallot(h.copy.Ballot), h.leaving
	if h.confirmed {
		m.DecidedBallot = dance.FromBallot(h.decision.First)
		if h.decision.Last != h.decision.First {
			m.DecidedLast = dance.FromBallot(h.decision.Last)
		}
	}
	return m
}

// toldCopy takes what another hive tells of its disk, and since which ballot the turn that it knows is decided.
func (h *Hive) toldCopy(p *peer, from *dance.Hive, turn consensus.Slot) {
	p.tellsCopy, p.leaving = from.StoredBallot != nil, from.Leaving
	p.copy = consensus.Replica{Slot: consensus.Slot(from.StoredTurn), Ballot: dance.ToBallot(from.StoredBallot)}
	h.decidedAt(turn, dance.ToBallot(from.DecidedBallot))
	h.decidedAt(turn, dance.ToBallot(from.DecidedLast))
}

// decidedAt notes a ballot at which a turn was decided.
func (h *Hive) decidedAt(turn consensus.Slot, at consensus.Ballot) {
	if h.confirmed && turn == h.known.Slot {
		h.decision = h.decision.WithBallot(at)
	}
}

// copies are what the acceptors in contact said of their disks, and what this machine's holds.
func (h *Hive) copies(now time.Duration) map[consensus.AcceptorID]consensus.Replica {
	out := map[consensus.AcceptorID]consensus.Replica{h.self: h.copy}
	for _, p := range h.peers {
		if p.tellsCopy && p.id != 0 && p.heardAt > 0 && now-p.heardAt < settledFor {
			out[p.id] = p.copy
		}
	}
	return out
}

// How long a lacking copy is given, and up to as much more by lot. The machine that lacks it is the first to act: it costs the
// others nothing. A round of all is for what it can't do by itself.
const (
	lateWait   = 400 * time.Millisecond // an Accept on its way is not overtaken
	repairWait = 1600 * time.Millisecond
)

// owesCopies tells whether this hive owes a round that stores the agreed value again, for members in contact whose copies
// are not proven. It looks each time, so that a copy counts as lacking from when it was first seen.
func (h *Hive) owesCopies(now time.Duration) bool {
	if !h.confirmed || !consensus.Contains(h.known.Members, h.self) || !h.inContact(now) {
		return false
	}
	copies := h.copies(now)
	lacking := slices.DeleteFunc(h.decision.Unreplicated(copies), func(m consensus.Member) bool {
		_, told := copies[m.ID]
		return !told
	})
	h.completeOwn(now, lacking)
	return h.repair.Due(now, h.known.Slot, lacking, h.copy.Ballot, rand.Float64())
}

// completeOwn has this machine's disk take the Accept that decided the agreed value, where that never reached it. Where it
// has promised a higher ballot since, it refuses, and a round completes the copy.
func (h *Hive) completeOwn(now time.Duration, lacking []consensus.Member) {
	own := slices.DeleteFunc(slices.Clone(lacking), func(m consensus.Member) bool { return m.ID != h.self })
	if !h.late.Due(now, h.known.Slot, own, h.copy.Ballot, rand.Float64()) {
		return
	}
	h.late.RecordAttempt(now, rand.Float64())
	a, ok := h.decision.CatchUpAccept(h.self)
	if !ok {
		return
	}
	taken, decision := false, h.decision
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState {
		if decision.ReplicatedBy(s.Replica()) {
			return s // it came after all
		}
		next, back := s.HandleAccept(a)
		taken = back.OK
		return next
	}, func(_ consensus.AcceptorState, err error) {
		if taken && err == nil {
			h.voteTurn.Store(uint64(a.Value.Slot)) // before anybody is told
			h.vote.Store(a.Value)
			go h.do(func() { h.hasVoted(a.Value.Slot, a.Ballot) })
		}
	})
}

// Stored is what this machine's disk holds. It waits for the disk. For tests and the emulator.
func (h *Hive) Stored() (consensus.AcceptorState, bool) {
	states := make(chan consensus.AcceptorState, 1)
	err := h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { return s }, func(s consensus.AcceptorState, _ error) { states <- s })
	if err != nil {
		return consensus.AcceptorState{}, false
	}
	select {
	case s := <-states:
		return s, true
	case <-time.After(time.Second):
		return consensus.AcceptorState{}, false
	}
}

// Known is the newest value that this hive knows to be agreed; nil = none. For tests and the emulator.
func (h *Hive) Known() *consensus.Value {
	known, _ := inquire(h, func() *consensus.Value {
		if !h.confirmed {
			return nil
		}
		return h.known
	})
	return known
}
