package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// defect is a defect injected into the model's own part of the work, which the checks must detect.
type defect int

const (
	noDefect defect = iota

	fencingIgnored     // a transition is applied to a document other than the one from which it was derived
	contactLossIgnored // a gateway without contact to the controllers keeps the share of its step
	drainIgnored       // a rollout is completed while a gateway has requests open at the old version
	elapsedTimeLost    // a controller counts the elapsed time anew, without the time that has passed since the document was proposed
	reportsIgnored     // the reports of gateways are not analyzed
)

const (
	modelStep      = 100 * time.Millisecond
	modelDuration  = 15 * time.Second // duration of the rollout
	modelEnd       = 22 * time.Second
	modelRate      = 30.0                    // requests per second at each gateway
	contactTimeout = 2500 * time.Millisecond // time since the last contact after which a gateway has lost contact
	gatewayTimeout = 4 * time.Second         // time since the last report after which controllers ignore a gateway
	rollbackLimit  = 5 * time.Second         // time within which all gateways must apply a reverted rollout
	requestTime    = 600 * time.Millisecond  // duration of a request
)

// modelGateway is a gateway of the model.
type modelGateway struct {
	incarnation                       uint64
	document                          Document
	version                           uint64 // version of the document
	lastContact                       time.Duration
	disconnectedFrom, disconnectedFor time.Duration // beginning and duration of a loss of its connections to controllers
	counts                            RouteCounts
	split                             float64 // position in a low-discrepancy sequence that assigns requests to versions
	oldOpenUntil                      time.Duration
	reported                          Rollout // rollout as last reported to controllers
	reportedCounts                    RouteCounts
	reportedOpen                      bool // requests were open at the old version
	reportedAt                        time.Duration
}

// isDisconnected reports whether the gateway has no connection to controllers.
func (g *modelGateway) isDisconnected(now time.Duration) bool {
	return now >= g.disconnectedFrom && now < g.disconnectedFrom+g.disconnectedFor
}

// modelController is a controller of the model. It receives the document with a delay, and may be frozen for a time.
type modelController struct {
	text                  []byte
	document              Document
	version               uint64
	receivedAt            time.Duration // when it received the document
	analysis              *Analysis
	frozenFrom, frozenFor time.Duration           // beginning and duration of the freeze
	pending               func(now time.Duration) // submits a proposal that is not decided yet
	pendingAt             time.Duration           // when pending is called
}

// model is a cluster with one rollout.
type model struct {
	defect      defect
	random      *rand.Rand
	badFrom     time.Duration // time from which the target version is bad; never = it is good
	badShare    float64       // share of bad responses of a bad version
	badAbove    float64       // share of requests from which a bad version shows its fault
	gateways    []*modelGateway
	controllers []*modelController
	text        []byte // decided document
	version     uint64
	finalAt     time.Duration // when the state became final

	parsed                   Rollout // rollout in the document of parsedVersion
	parsedVersion            uint64
	requests, targetRequests int  // requests of gateways in contact during the rollout's duration, and those that reached the target version
	undisturbed              bool // no gateway is disconnected and no controller is frozen
}

const never = time.Hour

// newModel returns a model of the given seed with a defect and with a good or a bad target version.
func newModel(seed uint64, injected defect, bad, undisturbed bool) *model {
	m := &model{defect: injected, random: rand.New(rand.NewPCG(seed, 3)), badFrom: never, undisturbed: undisturbed}
	if bad {
		m.badShare = 0.3 + 0.2*m.random.Float64()
		m.badFrom = time.Duration(m.random.IntN(2)) * 3300 * time.Millisecond
		m.badAbove = []float64{0, 0, 0.3}[m.random.IntN(3)]
	}
	for i := range 12 {
		g := &modelGateway{incarnation: uint64(i + 1), split: m.random.Float64()}
		if !undisturbed && m.random.IntN(3) == 0 {
			g.disconnectedFrom, g.disconnectedFor = time.Duration(m.random.Int64N(int64(modelEnd))), time.Duration(m.random.Int64N(int64(8*time.Second)))
		}
		m.gateways = append(m.gateways, g)
	}
	for range 3 {
		c := &modelController{analysis: NewAnalysis()}
		if !undisturbed && m.random.IntN(2) == 0 {
			c.frozenFrom, c.frozenFor = time.Duration(m.random.Int64N(int64(modelEnd))), time.Duration(m.random.Int64N(int64(4*time.Second)))
		}
		m.controllers = append(m.controllers, c)
	}
	m.text, _ = Begin(nil, 0, Order{"s", "v2", modelDuration.Seconds()}, 1)
	m.version = 1
	return m
}

