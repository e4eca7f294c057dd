package controlplane

import (
	"context"
	"time"

	"oxbowspan/consensus"
)

const (
	// resolveDelay is how long this controller waits for the proposer of an accepted value to finish before it proposes itself. It
	// also bounds the random pause between two of this controller's own proposals, and is added to it after a failed one.
	resolveDelay = 400 * time.Millisecond

	// scheduledProposalTimeout limits a proposal that no operator waits for.
	scheduledProposalTimeout = 2 * peerCallTimeout
)

// proposalScheduler starts the proposals that the state of the replicated register requires, one at a time. It is owned by the event
// loop.
type proposalScheduler struct {
	schedulerDependencies
	proposing bool
	notBefore time.Duration // earliest time of the next proposal
}

// schedulerDependencies are the components and settings that a proposalScheduler uses.
type schedulerDependencies struct {
	firstStart bool // the control plane starts for the first time, so there is no earlier value to learn
	loop       *eventLoop
	clock      *monotonicClock
	learner    *learner
	acceptor   *acceptorEndpoint
	membership *membershipManager
	completion *replicaCompletion
	proposer   *proposer
}

func newProposalScheduler(d schedulerDependencies) *proposalScheduler {
	return &proposalScheduler{schedulerDependencies: d}
}

// startDue starts a proposal if one is due: to learn whether an accepted value was decided, to become a member, to confirm a change
// of the members, or to complete replicas.
func (s *proposalScheduler) startDue(now time.Duration) {
	incomplete := s.completion.due(now) // must always be called, as it tracks how long replicas have been incomplete
	if s.proposing || now < s.notBefore {
		return
	}
	joins := s.membership.shouldJoin(now)
	if !s.unresolved(now) && !joins && !s.unconfirmed(now) && !incomplete {
		return
	}
	change := consensus.ChangeFunc(confirm)
	if joins {
		change = s.membership.request(now).apply
	}
	s.proposing = true
	go s.propose(change, incomplete)
}

// unresolved reports whether it is unknown if the value that this controller's acceptor accepted last was decided.
func (s *proposalScheduler) unresolved(now time.Duration) bool {
	if !s.learner.confirmed {
		return s.acceptor.newestSlot > 0 || !s.firstStart
	}
	return !s.learner.decision.Resolves(s.acceptor.replica) && s.isOverdue(now)
}

// unconfirmed reports whether a change of the members is decided but not confirmed.
func (s *proposalScheduler) unconfirmed(now time.Duration) bool {
	return s.learner.confirmed && !s.learner.value.Confirmed() && s.isOverdue(now)
}

// isOverdue reports whether resolveDelay has passed since the newest value was accepted.
func (s *proposalScheduler) isOverdue(now time.Duration) bool {
	return now-s.acceptor.newestAt > resolveDelay
}

// propose runs a proposal. It is called on its own goroutine.
func (s *proposalScheduler) propose(change consensus.ChangeFunc, completes bool) {
	ctx, cancel := context.WithTimeout(context.Background(), scheduledProposalTimeout)
	defer cancel()
	_, err := s.proposer.propose(ctx, change)
	s.loop.post(func() { s.finish(completes, err) })
}

// finish records the end of a proposal and schedules the next one.
func (s *proposalScheduler) finish(completes bool, err error) {
	s.proposing = false
	if completes {
		s.completion.recordAttempt(s.clock.now())
	}
	s.notBefore = s.clock.now() + randomDuration(resolveDelay)
	if err != nil {
		s.notBefore += resolveDelay
	}
}
