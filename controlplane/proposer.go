package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oxbowspan/consensus"
)

// errNoQuorum is returned when no majority answered in time. The proposal may or may not be decided later.
var errNoQuorum = errors.New("no majority answered in time")

// After a failed attempt, for instance one that another proposal preempted, the proposer waits for a random time up to a backoff that
// grows with each attempt, so that two proposers don't keep preempting each other.
const (
	proposalBackoff    = 25 * time.Millisecond
	proposalBackoffMax = 6 // maximum backoff, as a multiple of proposalBackoff
)

// proposer runs proposals, one at a time. propose may be called from any goroutine except the event loop's.
type proposer struct {
	id       consensus.ProposerID
	loop     *eventLoop
	learner  *learner
	acceptor *acceptorEndpoint
	peers    *peerSet
	token    chan struct{} // mutex that is held by the running proposal

	highestBallot uint64 // highest ballot number seen from any proposer; owned by the event loop
}

// newProposer returns a proposer. highestBallot is the highest ballot number that this controller's acceptor has promised.
func newProposer(id consensus.ProposerID, highestBallot uint64, loop *eventLoop, learner *learner, acceptor *acceptorEndpoint,
	peers *peerSet) *proposer {
	p := &proposer{id: id, loop: loop, learner: learner, acceptor: acceptor, peers: peers, highestBallot: highestBallot,
		token: make(chan struct{}, 1)}
	p.token <- struct{}{}
	return p
}

// proposalStart holds the ballot and the base value of a new proposal.
type proposalStart struct {
	ballot consensus.Ballot
	base   *consensus.Value
}

// next returns the start of the next proposal, with a ballot higher than all that were seen. It runs on the event loop.
func (p *proposer) next() proposalStart {
	p.highestBallot++
	return proposalStart{consensus.Ballot{Number: p.highestBallot, Proposer: p.id}, p.base()}
}

// base returns the value from which a proposal starts. It runs on the event loop.
func (p *proposer) base() *consensus.Value {
	accepted := p.acceptor.acceptedValue.Load()
	if accepted == nil {
		return p.learner.value
	}
	return consensus.ProposalBase(accepted, p.learner.decided())
}

// observeBallot records a ballot number that another proposer uses. It runs on the event loop.
func (p *proposer) observeBallot(number uint64) { p.highestBallot = max(p.highestBallot, number) }

// confirm is a change that returns the value unmodified. Deciding the newest value again proves that it is the newest.
func confirm(v *consensus.Value) *consensus.Value { return v }

// read returns the newest value that is decided at the time of the call. It runs a proposal, so that a controller that has missed
// decisions doesn't return an old value. The only error is errNoQuorum.
func (p *proposer) read(ctx context.Context) (*consensus.Value, error) {
	return p.propose(ctx, confirm)
}

// propose runs proposals until one that includes the change is decided and, if it changes the members, that change is confirmed. Each
// proposal applies the change to the newest value again. The only error is errNoQuorum.
func (p *proposer) propose(ctx context.Context, change consensus.ChangeFunc) (*consensus.Value, error) {
	select {
	case <-p.token:
		defer func() { p.token <- struct{}{} }()
	case <-ctx.Done():
		return nil, errNoQuorum
	case <-p.loop.stopped:
		return nil, errNoQuorum
	}
	for attempt := 0; ; attempt++ {
		start, ok := query(p.loop, p.next)
		if !ok {
			return nil, errNoQuorum
		}
		run := newProposalRun(p, consensus.NewProposal(start.ballot, start.base, change))
		v, err := run.run(ctx)
		switch {
		case err == nil:
			p.loop.execute(func() { p.learn(v, start.ballot) })
			if v.Confirmed() && run.proposal.IncludesChange() {
				return v, nil
			}
		case ctx.Err() != nil:
			return nil, errNoQuorum
		default:
			if !sleep(ctx, randomDuration(time.Duration(min(attempt+1, proposalBackoffMax))*proposalBackoff)) {
				return nil, errNoQuorum
			}
		}
	}
}

// learn passes a decided value and its ballot to the learner. It runs on the event loop.
func (p *proposer) learn(v *consensus.Value, ballot consensus.Ballot) {
	p.learner.learn(v)
	p.learner.observeBallot(v.Slot, ballot)
}

// randomDuration returns a random duration from [0, limit).
func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}

// sleep waits for a duration. It returns false if the context was canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