// rollout returns the rollout of the decided document.
func (m *model) rollout() Rollout {
	if m.parsedVersion != m.version {
		d, _ := Parse(m.text)
		m.parsed, m.parsedVersion = *d.Find("s"), m.version
	}
	return m.parsed
}

// run runs the model to its end and returns the first violation, or nil.
func (m *model) run() error {
	for now := modelStep; now < modelEnd; now += modelStep {
		before := m.rollout()
		for rank, c := range m.controllers {
			m.stepController(c, rank, now)
		}
		after := m.rollout()
		if before.State != Running && after != before || after.Step < before.Step {
			return fmt.Errorf("at %v: invalid change to %+v from %+v", now, after, before)
		}
		if before.State == Running && after.State != Running {
			m.finalAt = now
		}
		for _, g := range m.gateways {
			if err := m.stepGateway(g, now, after); err != nil {
				return err
			}
		}
	}
	return m.checkEnd()
}

// checkEnd checks the outcome of the rollout.
func (m *model) checkEnd() error {
	r := m.rollout()
	if m.badFrom != never && float64(m.targetRequests) > 0.1*float64(m.requests)+50 {
		return fmt.Errorf("%d of %d requests reached a bad version: %+v", m.targetRequests, m.requests, r)
	}
	switch {
	case m.badFrom != never && r.State != Reverted:
		return fmt.Errorf("the rollout of a bad version ended as %+v", r)
	case m.badFrom == never && m.undisturbed && (r.State != Completed || m.finalAt > modelDuration):
		return fmt.Errorf("the rollout of a good version ended as %+v at %v", r, m.finalAt)
	case r.State == Running || m.undisturbed && m.finalAt > modelDuration+time.Second:
		return fmt.Errorf("final at %v: %+v", m.finalAt, r)
	}
	return nil
}

// stepController runs one step of a controller: it submits a pending proposal, or receives the document and proposes a due transition.
func (m *model) stepController(c *modelController, rank int, now time.Duration) {
	if now >= c.frozenFrom && now < c.frozenFrom+c.frozenFor {
		return
	}
	if c.pending != nil && now >= c.pendingAt {
		c.pending(now)
		c.pending = nil
		return
	}
	if c.version != m.version && m.random.IntN(3) > 0 {
		c.text, c.version, c.receivedAt = m.text, m.version, now
		d, _ := Parse(c.text)
		c.document = *d
	}
	if m.defect == elapsedTimeLost && m.random.IntN(20) == 0 {
		c.receivedAt = now
	}
	r := c.document.Find("s")
	if r == nil || r.State != Running || c.pending != nil {
		return
	}
	p := m.progress(c, r, now)
	t, due := r.Next(p, Limits{})
	if !due || rank > 0 && m.random.IntN(8) > 0 {
		return
	}
	from, version, age := *r, c.version, now-c.receivedAt
	c.pendingAt = now + time.Duration(m.random.IntN(3))*modelStep
	c.pending = func(time.Duration) { m.propose(from, version, age, t) }
}

// propose applies a transition to the decided document unless its version has changed since the transition was derived.
func (m *model) propose(from Rollout, version uint64, age time.Duration, t Transition) {
	if m.defect == fencingIgnored {
		d, _ := Parse(m.text)
		r := d.Find("s")
		r.State, r.Step, r.StepShare, r.Reason = t.State, t.Step, t.Share, t.Reason
		m.text = d.Encode()
		m.version++
		return
	}
	if version != m.version {
		return
	}
	if next := Apply(m.text, age, from, t); next != nil {
		m.text = next
		m.version++
	}
}

