package balancer

import (
	"cmp"
	"math"
	"slices"
)

// fanOut draws two plans for a request's calls, improves the better one and dispatches it. It does not start
// a request that cannot finish by its deadline, nor under pressure one that would miss its latency target.
func (b *Balancer) fanOut(req *request, calls []ShardCall) {
	shortestTarget := req.policy.LatencyTarget // of recent requests for the same shards
	for _, call := range calls {
		budget := b.budgetFor(call.Shard)
		shortestTarget = min(shortestTarget, budget.admit(req.policy.LatencyTarget, b.now, b.now+latencyMaxAge))
		size := cmp.Or(max(call.Size, 0), req.policy.size, 1) + b.callCost
		b.meanSize += (size - b.meanSize) * slowWeight
		req.calls = append(req.calls,
			&shardCall{req: req, id: call.ID, shard: call.Shard, weight: call.Weight, size: size})
	}
	plan := b.choosePlan(req)
	finishBy := req.deadline // a request that would finish later is not started
	gradient := min(1, latencyTolerance*cmp.Or(b.baseLatency, 1)/cmp.Or(b.currentLatency, 1))
	if float64(len(b.inFlight)) >= pressureShare*b.limit*math.Pow(gradient, overloadPower) {
		if finishBy = req.targetAt; b.budgetPerShard {
			// A longer queue would shed only requests with a shorter target, without completing more of the others.
			finishBy = min(finishBy, b.now+shortestTarget-b.margin)
		}
	}
	slowest, idle := b.moveStragglers(plan, finishBy)
	if b.preferLocal {
		b.moveToLocalZone(req, plan, slowest)
	}
	if clear(b.plannedWork); req.policy.QuadraticPartialValue {
		covered, all := coverage{}, req.allCalls()
		slowest, idle = 0, idle && slowest < Never
		slices.SortStableFunc(plan, compareFinish)
		for _, placed := range plan { // up to the coverage that makes a partial answer worthwhile
			if !covered.reaches(req.policy.partialCoverage, all) {
				covered.add(placed.call)
				slowest = placed.finish
			}
		}
	}
	// An idle server is sent a call even if it would be late: nothing else shows whether it is still slow.
	tooLate := !idle && b.now+slowest > finishBy || b.now >= req.deadline
	if !req.inSecondPhase && slowest < Never && tooLate {
		b.abandon(req)
		return
	}
	b.dispatchPlan(req, plan)
	b.evaluate(req)
}

// choosePlan draws two plans at random offsets and returns the one that finishes first, in order of finish.
func (b *Balancer) choosePlan(req *request) (best []placement) {
	slowest := Time(math.MaxInt64)
	for range 2 {
		offset := b.rand.intN(1 << 16)
		clear(b.plannedWork)
		plan := make([]placement, 0, len(req.calls))
		for _, call := range req.calls {
			placed := placement{call: call, finish: b.expectedWait(call)}
			if placed.server, placed.probation = b.replicaAt(call, offset); placed.server != nil {
				placed.finish = b.predict(placed.server, call)
				b.plannedWork[placed.server] += call.size
			}
			if placed.probation != nil {
				b.plannedWork[placed.probation] += call.size
			}
			plan = append(plan, placed)
		}
		slices.SortStableFunc(plan, compareFinish)
		if finish := plan[len(plan)-1].finish; finish < slowest {
			best, slowest = plan, finish
		}
	}
	return best
}

// moveStragglers moves each call that would finish too late, or far behind the fastest, to the replica
// predicted to finish it first. It returns the latest finish, and whether that call has its server to itself.
func (b *Balancer) moveStragglers(plan []placement, finishBy Time) (slowest Time, idle bool) {
	clear(b.plannedWork)
	for _, placed := range plan {
		b.plannedWork[placed.server] += placed.call.size
	}
	for i := range plan {
		placed := &plan[i]
		if placed.finish > plan[0].finish+stragglerGap || b.now+placed.finish > finishBy {
			b.plannedWork[placed.server] -= placed.call.size
			if s, healthy := b.bestReplica(placed.call); healthy && b.predict(s, placed.call) < placed.finish {
				placed.server, placed.finish = s, b.predict(s, placed.call)
			}
			b.plannedWork[placed.server] += placed.call.size
		}
		if placed.finish > slowest {
			slowest, idle = placed.finish, placed.server != nil && b.load(placed.server) <= placed.call.size
		}
	}
	return slowest, idle
}

