package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oxbowspan/consensus"
)

// errNoQuorum says that no majority answered in time. The proposal may or may not be decided later.
var errNoQuorum = errors.New("no majority answered in time")

// After a proposal that another one preempted, the proposer waits for a random part of a backoff that grows with each attempt, so
// that two of them don't go on preempting each other.
const (
	proposalBackoff    = 25 * time.Millisecond
	proposalBackoffMax = 6 // times proposalBackoff
)

// proposer has values decided. Its proposals run one at a time; propose may be called from any goroutine but the event loop's.
type proposer struct {
	id       consensus.ProposerID
	loop     *eventLoop
	learner  *learner
	acceptor *acceptorEndpoint
	peers    *peerSet
	token    chan struct{} // held by the running proposal

	highestBallot uint64 // seen of any proposer; the event loop's
}

// newProposer returns a proposer. HighestBallot is the highest ballot number that its acceptor has promised.
func newProposer(id consensus.ProposerID, highestBallot uint64, loop *eventLoop, learner *learner, acceptor *acceptorEndpoint,
	peers *peerSet) *proposer {
	p := &proposer{id: id, loop: loop, learner: learner, acceptor: acceptor, peers: peers, highestBallot: highestBallot,
		token: make(chan struct{}, 1)}
	p.token <- struct{}{}
	return p
}

// proposalStart is what a proposal begins with.
type proposalStart struct {
	ballot consensus.Ballot
	base   *consensus.Value
}

// next returns what the next proposal begins with: a ballot above all that were seen. On the event loop.
func (p *proposer) next() proposalStart {
	p.highestBallot++
	return proposalStart{consensus.Ballot{Number: p.highestBallot, By: p.id}, p.base()}
}

// base returns the value that a proposal starts from. On the event loop.
func (p *proposer) base() *consensus.Value {
	accepted := p.acceptor.acceptedValue.Load()
	if accepted == nil {
		return p.learner.value
	}
	return consensus.ProposalBase(accepted, p.learner.decided())
}

// observeBallot notes the number of a ballot that another proposer uses. On the event loop.
func (p *proposer) observeBallot(number uint64) { p.highestBallot = max(p.highestBallot, number) }

// confirm is a change that changes nothing: the newest value is decided again, and so known to be the newest.
func confirm(v *consensus.Value) *consensus.Value { return v }

// read returns the newest decided value as of the call: a controller that lags must not answer with an old one. Its error is
// errNoQuorum.
func (p *proposer) read(ctx context.Context) (*consensus.Value, error) {
	return p.propose(ctx, confirm)
}

// propose runs proposals until one that includes the change is decided, and a change of the members in it is confirmed. The
// change is applied to the newest value, and anew with each proposal. The only error is errNoQuorum.
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

func (p *proposer) learn(v *consensus.Value, ballot consensus.Ballot) {
	p.learner.learn(v)
	p.learner.observeBallot(v.Slot, ballot)
}

// randomDuration draws a duration from [0, limit).
func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}

// sleep waits for a duration. It reports whether the context lasted as long.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
