package dataplane

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/lease"
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

const (
	// slowResponseFactor is the multiple of the baseline latency above which a response counts as bad. The baseline is the mean latency of
	// the route's requests at servers of other versions than the target. Cold servers and pauses are well below this multiple.
	slowResponseFactor = 4.0
	// baselineSmoothing is the weight of one response in the moving average of the baseline latency, minBaselineSamples the number of
	// responses from which on the average is used.
	baselineSmoothing  = 0.05
	minBaselineSamples = 8
	// rolloutSplitStep is the fractional part of the golden ratio. It generates a Weyl sequence, as for weighted services.
	rolloutSplitStep = 0.6180339887498949
)

// versionSeparator separates service and version in the name of a shard that consists of the servers of one version.
const versionSeparator = "\x00"

// shardTable is the part of the endpoint table that rollouts use.
type shardTable interface {
	shardIndex(service string) balancer.ShardIndex
	usable(shard balancer.ShardIndex) bool
	sync()
}

// rolloutTable applies the rollouts decided by the controllers: it sends the share of a service's shard calls that the rollout's step
// allows to servers of the target version, and counts the outcomes. The servers of a version that has or had a rollout form a separate
// shard, so that all attempts of a shard call go to the same version. It is owned by the loop.
type rolloutTable struct {
	process *process
	loop    commandLoop
	shards  shardTable
	events  eventSink // for the balancer

	version          uint64 // of the document, 0 = none
	encoded          []byte // the document
	byService        map[string]*activeRollout
	byShard          map[balancer.ShardIndex]*activeRollout // by the shard of the service that routes refer to
	lastQuorumPollAt time.Duration                          // when the last poll was sent that a controller with a quorum answered
	openCalls        map[balancer.ShardIndex]int            // number of shard calls with attempts at a shard's servers now or possibly later
	sequence         uint64                                 // of the last report
}

// activeRollout is the newest rollout of a service, with its outcomes at this gateway.
type activeRollout struct {
	rollout.Rollout
	oldShard, newShard balancer.ShardIndex
	splitPoint         float64                   // last element of the Weyl sequence, in [0, 1)
	outcomes           map[string]*routeOutcomes // by hostname and path prefix
}

// routeOutcomes counts the responses to one route's requests during a rollout.
type routeOutcomes struct {
	rollout.RouteCounts
	baselineLatency float64 // moving average of the old version's responses, in ticks
	baselineSamples int     // number of responses in baselineLatency
}

func newRolloutTable(p *process, loop commandLoop, shards shardTable) *rolloutTable {
	return &rolloutTable{
		process:   p,
		loop:      loop,
		shards:    shards,
		byService: map[string]*activeRollout{},
		byShard:   map[balancer.ShardIndex]*activeRollout{},
		openCalls: map[balancer.ShardIndex]int{},

		lastQuorumPollAt: -lease.TTL,
	}
}

// apply makes a rollout document the active one, unless the same or a newer version is active already.
func (t *rolloutTable) apply(document *rpc.Document) {
	if document.Version <= t.version {
		return
	}
	parsed, err := rollout.Parse(document.Body)
	if err != nil {
		t.process.log.Error().Err(err).Uint64("version", document.Version).Msg("rollout: invalid document ignored")
		return
	}
	t.version, t.encoded = document.Version, document.Body
	for _, r := range parsed.Rollouts {
		t.applyRollout(r)
	}
	t.shards.sync()                 // servers may have moved between shards
	for _, r := range t.byService { // all versions of a service share its retry budget
		base := t.shards.shardIndex(r.Service)
		t.events.handleEvent(balancer.BudgetShared{Shard: r.newShard, Source: base})
		t.events.handleEvent(balancer.BudgetShared{Shard: r.oldShard, Source: base})
	}
}

// applyRollout makes a rollout the newest one of its service. Its outcomes are kept if it only changes its state or step.
func (t *rolloutTable) applyRollout(r rollout.Rollout) {
	active := t.byService[r.Service]
	if active == nil || active.Number != r.Number {
		active = &activeRollout{outcomes: map[string]*routeOutcomes{}}
		t.byService[r.Service] = active
	}
	if active.State != r.State || active.Step != r.Step {
		t.process.log.Info().Str("service", r.Service).Str("target_version", r.TargetVersion).Str("state", string(r.State)).
			Int("step", r.Step).Str("reason", r.Reason).Msg("rollout: applied")
	}
	active.Rollout = r
	base := t.shards.shardIndex(r.Service)
	active.newShard = t.shards.shardIndex(versionShard(r.Service, r.TargetVersion))
	active.oldShard = base
	if r.StableVersion != "" {
		active.oldShard = t.shards.shardIndex(versionShard(r.Service, r.StableVersion))
	}
	t.byShard[base] = active
}

// versionShard returns the name of the shard that consists of the servers of one version of a service.
func versionShard(service, version string) string { return service + versionSeparator + version }

// shardName returns the name of the shard that a server of a service and version belongs to.
func (t *rolloutTable) shardName(service, version string) string {
	r := t.byService[service]
	if r != nil && version != "" && (version == r.TargetVersion || version == r.StableVersion) {
		return versionShard(service, version)
	}
	return service
}

// recordQuorum records that a controller with a quorum answered a poll that was sent at polledAt.
func (t *rolloutTable) recordQuorum(polledAt time.Duration) {
	t.lastQuorumPollAt = max(t.lastQuorumPollAt, polledAt)
}

// quorumReachable reports whether a controller with a quorum answered a poll that was sent less than a lease TTL ago.
func (t *rolloutTable) quorumReachable() bool {
	return duration(t.loop.now())-t.lastQuorumPollAt < lease.TTL
}

