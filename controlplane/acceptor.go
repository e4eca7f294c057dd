package controlplane

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/rpc"
)

// storedStateTimeout limits how long storedState waits for the disk.
const storedStateTimeout = time.Second

// diskLogBurst is the maximum number of disk errors that an acceptor logs per second. Each message of a proposer may fail
// and would otherwise be logged.
const diskLogBurst = 5

// ballotObserver is notified of the ballot numbers that other proposers use.
type ballotObserver interface {
	observeBallot(number uint64)
}

// acceptorEndpoint answers proposers from the acceptor state on this controller's disk. Its handlers may be called from any
// goroutine. They return immediately; the store's goroutine sends the answers. While the disk has a backlog, the acceptor
// doesn't answer, and the proposal continues with the other acceptors.
type acceptorEndpoint struct {
	id      consensus.AcceptorID
	store   *acceptorstore.Store
	loop    *eventLoop
	clock   *monotonicClock
	log     zerolog.Logger
	ballots ballotObserver

	// The value that the disk holds and its slot. Both are set before any proposer is notified that the value was accepted.
	acceptedValue atomic.Pointer[consensus.Value] // nil = none
	acceptedSlot  atomic.Uint64                   // 0 = none

	// Owned by the event loop.
	newestSlot consensus.Slot    // the highest accepted slot
	newestAt   time.Duration     // when newestSlot was accepted
	replica    consensus.Replica // slot and ballot of the value on the disk
	decidedAt  consensus.Ballot  // ballot of the value that was last passed to the store to be marked as decided
}

// newAcceptorEndpoint returns the endpoint of the acceptor in a store. It passes each accepted ballot to ballots on the event
// loop.
func newAcceptorEndpoint(store *acceptorstore.Store, loop *eventLoop, clock *monotonicClock, ballots ballotObserver,
	log zerolog.Logger) *acceptorEndpoint {
	state := store.State()
	sampled := log.Sample(&zerolog.BurstSampler{Burst: diskLogBurst, Period: time.Second})
	a := &acceptorEndpoint{id: state.ID, store: store, loop: loop, clock: clock, ballots: ballots, log: sampled, replica: state.Replica()}
	if v := state.Value; v != nil {
		a.newestSlot = v.Slot
		a.publish(v)
	}
	return a
}

// publish makes an accepted value visible to the other components. The value must already be on the disk.
func (a *acceptorEndpoint) publish(v *consensus.Value) {
	a.acceptedValue.Store(v)
	a.acceptedSlot.Store(uint64(v.Slot))
}

// handlePrepare handles a Prepare and responds once the promise is stored.
func (a *acceptorEndpoint) handlePrepare(m *rpc.Prepare, respond func(*rpc.PrepareReply)) {
	request := consensus.Prepare{To: consensus.AcceptorID(m.Acceptor), Ballot: rpc.BallotFromProto(m.Ballot)}
	var reply consensus.PrepareReply
	a.update("prepare", func(s consensus.AcceptorState) (next consensus.AcceptorState) {
		next, reply = s.HandlePrepare(request)
		return next
	}, func(_ consensus.AcceptorState, err error) {
		if err != nil {
			a.log.Warn().Err(err).Msg("acceptor: promise not stored")
			respond(&rpc.PrepareReply{Acceptor: uint64(a.id)})
			return
		}
		respond(encodePrepareReply(reply, append(rpc.DigestsFromProto(m.KnownBodies), string(m.KnownDigest))))
	})
}

// encodePrepareReply converts a reply to a message that omits the bodies whose digests are in known.
func encodePrepareReply(reply consensus.PrepareReply, known []string) *rpc.PrepareReply {
	return &rpc.PrepareReply{
		Acceptor:    uint64(reply.From),
		Ok:          reply.OK,
		Promised:    rpc.BallotToProto(reply.Promised),
		Accepted:    rpc.BallotToProto(reply.Accepted),
		Value:       rpc.ValueToProto(reply.Value, known...),
		KnownBodies: rpc.DigestsToProto(rpc.BodyDigests(reply.Value)),
	}
}

