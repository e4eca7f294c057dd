package balancer

import (
	"cmp"
	"math"
	"slices"
)

// fanOut places the calls of a request: the better of two plans is improved and dispatched. A request that
// cannot finish by its deadline is not begun, nor under pressure one that cannot by its latency target.
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
	latest := req.deadline // by which a request must be able to finish, to be begun
	falling := min(1, latencyTolerance*cmp.Or(b.baseLatency, 1)/cmp.Or(b.currentLatency, 1))
	if float64(len(b.inFlight)) >= pressureShare*b.limit*math.Pow(falling, overloadPower) {
		if latest = req.targetAt; b.sharedBudgetBase > 0 {
			// A longer queue would shed only requests with a shorter target and complete no more of the others.
			latest = min(latest, b.now+shortestTarget-b.margin)
		}
	}
	slowest, idle := b.moveStragglers(plan, latest)
	if b.preferLocal {
		b.moveToLocalZone(req, plan, slowest)
	}
	if clear(b.plannedWork); req.policy.QuadraticPartialValue {
		covered := 0.0
		slowest, idle = 0, idle && slowest < Never
		slices.SortStableFunc(plan, compareFinish)
		for _, placed := range plan { // up to the coverage that makes a partial answer worthwhile
			if covered < req.policy.partialCoverage-weightTolerance {
				covered, slowest = covered+placed.call.weight, placed.finish
			}
		}
	}
	// An idle server is sent a late call all the same: nothing else shows whether it is still slow.
	tooLate := !idle && b.now+slowest > latest || b.now >= req.deadline
	if !req.inSecondPhase && slowest < Never && tooLate {
		b.abandon(req)
		return
	}
	b.dispatchPlan(req, plan)
	b.review(req)
}

// choosePlan draws two plans at random offsets. It returns that which finishes first, in order of finish.
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

// moveStragglers moves each call that is far behind the fastest or too late to the replica that is predicted
// to finish it first. It returns the slowest finish, and whether that call would have its server to itself.
func (b *Balancer) moveStragglers(plan []placement, latest Time) (slowest Time, idle bool) {
	clear(b.plannedWork)
	for _, placed := range plan {
		b.plannedWork[placed.server] += placed.call.size
	}
	for i := range plan {
		placed := &plan[i]
		if placed.finish > plan[0].finish+stragglerGap || b.now+placed.finish > latest {
			b.plannedWork[placed.server] -= placed.call.size
			if s, healthy := b.bestReplica(placed.call); healthy && b.predict(s, placed.call) < placed.finish {
				placed.server, placed.finish = s, b.predict(s, placed.call)
			}
			b.plannedWork[placed.server] += placed.call.size
		}
		if placed.finish > slowest {
			slowest, idle = placed.finish, placed.server != nil && b.workAt(placed.server) <= placed.call.size
		}
	}
	return slowest, idle
}

// dispatchPlan sends the calls of a plan, except those given up, and hedges some at servers on probation.
func (b *Balancer) dispatchPlan(req *request, plan []placement) {
	hopeless := func(call *shardCall) bool { return b.cannotFinish(call, req.targetAt-b.now) }
	covered := b.coveredWithout(req, hopeless)
	for _, placed := range plan {
		placed.call.skipped = covered && hopeless(placed.call)
		if placed.server != nil && !placed.call.skipped && b.canDispatch(placed.server, placed.call) {
			b.dispatch(placed.call, placed.server, FirstAttempt)
		}
	}
	for _, placed := range plan {
		call, s, sent := placed.call, placed.probation, len(placed.call.attempts)
		if s != nil && (s != placed.server || sent == 0) && b.canDispatch(s, call) &&
			(sent == 0 && call.skipped || sent == 1 && b.withinBudget(call, probationShare)) {
			b.dispatch(call, s, call.firstOr(ProbationAttempt))
		}
	}
}

// replicaAt returns the replica that an offset selects, or the next healthy one. On a ring the offset marks
// every n-th cell, n the replication factor, and selects the replica there; otherwise it counts replicas. A
// selected server that is due for a hedged probation attempt is returned as probation.
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

// bestReplica returns the healthy replica that is predicted to finish a call first. Where none is healthy it
// returns the best one that may be used at all; failures weigh in the prediction.
func (b *Balancer) bestReplica(call *shardCall) (best *server, healthy bool) {
	lowest := math.Inf(1)
	for _, s := range b.replicas[call.shard] {
		good := b.isHealthyFor(s, call)
		if healthy && !good || !b.canDispatch(s, call) {
			continue
		}
		cost := float64(b.predict(s, call))
		if b.preferLocal && !s.local {
			cost /= localPreference
		}
		if good && !healthy || cost < lowest {
			best, lowest, healthy = s, cost, good
		}
	}
	return best, healthy
}

