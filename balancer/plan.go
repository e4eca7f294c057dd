package balancer

// The ordinary path: two plans, the prediction, and what takes a part off its plan.

import (
	"cmp"
	"math"
	"slices"
)

// fanOut is the ordinary path of a search: two plans are drawn, each part predicted in both, and the plan
// whose slowest part ends first is sent.
func (b *Balancer) fanOut(req *request, calls []ShardCall) {
	shortestTarget := req.policy.target // the shortest target among those that share its shards
	for _, call := range calls {
		shortestTarget = min(shortestTarget, b.budgetFor(call.Shard).admit(req.policy.target, b.now, b.now+latencyMaxAge))
		size := cmp.Or(max(call.Size, 0), req.policy.size, 1) + b.callCost
		b.meanSize += (size - b.meanSize) * slowWeight
		req.calls = append(req.calls, &shardCall{req: req, id: call.ID, shard: call.Shard, weight: call.Weight, size: size})
	}
	var best []placement
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
		slices.SortStableFunc(plan, func(a, placed placement) int { return cmp.Compare(a.finish, placed.finish) })
		if end := plan[len(plan)-1].finish; end < slowest {
			best, slowest = plan, end
		}
	}
	late := req.deadline // but while places are short its target counts: the sooner, the longer answers take
	falling := min(1, latencyTolerance*cmp.Or(b.baseLatency, 1)/cmp.Or(b.currentLatency, 1))
	if float64(len(b.inFlight)) >= pressureShare*b.limit*math.Pow(falling, overloadPower) {
		if late = req.targetAt; b.sharedBudgetBase > 0 { // a longer queue refuses the brief ones alone, and serves no more
			late = min(late, b.now+shortestTarget-b.margin)
		}
	}
	// A part far behind the fastest, or too late for its search, moves once, to its earliest replica.
	slowest, idle := Time(0), false // idle: the slowest part would have its server to itself
	clear(b.plannedWork)
	for _, placed := range best {
		b.plannedWork[placed.server] += placed.call.size
	}
	for i := range best {
		placed := &best[i]
		if placed.finish > best[0].finish+stragglerGap || b.now+placed.finish > late {
			b.plannedWork[placed.server] -= placed.call.size
			if s, usable := b.bestReplica(placed.call); usable && b.predict(s, placed.call) < placed.finish {
				placed.server, placed.finish = s, b.predict(s, placed.call)
			}
			b.plannedWork[placed.server] += placed.call.size
		}
		if placed.finish > slowest {
			slowest, idle = placed.finish, placed.server != nil && placed.server.backlog+b.queueLength(placed.server)+b.plannedWork[placed.server] <= placed.call.size
		}
	}
	slowest = b.moveToLocalZone(req, best, slowest)
	// What cannot end in time even so is better not begun, unless it waits for nothing there: only asking tells
	// whether a server is still slow. Guards against a fleet that stands idle while searches are shed.
	if clear(b.plannedWork); req.policy.quadratic {
		slowest, idle = b.partialFinish(req, best), idle && slowest < never
	}
	if !req.inSecondPhase && slowest < never && (!idle && b.now+slowest > late || b.now >= req.deadline) {
		b.abandon(req)
		return
	}
	spare := b.coveredWithout(req, func(call *shardCall) bool { return b.cannotFinish(call, req.targetAt-b.now) })
	for _, placed := range best {
		placed.call.skipped = spare && b.cannotFinish(placed.call, req.targetAt-b.now)
		if placed.server != nil && !placed.call.skipped && b.canDispatch(placed.server, placed.call) {
			b.dispatch(placed.call, placed.server)
		}
	}
	for _, placed := range best {
		if n := len(placed.call.attempts); placed.probation != nil && (placed.probation != placed.server || n == 0) && b.canDispatch(placed.probation, placed.call) &&
			(n == 0 && placed.call.skipped || n == 1 && b.withinBudget(placed.call, probationShare)) {
			b.dispatch(placed.call, placed.probation)
			placed.call.attempts[n].probation = n > 0
		}
	}
	b.review(req)
}

// replicaAt names a part's replica at an offset, or the next one that can be used. On a ring the offset marks
// every reach-th cell and a part goes to its replica there; in sets they are counted by offset plus shard.
// Where the one named is due for a trial it is told too.
func (b *Balancer) replicaAt(call *shardCall, offset int) (s, tried *server) {
	all := b.replicas[call.shard]
	start, nearest := (offset+int(call.shard))%max(len(all), 1), b.replicationFactor
	for i, s := range all {
		if far := ((int(s.cell)-offset)%b.replicationFactor + b.replicationFactor) % b.replicationFactor; b.replicationFactor > 1 && far < nearest {
			start, nearest = i, far
		}
	}
	for i := range all {
		if s = all[(start+i)%len(all)]; b.isHealthyChoice(s, call) {
			return s, tried
		}
		if i == 0 && b.hedgeProbation && s.probation && call.req.policy.idempotency == Idempotent && s.ejectedUntil <= b.now &&
			len(s.inFlight) == 0 && b.plannedWork[s] == 0 {
			tried = s
		}
	}
	s, _ = b.bestReplica(call)
	return s, tried
}

// bestReplica is the usable replica predicted to end a part first. When none is usable it is the least bad one
// that the rules allow: one that fails seldom and ends soon.
func (b *Balancer) bestReplica(call *shardCall) (best *server, usable bool) {
	least := math.Inf(1)
	for _, s := range b.replicas[call.shard] {
		good := b.isHealthyChoice(s, call)
		if usable && !good || !b.canDispatch(s, call) {
			continue
		}
		figure := float64(b.predict(s, call))
		if b.preferLocal && !s.local {
			figure /= localPreference
		}
		if good && !usable || figure < least {
			best, least, usable = s, figure, good
		}
	}
	return best, usable
}

