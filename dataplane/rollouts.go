package dataplane

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/lease"
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

const (
	// slowFactor times the usual latency of a route's requests at servers of other versions makes an answer a bad one. Cold servers
	// and pauses are well below it.
	slowFactor = 4.0
	// usualWeight is the smoothing of that usual latency, minUsualSamples how many answers it takes to know it.
	usualWeight     = 0.05
	minUsualSamples = 8
	// rolloutSplitStep is the fractional part of the golden ratio (Weyl sequence), as for weighted services.
	rolloutSplitStep = 0.6180339887498949
)

// versionSeparator stands between service and version in the names of shards that hold the servers of one version.
const versionSeparator = "\x00"

// shardTable is what the rollouts use of the servers.
type shardTable interface {
	shardIndex(service string) balancer.ShardIndex
	usable(shard balancer.ShardIndex) bool
	sync()
}

// rolloutTable applies the agreed rollouts: it sends the share of a service's calls to servers of the target version that the
// rollout's step allows, and counts how these fare. The servers of a version that has or had a rollout are a shard of their own, so
// that all attempts of a call go to one version. It is owned by the loop.
type rolloutTable struct {
	process *process
	loop    commandLoop
	shards  shardTable
	events  eventSink // for the balancer

	version      uint64 // of the document, 0 = none
	text         []byte
	byService    map[string]*activeRollout
	byShard      map[balancer.ShardIndex]*activeRollout // by the shard of the service that routes name
	inTouchSince time.Duration                          // when the poll was sent that a controller with a quorum answered last
	openCalls    map[balancer.ShardIndex]int            // calls that may be or may yet be sent to a shard's servers
	sequence     uint64
}

// activeRollout is one service's newest rollout here.
type activeRollout struct {
	rollout.Rollout
	oldShard, newShard balancer.ShardIndex
	splitPoint         float64
	outcomes           map[string]*routeOutcomes // by host and path prefix
}

// routeOutcomes are the answers to one route's requests in a rollout.
type routeOutcomes struct {
	rollout.RouteCounts
	usualLatency float64 // of the old version's answers, in ticks
	usualSamples int
}

func newRolloutTable(p *process, loop commandLoop, shards shardTable) *rolloutTable {
	return &rolloutTable{
		process:   p,
		loop:      loop,
		shards:    shards,
		byService: map[string]*activeRollout{},
		byShard:   map[balancer.ShardIndex]*activeRollout{},
		openCalls: map[balancer.ShardIndex]int{},

		inTouchSince: -lease.TTL,
	}
}

// apply makes a document the active one, unless it or a newer one already is.
func (t *rolloutTable) apply(document *rpc.Document) {
	if document.Version <= t.version {
		return
	}
	parsed, err := rollout.Parse(document.Body)
	if err != nil {
		t.process.log.Error().Err(err).Uint64("version", document.Version).Msg("rollout: invalid document ignored")
		return
	}
	t.version, t.text = document.Version, document.Body
	for _, r := range parsed.Rollouts {
		t.applyRollout(r)
	}
	t.shards.sync()                 // servers may have moved between shards
	for _, r := range t.byService { // the retry budget is the service's, whatever its servers' versions
		base := t.shards.shardIndex(r.Service)
		t.events.handleEvent(balancer.BudgetShared{Shard: r.newShard, With: base})
		t.events.handleEvent(balancer.BudgetShared{Shard: r.oldShard, With: base})
	}
}

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

func versionShard(service, version string) string { return service + versionSeparator + version }

// shardName returns the name of the shard that a server belongs to.
func (t *rolloutTable) shardName(service, version string) string {
	r := t.byService[service]
	if r != nil && version != "" && (version == r.TargetVersion || version == r.StableVersion) {
		return versionShard(service, version)
	}
	return service
}

// confirmContact notes that a controller with a quorum answered a poll.
func (t *rolloutTable) confirmContact(polledAt time.Duration) {
	t.inTouchSince = max(t.inTouchSince, polledAt)
}

