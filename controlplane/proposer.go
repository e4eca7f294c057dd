package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// errNoQuorum says that a round came to no end in time: its proposal may be decided yet, or not.
var errNoQuorum = errors.New("no majority answered in time")

// proposalStart is what a round begins with.
type proposalStart struct {
	ballot consensus.Ballot
	known  *consensus.Value
}

// nextBallot numbers a new round, above all that were seen.
func (h *Controller) nextBallot() proposalStart {
	h.highestBallot++
	return proposalStart{consensus.Ballot{Number: h.highestBallot, By: h.proposerID}, h.learner.value}
}

// propose runs rounds until change has nothing more to say of the newest value, which is then decided. Its own rounds go
// one at a time.
func (h *Controller) propose(ctx context.Context, change consensus.ChangeFunc) (*consensus.Value, error) {
	select {
	case <-h.proposalToken:
		defer func() { h.proposalToken <- struct{}{} }()
	case <-ctx.Done():
		return nil, errNoQuorum
	case <-h.loop.stopped:
		return nil, errNoQuorum
	}
	for try := 0; ; try++ {
		start, ok := query(h.loop, h.nextBallot)
		if !ok {
			return nil, errNoQuorum
		}
		v, changed, err := h.runProposal(ctx, consensus.NewProposal(start.ballot, start.known, change))
		if err == nil {
			h.loop.execute(func() { h.learner.learn(v); h.learner.observeBallot(v.Slot, start.ballot) })
			if v.Confirmed() && changed {
				return v, nil
			}
			continue // the acceptors changed: that is confirmed first
		}
		if ctx.Err() != nil {
			return nil, errNoQuorum
		}
		// Duels end soon: each waits by lot, longer with each try.
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(min(try+1, 6)) * int64(25*time.Millisecond)))):
		case <-ctx.Done():
			return nil, errNoQuorum
		}
	}
}

// runProposal carries one round's messages. Changed tells whether the change was asked and has had its way.
func (h *Controller) runProposal(ctx context.Context, r *consensus.Proposal) (v *consensus.Value, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	answers := make(chan any, 32)
	known := r.Base()
	held := map[consensus.AcceptorID][]string{} // the bodies that each acceptor said that it has
	ask := func(m consensus.Member, f *rpc.Frame) {
		if m.ID == h.self.id {
			switch b := f.Body.(type) {
			case *rpc.Frame_Prepare:
				h.acceptor.handlePrepare(b.Prepare, func(p *rpc.PrepareReply) { answers <- p })
			case *rpc.Frame_Accept:
				h.acceptor.handleAccept(b.Accept, func(a *rpc.AcceptReply) { answers <- a })
			}
			return
		}
		p, _ := query(h.loop, func() *peer { return h.peers.add(m.Address) })
		if p == nil {
			return
		}
		limit, end := ctx, func() {}
		if f.GetAccept() != nil { // it outlives the decision: the slower members' disks are to hold the value, too
			limit, end = context.WithTimeout(context.Background(), peerCallTimeout)
		}
		go func() {
			defer end()
			a, err := p.client.Call(limit, f)
			if err != nil {
				return
			}
			switch b := a.Body.(type) {
			case *rpc.Frame_PrepareReply:
				answers <- b.PrepareReply
			case *rpc.Frame_AcceptReply:
				answers <- b.AcceptReply
			}
		}()
	}
	prepare := func() {
		for _, m := range r.NextPrepares() {
			ask(m, &rpc.Frame{Body: &rpc.Frame_Prepare{Prepare: &rpc.Prepare{Acceptor: uint64(m.ID),
				Ballot: rpc.BallotToProto(r.Ballot()), KnownDigest: []byte(known.Digest), KnownBodies: rpc.DigestsToProto(rpc.BodyDigests(known))}}})
		}
	}
	prepare()
	for {
		select {
		case a := <-answers:
			switch a := a.(type) {
			case *rpc.PrepareReply:
				value := rpc.ValueFromProto(a.Value, known)
				if a.Value != nil && value == nil {
					continue // a vote that can't be read is not the same as none
				}
				held[consensus.AcceptorID(a.Acceptor)] = rpc.DigestsFromProto(a.KnownBodies)
				to := r.HandlePrepareReply(consensus.PrepareReply{From: consensus.AcceptorID(a.Acceptor), OK: a.Ok, Promised: rpc.BallotFromProto(a.Promised),
					Accepted: rpc.BallotFromProto(a.Accepted), Value: value})
				if to == nil {
					prepare()
				}
				for _, m := range to {
					ask(m, &rpc.Frame{Body: &rpc.Frame_Accept{Accept: &rpc.Accept{Acceptor: uint64(m.ID),
						Ballot: rpc.BallotToProto(r.Ballot()), Value: rpc.ValueToProto(r.Value(), held[m.ID]...)}}})
				}
			case *rpc.AcceptReply:
				if r.HandleAcceptReply(consensus.AcceptReply{From: consensus.AcceptorID(a.Acceptor), OK: a.Ok, Promised: rpc.BallotFromProto(a.Promised)}) {
					return r.Value(), r.IncludesChange(), nil
				}
			}
			if by, lost := r.Preempted(); lost {
				h.loop.post(func() { h.highestBallot = max(h.highestBallot, by.Number) })
				return nil, false, errNoQuorum
			}
		case <-ctx.Done():
			return nil, false, errNoQuorum
		case <-h.loop.stopped:
			return nil, false, errNoQuorum
		}
	}
}

// startDueProposal starts a round where this hive owes one: to find out the fate of a vote, to get a seat, or to complete copies.
func (h *Controller) startDueProposal(now time.Duration) {
	incomplete := h.replicasIncomplete(now)
	if h.proposing || now < h.proposeAfter {
		return
	}
	unresolved := !h.learner.confirmed && (h.acceptor.newestSlot > 0 || !h.settings.FirstStart) || h.learner.confirmed && !h.learner.decision.Resolves(h.acceptor.replica) && now-h.acceptor.newestAt > resolveDelay
	seatless := !h.draining && h.wantsMembership(now)
	unsettled := h.learner.confirmed && !h.learner.value.Confirmed() && now-h.acceptor.newestAt > resolveDelay
	if !unresolved && !seatless && !unsettled && !incomplete {
		return
	}
	h.proposing = true
	change := consensus.ChangeFunc(func(v *consensus.Value) *consensus.Value { return v })
	if seatless {
		change = h.membershipRequest(now).apply // made here: it reads the owner's tables
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*peerCallTimeout)
		defer cancel()
		_, err := h.propose(ctx, change)
		h.loop.post(func() {
			h.proposing = false
			if incomplete {
				h.repair.RecordAttempt(h.clock.now(), rand.Float64())
			}
			h.proposeAfter = h.clock.now() + time.Duration(rand.Int64N(int64(resolveDelay)))
			if err != nil {
				h.proposeAfter += resolveDelay
			}
		})
	}()
}
