package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oxbowspan/rendezvous"
)

// fault is injected into the model's own part of the work, to show that its checks detect it.
type fault int

const (
	noFault fault = iota

	leaseIgnored        // a gateway acts on the members that it has, however old they are
	waitIgnored         // a role is taken over at once when the members change
	fencingIgnored      // the resource takes what any gateway sends
	leaseReused         // a gateway that takes a role over goes on under the lease of the one before
	waitIgnoredAfterGap // a gateway that lost contact resumes at once where its members are the same
)

const (
	modelKey      = rendezvous.Name("server-7")
	modelStep     = 50 * time.Millisecond
	modelStart    = 10 * time.Second
	modelEnd      = 100 * time.Second
	memberTimeout = 4 * time.Second // then a gateway is dropped from the membership
	maxGateways   = 12
)

// model runs gateways that receive the membership late, and that are suspended, also in the middle of an act, cut off and
// killed; and a resource that takes what the holder of its role sends, under its lease.
type model struct {
	random    *rand.Rand
	injected  fault
	now       time.Duration
	gateways  []*gateway
	lastSeen  map[rendezvous.Name]time.Duration // by the controller
	responses []response
	resource  resource
	acts      int // that the resource took
}

type gateway struct {
	name           rendezvous.Name
	incarnation    uint64
	tracker        *Tracker
	suspendedUntil time.Duration
	cutUntil       time.Duration
	knownLease     Lease
	inFlight       []Lease // acts that it was about to send when it was suspended
	requesting     bool    // for the membership
}

// response carries the membership to a gateway.
type response struct {
	arrivesAt   time.Duration
	requestedAt time.Duration
	to          *gateway
	members     []rendezvous.Name
}

// resource is what the role is about.
type resource struct {
	lease  Lease
	holder uint64 // incarnation that acted last
}

func newModel(seed uint64, injected fault) *model {
	m := &model{
		random:   rand.New(rand.NewPCG(seed, 5)),
		injected: injected,
		lastSeen: map[rendezvous.Name]time.Duration{},
	}
	for range 6 {
		m.addGateway()
	}
	return m
}

func (m *model) addGateway() {
	name := rendezvous.Name(fmt.Sprint("g", len(m.gateways)))
	m.gateways = append(m.gateways, m.startGateway(name))
}

func (m *model) startGateway(name rendezvous.Name) *gateway {
	return &gateway{name: name, incarnation: m.random.Uint64() | 1, tracker: NewTracker(name)}
}

func (m *model) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(m.random.IntN(int(limit/time.Millisecond))) * time.Millisecond
}

// disrupt makes one of the disruptions happen, now and then.
func (m *model) disrupt() {
	i := m.random.IntN(len(m.gateways))
	if m.random.IntN(40) != 0 {
		return
	}
	g := m.gateways[i]
	switch m.random.IntN(5) {
	case 0, 1:
		g.suspendedUntil = m.now + m.randomDuration(9*time.Second)
	case 2:
		g.cutUntil = m.now + m.randomDuration(9*time.Second)
	case 3:
		m.gateways[i] = m.startGateway(g.name)
	case 4:
		if len(m.gateways) < maxGateways {
			m.addGateway()
		}
	}
}

// requestMembers has the gateways ask for the membership, which arrives later.
func (m *model) requestMembers() {
	var members []rendezvous.Name
	for name, at := range m.lastSeen {
		if m.now-at < memberTimeout {
			members = append(members, name)
		}
	}
	for _, g := range m.gateways {
		if m.now < g.suspendedUntil || m.now < g.cutUntil || g.requesting {
			continue
		}
		g.requesting = true
		m.lastSeen[g.name] = m.now
		if !slices.Contains(members, g.name) {
			members = append(members, g.name)
		}
		g.knownLease = m.resource.lease // it comes with the controllers' responses, soon
		m.responses = append(m.responses, response{
			arrivesAt:   m.now + m.randomDuration(900*time.Millisecond),
			requestedAt: m.now,
			to:          g,
			members:     members,
		})
	}
}