// dispatchPlan sends the calls of a plan, except those skipped, and adds hedges to servers on probation.
func (b *Balancer) dispatchPlan(req *request, plan []placement) {
	missesTarget := func(call *shardCall) bool { return b.cannotFinish(call, req.targetAt-b.now) }
	covered := b.coveredWithout(req, missesTarget)
	for _, placed := range plan {
		placed.call.skipped = covered && missesTarget(placed.call)
		if placed.server != nil && !placed.call.skipped && b.canDispatch(placed.server, placed.call) {
			b.dispatch(placed.call, placed.server, FirstAttempt)
		}
	}
	for _, placed := range plan {
		call, s, sent := placed.call, placed.probation, len(placed.call.attempts)
		if s != nil && (s != placed.server || sent == 0) && b.canDispatch(s, call) &&
			(sent == 0 && call.skipped || sent == 1 && b.withinBudget(call, probationShare)) {
			b.dispatch(call, s, call.nextReason(ProbationAttempt))
		}
	}
}

// replicaAt returns the replica that an offset selects, or the next healthy one. If the replication factor n
// is above 1, the offset selects every n-th cell of the ring and the replica there, otherwise a replica by
// index. A selected server that is due for a hedged probation attempt is returned as probation.
func (b *Balancer) replicaAt(call *shardCall, offset int) (s, probation *server) {
	all, factor := b.replicas[call.shard], b.replicationFactor
	start, nearest := (offset+int(call.shard))%max(len(all), 1), factor
	for i, s := range all {
		if distance := ((int(s.cell)-offset)%factor + factor) % factor; factor > 1 && distance < nearest {
			start, nearest = i, distance
		}
	}
	for i := range all {
		if s = all[(start+i)%len(all)]; b.isHealthyFor(s, call) {
			return s, probation
		}
		if i == 0 && b.hedgeProbation && s.probation && call.req.policy.Idempotency == Idempotent &&
			s.ejectedUntil <= b.now && len(s.inFlight) == 0 && b.plannedWork[s] == 0 {
			probation = s
		}
	}
	s, _ = b.bestReplica(call)
	return s, probation
}

// bestReplica returns the healthy replica with the earliest predicted finish. If none is healthy, it returns
// the best of those that canDispatch allows; the predictions include failure rates.
func (b *Balancer) bestReplica(call *shardCall) (best *server, healthy bool) {
	lowest := math.Inf(1)
	for _, s := range b.replicas[call.shard] {
		candidateHealthy := b.isHealthyFor(s, call)
		if healthy && !candidateHealthy || !b.canDispatch(s, call) {
			continue
		}
		cost := float64(b.predict(s, call))
		if b.preferLocal && !s.local {
			cost /= localPreference
		}
		if candidateHealthy && !healthy || cost < lowest {
			best, lowest, healthy = s, cost, candidateHealthy
		}
	}
	return best, healthy
}

// canDispatch reports whether a call may be sent to a ready server, healthy or not. Every attempt must pass
// this check, whatever its reason.
func (b *Balancer) canDispatch(s *server, call *shardCall) bool {
	inFlight := slices.ContainsFunc(call.attempts, func(a *attempt) bool { return a.server == s && !a.ended })
	return !inFlight && b.canAttempt(call) && b.hasCapacity(s, call) && b.slowStartAllows(s, call.size)
}

// isHealthyFor reports whether a server may be sent a call, looks healthy and was not tried for it. A server
// on probation accepts one idempotent call at a time, and any call long after its ejection. If hedging is
// possible, probation attempts are hedges instead: else nearly all wide requests would depend on one.
func (b *Balancer) isHealthyFor(s *server, call *shardCall) bool {
	attempted := slices.ContainsFunc(call.attempts, func(a *attempt) bool { return a.server == s })
	if attempted || !b.canDispatch(s, call) || s.ejectedUntil > b.now || s.clusterEjected ||
		b.silenceRatio(s.inFlight...) > 1 ||
		b.checkFirst && s.probation && s.checkedAt < s.ejectedUntil && b.now < s.ejectedUntil+latencyMaxAge {
		return false
	}
	eligible := call.req.policy.Idempotency == Idempotent && !b.hedgeProbation ||
		b.now > s.ejectedUntil+max(maxEjectionFactor*b.baseEjection, latencyMaxAge)
	return !s.probation || eligible && len(s.inFlight) == 0 && b.plannedWork[s] == 0
}