// canDispatch reports whether a call may be sent to a ready server at all, healthy or not. No attempt, whatever
// it is sent for, goes to a server that has not passed here.
func (b *Balancer) canDispatch(s *server, call *shardCall) bool {
	out := slices.ContainsFunc(call.attempts, func(a *attempt) bool { return a.server == s && !a.ended })
	return !out && b.canAttempt(call) && b.hasCapacity(s, call) && b.slowStartAllows(s, call.size)
}

// isHealthyFor reports whether a server may be sent a call, looks healthy and has not had the call. On
// probation it takes one idempotent call at a time, or any call after a long time. Where attempts can be
// hedged, probation attempts go beside healthy ones instead: wide requests would nearly all depend on them.
func (b *Balancer) isHealthyFor(s *server, call *shardCall) bool {
	had := slices.ContainsFunc(call.attempts, func(a *attempt) bool { return a.server == s })
	if had || !b.canDispatch(s, call) || s.ejectedUntil > b.now || s.clusterEjected ||
		b.silenceRatio(s.inFlight...) > 1 ||
		b.checkFirst && s.probation && s.checkedAt < s.ejectedUntil && b.now < s.ejectedUntil+latencyMaxAge {
		return false
	}
	fit := call.req.policy.Idempotency == Idempotent && !b.hedgeProbation ||
		b.now > s.ejectedUntil+max(maxEjectionFactor*b.baseEjection, latencyMaxAge)
	return !s.probation || fit && len(s.inFlight) == 0 && b.plannedWork[s] == 0
}

// predict returns how long a call would take at a server, with the work ahead of it there.
func (b *Balancer) predict(s *server, call *shardCall) Time {
	unit := b.meanLatency
	if unit == 0 {
		unit = float64(call.req.policy.LatencyTarget) / initialShare / call.size
	}
	unit /= b.capacityShare(s)
	if s.unitLatency > 0 {
		unit += (s.unitLatency - unit) * b.freshness(s.measuredAt, latencyMaxAge)
	}
	failing := s.failureRate
	if s.respondedAt <= s.zone.failedAt { // no evidence yet that it is better than its zone
		failing = max(failing, s.zone.failureRate*b.freshness(s.zone.failedAt, latencyMaxAge))
	}
	// Silence counts before any outcome does, so that a stall shows at once. The cost: one call that takes
	// unusually long makes a healthy server look slow.
	success := 1 - min(failing, maxFailRate)
	unit *= max(s.slowdown, 1) * (1 + silenceWeight*b.silenceRatio(s.inFlight...)) / success
	ahead := s.backlog + b.queueLength(s)*b.meanSize + b.plannedWork[s]
	return Time(min(unit*(ahead+call.size), float64(Never-1)))
}

// queueLength returns the queue that a server reported, fading to the mean report with age.
func (b *Balancer) queueLength(s *server) float64 {
	return b.meanQueue + (s.reportedQueue-b.meanQueue)*b.freshness(s.reportedAt, queueMaxAge)
}

// workAt returns what is pending or planned at a server; 0 = it is idle.
func (b *Balancer) workAt(s *server) float64 { return s.backlog + b.queueLength(s) + b.plannedWork[s] }

// freshness returns the weight of an observation: 1 at the moment it was made, 0 at the age given.
func (b *Balancer) freshness(at, age Time) float64 { return max(0, 1-float64(b.now-at)/float64(age)) }

// moveToLocalZone moves calls to servers of the local zone, as traffic between zones is expensive, where the
// call then finishes no later than the plan does, or early enough for the target.
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
		latest := max(slowest, placed.finish, Time(localPreference*float64(req.policy.LatencyTarget)))
		for k := 0; k < len(local) && !placed.server.local; k++ {
			s := local[(offset+int(placed.call.shard)+k)%len(local)]
			if finish := b.predict(s, placed.call); finish <= latest {
				placed.server, placed.finish = s, finish
			}
		}
		b.plannedWork[placed.server] += placed.call.size
	}
}

// cannotFinish reports whether no healthy replica is idle or would finish a call within a time: the shard may
// be down, or its few remaining replicas overloaded. Only partial answers of some value allow for that.
func (b *Balancer) cannotFinish(call *shardCall, within Time) bool {
	canFinish := func(s *server) bool {
		return s.ejectedUntil <= b.now && !s.probation && b.silenceRatio(s.inFlight...) <= 1 &&
			(within == Never || b.predict(s, call) <= within || b.workAt(s) == 0)
	}
	return call.req.policy.QuadraticPartialValue && !slices.ContainsFunc(b.replicas[call.shard], canFinish)
}

// coveredWithout reports whether a partial answer without the skippable calls is worthwhile.
func (b *Balancer) coveredWithout(req *request, skippable func(*shardCall) bool) bool {
	covered := 0.0
	for _, call := range req.calls {
		if call.answered || !skippable(call) {
			covered += call.weight
		}
	}
	return req.policy.QuadraticPartialValue && covered < 1-weightTolerance &&
		covered >= req.policy.partialCoverage-weightTolerance
}
