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
	// rolloutInterval is between two looks at the running rollouts.
	rolloutInterval = 100 * time.Millisecond
	// rolloutGossipPerGateway is between two messages to a peer, for each gateway whose report they carry.
	rolloutGossipPerGateway = 2 * time.Millisecond
	// rolloutTurn is how much longer each next controller leaves a transition that is due to those before it.
	rolloutTurn = 500 * time.Millisecond
	// rolloutTimeout is for a proposal of a transition.
	rolloutTimeout = 2 * peerCallTimeout
	// rolloutReportAge is how old a gateway's report may be to tell what it has applied.
	rolloutReportAge = 3 * time.Second
)

// rolloutManager conducts the rollouts: it gathers what gateways report of them and proposes the transitions that are due. All
// controllers do, one after the other: the first one that is alive at once, each next one later. Whoever comes second proposes on top
// of a document version that is no longer in place, and changes nothing. It belongs to the event loop.
type rolloutManager struct {
	rolloutDependencies
	version   consensus.Version // of the document that is parsed
	document  *rollout.Document
	analyses  map[uint64]*rollout.Analysis // by number, of the running rollouts
	dueSince  time.Duration                // since when a transition is due, 0 = none is
	nextAt    time.Duration
	proposing bool
}

// rolloutDependencies is what a rolloutManager works with.
type rolloutDependencies struct {
	self     identity
	loop     *eventLoop
	clock    *steadyClock
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

// advance looks at the running rollouts when it is time, and returns when it is next, at most limit.
func (m *rolloutManager) advance(now, limit time.Duration) (next time.Duration) {
	m.follow()
	if !m.running() {
		return limit
	}
	if now >= m.nextAt {
		m.nextAt = now + rolloutInterval
		m.analyze()
		m.proposeDue(now)
	}
	return min(limit, m.nextAt)
}

// follow parses the newest document.
func (m *rolloutManager) follow() {
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

// recordTransitions records what has changed as events and log lines.
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

// age is how long the document in place has been known here.
func (m *rolloutManager) age() time.Duration {
	known := m.learner.documentTimes[rollout.DocumentName]
	if known.version == 0 {
		return 0
	}
	return m.clock.now() - known.since
}

// analyze takes what the gateways report of the running rollouts.
func (m *rolloutManager) analyze() {
	for incarnation, g := range m.gateways.byIncarnation {
		for _, report := range g.rollouts.GetRollouts() {
			analysis := m.analyses[report.Number]
			if analysis == nil {
				continue
			}
			for _, route := range report.Routes {
				analysis.Report(incarnation, route.Route, rollout.RouteCounts{
					Old: rollout.Counts{Answers: route.OldAnswers, Bad: route.OldBad},
					New: rollout.Counts{Answers: route.NewAnswers, Bad: route.NewBad},
				})
			}
		}
	}
}

// progress is what is known of a running rollout.
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
		if now-g.rolloutsAt > rolloutReportAge || g.rolloutsAt == 0 {
			continue
		}
		for _, report := range g.rollouts.GetRollouts() {
			if report.Number == r.Number && int(report.Step) == r.Step {
				p.Applied++
				p.OpenOld += int(report.OpenOld)
			}
		}
	}
	analysis := m.analyses[r.Number]
	p.OldAnswers, p.NewAnswers = analysis.Answers()
	p.Suspect = analysis.Suspect()
	return p
}

// proposeDue proposes the first transition that is due, when it is this controller's turn.
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
		if now-m.dueSince >= time.Duration(m.rank(now))*rolloutTurn {
			m.proposing = true
			go m.propose(*r, m.version, transition, m.age())
		}
		return
	}
	m.dueSince = 0
}

// rank is how many controllers come before this one.
func (m *rolloutManager) rank(now time.Duration) int {
	before, _ := slices.BinarySearch(m.peers.aliveAddresses(now), m.self.address)
	return before
}

// propose has a transition decided, unless the document has changed meanwhile. It runs on a goroutine of its own.
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

// gossiped returns what the gateways that poll this controller report, for the other controllers.
func (m *rolloutManager) gossiped(now time.Duration) (reports []*rpc.GatewayRollouts) {
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

// receive takes what a gateway reports, unless a newer report of it is known.
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