// progress returns the progress of a rollout as known to a controller.
func (m *model) progress(c *modelController, r *Rollout, now time.Duration) Progress {
	age := now - c.receivedAt
	p := Progress{
		Elapsed:       time.Duration(r.ElapsedMS)*time.Millisecond + age,
		StepElapsed:   time.Duration(r.StepElapsedMS)*time.Millisecond + age,
		StableServers: 8,
	}
	if now > 700*time.Millisecond {
		p.TargetServers = 8
	}
	for _, g := range m.gateways {
		if now-g.reportedAt > gatewayTimeout {
			continue
		}
		p.Gateways++
		if g.reported.Number == r.Number && g.reported.Step == r.Step {
			p.Applied++
			if g.reportedOpen {
				p.OpenStableRequests++
			}
		}
		if m.defect != reportsIgnored {
			c.analysis.Report(g.incarnation, "route", g.reportedCounts)
		}
	}
	p.StableResponses, p.TargetResponses = c.analysis.Responses()
	p.FailureReason = c.analysis.FailureReason()
	if m.defect == reportsIgnored {
		p.StableResponses, p.TargetResponses = 1000, 1000
	}
	if m.defect == drainIgnored {
		p.Applied, p.OpenStableRequests = p.Gateways, 0
	}
	return p
}

// stepGateway runs one step of a gateway: it polls a controller, serves requests, checks the invariants and reports.
func (m *model) stepGateway(g *modelGateway, now time.Duration, current Rollout) error {
	if !g.isDisconnected(now) && m.random.IntN(2) == 0 { // the response to a poll renews the contact and contains the document
		g.lastContact = now
		if g.version != m.version {
			d, _ := Parse(m.text)
			g.document, g.version = *d, m.version
		}
	}
	inContact := now-g.lastContact < contactTimeout
	r := g.document.Find("s")
	share := 0.0
	if r != nil {
		share = r.Share(inContact || m.defect == contactLossIgnored)
	}
	for range int(modelRate * modelStep.Seconds()) {
		g.split += 0.6180339887498949
		if g.split >= 1 {
			g.split--
		}
		if g.split < share {
			if err := m.checkTarget(g, now, current, inContact); err != nil {
				return err
			}
			m.countResponse(&g.counts.Target, now, share)
		} else {
			g.oldOpenUntil = now + requestTime
			m.countResponse(&g.counts.Stable, now, -1)
		}
		if now < modelDuration && inContact {
			m.requests++
			if g.split < share {
				m.targetRequests++
			}
		}
	}
	wasDisconnected := g.disconnectedFor > 0 && now >= g.disconnectedFrom && now-g.disconnectedFrom-g.disconnectedFor <= contactTimeout
	if current.State == Completed && inContact && !wasDisconnected && g.oldOpenUntil > now {
		return fmt.Errorf("at %v: gateway %d has requests open at the old version although the rollout was completed at %v", now, g.incarnation, m.finalAt)
	}
	if !g.isDisconnected(now) && m.random.IntN(2) == 0 && r != nil {
		g.reported, g.reportedCounts, g.reportedOpen, g.reportedAt = *r, g.counts, g.oldOpenUntil > now, now
	}
	return nil
}

// checkTarget checks that a request may be sent to the target version.
func (m *model) checkTarget(g *modelGateway, now time.Duration, current Rollout, inContact bool) error {
	if current.State == Reverted && now > m.finalAt+rollbackLimit {
		return fmt.Errorf("at %v: gateway %d sends requests to a version that was reverted at %v", now, g.incarnation, m.finalAt)
	}
	if !inContact && g.document.Find("s").Step < LastStep {
		return fmt.Errorf("at %v: gateway %d sends requests to the target version without contact to controllers", now, g.incarnation)
	}
	return nil
}

// countResponse draws a response and counts it. share is that of the target version, or negative for a response of another version.
func (m *model) countResponse(c *Counts, now time.Duration, share float64) {
	c.Responses++
	bad := 0.01
	if share >= 0 && now >= m.badFrom && share >= m.badAbove {
		bad = m.badShare
	}
	if m.random.Float64() < bad {
		c.Bad++
	}
}

// The invariants of the package must hold with disconnected gateways and frozen controllers, for good and for bad versions.
func TestModelKeepsInvariants(t *testing.T) {
	for seed := range uint64(400) {
		if err := newModel(seed, noDefect, seed%2 == 0, seed%4 < 2).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The checks must detect each injected defect in one of the seeds.
func TestRolloutModelDetectsDefects(t *testing.T) {
	for _, injected := range []defect{fencingIgnored, contactLossIgnored, drainIgnored, elapsedTimeLost, reportsIgnored} {
		t.Run(fmt.Sprint(injected), func(t *testing.T) {
			for seed := range uint64(2000) {
				if err := newModel(seed, injected, seed%2 == 0, seed%4 < 2).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no check detected the defect")
		})
	}
}