// predict returns the predicted latency of a call at a server, including the work ahead of it there.
func (b *Balancer) predict(s *server, call *shardCall) Time {
	unit := b.meanLatency
	if unit == 0 {
		unit = float64(call.req.policy.LatencyTarget) / initialShare / call.size
	}
	unit /= b.capacityShare(s)
	if s.unitLatency > 0 {
		unit += (s.unitLatency - unit) * b.freshness(s.measuredAt, latencyMaxAge)
	}
	failureRate := s.failureRate
	if s.respondedAt <= s.zone.failedAt { // no evidence that it is healthier than its zone
		failureRate = max(failureRate, s.zone.failureRate*b.freshness(s.zone.failedAt, latencyMaxAge))
	}
	// Silence counts before there is an outcome, so that a stall takes effect at once. The drawback: a single
	// unusually long call makes a healthy server look slow.
	success := 1 - min(failureRate, maxFailRate)
	unit *= max(s.slowdown, 1) * (1 + silenceWeight*b.silenceRatio(s.inFlight...)) / success
	workAhead := s.backlog + b.queueLength(s)*b.meanSize + b.plannedWork[s]
	return Time(min(unit*(workAhead+call.size), float64(Never-1)))
}

// queueLength returns the queue that a server reported, which decays to the mean report as it ages.
func (b *Balancer) queueLength(s *server) float64 {
	return b.meanQueue + (s.reportedQueue-b.meanQueue)*b.freshness(s.reportedAt, queueMaxAge)
}

// load returns the work in flight, queued and planned at a server; 0 = the server is idle.
func (b *Balancer) load(s *server) float64 { return s.backlog + b.queueLength(s) + b.plannedWork[s] }

// freshness returns the weight of an observation, which falls linearly from 1 when it is made to 0 at an age.
func (b *Balancer) freshness(at, age Time) float64 { return max(0, 1-float64(b.now-at)/float64(age)) }

// moveToLocalZone moves calls to the local zone, because traffic between zones is expensive, if they then
// finish no later than the plan does, or early enough for the target.
func (b *Balancer) moveToLocalZone(req *request, plan []placement, slowest Time) {
	offset := b.rand.intN(1 << 16)
	for i := range plan {
		placed := &plan[i]
		if placed.server == nil || placed.server.local {
			continue
		}
		local := slices.DeleteFunc(slices.Clone(b.replicas[placed.call.shard]), func(s *server) bool {
			return !s.local || !b.isHealthyFor(s, placed.call)
		})
		b.plannedWork[placed.server] -= placed.call.size
		finishBy := max(slowest, placed.finish, Time(localPreference*float64(req.policy.LatencyTarget)))
		for k := 0; k < len(local) && !placed.server.local; k++ {
			s := local[(offset+int(placed.call.shard)+k)%len(local)]
			if finish := b.predict(s, placed.call); finish <= finishBy {
				placed.server, placed.finish = s, finish
			}
		}
		b.plannedWork[placed.server] += placed.call.size
	}
}

// cannotFinish reports whether no healthy replica is idle or would finish a call in time: the shard may be
// down or its remaining replicas overloaded. It applies only where partial answers have a quadratic value.
func (b *Balancer) cannotFinish(call *shardCall, within Time) bool {
	canFinish := func(s *server) bool {
		return s.ejectedUntil <= b.now && !s.probation && b.silenceRatio(s.inFlight...) <= 1 &&
			(within == Never || b.predict(s, call) <= within || b.load(s) == 0)
	}
	return call.req.policy.QuadraticPartialValue && !slices.ContainsFunc(b.replicas[call.shard], canFinish)
}

// coveredWithout reports whether a partial answer without the skippable calls is still worthwhile.
func (b *Balancer) coveredWithout(req *request, skippable func(*shardCall) bool) bool {
	covered, all := coverage{}, req.allCalls()
	for _, call := range req.calls {
		if call.answered || !skippable(call) {
			covered.add(call)
		}
	}
	return req.policy.QuadraticPartialValue && covered.calls < all.calls &&
		covered.reaches(req.policy.partialCoverage, all)
}