// handleAccept handles an Accept and responds once the value is stored.
func (a *acceptorEndpoint) handleAccept(m *rpc.Accept, respond func(*rpc.AcceptReply)) {
	ballot := rpc.BallotFromProto(m.Ballot)
	var reply consensus.AcceptReply
	var value *consensus.Value
	a.update("accept", func(s consensus.AcceptorState) (next consensus.AcceptorState) {
		// The proposer omits only bodies of the value that the promise reported. That value is still the accepted one: if
		// another had been accepted since, this Accept would be refused because of its ballot.
		value = rpc.ValueFromProto(m.Value, s.Value)
		next, reply = s.HandleAccept(consensus.Accept{To: consensus.AcceptorID(m.Acceptor), Ballot: ballot, Value: value})
		return next
	}, func(_ consensus.AcceptorState, err error) {
		if err != nil {
			a.log.Warn().Err(err).Msg("acceptor: accepted value not stored")
			respond(&rpc.AcceptReply{Acceptor: uint64(a.id)})
			return
		}
		if reply.OK {
			a.publish(value)
			a.postAccepted(value.Slot, ballot)
		}
		respond(&rpc.AcceptReply{Acceptor: uint64(reply.From), Ok: reply.OK, Promised: rpc.BallotToProto(reply.Promised)})
	})
}

// catchUp stores a decided value by handling an Accept that decided it but never reached this acceptor. If the acceptor has
// promised a higher ballot since, it refuses the Accept.
func (a *acceptorEndpoint) catchUp(accept consensus.Accept, decision consensus.Decision) {
	accepted := false
	a.update("catch up", func(s consensus.AcceptorState) consensus.AcceptorState {
		if decision.ReplicatedBy(s.Replica()) {
			return s // the Accept has arrived in the meantime
		}
		next, reply := s.HandleAccept(accept)
		accepted = reply.OK
		return next
	}, func(_ consensus.AcceptorState, err error) {
		if err != nil {
			a.log.Warn().Err(err).Msg("acceptor: caught up value not stored")
			return
		}
		if accepted {
			a.publish(accept.Value)
			a.postAccepted(accept.Value.Slot, accept.Ballot)
		}
	})
}

// postAccepted notifies the event loop of an accepted value without blocking the store's goroutine.
func (a *acceptorEndpoint) postAccepted(slot consensus.Slot, ballot consensus.Ballot) {
	go a.loop.post(func() { a.recordAccepted(slot, ballot) })
}

// recordAccepted records the accepted value and the time, so that the proposalScheduler can resolve an undecided value if its
// proposer doesn't.
func (a *acceptorEndpoint) recordAccepted(slot consensus.Slot, ballot consensus.Ballot) {
	a.ballots.observeBallot(ballot.Number)
	if ballot.Compare(a.replica.Ballot) > 0 {
		a.replica = consensus.Replica{Slot: slot, Ballot: ballot}
	}
	if slot > a.newestSlot {
		a.newestSlot, a.newestAt = slot, a.clock.now()
	}
}

// recordDecision stores that the value on the disk is decided, so that this is known after a restart. It does nothing if the value is
// confirmed, as a restart doesn't need the mark then, if it is not the decided one, or if it was already marked at this ballot.
func (a *acceptorEndpoint) recordDecision(d consensus.Decision) {
	if d.Value.Confirmed() || a.replica.Slot != d.Value.Slot || !d.ReplicatedBy(a.replica) || a.decidedAt == a.replica.Ballot {
		return
	}
	a.decidedAt = a.replica.Ballot
	a.update("decision", func(s consensus.AcceptorState) consensus.AcceptorState { return s.WithDecision(d) },
		func(_ consensus.AcceptorState, err error) {
			if err != nil {
				a.log.Warn().Err(err).Msg("acceptor: decision not stored")
			}
		})
}

// update queues a state update for the store's goroutine. If the store refuses it because of a backlog, this is logged and
// the update has no effect.
func (a *acceptorEndpoint) update(what string, step acceptorstore.StepFunc, after acceptorstore.StoredFunc) {
	if err := a.store.Update(step, after); err != nil {
		a.log.Warn().Err(err).Str("update", what).Msg("acceptor: update refused")
	}
}

// storedState returns the state on the disk after all queued updates. It reports false if the store refuses the request or
// doesn't answer within storedStateTimeout.
func (a *acceptorEndpoint) storedState() (consensus.AcceptorState, bool) {
	states := make(chan consensus.AcceptorState, 1)
	err := a.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { return s },
		func(s consensus.AcceptorState, _ error) { states <- s })
	if err != nil {
		return consensus.AcceptorState{}, false
	}
	select {
	case s := <-states:
		return s, true
	case <-time.After(storedStateTimeout):
		return consensus.AcceptorState{}, false
	}
}

// stall blocks the store's goroutine for a duration. For tests.
func (a *acceptorEndpoint) stall(d time.Duration) {
	a.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { time.Sleep(d); return s },
		func(consensus.AcceptorState, error) {})
}
