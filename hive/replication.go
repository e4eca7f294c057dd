package hive

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/dance"
	"oxbowspan/swarm"
)

// meWithCopy is what this hive tells other hives of itself: what its disk holds, and since which ballot the value that it
// knows is decided.
func (h *Hive) meWithCopy() *dance.Hive {
	m := h.me()
	m.StoredTurn, m.StoredBallot, m.Leaving = uint64(h.copy.Turn), dance.FromBallot(h.copy.Ballot), h.leaving
	if h.confirmed {
		m.DecidedBallot = dance.FromBallot(h.decision.First)
		if h.decision.Last != h.decision.First {
			m.DecidedLast = dance.FromBallot(h.decision.Last)
		}
	}
	return m
}

// toldCopy takes what another hive tells of its disk, and since which ballot the turn that it knows is decided.
func (h *Hive) toldCopy(p *peer, from *dance.Hive, turn swarm.Turn) {
	p.tellsCopy, p.leaving = from.StoredBallot != nil, from.Leaving
	p.copy = swarm.Copy{Turn: swarm.Turn(from.StoredTurn), Ballot: dance.ToBallot(from.StoredBallot)}
	h.decidedAt(turn, dance.ToBallot(from.DecidedBallot))
	h.decidedAt(turn, dance.ToBallot(from.DecidedLast))
}

// decidedAt notes a ballot at which a turn was decided.
func (h *Hive) decidedAt(turn swarm.Turn, at swarm.Ballot) {
	if h.confirmed && turn == h.known.Turn {
		h.decision = h.decision.DecidedAt(at)
	}
}

// copies are what the acceptors in contact said of their disks, and what this machine's holds.
func (h *Hive) copies(now time.Duration) map[swarm.AcceptorID]swarm.Copy {
	out := map[swarm.AcceptorID]swarm.Copy{h.self: h.copy}
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
	if !h.confirmed || !swarm.Has(h.known.Members, h.self) || !h.inContact(now) {
		return false
	}
	copies := h.copies(now)
	lacking := slices.DeleteFunc(h.decision.Lacking(copies), func(m swarm.Member) bool {
		_, told := copies[m.ID]
		return !told
	})
	h.completeOwn(now, lacking)
	return h.repair.Due(now, h.known.Turn, lacking, h.copy.Ballot, rand.Float64())
}

// completeOwn has this machine's disk take the Accept that decided the agreed value, where that never reached it. Where it
// has promised a higher ballot since, it refuses, and a round completes the copy.
func (h *Hive) completeOwn(now time.Duration, lacking []swarm.Member) {
	own := slices.DeleteFunc(slices.Clone(lacking), func(m swarm.Member) bool { return m.ID != h.self })
	if !h.late.Due(now, h.known.Turn, own, h.copy.Ballot, rand.Float64()) {
		return
	}
	h.late.Tried(now, rand.Float64())
	a, ok := h.decision.Late(h.self)
	if !ok {
		return
	}
	taken, decision := false, h.decision
	h.store.Update(func(s swarm.State) swarm.State {
		if decision.ProvenBy(s.Copy()) {
			return s // it came after all
		}
		next, back := s.Accept(a)
		taken = back.OK
		return next
	}, func(_ swarm.State, err error) {
		if taken && err == nil {
			h.voteTurn.Store(uint64(a.Value.Turn)) // before anybody is told
			h.vote.Store(a.Value)
			go h.do(func() { h.hasVoted(a.Value.Turn, a.Ballot) })
		}
	})
}

// Stored is what this machine's disk holds. It waits for the disk. For tests and the emulator.
func (h *Hive) Stored() (swarm.State, bool) {
	states := make(chan swarm.State, 1)
	err := h.store.Update(func(s swarm.State) swarm.State { return s }, func(s swarm.State, _ error) { states <- s })
	if err != nil {
		return swarm.State{}, false
	}
	select {
	case s := <-states:
		return s, true
	case <-time.After(time.Second):
		return swarm.State{}, false
	}
}

// Known is the newest value that this hive knows to be agreed; nil = none. For tests and the emulator.
func (h *Hive) Known() *swarm.Value {
	known, _ := inquire(h, func() *swarm.Value {
		if !h.confirmed {
			return nil
		}
		return h.known
	})
	return known
}
