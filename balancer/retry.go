package balancer

// Further sub-requests: what may go again, and the budget.

import (
	"cmp"
	"slices"
)

func (b *Balancer) dispatch(call *shardCall, s *server) {
	sent := &attempt{call: call, server: s, sentAt: b.now, queuedWork: s.backlog + b.queueLength(s)*b.meanSize,
		predicted: max(b.predict(s, call), 1), retry: len(call.attempts) > 0}
	// Overdue at half the time left to its target, or to its end past that: a copy has as long as it had.
	sent.overdueAfter = max(cmp.Or(max(call.req.targetAt-b.now, 0), call.req.deadline-b.now)/2, sent.predicted)
	if sent.onIdleConn = len(s.inFlight) == 0 && b.now-s.respondedAt > idleAfter; sent.onIdleConn && b.idleConnsUnsafe() {
		sent.onIdleConn = false
		b.emit(CloseIdle{s.id})
	}
	b.inFlight[call.id] = call
	call.attempts = append(call.attempts, sent)
	call.inFlight++
	s.inFlight = append(s.inFlight, sent)
	s.backlog += call.size
	s.sentWork.add(b.now, call.size)
	if sent.retry {
		b.budgetFor(call.shard).retries.add(b.now, 1)
	}
	b.emit(Send{call.id, s.id, call.req.deadline - b.now})
}

// attemptEnded takes a sub-request's outcome, also of parts and searches that are over.
func (b *Balancer) attemptEnded(e AttemptEnded) {
	call := b.inFlight[e.Call]
	if call == nil || int(e.Attempt) >= len(call.attempts) || call.attempts[e.Attempt].ended {
		return
	}
	finished, s := call.attempts[e.Attempt], call.attempts[e.Attempt].server
	finished.ended, finished.neverRan = true, e.Outcome.NeverRan()
	if call.inFlight--; call.inFlight == 0 {
		delete(b.inFlight, call.id)
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *attempt) bool { return o == finished })
	if s.backlog -= call.size; len(s.inFlight) == 0 {
		s.backlog = 0 // no rounding is left over
	}
	if e.Report != nil {
		s.reportedQueue, s.reportedAt = max(e.Report.Queued, 0), b.now
		if e.Report.Queued < 0 {
			s.reportedQueue = max(e.Report.InFlight, 0)
		}
		b.meanQueue += (s.reportedQueue - b.meanQueue) * slowWeight
	}
	answered := e.Outcome == Answered && !call.answered && b.requests[call.req.id] == call.req
	if finished.retry && !finished.probation && e.Outcome != NotDispatched {
		b.retrySuccess -= b.retrySuccess * slowWeight
		if answered {
			b.retrySuccess += slowWeight
		}
	}
	waited := e.Outcome == TimedOut || e.Outcome == Cancelled
	lost := e.Outcome == Reset || waited && b.silenceRatio(finished) > 1
	if e.Outcome == Answered || e.Elapsed > finished.predicted && waited && !lost {
		// A time-out would have taken longer still; without it only the quick ones would be on record.
		took, size := float64(max(e.Elapsed, 1)), call.size+finished.queuedWork
		if s.unitLatency == 0 {
			s.latency, s.latencyWork = cmp.Or(b.meanLatency*size, took), size
		}
		s.latency += (took - s.latency) * latencyWeight
		s.latencyWork += (size - s.latencyWork) * latencyWeight
		s.unitLatency, s.measuredAt = s.latency/s.latencyWork, b.now
	}
	if e.Outcome == Answered && call.req.policy.size > 0 && finished.queuedWork < call.size {
		call.req.policy.size += (float64(e.Elapsed)*b.millisPerTick - call.req.policy.size) * sizeWeight
	}
	switch {
	case lost && finished.onIdleConn:
		s.idleLossAt = finished.sentAt
	case e.Outcome == Answered && s.idleLossAt > 0 && finished.sentAt > s.idleLossAt:
		if b.now-s.idleLossAt < latencyMaxAge { // it was the connection that was dead, not the server
			b.deadIdleShare, b.deadIdleAt = b.deadIdleShare+(1-b.deadIdleShare)*slowWeight, b.now
		}
		s.idleLossAt = 0
	case e.Outcome == Answered && finished.onIdleConn:
		b.deadIdleShare -= b.deadIdleShare * slowWeight
	}
	switch e.Outcome {
	case Answered:
		b.adjustLimit(float64(max(e.Elapsed, 1)) / call.size)
		s.failureRate -= s.failureRate * successWeight
		s.zone.failureRate -= s.zone.failureRate * zoneWeight
		s.probation = s.probation && finished.sentAt < s.ejectedUntil
		if s.failureRate < successWeight {
			s.nextEjection = b.baseEjection
		}
	case Rejected: // full or draining; no fault, but others are asked first
		s.ejectedUntil = max(s.ejectedUntil, b.now+b.baseEjection)
	case Errored: // an error comes fast: its time is no latency and must not make the server look quick
		b.recordFailure(s, errorWeight)
	case ConnectFailed, Reset, TimedOut, Cancelled:
		if e.Outcome == ConnectFailed || e.Outcome == Reset || b.silenceRatio(finished) > 1 {
			b.recordFailure(s, lossWeight)
			s.zone.failureRate += (1 - s.zone.failureRate) * zoneWeight
			s.zone.failedAt = b.now
		}
	}
	if e.Outcome <= Rejected {
		s.respondedAt = b.now
	}
	if b.requests[call.req.id] != call.req {
		return
	}
	if answered {
		call.answered = true
		b.cancel(call)
	}
	b.review(call.req)
}

// canRetry tells whether the effect of a part's type and the limit per part let it go out, again or first.
func (b *Balancer) canRetry(call *shardCall) bool {
	for _, attempt := range call.attempts {
		inWindow := call.req.policy.idempotency == Deduplicated && b.now+b.margin <= attempt.sentAt+call.req.policy.dedupWindow
		if !attempt.neverRan && call.req.policy.idempotency != Idempotent && !inWindow {
			return false
		}
	}
	return len(call.attempts) < call.req.policy.maxAttempts
}

func (b *Balancer) withinBudget(call *shardCall, share float64) bool {
	budget, base := b.budgetFor(call.shard), b.budgetBase
	if b.sharedBudgetBase > 0 {
		if base = 0; b.now >= b.budgetFrom {
			base = b.sharedBudgetBase * sharedBudgetSafety / b.recentInstances
		}
		if b.now >= b.shrinkAt {
			b.recentInstances = b.instances
		}
	}
	return budget.retries.upper(b.now)+1 <= share*(base+b.budgetRatio*budget.admitted.lower(b.now))
}

// resize takes the size of the fleet. Fewer share the budget only once what those gone had used is past.
func (b *Balancer) resize(e ClusterResized) {
	if b.budgetFrom == never {
		b.budgetFrom = b.now + b.budgetWindow
	}
	if b.instances = float64(max(e.Instances, 1)); b.instances >= b.recentInstances {
		b.recentInstances = b.instances
	} else {
		b.shrinkAt = b.now + 2*b.budgetWindow
	}
	for b.replicationFactor == 1 && len(b.replicas) < e.Shards {
		b.replicas = append(b.replicas, nil)
		b.cells = len(b.replicas)
		if b.sharedBudgetBase > 0 {
			b.budgets = append(b.budgets, b.newRetryBudget())
		}
	}
}
