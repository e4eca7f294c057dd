package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// mistake is planted into the model's own part of the work, to show that its checks find it.
type mistake int

const (
	noMistake mistake = iota

	fenceIgnored   // a transition is made on top of a document that its controller does not know
	touchIgnored   // a gateway that is out of touch goes on as before
	barrierIgnored // a rollout is completed while a gateway has requests open at the old version
	timeForgotten  // another controller goes on from the step's beginning, not from what has passed
	evidenceLost   // what gateways report is not analyzed
)

const (
	modelStep     = 100 * time.Millisecond
	modelDuration = 15 * time.Second
	modelEnd      = 22 * time.Second
	modelRate     = 30.0 // requests a second at each gateway
	touchTime     = 2500 * time.Millisecond
	forgetTime    = 4 * time.Second // after which controllers drop a silent gateway
	rollbackTime  = 5 * time.Second
	openTime      = 600 * time.Millisecond // that a request is open
)

// modelGateway is a gateway as it is.
type modelGateway struct {
	incarnation   uint64
	document      Document
	version       uint64 // of the document
	touchedAt     time.Duration
	cutFrom, cut  time.Duration // is cut off then, for so long
	counts        RouteCounts
	split         float64
	oldOpenUntil  time.Duration
	reported      Rollout // the step that it reported last
	reportedCount RouteCounts
	reportedOpen  bool
	reportedAt    time.Duration
}

func (g *modelGateway) isCut(now time.Duration) bool {
	return now >= g.cutFrom && now < g.cutFrom+g.cut
}

// modelController is a controller as it is: it sees the document late, and stands still at times.
type modelController struct {
	text               []byte
	document           Document
	version            uint64
	knownAt            time.Duration
	analysis           *Analysis
	frozenFrom, frozen time.Duration
	pending            func(now time.Duration) // a proposal on its way
	pendingAt          time.Duration
}

// model is one day of a fleet with one rollout.
type model struct {
	mistake     mistake
	random      *rand.Rand
	badFrom     time.Duration // the target version is bad from then on, Never = it is good
	badShare    float64
	badAbove    float64 // only while at least this share goes there
	gateways    []*modelGateway
	controllers []*modelController
	text        []byte // in place
	version     uint64
	settledAt   time.Duration // when the state became final

	parsed        Rollout // of the version
	parsedVersion uint64
	all, target   int // requests until the term
	calm          bool
}

const never = time.Hour

func newModel(seed uint64, planted mistake, bad, calm bool) *model {
	m := &model{mistake: planted, random: rand.New(rand.NewPCG(seed, 3)), badFrom: never, calm: calm}
	if bad {
		m.badShare = 0.3 + 0.2*m.random.Float64()
		m.badFrom = time.Duration(m.random.IntN(2)) * 3300 * time.Millisecond
		m.badAbove = []float64{0, 0, 0.3}[m.random.IntN(3)]
	}
	for i := range 12 {
		g := &modelGateway{incarnation: uint64(i + 1), split: m.random.Float64()}
		if !calm && m.random.IntN(3) == 0 {
			g.cutFrom, g.cut = time.Duration(m.random.Int64N(int64(modelEnd))), time.Duration(m.random.Int64N(int64(8*time.Second)))
		}
		m.gateways = append(m.gateways, g)
	}
	for range 3 {
		c := &modelController{analysis: NewAnalysis()}
		if !calm && m.random.IntN(2) == 0 {
			c.frozenFrom, c.frozen = time.Duration(m.random.Int64N(int64(modelEnd))), time.Duration(m.random.Int64N(int64(4*time.Second)))
		}
		m.controllers = append(m.controllers, c)
	}
	m.text, _ = Begin(nil, 0, Order{"s", "v2", modelDuration.Seconds()}, 1)
	m.version = 1
	return m
}

// rollout returns the rollout in place.
func (m *model) rollout() Rollout {
	if m.parsedVersion != m.version {
		d, _ := Parse(m.text)
		m.parsed, m.parsedVersion = *d.Find("s"), m.version
	}
	return m.parsed
}

// run plays the day and returns the first violation, nil = there is none.
func (m *model) run() error {
	for now := modelStep; now < modelEnd; now += modelStep {
		before := m.rollout()
		for rank, c := range m.controllers {
			m.control(c, rank, now)
		}
		after := m.rollout()
		if before.State != Running && after != before || after.Step < before.Step {
			return fmt.Errorf("at %v: %+v follows %+v", now, after, before)
		}
		if before.State == Running && after.State != Running {
			m.settledAt = now
		}
		for _, g := range m.gateways {
			if err := m.serve(g, now, after); err != nil {
				return err
			}
		}
	}
	return m.checkEnd()
}

func (m *model) checkEnd() error {
	r := m.rollout()
	if m.badFrom != never && float64(m.target) > 0.1*float64(m.all)+50 {
		return fmt.Errorf("%d of %d requests reached a bad version: %+v", m.target, m.all, r)
	}
	switch {
	case m.badFrom != never && r.State != Reverted:
		return fmt.Errorf("a bad version ends as %+v", r)
	case m.badFrom == never && m.calm && (r.State != Completed || m.settledAt > modelDuration):
		return fmt.Errorf("a good version ends as %+v at %v", r, m.settledAt)
	case r.State == Running || m.calm && m.settledAt > modelDuration+time.Second:
		return fmt.Errorf("settled at %v: %+v", m.settledAt, r)
	}
	return nil
}

