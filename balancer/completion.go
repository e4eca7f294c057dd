package balancer

import "slices"

// evaluate completes or abandons a request, or else evaluates its calls and schedules the next evaluation.
func (b *Balancer) evaluate(req *request) {
	policy := req.policy
	minimum, complete := req.requiredCoverage()
	skippable := func(call *shardCall) bool { return call.skipped || b.cannotFinish(call, Never) }
	covered, all := b.coveredWithout(req, skippable), req.allCalls()
	var current, reachable coverage // current and highest possible coverage
	if req.inSecondPhase && len(req.calls) == 0 {
		reachable = unknownCalls
	}
	for _, call := range req.calls {
		if call.answered {
			current.add(call)
		}
		if call.answered || (call.inFlight > 0 || b.canAttempt(call)) && !(covered && skippable(call)) {
			reachable.add(call)
		}
	}
	partial := policy.partialCounts && b.now >= req.targetAt && current.reaches(policy.partialCoverage, all)
	final := b.now >= req.deadline || reachable.calls == current.calls || partial
	full := current.reaches(complete, all)
	switch {
	case full || current.reaches(minimum, all) && final:
		b.answer(req, full && (!req.inSecondPhase || req.firstComplete))
		return
	case b.now >= req.deadline || !reachable.reaches(minimum, all):
		b.abandon(req)
		return
	}
	next := req.deadline
	if req.targetAt > b.now {
		next = min(next, req.targetAt)
	}
	for _, call := range req.calls {
		if !call.answered && !(covered && skippable(call)) {
			next = min(next, b.evaluateCall(call))
		}
	}
	b.scheduleEvaluation(req, next)
}

// evaluateCall retries or hedges a call that has no timely attempt. It returns when to evaluate it again.
func (b *Balancer) evaluateCall(call *shardCall) (next Time) {
	p := attemptProgress(call)
	if p.firstDue > b.now && p.inFlight > 0 {
		return p.firstDue
	}
	s, healthy := b.bestReplica(call)
	switch {
	case s == nil || p.inFlight == 0 && !healthy && b.now < p.retryFrom:
	case p.inFlight == 0 && (len(call.attempts) == 0 || b.withinBudget(call, 1)):
		b.dispatch(call, s, call.nextReason(RetryAttempt))
	case p.inFlight == 1 && p.probation >= 0: // at most two attempts may be in flight
		if b.allowCancel {
			b.emit(Cancel{call.id, AttemptNumber(p.probation)})
		}
	case p.inFlight == 0 || !healthy || b.now+b.predict(s, call) >= call.req.targetAt ||
		!b.withinBudget(call, max(minHedgeShare, b.retrySuccess)):
	case p.inFlight == 1 && b.allowHedging:
		b.dispatch(call, s, HedgeAttempt)
	case b.allowCancel && (!b.allowHedging || p.lastDue <= b.now && b.silenceRatio(call.attempts[p.oldest]) > 1):
		// A retry follows when this attempt has ended. Two overdue ones may both be lost in a partitioned zone.
		b.emit(Cancel{call.id, AttemptNumber(p.oldest)})
	}
	return b.now + b.baseEjection/evaluationDivisor
}

// attemptProgress summarizes the attempts of a call.
func attemptProgress(call *shardCall) progress {
	p := progress{firstDue: Never, oldest: -1, probation: -1}
	for number, a := range call.attempts {
		if a.reason == ProbationAttempt && !a.ended {
			p.probation = number
		} else if !a.ended {
			due := a.sentAt + a.overdueAfter
			p.firstDue, p.lastDue = min(p.firstDue, due), max(p.lastDue, due)
			if p.inFlight++; p.inFlight == 1 {
				p.oldest = number
			}
		}
		// Spread over the time left: otherwise servers that return errors would use up all retries at once.
		p.retryFrom = a.sentAt + (call.req.deadline-a.sentAt)/retrySpread
	}
	return p
}

// answer completes a phase of a request with the calls answered so far.
func (b *Balancer) answer(req *request, complete bool) {
	b.emit(Answer{req.id, complete})
	if req.inSecondPhase || req.policy.SecondPhaseCalls <= 0 {
		b.close(req)
		return
	}
	b.cancel(req.calls...)
	req.inSecondPhase, req.firstComplete, req.calls = true, complete, nil
	b.scheduleEvaluation(req, req.deadline)
}

// abandon ends a request without an answer: shed if it is idempotent or cannot have run, failed otherwise.
func (b *Balancer) abandon(req *request) {
	mayHaveRun := req.inSecondPhase // the first phase has run
	for _, call := range req.calls {
		for _, a := range call.attempts {
			mayHaveRun = mayHaveRun || !a.neverRan
		}
	}
	req.policy.abandonedAt = b.now
	if mayHaveRun && req.policy.Idempotency != Idempotent {
		b.emit(Fail{req.id})
	} else {
		b.emit(Shed{req.id, b.retryAfter(req)})
	}
	b.close(req)
}

// cancel cancels the attempts of calls, except probation attempts, whose outcome shows the server's health.
func (b *Balancer) cancel(calls ...*shardCall) {
	for _, call := range calls {
		for number, a := range call.attempts {
			if b.allowCancel && !a.ended && a.reason != ProbationAttempt {
				b.emit(Cancel{call.id, AttemptNumber(number)})
			}
		}
	}
}

// retryAfter returns when the client of a shed request should retry. That is early enough for its target if
// latency targets are measured at the client and all of the request's shards have a replica.
func (b *Balancer) retryAfter(req *request) Time {
	empty := slices.ContainsFunc(req.calls, func(c *shardCall) bool { return len(b.replicas[c.shard]) == 0 })
	if b.networkDelay == 0 || empty {
		return b.maxRetryAfter
	}
	return min(b.maxRetryAfter, max(req.policy.LatencyTarget/retryAfterDivisor, b.networkDelay))
}