func (t *rolloutTable) inTouch() bool {
	return duration(t.loop.now())-t.inTouchSince < lease.TTL
}

// share returns the share of a rollout's calls that may go to the target version now.
func (t *rolloutTable) share(r *activeRollout) float64 {
	share := r.Share(t.inTouch())
	oldUsable, newUsable := t.shards.usable(r.oldShard), t.shards.usable(r.newShard)
	switch {
	case share > 0 && !newUsable && oldUsable:
		return 0
	case share < 1 && !oldUsable && newUsable && r.State == rollout.Running && share > 0:
		return 1 // the version was in place before
	}
	return share
}

// choose returns the shard to which a call of a service's shard goes.
func (t *rolloutTable) choose(shard balancer.ShardIndex) balancer.ShardIndex {
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

// chooseAmong returns the shards among which the balancer chooses, in place of those of a route's services. It draws once for both
// the service and the version: two sequences of the same step would agree with each other.
func (t *rolloutTable) chooseAmong(alternatives []balancer.WeightedShard) []balancer.WeightedShard {
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

// opened counts a call that may be sent to servers of a shard, closed one that no longer may.
func (t *rolloutTable) opened(shard balancer.ShardIndex) { t.openCalls[shard]++ }

func (t *rolloutTable) closed(shard balancer.ShardIndex) {
	if t.openCalls[shard]--; t.openCalls[shard] <= 0 {
		delete(t.openCalls, shard)
	}
}

// observe takes the end of an attempt. A server that is silent to all says nothing of its version: what is lost there, or on the way,
// counts only where the server has answered others meanwhile.
func (t *rolloutTable) observe(a *attempt, outcome balancer.Outcome, elapsed balancer.Time) {
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
	slow := o.usualSamples >= minUsualSamples && float64(elapsed) > slowFactor*o.usualLatency
	if outcome == balancer.Cancelled && !slow {
		return // its client left early
	}
	counts := &o.New
	if a.endpoint.version != r.TargetVersion {
		counts = &o.Old
		o.learnLatency(outcome, elapsed)
	}
	counts.Answers++
	if outcome != balancer.Answered || slow {
		counts.Bad++
	}
}

// outcomesOf returns the outcomes of a route's requests.
func (r *activeRollout) outcomesOf(of *route) *routeOutcomes {
	key := of.Hostname + of.PathPrefix
	o := r.outcomes[key]
	if o == nil {
		o = &routeOutcomes{}
		r.outcomes[key] = o
	}
	return o
}

// learnLatency learns the usual latency from an answer of the old version.
func (o *routeOutcomes) learnLatency(outcome balancer.Outcome, elapsed balancer.Time) {
	if outcome != balancer.Answered {
		return
	}
	o.usualSamples++
	weight := max(usualWeight, 1/float64(o.usualSamples))
	o.usualLatency += (float64(elapsed) - o.usualLatency) * weight
}

// report returns what the controllers are to know, nil = no rollout is running.
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
		of := &rpc.RolloutReport{Service: service, Number: r.Number, Step: uint32(r.Step), OpenOld: uint32(t.openCalls[r.oldShard])}
		for route, o := range r.outcomes {
			of.Routes = append(of.Routes, &rpc.RouteOutcomes{
				Route:      route,
				OldAnswers: o.Old.Answers,
				OldBad:     o.Old.Bad,
				NewAnswers: o.New.Answers,
				NewBad:     o.New.Bad,
			})
		}
		report.Rollouts = append(report.Rollouts, of)
	}
	return report
}

// documents returns the active document, for gateways that reach no controller.
func (t *rolloutTable) documents() []*rpc.Document {
	if t.version == 0 {
		return nil
	}
	return []*rpc.Document{{Name: rollout.DocumentName, Version: t.version, Body: t.text}}
}
