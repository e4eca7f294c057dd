package balancer

// Health: who failed, who is silent, and how one comes back.

// surveyServers is what the ready servers show together: their speed, the load of the warm ones, what is stuck.
func (b *Balancer) surveyServers() {
	speed, measured, load, warm := 0.0, 0.0, 0.0, 0.0
	b.stuckCalls = 0
	for _, s := range b.ready {
		if b.silenceRatio(s.inFlight...) > 1 {
			b.stuckCalls += len(s.inFlight)
		}
		if s.unitLatency > 0 {
			speed, measured = speed+1/s.unitLatency, measured+1
		}
		if b.checkFirst && s.probation && s.ejectedUntil <= b.now && s.checkedAt < s.ejectedUntil && !s.checking {
			s.checking = true
			b.emit(HealthCheck{s.id})
		}
		if b.slowStartDuration > 0 && b.capacityShare(s) >= 1 {
			load, warm = load+s.sentWork.lower(b.now), warm+1
		}
	}
	if measured > 0 { // of speeds, not of times: a few slow servers must not make the unheard look slow
		b.meanLatency = measured / speed
	}
	if warm > 0 {
		b.warmWork += (load/warm - b.warmWork) * slowWeight
	}
}

// peerUpdate takes what other gatherers have unfinished: the design's reported queue, where servers report none.
func (b *Balancer) peerUpdate(e PeerUpdate) {
	b.applyVerdicts(e.Verdicts)
	for _, l := range e.Loads {
		if s := b.servers[l.Server]; s != nil {
			s.reportedQueue, s.reportedAt = max(l.InFlight, 0), b.now
			b.meanQueue += (s.reportedQueue - b.meanQueue) * slowWeight
		}
	}
}

// healthCheckEnded takes a probe's end. One that fails spares a search the loss of the trial's part: it guards against
// servers that stay dead, cut off or silent. What hangs may answer it, so a trial follows.
func (b *Balancer) healthCheckEnded(e HealthCheckEnded) {
	s := b.servers[e.Server]
	if s == nil {
		return
	}
	switch s.checking = false; e.Outcome {
	case NotDispatched:
	case Answered, Rejected:
		s.checkedAt = b.now
	default:
		s.ejectedUntil = b.now + s.nextEjection
		s.nextEjection = min(2*s.nextEjection, maxEjectionFactor*b.baseEjection)
	}
}

// recordFailure counts a failure against a server and takes it out when they are many. It guards against crashes,
// fast errors, silence and lost connections alike. Harm: chance errors may idle a sound server for a pause.
func (b *Balancer) recordFailure(s *server, weight float64) {
	s.failureRate += (1 - s.failureRate) * weight
	if s.ejectedUntil <= b.now && (s.failureRate > ejectionThreshold || s.probation) {
		s.ejectedUntil, s.probation = b.now+s.nextEjection, true
		s.nextEjection = min(2*s.nextEjection, maxEjectionFactor*b.baseEjection)
	}
}

// idleConnsUnsafe tells whether rested connections are found dead, as when something between drops them unseen.
func (b *Balancer) idleConnsUnsafe() bool {
	return b.deadIdleShare*b.freshness(b.deadIdleAt, 6*latencyMaxAge) > deadIdleLimit
}

// silenceRatio is how long the first of some sub-requests has been out with no word from its server, in due ages:
// past 1 it is overdue and the server has said nothing.
func (b *Balancer) silenceRatio(out ...*attempt) float64 {
	if len(out) == 0 {
		return 0
	}
	return float64(b.now-max(out[0].sentAt, out[0].server.respondedAt)) / float64(max(out[0].overdueAfter, 1))
}

// restoreRecords takes in what still counts. A record of a moment to come is of a clock that went back.
func (b *Balancer) restoreRecords(e RecordsRestored) {
	for _, record := range e.Servers {
		s, old := b.servers[record.ID], record.MeasuredAt > b.now || b.freshness(record.MeasuredAt, latencyMaxAge) == 0
		if s == nil || s.startedAt != record.StartedAt || s.unitLatency > 0 || s.respondedAt > 0 || old || record.Latency <= 0 || record.Work <= 0 {
			continue
		}
		s.latency, s.latencyWork, s.unitLatency, s.measuredAt = record.Latency, record.Work, record.Latency/record.Work, record.MeasuredAt
		s.failureRate = max(0, min(record.FailureRate, 1))
		s.ejectedUntil, s.probation = min(record.EjectedUntil, b.now+maxEjectionFactor*b.baseEjection), record.EjectedUntil > b.now
	}
}
