package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// errNoQuorum says that a round came to no end in time: its proposal may be decided yet, or not.
var errNoQuorum = errors.New("no majority answered in time")

func genesisID(control string) consensus.AcceptorID {
	return consensus.AcceptorID(xxhash.Sum64String("genesis "+control) | 1)
}

// handlePrepare and accept are the acceptor's side. An acceptor whose disk is behind says nothing: the round goes on with others.
func (h *Controller) handlePrepare(m *rpc.Prepare, answer func(*rpc.PrepareReply)) {
	var told consensus.PrepareReply
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState {
		next, p := s.HandlePrepare(consensus.Prepare{To: consensus.AcceptorID(m.Acceptor), Ballot: rpc.BallotFromProto(m.Ballot)})
		told = p
		return next
	}, func(s consensus.AcceptorState, err error) {
		if err != nil {
			h.log.Warn().Err(err).Msg("disk: a promise could not be stored")
			answer(&rpc.PrepareReply{Acceptor: uint64(h.self)})
			return
		}
		answer(&rpc.PrepareReply{Acceptor: uint64(told.From), Ok: told.OK, Promised: rpc.BallotToProto(told.Promised),
			Accepted: rpc.BallotToProto(told.Accepted), Value: rpc.ValueToProto(told.Value, append(rpc.DigestsFromProto(m.KnownBodies), string(m.KnownDigest))...),
			KnownBodies: rpc.DigestsToProto(rpc.BodyDigests(told.Value))})
	})
}

func (h *Controller) handleAccept(m *rpc.Accept, answer func(*rpc.AcceptReply)) {
	var told consensus.AcceptReply
	var value *consensus.Value
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState {
		// What was left out lies in the vote that the promise told of: no other was cast since, or this one is refused.
		value = rpc.ValueFromProto(m.Value, s.Value)
		next, a := s.HandleAccept(consensus.Accept{To: consensus.AcceptorID(m.Acceptor), Ballot: rpc.BallotFromProto(m.Ballot), Value: value})
		told = a
		return next
	}, func(s consensus.AcceptorState, err error) {
		if err != nil {
			h.log.Warn().Err(err).Msg("disk: a vote could not be stored")
			answer(&rpc.AcceptReply{Acceptor: uint64(h.self)})
			return
		}
		if told.OK {
			h.acceptedValue.Store(value)
			h.acceptedSlot.Store(uint64(value.Slot)) // before anybody is told
			go h.loop.post(func() { h.recordAccepted(value.Slot, rpc.BallotFromProto(m.Ballot)) })
		}
		answer(&rpc.AcceptReply{Acceptor: uint64(told.From), Ok: told.OK, Promised: rpc.BallotToProto(told.Promised)})
	})
}

// recordAccepted notes a vote: if its fate is not heard of soon, this hive finds it out.
func (h *Controller) recordAccepted(turn consensus.Slot, b consensus.Ballot) {
	h.highestBallot = max(h.highestBallot, b.Number)
	if b.Compare(h.ownReplica.Ballot) > 0 {
		h.ownReplica = consensus.Replica{Slot: turn, Ballot: b}
	}
	if turn > h.newestAccepted {
		h.newestAccepted, h.acceptedAt = turn, h.clock.now()
	}
}

// learnCommitted takes a value that is decided.
func (h *Controller) learnCommitted(v *consensus.Value) {
	if v == nil || h.confirmed && v.Slot <= h.known.Slot || v.Slot < h.known.Slot {
		return
	}
	old := h.known
	h.known, h.confirmed, h.decision = v, true, consensus.Decision{Value: v}
	h.history.Learn(v)
	for _, m := range v.Acceptors() {
		h.addPeer(m.Address)
	}
	for _, n := range v.Documents {
		if h.documentTimes[n.Name].version != n.Version {
			h.documentTimes[n.Name] = documentTime{n.Version, h.clock.now()}
			h.events.add(eventConfiguration, "version "+strconv.FormatUint(uint64(n.Version), 10)+" of the "+n.Name+" is agreed")
		}
	}
	if v.Version != old.Version {
		h.log.Info().Uint64("turn", uint64(v.Slot)).Uint64("version", uint64(v.Version)).Msg("config: a version is agreed")
		h.events.add(eventConfiguration, "version "+strconv.FormatUint(uint64(v.Version), 10)+" is agreed, on top of "+strconv.FormatUint(uint64(v.BasedOn), 10))
	}
	if len(v.Members) != len(old.Members) || !v.Confirmed() {
		h.log.Info().Uint64("turn", uint64(v.Slot)).Interface("members", v.Members).Msg("swarm: the acceptors are agreed")
		addresses := []string{}
		for _, m := range v.Members {
			addresses = append(addresses, m.Address)
		}
		h.events.add(eventMembership, "the acceptors are at "+strings.Join(addresses, ", "))
	}
	h.scheduleUpdate(true)
	h.gossipNow()
}

// proposalStart is what a round begins with.
type proposalStart struct {
	ballot consensus.Ballot
	known  *consensus.Value
}

// nextBallot numbers a new round, above all that were seen.
func (h *Controller) nextBallot() proposalStart {
	h.highestBallot++
	return proposalStart{consensus.Ballot{Number: h.highestBallot, By: h.proposerID}, h.known}
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
			h.loop.execute(func() { h.learnCommitted(v); h.observeDecidedBallot(v.Slot, start.ballot) })
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
		if m.ID == h.self {
			switch b := f.Body.(type) {
			case *rpc.Frame_Prepare:
				h.handlePrepare(b.Prepare, func(p *rpc.PrepareReply) { answers <- p })
			case *rpc.Frame_Accept:
				h.handleAccept(b.Accept, func(a *rpc.AcceptReply) { answers <- a })
			}
			return
		}
		p, _ := query(h.loop, func() *peer { return h.addPeer(m.Address) })
		if p == nil {
			return
		}
		limit, end := ctx, func() {}
		if f.GetAccept() != nil { // it outlives the decision: the slower members' disks are to hold the value, too
			limit, end = context.WithTimeout(context.Background(), peerCallTimeout)
		}
		go func() {
			defer end()
			a, err := p.caller.Call(limit, f)
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
	unresolved := !h.confirmed && (h.newestAccepted > 0 || !h.settings.FirstStart) || h.confirmed && !h.decision.Resolves(h.ownReplica) && now-h.acceptedAt > resolveDelay
	seatless := !h.draining && h.wantsMembership(now)
	unsettled := h.confirmed && !h.known.Confirmed() && now-h.acceptedAt > resolveDelay
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
