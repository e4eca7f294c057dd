package balancer

// The in-flight limit, and who is let in.

import (
	"cmp"
	"math"
)

// requestArrived sets a search's moments and sheds what is past the in-flight limit.
func (b *Balancer) requestArrived(e RequestArrived) {
	policy := b.types[e.Type]
	if e.MayHaveRun && policy.idempotency != Idempotent {
		b.emit(Fail{e.Request}) // sent again it might run twice; shed it would be called harmless
		return
	}
	req := &request{id: e.Request, number: e.Number, queryType: e.Type, policy: policy}
	req.deadline = b.now + max(min(e.Timeout-b.networkDelay/2, policy.timeout)-b.margin, 0)
	req.targetAt = b.now + policy.target - b.margin
	policy.longestTimeout = max(policy.longestTimeout-policy.longestTimeout/timeoutDecay, e.Timeout)
	full := policy.timeout
	if b.inferTimeout {
		full = policy.longestTimeout
	}
	if waited := full - e.Timeout; e.Timeout < policy.longestTimeout-b.margin &&
		(e.Retry || !b.retriesMarked && (b.inferTimeout || policy.abandonedAt >= b.now-waited)) {
		// What earlier tries left: a retry storm must not be served as if new. Harm: a client merely less patient
		// when it repeats is taken to have waited.
		req.targetAt -= waited
	}
	req.targetAt = min(req.targetAt, req.deadline)
	if !policy.lateCounts && b.retriesMarked {
		req.deadline = req.targetAt // a repeat is known for one and shed; else what is missing costs less than a repeat
	}
	b.requests[req.id], b.requestsByNumber[req.number] = req, req
	if len(e.Candidates) > 0 && len(e.Calls) == 1 {
		e.Calls[0].Shard = b.chooseShard(e.Candidates)
	}
	if b.sharedBudgetBase == 0 {
		b.budgetFor(0).admitted.add(b.now, 1)
	}
	b.widestRequest = max(b.widestRequest, len(e.Calls))
	b.limit = max(b.limit, max(minLimitPerServer*float64(len(b.ready))/b.instances, float64(minLimitWidest*b.widestRequest)))
	b.surveyServers()
	allowed := b.limit
	last := len(b.customers) - 1
	c, all := &b.customers[min(int(e.Customer), last)], &b.customers[last]
	took := c.admitted.lower(b.now)
	if c.quota > 0 && took >= c.quota && took*all.quota > all.admitted.lower(b.now)*c.quota {
		allowed *= pressureShare // over its share of the quota, and of this gatherer's own searches
	}
	if len(e.Calls) == 0 || b.activeCalls() >= allowed*b.limitShare(req) {
		b.abandon(req)
		return
	}
	c.admitted.add(b.now, 1)
	all.admitted.add(b.now, 1)
	b.fanOut(req, e.Calls)
}

// activeCalls is the parts in flight less those stuck at silent servers: these press, but must not keep all searches
// from the sound ones. Guards against a limit filled by servers that take parts and answer none.
func (b *Balancer) activeCalls() float64 { return float64(len(b.inFlight) - b.stuckCalls) }

// adjustLimit moves the in-flight limit, which follows the shortest over the present (median) latency.
func (b *Balancer) adjustLimit(unit float64) {
	if b.latencySamples++; b.latencySamples <= warmupSamples { // the mean, to start from
		b.currentLatency += (unit - b.currentLatency) / float64(b.latencySamples)
		b.baseLatency = b.currentLatency
	}
	b.currentLatency *= 1 + math.Copysign(medianStep, unit-b.currentLatency)
	b.baseLatency = min(b.baseLatency*(1+baseLatencyGrowth), b.currentLatency)
	falling := min(1, max(0.5, latencyTolerance*b.baseLatency/b.currentLatency))
	if falling < 1 || b.activeCalls() > b.limit/2 {
		b.limit += (b.limit*falling + math.Sqrt(b.limit) - b.limit) * limitWeight
	}
}

// chooseShard draws a shard by weight among those that have a ready server, or among all.
func (b *Balancer) chooseShard(among []WeightedShard) (at ShardIndex) {
	sum, held := 0.0, 0.0
	for _, w := range among {
		if sum += w.Weight; len(b.replicas[w.Shard]) > 0 {
			held += w.Weight
		}
	}
	left := cmp.Or(held, sum) * float64(b.rand.intN(1<<20)) / (1 << 20)
	for _, w := range among {
		if w.Weight > 0 && left >= 0 && (held == 0 || len(b.replicas[w.Shard]) > 0) {
			at, left = w.Shard, left-w.Weight
		}
	}
	return at
}
