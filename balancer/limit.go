package balancer

import (
	"cmp"
	"math"
)

// setQueryType sets the policy of a query type for requests that arrive from now on.
func (b *Balancer) setQueryType(at QueryType, config QueryTypeConfig) {
	config.LatencyTarget -= min(b.networkDelay, config.LatencyTarget/2)
	config.MaxAttempts = cmp.Or(config.MaxAttempts, b.maxAttempts)
	b.baseEjection = min(b.baseEjection, max(config.LatencyTarget/backoffDivisor, Millisecond))
	policy := &typePolicy{QueryTypeConfig: config, partialCoverage: config.MinCoverage, typeState: newTypeState}
	policy.partialCounts = config.PartialValue*config.MinCoverage >= config.LateValue
	if config.QuadraticPartialValue {
		policy.partialCoverage, policy.partialCounts = max(config.MinCoverage, math.Sqrt(config.LateValue)), true
	}
	policy.size = b.millisPerTick * float64(config.LatencyTarget/initialShare)
	for len(b.types) <= int(at) {
		b.types = append(b.types, nil)
	}
	if old := b.types[at]; old != nil {
		policy.typeState = old.typeState
	}
	b.types[at] = policy
}

// requestArrived sets the deadlines of a request and sheds it if the in-flight limit is reached.
func (b *Balancer) requestArrived(e RequestArrived) {
	policy := b.types[e.Type]
	if e.MayHaveRun && policy.Idempotency != Idempotent {
		b.emit(Fail{e.Request}) // a repeat could run twice, and Shed would state that it has not run
		return
	}
	req := &request{id: e.Request, number: e.Number, queryType: e.Type, policy: policy}
	b.setDeadlines(req, e)
	b.requests[req.id], b.requestsByNumber[req.number] = req, req
	if len(e.Candidates) > 0 && len(e.Calls) == 1 {
		e.Calls[0].Shard = b.chooseShard(e.Candidates, policy.split.next(b.rand.intN))
	}
	if !b.budgetPerShard {
		b.budgetFor(0).admitted.add(b.now, 1)
	}
	b.widestRequest = max(b.widestRequest, len(e.Calls))
	b.limit = max(b.limit, minLimitPerServer*float64(len(b.ready))/b.instances,
		float64(minLimitWidest*b.widestRequest))
	b.updateEstimates()
	last := len(b.customers) - 1
	customer, all := &b.customers[min(int(e.Customer), last)], &b.customers[last]
	admitted, allowed := customer.admitted.lower(b.now), b.limit
	if customer.quota > 0 && admitted >= customer.quota &&
		admitted*all.quota > all.admitted.lower(b.now)*customer.quota {
		allowed *= pressureShare // over its quota, and over its share of this instance's requests
	}
	if len(e.Calls) == 0 || b.activeCalls() >= allowed*b.limitShare(req) {
		b.abandon(req)
		return
	}
	customer.admitted.add(b.now, 1)
	all.admitted.add(b.now, 1)
	b.fanOut(req, e.Calls)
}

// setDeadlines sets the latency target and deadline of a request. A retry keeps the target of its first
// attempt: otherwise a retry storm would be served like new load. If clients do not mark retries, a shorter
// timeout identifies one; a client that is only less patient is then assumed to have waited.
func (b *Balancer) setDeadlines(req *request, e RequestArrived) {
	policy := req.policy
	req.deadline = b.now + max(min(e.Timeout-b.networkDelay/2, policy.ClientTimeout)-b.margin, 0)
	req.targetAt = b.now + policy.LatencyTarget - b.margin
	policy.longestTimeout = max(policy.longestTimeout-policy.longestTimeout/timeoutDecay, e.Timeout)
	fullTimeout := policy.ClientTimeout
	if b.inferTimeout {
		fullTimeout = policy.longestTimeout
	}
	waited := fullTimeout - e.Timeout
	isRetry := e.Retry || !b.retriesMarked && (b.inferTimeout || policy.abandonedAt >= b.now-waited)
	if isRetry && e.Timeout < policy.longestTimeout-b.margin {
		req.targetAt -= waited
	}
	req.targetAt = min(req.targetAt, req.deadline)
	if policy.LateValue <= 0 && b.retriesMarked {
		req.deadline = req.targetAt // a marked retry can be shed; an unmarked one costs more than a late answer
	}
}

// activeCalls returns the calls in flight, except at silent servers: those must not exhaust the limit.
func (b *Balancer) activeCalls() float64 { return float64(len(b.inFlight) - b.stuckCalls) }

// adjustLimit scales the in-flight limit by base over current (median) unit latency, as gradient limiters do.
func (b *Balancer) adjustLimit(unitLatency float64) {
	if b.latencySamples++; b.latencySamples <= warmupSamples { // start from the mean
		b.currentLatency += (unitLatency - b.currentLatency) / float64(b.latencySamples)
		b.baseLatency = b.currentLatency
	}
	b.currentLatency *= 1 + math.Copysign(medianStep, unitLatency-b.currentLatency)
	b.baseLatency = min(b.baseLatency*(1+baseLatencyGrowth), b.currentLatency)
	gradient := min(1, max(minGradient, latencyTolerance*b.baseLatency/b.currentLatency))
	if gradient < 1 || b.activeCalls() > b.limit/2 {
		b.limit += (b.limit*gradient + math.Sqrt(b.limit) - b.limit) * limitWeight
	}
}

// chooseShard maps a point in [0, 1) to a shard by weight, among those with a ready server if there are any.
func (b *Balancer) chooseShard(candidates []WeightedShard, point float64) (chosen ShardIndex) {
	total, available := 0.0, 0.0
	for _, c := range candidates {
		if total += c.Weight; len(b.replicas[c.Shard]) > 0 {
			available += c.Weight
		}
	}
	remaining := cmp.Or(available, total) * point
	for _, c := range candidates {
		if c.Weight > 0 && remaining >= 0 && (available == 0 || len(b.replicas[c.Shard]) > 0) {
			chosen, remaining = c.Shard, remaining-c.Weight
		}
	}
	return chosen
}
