package balancer

import "slices"

// review answers a search, sends what is due or gives it up, and sets the timer for the next look.
func (b *Balancer) review(req *request) {
	least, whole := req.policy.minCoverage-weightTolerance, req.policy.completeCoverage-weightTolerance
	if req.inSecondPhase && least >= whole {
		least, whole = 1-weightTolerance, 1-weightTolerance
	} else if req.inSecondPhase {
		whole = 1 - weightTolerance
	}
	got, reach := 0.0, 0.0 // weights: in, and still to be had
	if req.inSecondPhase && len(req.calls) == 0 {
		reach = 1 // its parts are still to come
	}
	skippable := func(call *shardCall) bool { return call.skipped || b.cannotFinish(call, never) }
	spare := b.coveredWithout(req, skippable)
	for _, call := range req.calls {
		if call.answered {
			got += call.weight
		}
		if call.answered || (call.inFlight > 0 || b.canRetry(call)) && !(spare && skippable(call)) {
			reach += call.weight
		}
	}
	short := req.policy.partialCounts && b.now >= req.targetAt && got >= req.policy.partialCoverage-weightTolerance
	ripe := b.now >= req.deadline || reach <= got || short
	switch {
	case got >= whole || got >= least && ripe:
		b.answer(req, got >= whole && (!req.inSecondPhase || req.firstComplete))
		return
	case b.now >= req.deadline || reach < least:
		b.abandon(req)
		return
	}
	next := req.deadline
	if req.targetAt > b.now {
		next = min(next, req.targetAt)
	}
	for _, call := range req.calls {
		if call.answered || spare && skippable(call) {
			continue
		}
		due, last, wait, flying, trial, oldest := never, Time(0), Time(0), 0, -1, -1
		for no, attempt := range call.attempts {
			if attempt.probation && !attempt.ended {
				trial = no
			} else if !attempt.ended {
				due, last, flying = min(due, attempt.sentAt+attempt.overdueAfter), max(last, attempt.sentAt+attempt.overdueAfter), flying+1
				if flying == 1 {
					oldest = no
				}
			}
			// Without a sound replica the last tries are spread over the time: erring servers use them up at once.
			wait = attempt.sentAt + (req.deadline-attempt.sentAt)/4
		}
		if due > b.now && flying > 0 {
			next = min(next, due)
			continue
		}
		// Unsent, ended without an answer, or overdue: its server may have failed, be slow, stalled or silent.
		next = min(next, b.now+b.baseEjection/reviewDivisor)
		s, usable := b.bestReplica(call)
		switch {
		case s == nil || !b.canRetry(call) || flying == 0 && !usable && b.now < wait:
		case flying == 0 && (len(call.attempts) == 0 || b.withinBudget(call, 1)):
			b.dispatch(call, s)
		case flying == 1 && trial >= 0: // it makes room for a copy: no more than two may be out
			b.emit(Cancel{call.id, AttemptNumber(trial)})
		case flying == 0 || !usable || b.now+b.predict(s, call) >= req.targetAt ||
			!b.withinBudget(call, max(minHedgeShare, b.retrySuccess)):
		case flying == 1 && b.allowHedging:
			b.dispatch(call, s)
		case !b.allowHedging && b.allowCancel: // the next one goes once this one's end is known
			b.emit(Cancel{call.id, AttemptNumber(oldest)})
		case last <= b.now && b.silenceRatio(call.attempts[oldest]) > 1 && b.allowCancel: // both may have met what is cut off
			b.emit(Cancel{call.id, AttemptNumber(oldest)})
		}
	}
	b.scheduleReview(req, next)
}

func (b *Balancer) answer(req *request, whole bool) {
	b.emit(Answer{req.id, whole})
	if req.inSecondPhase || !req.policy.twoPhase {
		b.close(req)
		return
	}
	b.cancel(req.calls...)
	req.inSecondPhase, req.firstComplete, req.calls = true, whole, nil
	b.scheduleReview(req, req.deadline)
}

// abandon ends a search without an answer: shed where asking again is sure to be harmless, else errored.
func (b *Balancer) abandon(req *request) {
	harmless := !req.inSecondPhase || req.policy.idempotency == Idempotent // a first step has run
	for _, call := range req.calls {
		for _, attempt := range call.attempts {
			harmless = harmless && (attempt.neverRan || req.policy.idempotency == Idempotent)
		}
	}
	req.policy.abandonedAt = b.now
	if harmless {
		b.emit(Shed{req.id, b.retryAfter(req)})
	} else {
		b.emit(Fail{req.id})
	}
	b.close(req)
}

func (b *Balancer) cancel(calls ...*shardCall) {
	for _, call := range calls {
		for no, attempt := range call.attempts {
			if b.allowCancel && !attempt.ended && !attempt.probation { // a trial is seen to its end, or it would tell nothing
				b.emit(Cancel{call.id, AttemptNumber(no)})
			}
		}
	}
}

// retryAfter is when a shed client should come back: soon enough for its target, where that counts at the client.
func (b *Balancer) retryAfter(req *request) Time {
	bare := slices.ContainsFunc(req.calls, func(call *shardCall) bool { return len(b.replicas[call.shard]) == 0 })
	if b.networkDelay == 0 || bare { // nobody to ask: it takes a while until one is known
		return b.maxRetryAfter
	}
	return min(b.maxRetryAfter, max(req.policy.target/retryAfterDivisor, b.networkDelay))
}