// canDispatch tells whether the rules let a part go to a ready server; usable, that it also looks sound and has
// not had the part. On trial it takes one idempotent part at a time, beside the part's own sub-request where
// that may be: while a third of a fleet is cut off every search of twenty parts would else depend on some
// trial. One that is long in coming is made with any part.
func (b *Balancer) canDispatch(s *server, call *shardCall) bool {
	out := slices.ContainsFunc(call.attempts, func(a *attempt) bool { return a.server == s && !a.ended })
	return !out && b.hasCapacity(s, call) && b.slowStartAllows(s, call.size)
}

func (b *Balancer) isHealthyChoice(s *server, call *shardCall) bool {
	had := slices.ContainsFunc(call.attempts, func(a *attempt) bool { return a.server == s })
	if had || !b.canDispatch(s, call) || s.ejectedUntil > b.now || s.clusterEjected || b.silenceRatio(s.inFlight...) > 1 ||
		b.checkFirst && s.probation && s.checkedAt < s.ejectedUntil && b.now < s.ejectedUntil+latencyMaxAge {
		return false
	}
	fit := call.req.policy.idempotency == Idempotent && !b.hedgeProbation || b.now > s.ejectedUntil+max(maxEjectionFactor*b.baseEjection, latencyMaxAge)
	return !s.probation || fit && len(s.inFlight) == 0 && b.plannedWork[s] == 0
}

// predict is when a part would end at a server, from now: its size after the unfinished ones there.
func (b *Balancer) predict(s *server, call *shardCall) Time {
	rate := b.meanLatency
	if rate == 0 {
		rate = float64(call.req.policy.target) / initialShare / call.size
	}
	rate /= b.capacityShare(s)
	if s.unitLatency > 0 {
		rate += (s.unitLatency - rate) * b.freshness(s.measuredAt, latencyMaxAge)
	}
	// A slowdown of seconds, before smoothing catches up: the longer something is out without a word, the slower
	// the server is held to be. A stall shows likewise. Harm: one odd part makes a sound server look slow.
	failing := s.failureRate
	if s.respondedAt <= s.zone.failedAt { // nothing says that it is better than its zone
		failing = max(failing, s.zone.failureRate*b.freshness(s.zone.failedAt, latencyMaxAge))
	}
	rate *= max(s.slowdown, 1) * (1 + silenceWeight*b.silenceRatio(s.inFlight...)) / (1 - min(failing, 0.99))
	ahead := s.backlog + b.queueLength(s)*b.meanSize + b.plannedWork[s]
	return Time(min(rate*(ahead+call.size), float64(never-1)))
}

// queueLength is what a server reported, or the mean report as that grows old.
func (b *Balancer) queueLength(s *server) float64 {
	return b.meanQueue + (s.reportedQueue-b.meanQueue)*b.freshness(s.reportedAt, queueMaxAge)
}

// freshness is how much news of a moment still counts: all at once, nothing when it is so old.
func (b *Balancer) freshness(at, age Time) float64 { return max(0, 1-float64(b.now-at)/float64(age)) }

// moveToLocalZone moves parts of the plan to servers of this gatherer's zone, each to one an offset names or a next
// one, if neither the part nor the plan ends later, or soon enough. Between zones it is dear.
func (b *Balancer) moveToLocalZone(req *request, best []placement, slowest Time) Time {
	if !b.preferLocal {
		return slowest
	}
	offset := b.rand.intN(1 << 16)
	for i := range best {
		placed := &best[i]
		if placed.server == nil || placed.server.local {
			continue
		}
		near := slices.DeleteFunc(slices.Clone(b.replicas[placed.call.shard]), func(s *server) bool {
			return !s.local || !b.isHealthyChoice(s, placed.call)
		})
		b.plannedWork[placed.server] -= placed.call.size
		enough := max(slowest, placed.finish, Time(localPreference*float64(req.policy.target)))
		for k := 0; k < len(near) && !placed.server.local; k++ {
			s := near[(offset+int(placed.call.shard)+k)%len(near)]
			if end := b.predict(s, placed.call); end <= enough {
				placed.server, placed.finish = s, end
			}
		}
		b.plannedWork[placed.server] += placed.call.size
	}
	return slowest
}

// partialFinish is when the parts that make a short answer worth having end, from now.
func (b *Balancer) partialFinish(req *request, best []placement) (end Time) {
	in := 0.0
	slices.SortStableFunc(best, func(a, placed placement) int { return cmp.Compare(a.finish, placed.finish) })
	for _, placed := range best {
		if in >= req.policy.partialCoverage-weightTolerance {
			break
		}
		in, end = in+placed.call.weight, placed.finish
	}
	return end
}

// cannotFinish tells whether no sound replica of a part would end it in a time, nor stands idle: all of a shard
// may be down, or the few that are back would be overrun.
func (b *Balancer) cannotFinish(call *shardCall, within Time) bool {
	return call.req.policy.quadratic && !slices.ContainsFunc(b.replicas[call.shard], func(s *server) bool {
		return s.ejectedUntil <= b.now && !s.probation && b.silenceRatio(s.inFlight...) <= 1 &&
			(within == never || b.predict(s, call) <= within || s.backlog+b.queueLength(s)+b.plannedWork[s] == 0)
	})
}

// coveredWithout tells whether a search's other parts make an answer worth having without those that are given up.
func (b *Balancer) coveredWithout(req *request, skippable func(*shardCall) bool) bool {
	in := 0.0
	for _, call := range req.calls {
		if call.answered || !skippable(call) {
			in += call.weight
		}
	}
	return req.policy.quadratic && in < 1-weightTolerance && in >= req.policy.partialCoverage-weightTolerance
}
