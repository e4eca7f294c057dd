package controlplane

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/registry"
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

const (
	// rolloutInterval is the time between two checks of the running rollouts.
	rolloutInterval = 100 * time.Millisecond
	// rolloutGossipPerGateway is the minimum time between two messages to a peer per gateway whose report they contain.
	rolloutGossipPerGateway = 2 * time.Millisecond
	// rolloutRankDelay is how much longer than the controller before it a controller waits before it proposes a due transition.
	rolloutRankDelay = 500 * time.Millisecond
	// rolloutTimeout limits a proposal of a transition.
	rolloutTimeout = 2 * peerCallTimeout
	// maxRolloutReportAge is the maximum age of a gateway's report that is used to determine what it has applied.
	maxRolloutReportAge = 3 * time.Second
)

// rolloutManager advances the rollouts: it collects the reports of gateways and proposes the transitions that are due. Every
// controller does this, in the order of their addresses: the first live controller without delay, each further one rolloutRankDelay
// later. A controller whose proposal comes second is based on a version of the document that has been replaced, and changes nothing.
// It is owned by the event loop.
type rolloutManager struct {
	rolloutDependencies
	version   consensus.Version // version of document
	document  *rollout.Document
	analyses  map[uint64]*rollout.Analysis // of the running rollouts, by number
	dueSince  time.Duration                // when a transition became due; 0 = none is due
	nextAt    time.Duration                // when the next check is due
	proposing bool
}

// rolloutDependencies are the components and limits that a rolloutManager uses.
type rolloutDependencies struct {
	self     identity
	loop     *eventLoop
	clock    *monotonicClock
	learner  *learner
	contact  *contactMonitor
	peers    *peerSet
	gateways *gatewayDirectory
	table    *registry.Table
	events   *eventLog
	proposer *proposer
	limits   rollout.Limits
	log      zerolog.Logger
}

func newRolloutManager(d rolloutDependencies) *rolloutManager {
	return &rolloutManager{rolloutDependencies: d, document: &rollout.Document{}, analyses: map[uint64]*rollout.Analysis{}}
}

// running reports whether a rollout is running.
func (m *rolloutManager) running() bool { return m.document.AnyRunning() }

// advance checks the running rollouts if that is due, and returns when to call it again, at most limit.
func (m *rolloutManager) advance(now, limit time.Duration) (next time.Duration) {
	m.updateDocument()
	if !m.running() {
		return limit
	}
	if now >= m.nextAt {
		m.nextAt = now + rolloutInterval
		m.updateAnalyses()
		m.proposeDue(now)
	}
	return min(limit, m.nextAt)
}

// updateDocument parses the newest document of rollouts if its version has changed.
func (m *rolloutManager) updateDocument() {
	d := m.learner.value.Document(rollout.DocumentName)
	if d.Version == m.version {
		return
	}
	parsed, err := rollout.Parse(d.Body)
	if err != nil {
		m.log.Error().Err(err).Uint64("version", uint64(d.Version)).Msg("rollout: document ignored")
		parsed = &rollout.Document{}
	}
	m.recordTransitions(m.document, parsed)
	m.version, m.document, m.dueSince = d.Version, parsed, 0
	running := map[uint64]*rollout.Analysis{}
	for _, r := range parsed.Rollouts {
		if r.State != rollout.Running {
			continue
		}
		if running[r.Number] = m.analyses[r.Number]; running[r.Number] == nil {
			running[r.Number] = rollout.NewAnalysis()
		}
	}
	m.analyses = running
}

// recordTransitions adds an event and a log line for each rollout whose state or step has changed.
func (m *rolloutManager) recordTransitions(before, after *rollout.Document) {
	for _, r := range after.Rollouts {
		if old := before.Find(r.Service); old != nil && old.Number == r.Number && old.State == r.State && old.Step == r.Step {
			continue
		}
		text := fmt.Sprintf("rollout of %s to %s is %s, step %d", r.Service, r.TargetVersion, r.State, r.Step)
		if r.Reason != "" {
			text += ": " + r.Reason
		}
		m.events.add(eventRollout, text)
		m.log.Info().Str("service", r.Service).Str("target_version", r.TargetVersion).Str("state", string(r.State)).Int("step", r.Step).
			Str("reason", r.Reason).Msg("rollout: decided")
	}
}

// age returns how long this controller has known the current version of the document.
func (m *rolloutManager) age() time.Duration {
	known := m.learner.documentTimes[rollout.DocumentName]
	if known.version == 0 {
		return 0
	}
	return m.clock.now() - known.since
}

