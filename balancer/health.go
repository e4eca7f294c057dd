package balancer

// updateEstimates updates the estimates over all ready servers and requests the health checks that are due.
func (b *Balancer) updateEstimates() {
	inverseSum, measured, work, warm := 0.0, 0.0, 0.0, 0.0
	b.stuckCalls = 0
	for _, s := range b.ready {
		if b.silenceRatio(s.inFlight...) > 1 {
			b.stuckCalls += len(s.inFlight)
		}
		if s.unitLatency > 0 {
			inverseSum, measured = inverseSum+1/s.unitLatency, measured+1
		}
		if b.checkFirst && s.probation && s.ejectedUntil <= b.now && s.checkedAt < s.ejectedUntil && !s.checking {
			s.checking = true
			b.emit(HealthCheck{s.id})
		}
		if b.slowStartDuration > 0 && b.capacityShare(s) >= 1 {
			work, warm = work+s.sentWork.lower(b.now), warm+1
		}
	}
	if measured > 0 { // the harmonic mean: a few slow servers must not make unmeasured ones look slow
		b.meanLatency = measured / inverseSum
	}
	if warm > 0 {
		b.warmWork += (work/warm - b.warmWork) * slowWeight
	}
}

// recordQueue records the queue length of a server, as reported by the server or by other instances.
func (b *Balancer) recordQueue(s *server, length float64) {
	s.reportedQueue, s.reportedAt = max(length, 0), b.now
	b.meanQueue += (s.reportedQueue - b.meanQueue) * slowWeight
}

// applyPeerUpdate applies the reports of other instances. Their calls in flight count as a server's queue.
func (b *Balancer) applyPeerUpdate(e PeerUpdate) {
	for _, verdict := range e.Verdicts {
		if s := b.servers[verdict.ID]; s != nil {
			s.clusterEjected, s.slowdown = verdict.Ejected, verdict.SlowdownFactor
			if verdict.Recovered { // a probation attempt of another instance counts as one of this instance
				s.probation, s.ejectedUntil = false, min(s.ejectedUntil, b.now)
			}
		}
	}
	for _, load := range e.Loads {
		if s := b.servers[load.Server]; s != nil {
			b.recordQueue(s, load.InFlight)
		}
	}
}

// healthCheckEnded processes the result of a health check. A failure extends the ejection. A success only
// permits probation attempts, because a server that hangs may still answer health checks.
func (b *Balancer) healthCheckEnded(e HealthCheckEnded) {
	if s := b.servers[e.Server]; s != nil {
		switch s.checking = false; e.Outcome {
		case NotDispatched:
		case Answered, Rejected:
			s.checkedAt = b.now
		default:
			b.eject(s)
		}
	}
}

// recordOutcome updates the health of an attempt's server and zone.
func (b *Balancer) recordOutcome(ended *attempt, e AttemptEnded, lost bool) {
	s := ended.server
	switch {
	case e.Outcome == Answered:
		b.adjustLimit(float64(max(e.Elapsed, 1)) / ended.call.size)
		s.failureRate -= s.failureRate * successWeight
		s.zone.failureRate -= s.zone.failureRate * zoneWeight
		s.probation = s.probation && ended.sentAt < s.ejectedUntil
		if s.failureRate < successWeight {
			s.nextEjection = b.baseEjection
		}
	case e.Outcome == Rejected: // full or draining: not a failure, but other servers are preferred for a while
		s.ejectedUntil = max(s.ejectedUntil, b.now+b.baseEjection)
	case e.Outcome == Errored:
		b.recordFailure(s, errorWeight)
	case e.Outcome == ConnectFailed || lost:
		b.recordFailure(s, lossWeight)
		s.zone.failureRate += (1 - s.zone.failureRate) * zoneWeight
		s.zone.failedAt = b.now
	}
}

// recordFailure counts a failure and ejects the server if its failure rate is high or it is on probation. The
// drawback: errors that coincide by chance may leave a healthy server idle for one ejection time.
func (b *Balancer) recordFailure(s *server, weight float64) {
	s.failureRate += (1 - s.failureRate) * weight
	if s.ejectedUntil <= b.now && (s.failureRate > ejectionThreshold || s.probation) {
		b.eject(s)
		s.probation = true
	}
}

// eject ejects a server for its next ejection time, which then doubles.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + s.nextEjection
	s.nextEjection = min(2*s.nextEjection, maxEjectionFactor*b.baseEjection)
}

// trackIdleLoss estimates how often idle connections are dead, for instance because a middlebox dropped them:
// an attempt on one is lost in silence, and the next attempt, on a new connection, is answered.
func (b *Balancer) trackIdleLoss(ended *attempt, answered, lost bool) {
	switch s := ended.server; {
	case lost && ended.onIdleConn:
		s.idleLossAt = ended.sentAt
	case answered && s.idleLossAt > 0 && ended.sentAt > s.idleLossAt:
		if b.now-s.idleLossAt < latencyMaxAge {
			b.deadIdleShare, b.deadIdleAt = b.deadIdleShare+(1-b.deadIdleShare)*slowWeight, b.now
		}
		s.idleLossAt = 0
	case answered && ended.onIdleConn:
		b.deadIdleShare -= b.deadIdleShare * slowWeight
	}
}

// idleConnsUnsafe reports whether idle connections are found dead too often to be reused.
func (b *Balancer) idleConnsUnsafe() bool {
	return b.deadIdleShare*b.freshness(b.deadIdleAt, deadIdleAge) > deadIdleLimit
}

// silenceRatio returns the time that the first of some attempts has been in flight without any response from
// its server, as a multiple of the time after which it is overdue.
func (b *Balancer) silenceRatio(attempts ...*attempt) float64 {
	if len(attempts) == 0 {
		return 0
	}
	silence := b.now - max(attempts[0].sentAt, attempts[0].server.respondedAt)
	return float64(silence) / float64(max(attempts[0].overdueAfter, 1))
}

// restoreRecords restores records of an earlier run, except those that a clock set back dates in the future.
func (b *Balancer) restoreRecords(e RecordsRestored) {
	for _, record := range e.Servers {
		s := b.servers[record.ID]
		stale := record.MeasuredAt > b.now || b.freshness(record.MeasuredAt, latencyMaxAge) == 0
		if s == nil || s.startedAt != record.StartedAt || s.unitLatency > 0 || s.respondedAt > 0 || stale ||
			record.Latency <= 0 || record.Work <= 0 {
			continue
		}
		s.latency, s.latencyWork = record.Latency, record.Work
		s.unitLatency, s.measuredAt = record.Latency/record.Work, record.MeasuredAt
		s.failureRate = max(0, min(record.FailureRate, 1))
		s.ejectedUntil = min(record.EjectedUntil, b.now+maxEjectionFactor*b.baseEjection)
		s.probation = record.EjectedUntil > b.now
	}
}