// share returns the share of a rollout's shard calls to send to the target version now. If only one of the versions has usable servers, it
// receives all calls, except that the target version receives none where the rollout allows it no share.
func (t *rolloutTable) share(r *activeRollout) float64 {
	share := r.Share(t.quorumReachable())
	oldUsable, newUsable := t.shards.usable(r.oldShard), t.shards.usable(r.newShard)
	switch {
	case share > 0 && !newUsable && oldUsable:
		return 0
	case share < 1 && !oldUsable && newUsable && r.State == rollout.Running && share > 0:
		return 1 // the target version was already in use
	}
	return share
}

// selectShard returns the shard to which the next shard call of a service is sent, given the service's shard.
func (t *rolloutTable) selectShard(shard balancer.ShardIndex) balancer.ShardIndex {
	r := t.byShard[shard]
	if r == nil {
		return shard
	}
	r.splitPoint += rolloutSplitStep
	if r.splitPoint >= 1 {
		r.splitPoint--
	}
	if r.splitPoint < t.share(r) {
		return r.newShard
	}
	return r.oldShard
}

// versionCandidates replaces the shards of a route's services by the shards of their versions, weighted by the
// rollouts' shares. The balancer chooses one of them, so that the service and the version are chosen by one element of
// one sequence: two sequences with the same step would be correlated.
func (t *rolloutTable) versionCandidates(alternatives []balancer.WeightedShard) []balancer.WeightedShard {
	if len(t.byShard) == 0 {
		return alternatives
	}
	chosen := make([]balancer.WeightedShard, 0, 2*len(alternatives))
	for _, candidate := range alternatives {
		r := t.byShard[candidate.Shard]
		if r == nil {
			chosen = append(chosen, candidate)
			continue
		}
		share := t.share(r)
		if share < 1 {
			chosen = append(chosen, balancer.WeightedShard{Shard: r.oldShard, Weight: candidate.Weight * (1 - share)})
		}
		if share > 0 {
			chosen = append(chosen, balancer.WeightedShard{Shard: r.newShard, Weight: candidate.Weight * share})
		}
	}
	return chosen
}

// callOpened counts a shard call that may be sent to servers of a shard.
func (t *rolloutTable) callOpened(shard balancer.ShardIndex) { t.openCalls[shard]++ }

// callClosed ends the count of a shard call that can no longer be sent to servers of the shard.
func (t *rolloutTable) callClosed(shard balancer.ShardIndex) {
	if t.openCalls[shard]--; t.openCalls[shard] <= 0 {
		delete(t.openCalls, shard)
	}
}

// recordOutcome records the outcome of an attempt. An attempt without a response counts only if its server has
// responded to other attempts since it was sent: a server that responds to none, or a fault of the network, is no
// evidence about the version.
func (t *rolloutTable) recordOutcome(a *attempt, outcome balancer.Outcome, elapsed balancer.Time) {
	r := t.byService[a.endpoint.service]
	if r == nil || r.State != rollout.Running || outcome.NeverRan() {
		return
	}
	now := t.loop.now()
	responded := outcome == balancer.Answered || outcome == balancer.Errored
	if !responded && a.endpoint.respondedAt <= a.sentAt {
		return
	}
	if responded {
		a.endpoint.respondedAt = now
	}
	o := r.outcomesOf(a.shardCall.request.route)
	slow := o.baselineSamples >= minBaselineSamples && float64(elapsed) > slowResponseFactor*o.baselineLatency
	if outcome == balancer.Cancelled && !slow {
		return // the client left before the attempt was slow
	}
	counts := &o.Target
	if a.endpoint.version != r.TargetVersion {
		counts = &o.Stable
		o.updateBaseline(outcome, elapsed)
	}
	counts.Responses++
	if outcome != balancer.Answered || slow {
		counts.Bad++
	}
}

// outcomesOf returns the outcomes of a route's requests.
func (r *activeRollout) outcomesOf(configured *route) *routeOutcomes {
	key := configured.Hostname + configured.PathPrefix
	o := r.outcomes[key]
	if o == nil {
		o = &routeOutcomes{}
		r.outcomes[key] = o
	}
	return o
}

// updateBaseline updates the baseline latency with a successful response of the old version.
func (o *routeOutcomes) updateBaseline(outcome balancer.Outcome, elapsed balancer.Time) {
	if outcome != balancer.Answered {
		return
	}
	o.baselineSamples++
	weight := max(baselineSmoothing, 1/float64(o.baselineSamples))
	o.baselineLatency += (float64(elapsed) - o.baselineLatency) * weight
}

// report returns the report on running rollouts for the next poll, nil = no rollout is running.
func (t *rolloutTable) report() *rpc.GatewayRollouts {
	var report *rpc.GatewayRollouts
	for service, r := range t.byService {
		if r.State != rollout.Running {
			continue
		}
		if report == nil {
			t.sequence++
			report = &rpc.GatewayRollouts{Incarnation: t.process.incarnation, Sequence: t.sequence}
		}
		entry := &rpc.RolloutReport{Service: service, Number: r.Number, Step: uint32(r.Step), OpenOld: uint32(t.openCalls[r.oldShard])}
		for route, o := range r.outcomes {
			entry.Routes = append(entry.Routes, &rpc.RouteOutcomes{
				Route:      route,
				OldAnswers: o.Stable.Responses,
				OldBad:     o.Stable.Bad,
				NewAnswers: o.Target.Responses,
				NewBad:     o.Target.Bad,
			})
		}
		report.Rollouts = append(report.Rollouts, entry)
	}
	return report
}

// documents returns the active rollout document for gateways that reach no controller.
func (t *rolloutTable) documents() []*rpc.Document {
	if t.version == 0 {
		return nil
	}
	return []*rpc.Document{{Name: rollout.DocumentName, Version: t.version, Body: t.encoded}}
}