// updateAnalyses adds the gateways' reports to the analyses of the running rollouts.
func (m *rolloutManager) updateAnalyses() {
	for incarnation, g := range m.gateways.byIncarnation {
		for _, report := range g.rollouts.GetRollouts() {
			analysis := m.analyses[report.Number]
			if analysis == nil {
				continue
			}
			for _, route := range report.Routes {
				analysis.Report(incarnation, route.Route, rollout.RouteCounts{
					Stable: rollout.Counts{Responses: route.OldAnswers, Bad: route.OldBad},
					Target: rollout.Counts{Responses: route.NewAnswers, Bad: route.NewBad},
				})
			}
		}
	}
}

// progress returns the state of a running rollout on which its next transition depends.
func (m *rolloutManager) progress(r *rollout.Rollout, now time.Duration) rollout.Progress {
	age := m.age()
	p := rollout.Progress{
		Elapsed:     time.Duration(r.ElapsedMS)*time.Millisecond + age,
		StepElapsed: time.Duration(r.StepElapsedMS)*time.Millisecond + age,
	}
	for version, servers := range m.table.ReadyByVersion(registry.ServiceID(r.Service)) {
		if version == r.TargetVersion {
			p.TargetServers = servers
		} else {
			p.StableServers += servers
		}
	}
	for _, g := range m.gateways.byIncarnation {
		p.Gateways++
		if now-g.rolloutsAt > maxRolloutReportAge || g.rolloutsAt == 0 {
			continue
		}
		for _, report := range g.rollouts.GetRollouts() {
			if report.Number == r.Number && int(report.Step) == r.Step {
				p.Applied++
				p.OpenStableRequests += int(report.OpenOld)
			}
		}
	}
	analysis := m.analyses[r.Number]
	p.StableResponses, p.TargetResponses = analysis.Responses()
	p.FailureReason = analysis.FailureReason()
	return p
}

// proposeDue proposes the first transition that is due, once the delay for this controller's rank has passed.
func (m *rolloutManager) proposeDue(now time.Duration) {
	if m.proposing || !m.contact.isCurrent(now) {
		return
	}
	for i := range m.document.Rollouts {
		r := &m.document.Rollouts[i]
		if r.State != rollout.Running {
			continue
		}
		transition, due := r.Next(m.progress(r, now), m.limits)
		if !due {
			continue
		}
		if m.dueSince == 0 {
			m.dueSince = now
		}
		if now-m.dueSince >= time.Duration(m.rank(now))*rolloutRankDelay {
			m.proposing = true
			go m.propose(*r, m.version, transition, m.age())
		}
		return
	}
	m.dueSince = 0
}

// rank returns the number of live controllers whose address sorts before this one's.
func (m *rolloutManager) rank(now time.Duration) int {
	before, _ := slices.BinarySearch(m.peers.aliveAddresses(now), m.self.address)
	return before
}

// propose proposes a transition, which is not applied if the document has changed in the meantime. It is called on its own goroutine.
func (m *rolloutManager) propose(r rollout.Rollout, version consensus.Version, transition rollout.Transition, age time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
	defer cancel()
	_, err := m.proposer.propose(ctx, func(v *consensus.Value) *consensus.Value {
		d := v.Document(rollout.DocumentName)
		if d.Version != version {
			return v
		}
		next := rollout.Apply(d.Body, age, r, transition)
		if next == nil {
			return v
		}
		return v.WithDocument(rollout.DocumentName, digest(next), next)
	})
	m.loop.post(func() {
		m.proposing = false
		if err != nil {
			m.log.Warn().Err(err).Str("service", r.Service).Msg("rollout: transition not decided")
		}
	})
}

// gatewayReports returns the reports of the gateways that poll this controller, to be sent to the other controllers. It returns none if
// no rollout is running.
func (m *rolloutManager) gatewayReports(now time.Duration) (reports []*rpc.GatewayRollouts) {
	if !m.running() {
		return nil
	}
	for _, g := range m.gateways.byIncarnation {
		if g.rollouts != nil && g.pollsHere(now) {
			reports = append(reports, g.rollouts)
		}
	}
	return reports
}

// receiveRollouts records a gateway's report about rollouts, unless a newer one is known.
func (d *gatewayDirectory) receiveRollouts(report *rpc.GatewayRollouts, now time.Duration) {
	if report == nil {
		return
	}
	g := d.byIncarnation[report.Incarnation]
	if g == nil || g.rollouts != nil && g.rollouts.Sequence >= report.Sequence {
		return
	}
	g.rollouts, g.rolloutsAt = report, now
}
