package balancer

// hasCapacity reports whether the limits of a server allow another call. It calls the limiter in any case, because the
// limiter records refusals.
func (b *Balancer) hasCapacity(s *server, call *shardCall) bool {
	acquirable := b.limiter == nil || b.limiter.CanAcquire(s.id, call.req.queryType, b.now)
	return acquirable && (s.maxInFlight == 0 || len(s.inFlight) < s.maxInFlight)
}

// limitShare returns the share of the in-flight limit that a request may use.
func (b *Balancer) limitShare(req *request) float64 {
	if b.limiter == nil {
		return 1
	}
	return b.limiter.LimitShare(req.queryType, b.now)
}

// expectedWait returns the expected wait of a call for which no server has capacity; Never = unknown.
func (b *Balancer) expectedWait(call *shardCall) Time {
	if b.limiter == nil || len(b.replicas[call.shard]) == 0 {
		return Never
	}
	return b.limiter.ExpectedWait(call.shard, call.req.queryType, b.now)
}
