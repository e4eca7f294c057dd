package balancer

// unresponsiveFactor is the multiple of its overdue time after which, plus stragglerGap, an attempt makes its server
// count as unresponsive: a shorter delay may only be a queue.
const unresponsiveFactor = 3

// ServerRecords returns the records that a later run may restore.
func (b *Balancer) ServerRecords() (records []ServerRecord) {
	for _, s := range b.ready {
		if s.unitLatency > 0 || s.failureRate > 0 {
			records = append(records, ServerRecord{ID: s.id, StartedAt: s.startedAt,
				Latency: s.latency, Work: s.latencyWork, MeasuredAt: s.measuredAt,
				EjectedUntil: s.ejectedUntil, FailureRate: s.failureRate})
		}
	}
	return records
}

// Utilization returns the calls in flight divided by their limit.
func (b *Balancer) Utilization() float64 { return b.activeCalls() / max(b.limit, 1) }

// CompareLatency returns the unit latency of a server and the harmonic mean of those of the other replicas of its
// shard, both in units of Time per millisecond of work; 0 = unknown. It requires a replication factor of 1.
func (b *Balancer) CompareLatency(id ServerID) (unit, peers float64) {
	s := b.servers[id]
	if s == nil || s.unitLatency == 0 || int(s.cell) >= len(b.replicas) {
		return 0, 0
	}
	inverseSum, n := 0.0, 0.0
	for _, peer := range b.replicas[s.cell] {
		if peer != s && peer.unitLatency > 0 {
			inverseSum, n = inverseSum+1/peer.unitLatency, n+1
		}
	}
	if n == 0 {
		return s.unitLatency, 0
	}
	return s.unitLatency, n / inverseSum
}

// Unresponsive reports whether a server has attempts in flight and has been silent for long.
func (b *Balancer) Unresponsive(id ServerID) bool {
	s := b.servers[id]
	if s == nil || len(s.inFlight) == 0 {
		return false
	}
	oldest := s.inFlight[0]
	silence := b.now - max(oldest.sentAt, s.respondedAt)
	return silence > unresponsiveFactor*oldest.overdueAfter+stragglerGap
}
