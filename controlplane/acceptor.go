package controlplane

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/rpc"
)

// storedStateTimeout is how long storedState waits for the disk.
const storedStateTimeout = time.Second

// diskLogBurst is how many lines a second an acceptor logs of a disk in trouble, at most: each message of a proposer may be one.
const diskLogBurst = 5

// ballotObserver learns the numbers of ballots that other proposers use.
type ballotObserver interface {
	observeBallot(number uint64)
}

// acceptorEndpoint answers proposers from the acceptor state on this controller's disk. Its handlers may be called from any
// goroutine; they return at once, and their answers follow from the disk's goroutine. An acceptor whose disk is behind doesn't
// answer, and the proposal goes on with the others.
type acceptorEndpoint struct {
	id      consensus.AcceptorID
	store   *acceptorstore.Store
	loop    *eventLoop
	clock   *steadyClock
	log     zerolog.Logger
	ballots ballotObserver

	// Of the value that the disk holds. Both are set before any proposer is notified that it was accepted.
	acceptedValue atomic.Pointer[consensus.Value] // nil = none
	acceptedSlot  atomic.Uint64                   // 0 = none

	// The event loop's.
	newestSlot consensus.Slot    // the highest that was accepted
	newestAt   time.Duration     // when that was
	replica    consensus.Replica // what the disk holds
	decidedAt  consensus.Ballot  // of the value that the disk was last asked to mark as decided
}

// newAcceptorEndpoint returns the endpoint of a store's acceptor. The ballots that it accepts are passed to an observer on the
// event loop.
func newAcceptorEndpoint(store *acceptorstore.Store, loop *eventLoop, clock *steadyClock, ballots ballotObserver,
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

// publish makes an accepted value known to the other components. It is on the disk.
func (a *acceptorEndpoint) publish(v *consensus.Value) {
	a.acceptedValue.Store(v)
	a.acceptedSlot.Store(uint64(v.Slot))
}

// handlePrepare answers a Prepare once the promise is stored.
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

// encodePrepareReply leaves out the bodies that the proposer knows.
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

// handleAccept answers an Accept once the value is stored.
func (a *acceptorEndpoint) handleAccept(m *rpc.Accept, respond func(*rpc.AcceptReply)) {
	ballot := rpc.BallotFromProto(m.Ballot)
	var reply consensus.AcceptReply
	var value *consensus.Value
	a.update("accept", func(s consensus.AcceptorState) (next consensus.AcceptorState) {
		// The proposer leaves out only bodies of the value that the promise reported. That is still the accepted one: had
		// another been accepted since, this Accept would be refused for its ballot.
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

// catchUp stores the value of a decision through an Accept that decided it but never reached this acceptor. An acceptor that has
// promised a higher ballot since refuses it.
func (a *acceptorEndpoint) catchUp(accept consensus.Accept, decision consensus.Decision) {
	accepted := false
	a.update("catch up", func(s consensus.AcceptorState) consensus.AcceptorState {
		if decision.ReplicatedBy(s.Replica()) {
			return s // it arrived meanwhile
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

// postAccepted informs the event loop. The disk's goroutine doesn't wait for it.
func (a *acceptorEndpoint) postAccepted(slot consensus.Slot, ballot consensus.Ballot) {
	go a.loop.post(func() { a.recordAccepted(slot, ballot) })
}

// recordAccepted notes what the disk holds, and since when, so that an undecided value is resolved when its proposer does not do so.
func (a *acceptorEndpoint) recordAccepted(slot consensus.Slot, ballot consensus.Ballot) {
	a.ballots.observeBallot(ballot.Number)
	if ballot.Compare(a.replica.Ballot) > 0 {
		a.replica = consensus.Replica{Slot: slot, Ballot: ballot}
	}
	if slot > a.newestSlot {
		a.newestSlot, a.newestAt = slot, a.clock.now()
	}
}

// recordDecision has the disk mark its value as decided, where a restart needs to know that.
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

// update has the disk's goroutine update the state. One that the disk has no time for is logged and has no effect.
func (a *acceptorEndpoint) update(what string, step acceptorstore.StepFunc, after acceptorstore.StoredFunc) {
	if err := a.store.Update(step, after); err != nil {
		a.log.Warn().Err(err).Str("update", what).Msg("acceptor: update refused")
	}
}

// storedState returns what the disk holds, after everything that is queued for it. It reports whether the disk answered in time.
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

// stall keeps the disk's goroutine busy for a while. For tests.
func (a *acceptorEndpoint) stall(d time.Duration) {
	a.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { time.Sleep(d); return s },
		func(consensus.AcceptorState, error) {})
}