// deliverResponses hands the responses that have arrived to gateways that are not suspended.
func (m *model) deliverResponses() {
	var later []response
	for _, r := range m.responses {
		switch {
		case m.now < r.arrivesAt || m.now < r.to.suspendedUntil:
			later = append(later, r)
		case slices.Contains(m.gateways, r.to):
			m.deliver(r)
		}
	}
	m.responses = later
}

func (m *model) deliver(r response) {
	tracker := r.to.tracker
	r.to.requesting = false
	tracker.SetMembers(r.members, m.now)
	if m.injected == waitIgnoredAfterGap {
		tracker.renewedAt = max(tracker.renewedAt, r.requestedAt)
	}
	tracker.Renew(r.requestedAt, m.now)
}

// act has the resource receive what a gateway sends under a lease. It returns a violation, "" = none.
func (m *model) act(g *gateway, l Lease) (violation string) {
	older := l.Compare(m.resource.lease) < 0
	replaces := m.resource.holder != g.incarnation && m.resource.holder != 0
	switch {
	case older && m.injected != fencingIgnored:
		return ""
	case older:
		return fmt.Sprintf("%v: an act of %s counts under fencing token %d, after another took the role over under %d",
			m.now, g.name, l.FencingToken, m.resource.lease.FencingToken)
	case replaces && l.Compare(m.resource.lease) <= 0:
		return fmt.Sprintf("%v: %s took the role over, and its fencing token is not above %d", m.now, g.name, m.resource.lease.FencingToken)
	}
	m.acts++
	m.resource = resource{lease: l, holder: g.incarnation}
	return ""
}

// stepGateway has a gateway that is not suspended act, if it holds the role, which it reports. It returns a violation, "" =
// none.
func (m *model) stepGateway(g *gateway) (holds bool, violation string) {
	for _, l := range g.inFlight { // it resumes, and sends what it was about to send
		if violation := m.act(g, l); violation != "" {
			return false, violation
		}
	}
	g.inFlight = nil
	switch m.injected {
	case leaseIgnored:
		g.tracker.renewedAt = m.now
	case waitIgnored:
		g.tracker.changedAt = -time.Hour
	}
	if !g.tracker.Holds(modelKey, m.now) {
		return false, ""
	}
	l := g.knownLease.Acquire(g.incarnation)
	if m.injected == leaseReused {
		l = Lease{FencingToken: max(g.knownLease.FencingToken, 1), Holder: 1}
	}
	if m.random.IntN(30) == 0 { // it is suspended before it sends
		g.suspendedUntil = m.now + m.randomDuration(12*time.Second)
		g.inFlight = append(g.inFlight, l)
		return true, ""
	}
	if m.now < g.cutUntil {
		return true, ""
	}
	return true, m.act(g, l)
}

// step lets a step of time pass. It returns a violation, "" = none.
func (m *model) step() (violation string) {
	m.disrupt()
	m.requestMembers()
	m.deliverResponses()
	holders := 0
	for _, g := range m.gateways {
		if m.now < g.suspendedUntil {
			continue
		}
		holds, violation := m.stepGateway(g)
		if violation != "" {
			return violation
		}
		if holds {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Sprintf("%v: %d gateways hold one role", m.now, holders)
	}
	return ""
}

// runModel returns the first violation, "" = none.
func runModel(seed uint64, injected fault) (violation string) {
	const minActs = 20
	m := newModel(seed, injected)
	for m.now = modelStart; m.now < modelEnd; m.now += modelStep {
		if violation := m.step(); violation != "" {
			return violation
		}
	}
	if m.acts < minActs {
		return fmt.Sprintf("%d acts: too few to be conclusive", m.acts)
	}
	return ""
}

func TestModelKeepsSingleHolder(t *testing.T) {
	for seed := range uint64(60) {
		if violation := runModel(seed, noFault); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, injected := range map[string]fault{
		"lease ignored":          leaseIgnored,
		"wait ignored":           waitIgnored,
		"fencing ignored":        fencingIgnored,
		"lease reused":           leaseReused,
		"wait ignored after gap": waitIgnoredAfterGap,
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 400
			for seed := range uint64(seeds) {
				if violation := runModel(seed, injected); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no check detects it in %d runs", seeds)
		})
	}
}
