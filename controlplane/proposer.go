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
	"oxbowspan/dance"
)

// errNoQuorum says that a round came to no end in time: its proposal may be decided yet, or not.
var errNoQuorum = errors.New("no majority answered in time")

func genesisID(control string) consensus.AcceptorID {
	return consensus.AcceptorID(xxhash.Sum64String("genesis "+control) | 1)
}

// handlePrepare and accept are the acceptor's side. An acceptor whose disk is behind says nothing: the round goes on with others.
func (h *Controller) handlePrepare(m *dance.Prepare, answer func(*dance.Promise)) {
	var told consensus.PrepareReply
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState {
		next, p := s.HandlePrepare(consensus.Prepare{To: consensus.AcceptorID(m.To), Ballot: dance.ToBallot(m.Ballot)})
		told = p
		return next
	}, func(s consensus.AcceptorState, err error) {
		if err != nil {
			h.log.Warn().Err(err).Msg("disk: a promise could not be stored")
			answer(&dance.Promise{From: uint64(h.self)})
			return
		}
		answer(&dance.Promise{From: uint64(told.From), Ok: told.OK, Promised: dance.FromBallot(told.Promised),
			Accepted: dance.FromBallot(told.Accepted), Value: dance.FromValue(told.Value, append(dance.ToDigests(m.HaveBodies), string(m.Have))...),
			HaveBodies: dance.FromDigests(dance.Digests(told.Value))})
	})
}

func (h *Controller) handleAccept(m *dance.Accept, answer func(*dance.Accepted)) {
	var told consensus.AcceptReply
	var value *consensus.Value
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState {
		// What was left out lies in the vote that the promise told of: no other was cast since, or this one is refused.
		value = dance.ToValue(m.Value, s.Value)
		next, a := s.HandleAccept(consensus.Accept{To: consensus.AcceptorID(m.To), Ballot: dance.ToBallot(m.Ballot), Value: value})
		told = a
		return next
	}, func(s consensus.AcceptorState, err error) {
		if err != nil {
			h.log.Warn().Err(err).Msg("disk: a vote could not be stored")
			answer(&dance.Accepted{From: uint64(h.self)})
			return
		}
		if told.OK {
			h.acceptedValue.Store(value)
			h.acceptedSlot.Store(uint64(value.Slot)) // before anybody is told
			go h.do(func() { h.recordAccepted(value.Slot, dance.ToBallot(m.Ballot)) })
		}
		answer(&dance.Accepted{From: uint64(told.From), Ok: told.OK, Promised: dance.FromBallot(told.Promised)})
	})
}

// recordAccepted notes a vote: if its fate is not heard of soon, this hive finds it out.
func (h *Controller) recordAccepted(turn consensus.Slot, b consensus.Ballot) {
	h.highestBallot = max(h.highestBallot, b.Number)
	if b.Compare(h.ownReplica.Ballot) > 0 {
		h.ownReplica = consensus.Replica{Slot: turn, Ballot: b}
	}
	if turn > h.newestAccepted {
		h.newestAccepted, h.acceptedAt = turn, h.now()
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
			h.documentTimes[n.Name] = documentTime{n.Version, h.now()}
			h.logEvent("config", "version "+strconv.FormatUint(uint64(n.Version), 10)+" of the "+n.Name+" is agreed")
		}
	}
	if v.Version != old.Version {
		h.log.Info().Uint64("turn", uint64(v.Slot)).Uint64("version", uint64(v.Version)).Msg("config: a version is agreed")
		h.logEvent("config", "version "+strconv.FormatUint(uint64(v.Version), 10)+" is agreed, on top of "+strconv.FormatUint(uint64(v.BasedOn), 10))
	}
	if len(v.Members) != len(old.Members) || !v.Confirmed() {
		h.log.Info().Uint64("turn", uint64(v.Slot)).Interface("members", v.Members).Msg("swarm: the acceptors are agreed")
		addresses := []string{}
		for _, m := range v.Members {
			addresses = append(addresses, m.Address)
		}
		h.logEvent("members", "the acceptors are at "+strings.Join(addresses, ", "))
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
	case <-h.stopped:
		return nil, errNoQuorum
	}
	for try := 0; ; try++ {
		start, ok := inquire(h, h.nextBallot)
		if !ok {
			return nil, errNoQuorum
		}
		v, changed, err := h.runProposal(ctx, consensus.NewProposal(start.ballot, start.known, change))
		if err == nil {
			h.ask(func() { h.learnCommitted(v); h.observeDecidedBallot(v.Slot, start.ballot) })
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
	ask := func(m consensus.Member, f *dance.Frame) {
		if m.ID == h.self {
			switch b := f.Body.(type) {
			case *dance.Frame_Prepare:
				h.handlePrepare(b.Prepare, func(p *dance.Promise) { answers <- p })
			case *dance.Frame_Accept:
				h.handleAccept(b.Accept, func(a *dance.Accepted) { answers <- a })
			}
			return
		}
		p, _ := inquire(h, func() *peer { return h.addPeer(m.Address) })
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
			case *dance.Frame_Promise:
				answers <- b.Promise
			case *dance.Frame_Accepted:
				answers <- b.Accepted
			}
		}()
	}
	prepare := func() {
		for _, m := range r.NextPrepares() {
			ask(m, &dance.Frame{Body: &dance.Frame_Prepare{Prepare: &dance.Prepare{To: uint64(m.ID),
				Ballot: dance.FromBallot(r.Ballot()), Have: []byte(known.Digest), HaveBodies: dance.FromDigests(dance.Digests(known))}}})
		}
	}
	prepare()
	for {
		select {
		case a := <-answers:
			switch a := a.(type) {
			case *dance.Promise:
				value := dance.ToValue(a.Value, known)
				if a.Value != nil && value == nil {
					continue // a vote that can't be read is not the same as none
				}
				held[consensus.AcceptorID(a.From)] = dance.ToDigests(a.HaveBodies)
				to := r.HandlePrepareReply(consensus.PrepareReply{From: consensus.AcceptorID(a.From), OK: a.Ok, Promised: dance.ToBallot(a.Promised),
					Accepted: dance.ToBallot(a.Accepted), Value: value})
				if to == nil {
					prepare()
				}
				for _, m := range to {
					ask(m, &dance.Frame{Body: &dance.Frame_Accept{Accept: &dance.Accept{To: uint64(m.ID),
						Ballot: dance.FromBallot(r.Ballot()), Value: dance.FromValue(r.Value(), held[m.ID]...)}}})
				}
			case *dance.Accepted:
				if r.HandleAcceptReply(consensus.AcceptReply{From: consensus.AcceptorID(a.From), OK: a.Ok, Promised: dance.ToBallot(a.Promised)}) {
					return r.Value(), r.IncludesChange(), nil
				}
			}
			if by, lost := r.Preempted(); lost {
				h.do(func() { h.highestBallot = max(h.highestBallot, by.Number) })
				return nil, false, errNoQuorum
			}
		case <-ctx.Done():
			return nil, false, errNoQuorum
		case <-h.stopped:
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
		h.do(func() {
			h.proposing = false
			if incomplete {
				h.repair.RecordAttempt(h.now(), rand.Float64())
			}
			h.proposeAfter = h.now() + time.Duration(rand.Int64N(int64(resolveDelay)))
			if err != nil {
				h.proposeAfter += resolveDelay
			}
		})
	}()
}
