package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oxbowspan/rendezvous"
)

// fault is a defect injected into the model, which its checks must detect.
type fault int

const (
	noFault fault = iota

	leaseIgnored        // a gateway acts on its membership regardless of its age
	waitIgnored         // a gateway takes over a role immediately after the membership changes
	fencingIgnored      // the resource accepts operations regardless of their fencing tokens
	leaseReused         // a gateway that takes over a role continues to use the lease of the former holder
	waitIgnoredAfterGap // a gateway that lost contact resumes immediately if its membership is unchanged
)

const (
	modelKey      = rendezvous.Name("server-7")
	modelStep     = 50 * time.Millisecond
	modelStart    = 10 * time.Second
	modelEnd      = 100 * time.Second
	memberTimeout = 4 * time.Second // after which a gateway is removed from the membership
	maxGateways   = 12
)

// model simulates gateways and a resource that accepts operations under the newest lease of its role. Gateways receive the
// membership late, and are suspended (also between a decision and its operation), partitioned and restarted.
type model struct {
	random             *rand.Rand
	injected           fault
	now                time.Duration
	gateways           []*gateway
	lastSeen           map[rendezvous.Name]time.Duration // when the controller received a gateway's last request
	responses          []response
	resource           resource
	acceptedOperations int // by the resource
}

type gateway struct {
	name              rendezvous.Name
	incarnation       uint64
	tracker           *Tracker
	suspendedUntil    time.Duration
	partitionedUntil  time.Duration
	newestLease       Lease   // newest lease of the role that it has received
	pendingOperations []Lease // leases of operations that a suspension delays
	requesting        bool    // a request for the membership has no response yet
}

// response is a response with the membership to a gateway's request.
type response struct {
	arrivesAt   time.Duration
	requestedAt time.Duration
	to          *gateway
	members     []rendezvous.Name
}

// resource is the resource that the singleton role protects.
type resource struct {
	lease      Lease  // of the last accepted operation
	lastHolder uint64 // incarnation that sent it
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

// disrupt injects a random disruption with a small probability.
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
		g.partitionedUntil = m.now + m.randomDuration(9*time.Second)
	case 3:
		m.gateways[i] = m.startGateway(g.name)
	case 4:
		if len(m.gateways) < maxGateways {
			m.addGateway()
		}
	}
}

// requestMembers sends the gateways' requests for the membership. The responses arrive later.
func (m *model) requestMembers() {
	var members []rendezvous.Name
	for name, at := range m.lastSeen {
		if m.now-at < memberTimeout {
			members = append(members, name)
		}
	}
	for _, g := range m.gateways {
		if m.now < g.suspendedUntil || m.now < g.partitionedUntil || g.requesting {
			continue
		}
		g.requesting = true
		m.lastSeen[g.name] = m.now
		if !slices.Contains(members, g.name) {
			members = append(members, g.name)
		}
		g.newestLease = m.resource.lease // as the controllers' responses contain it
		m.responses = append(m.responses, response{
			arrivesAt:   m.now + m.randomDuration(900*time.Millisecond),
			requestedAt: m.now,
			to:          g,
			members:     members,
		})
	}
}

// deliverResponses delivers the responses that are due to gateways that are not suspended.
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

// sendOperation sends a gateway's operation under a lease to the resource. It returns a violation, "" = none.
func (m *model) sendOperation(g *gateway, l Lease) (violation string) {
	outdated := l.Compare(m.resource.lease) < 0
	takesOver := m.resource.lastHolder != g.incarnation && m.resource.lastHolder != 0
	switch {
	case outdated && m.injected != fencingIgnored:
		return ""
	case outdated:
		return fmt.Sprintf("%v: an operation of %s is accepted with fencing token %d after another gateway took over the role with %d",
			m.now, g.name, l.FencingToken, m.resource.lease.FencingToken)
	case takesOver && l.Compare(m.resource.lease) <= 0:
		return fmt.Sprintf("%v: %s took over the role with a fencing token not above %d", m.now, g.name, m.resource.lease.FencingToken)
	}
	m.acceptedOperations++
	m.resource = resource{lease: l, lastHolder: g.incarnation}
	return ""
}

// stepGateway sends the operations of a gateway that is not suspended. It reports whether the gateway holds the role, and
// returns a violation, "" = none.
func (m *model) stepGateway(g *gateway) (holds bool, violation string) {
	for _, l := range g.pendingOperations { // operations delayed by a suspension that has ended
		if violation := m.sendOperation(g, l); violation != "" {
			return false, violation
		}
	}
	g.pendingOperations = nil
	switch m.injected {
	case leaseIgnored:
		g.tracker.renewedAt = m.now
	case waitIgnored:
		g.tracker.changedAt = -time.Hour
	}
	if !g.tracker.Holds(modelKey, m.now) {
		return false, ""
	}
	l := g.newestLease.ForHolder(g.incarnation)
	if m.injected == leaseReused {
		l = Lease{FencingToken: max(g.newestLease.FencingToken, 1), Holder: 1}
	}
	if m.random.IntN(30) == 0 { // the gateway is suspended before it sends the operation
		g.suspendedUntil = m.now + m.randomDuration(12*time.Second)
		g.pendingOperations = append(g.pendingOperations, l)
		return true, ""
	}
	if m.now < g.partitionedUntil {
		return true, ""
	}
	return true, m.sendOperation(g, l)
}

// step simulates one step of the model. It returns a violation, "" = none.
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
		return fmt.Sprintf("%v: %d gateways hold the role at the same time", m.now, holders)
	}
	return ""
}

// runModel returns the first violation in a run, "" = none.
func runModel(seed uint64, injected fault) (violation string) {
	const minOperations = 20
	m := newModel(seed, injected)
	for m.now = modelStart; m.now < modelEnd; m.now += modelStep {
		if violation := m.step(); violation != "" {
			return violation
		}
	}
	if m.acceptedOperations < minOperations {
		return fmt.Sprintf("%d accepted operations: too few to be conclusive", m.acceptedOperations)
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
