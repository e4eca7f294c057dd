package balancer

import "cmp"

// dispatch sends an attempt of a call to a server.
func (b *Balancer) dispatch(call *shardCall, s *server, reason AttemptReason) {
	sent := &attempt{call: call, server: s, sentAt: b.now, queuedWork: s.backlog + b.queueLength(s)*b.meanSize,
		predicted: max(b.predict(s, call), 1), reason: reason}
	// Overdue at half the time left to the target, or past it to the deadline: a hedge gets as long as this had.
	remaining := cmp.Or(max(call.req.targetAt-b.now, 0), call.req.deadline-b.now)
	sent.overdueAfter = max(remaining/2, sent.predicted)
	sent.onIdleConn = len(s.inFlight) == 0 && b.now-s.respondedAt > idleAfter
	if sent.onIdleConn && b.idleConnsUnsafe() {
		sent.onIdleConn = false
		b.emit(CloseIdle{s.id})
	}
	b.trackAttempt(sent)
	b.emit(Send{call.id, s.id, call.req.deadline - b.now, reason})
}

// attemptEnded processes the outcome of an attempt, even if its call or request has already ended.
func (b *Balancer) attemptEnded(e AttemptEnded) {
	ended := b.releaseAttempt(e)
	if ended == nil {
		return
	}
	call, s := ended.call, ended.server
	if report := e.Report; report != nil && report.Queued < 0 { // no queue reported: use the calls in execution
		b.recordQueue(s, report.InFlight)
	} else if report != nil {
		b.recordQueue(s, report.Queued)
	}
	isOpen := b.requests[call.req.id] == call.req
	firstAnswer := isOpen && e.Outcome == Answered && !call.answered
	if (ended.reason == RetryAttempt || ended.reason == HedgeAttempt) && e.Outcome != NotDispatched {
		b.retrySuccess -= b.retrySuccess * slowWeight
		if firstAnswer {
			b.retrySuccess += slowWeight
		}
	}
	noResponse := e.Outcome == TimedOut || e.Outcome == Cancelled
	lost := e.Outcome == Reset || noResponse && b.silenceRatio(ended) > 1
	// Errors are excluded, as they return fast. Timeouts are not, or only fast attempts would be measured.
	if e.Outcome == Answered || e.Elapsed > ended.predicted && noResponse && !lost {
		latency, work := float64(max(e.Elapsed, 1)), call.size+ended.queuedWork
		if s.unitLatency == 0 {
			s.latency, s.latencyWork = cmp.Or(b.meanLatency*work, latency), work
		}
		// Not a mean of ratios: that would give small calls the same weight as large ones.
		s.latency += (latency - s.latency) * latencyWeight
		s.latencyWork += (work - s.latencyWork) * latencyWeight
		s.unitLatency, s.measuredAt = s.latency/s.latencyWork, b.now
	}
	if policy := call.req.policy; e.Outcome == Answered && policy.size > 0 && ended.queuedWork < call.size {
		policy.size += (float64(e.Elapsed)*b.millisPerTick - policy.size) * sizeWeight
	}
	b.trackIdleLoss(ended, e.Outcome == Answered, lost)
	b.recordOutcome(ended, e, lost)
	if e.Outcome <= Rejected {
		s.respondedAt = b.now
	}
	if firstAnswer {
		call.answered = true
		b.cancel(call)
	}
	if isOpen {
		b.evaluate(call.req)
	}
}

// canAttempt reports whether idempotency and the attempt limit allow another attempt of a call.
func (b *Balancer) canAttempt(call *shardCall) bool {
	policy := call.req.policy
	for _, a := range call.attempts {
		inWindow := policy.Idempotency == Deduplicated && b.now+b.margin <= a.sentAt+policy.DedupWindow
		if !a.neverRan && policy.Idempotency != Idempotent && !inWindow {
			return false
		}
	}
	return len(call.attempts) < policy.MaxAttempts
}

// withinBudget reports whether another retry of a call stays within a share of the retry budget.
func (b *Balancer) withinBudget(call *shardCall, share float64) bool {
	budget, base := b.budgetFor(call.shard), b.budgetBase
	if b.budgetPerShard {
		if base = 0; b.now >= b.budgetFrom {
			base = b.budgetBase * sharedBudgetSafety / b.recentInstances
		}
		if b.now >= b.shrinkAt {
			b.recentInstances = b.instances
		}
	}
	return budget.retries.upper(b.now)+1 <= share*(base+b.budgetRatio*budget.admitted.lower(b.now))
}

// resize sets the number of instances and shards. If instances leave, the others share their part of the
// budget only after the retries of those have left the window.
func (b *Balancer) resize(e ClusterResized) {
	if b.budgetFrom == Never {
		b.budgetFrom = b.now + b.budgetWindow
	}
	if b.instances = float64(max(e.Instances, 1)); b.instances >= b.recentInstances {
		b.recentInstances = b.instances
	} else {
		b.shrinkAt = b.now + 2*b.budgetWindow
	}
	for b.replicationFactor == 1 && len(b.replicas) < e.Shards {
		b.replicas = append(b.replicas, b.readyInCell(len(b.replicas)))
		b.cells = max(b.cells, len(b.replicas))
		if b.budgetPerShard {
			b.budgets = append(b.budgets, b.newRetryBudget())
		}
	}
}