// control is one look of a controller at what it knows.
func (m *model) control(c *modelController, rank int, now time.Duration) {
	if now >= c.frozenFrom && now < c.frozenFrom+c.frozen {
		return
	}
	if c.pending != nil && now >= c.pendingAt {
		c.pending(now)
		c.pending = nil
		return
	}
	if c.version != m.version && m.random.IntN(3) > 0 {
		c.text, c.version, c.knownAt = m.text, m.version, now
		d, _ := Parse(c.text)
		c.document = *d
	}
	if m.mistake == timeForgotten && m.random.IntN(20) == 0 {
		c.knownAt = now
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
	from, version, age := *r, c.version, now-c.knownAt
	c.pendingAt = now + time.Duration(m.random.IntN(3))*modelStep
	c.pending = func(time.Duration) { m.propose(from, version, age, t) }
}

func (m *model) propose(from Rollout, version uint64, age time.Duration, t Transition) {
	if m.mistake == fenceIgnored {
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

func (m *model) progress(c *modelController, r *Rollout, now time.Duration) Progress {
	age := now - c.knownAt
	p := Progress{
		Elapsed:       time.Duration(r.ElapsedMS)*time.Millisecond + age,
		StepElapsed:   time.Duration(r.StepElapsedMS)*time.Millisecond + age,
		StableServers: 8,
	}
	if now > 700*time.Millisecond {
		p.TargetServers = 8
	}
	for _, g := range m.gateways {
		if now-g.reportedAt > forgetTime {
			continue
		}
		p.Gateways++
		if g.reported.Number == r.Number && g.reported.Step == r.Step {
			p.Applied++
			if g.reportedOpen {
				p.OpenOld++
			}
		}
		if m.mistake != evidenceLost {
			c.analysis.Report(g.incarnation, "route", g.reportedCount)
		}
	}
	p.OldAnswers, p.NewAnswers = c.analysis.Answers()
	p.Suspect = c.analysis.Suspect()
	if m.mistake == evidenceLost {
		p.OldAnswers, p.NewAnswers = 1000, 1000
	}
	if m.mistake == barrierIgnored {
		p.Applied, p.OpenOld = p.Gateways, 0
	}
	return p
}

// serve is a tenth of a second of a gateway: it polls, serves and reports.
func (m *model) serve(g *modelGateway, now time.Duration, inPlace Rollout) error {
	if !g.isCut(now) && m.random.IntN(2) == 0 { // the answer to a poll brings both
		g.touchedAt = now
		if g.version != m.version {
			d, _ := Parse(m.text)
			g.document, g.version = *d, m.version
		}
	}
	inTouch := now-g.touchedAt < touchTime
	r := g.document.Find("s")
	share := 0.0
	if r != nil {
		share = r.Share(inTouch || m.mistake == touchIgnored)
	}
	for range int(modelRate * modelStep.Seconds()) {
		g.split += 0.6180339887498949
		if g.split >= 1 {
			g.split--
		}
		if g.split < share {
			if err := m.checkTarget(g, now, inPlace, inTouch); err != nil {
				return err
			}
			m.answer(&g.counts.New, now, share)
		} else {
			g.oldOpenUntil = now + openTime
			m.answer(&g.counts.Old, now, -1)
		}
		if now < modelDuration && inTouch {
			m.all++
			if g.split < share {
				m.target++
			}
		}
	}
	wasCut := g.cut > 0 && now >= g.cutFrom && now-g.cutFrom-g.cut <= touchTime
	if inPlace.State == Completed && inTouch && !wasCut && g.oldOpenUntil > now {
		return fmt.Errorf("at %v: gateway %d has requests open at the old version, completed at %v", now, g.incarnation, m.settledAt)
	}
	if !g.isCut(now) && m.random.IntN(2) == 0 && r != nil {
		g.reported, g.reportedCount, g.reportedOpen, g.reportedAt = *r, g.counts, g.oldOpenUntil > now, now
	}
	return nil
}

// checkTarget checks that a request may be sent to the target version.
func (m *model) checkTarget(g *modelGateway, now time.Duration, inPlace Rollout, inTouch bool) error {
	if inPlace.State == Reverted && now > m.settledAt+rollbackTime {
		return fmt.Errorf("at %v: gateway %d sends to a version that was reverted at %v", now, g.incarnation, m.settledAt)
	}
	if !inTouch && g.document.Find("s").Step < LastStep {
		return fmt.Errorf("at %v: gateway %d sends to the target version while out of touch", now, g.incarnation)
	}
	return nil
}

func (m *model) answer(c *Counts, now time.Duration, share float64) {
	c.Answers++
	bad := 0.01
	if share >= 0 && now >= m.badFrom && share >= m.badAbove {
		bad = m.badShare
	}
	if m.random.Float64() < bad {
		c.Bad++
	}
}

func TestModelKeepsInvariants(t *testing.T) {
	for seed := range uint64(400) {
		if err := newModel(seed, noMistake, seed%2 == 0, seed%4 < 2).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestModelFindsMistakes(t *testing.T) {
	for _, planted := range []mistake{fenceIgnored, touchIgnored, barrierIgnored, timeForgotten, evidenceLost} {
		t.Run(fmt.Sprint(planted), func(t *testing.T) {
			for seed := range uint64(2000) {
				if err := newModel(seed, planted, seed%2 == 0, seed%4 < 2).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("the mistake is not found")
		})
	}
}
