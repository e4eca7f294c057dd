package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is a defect injected into the model, which its checks must detect.
type fault int

const (
	noFault fault = iota

	ageByWallClock             // heartbeat times are sent as wall-clock times instead of ages
	acknowledgeWithoutMajority // a replica acknowledges a draining before a majority has the record
	cursorsSurviveRestart      // cursors of peers are not reset when a peer restarts, and digests are not compared
	stateOfNewestHeartbeat     // a record takes the state of the newest heartbeat instead of the highest state
	unresponsiveDuringOutage   // servers without heartbeats are unresponsive, regardless of their number
	deregistrationForgotten    // records of deregistered servers are removed at once
	agesIgnored                // a received record counts as a heartbeat at the time of receipt
)

// model simulates replicas of the table and servers, and checks the invariants after each step. Replicas have separate
// monotonic clocks and wall clocks that jump, and restart with empty tables; links between them are cut. Servers send
// heartbeats, crash, drain, deregister and are replaced by others at the same address. Heartbeats are delayed or duplicated,
// and during outages none reaches any replica.
type model struct {
	random   *rand.Rand
	injected fault
	now      time.Duration
	replicas []*replica
	servers  []*server
	inFlight []message
	cutLinks map[link]bool

	lastDisruption     time.Duration // when a replica last restarted or a link last changed
	partitionChangedAt time.Duration // when a link last changed
	outageStartedAt    time.Duration
	outageUntil        time.Duration
	lastOutage         time.Duration // last step during an outage

	violation string // first violation of an invariant; "" = none
}

// replica is one controller's table.
type replica struct {
	index       int
	table       *Table
	incarnation int
	clockOrigin time.Duration // origin of its monotonic clock
	wallOffset  time.Duration // offset of its wall clock
	startedAt   time.Duration
	peers       []peerState          // by index
	states      map[InstanceID]State // as of the last check
}

// peerState is a replica's state about a peer.
type peerState struct {
	incarnation     int    // incarnation of the peer to which the other fields apply
	cursor          Cursor // position up to which the peer has received this replica's updates
	differingRanges []int  // ranges in which the digests differed
}

// server is one incarnation of a server.
type server struct {
	id             InstanceID
	address        string
	sequence       Sequence
	state          State
	nextHeartbeat  time.Duration
	endedAt        time.Duration // 0 = running
	acknowledgedAt time.Duration // when its draining was acknowledged; 0 = not yet
	deregisteredAt time.Duration // 0 = not yet
}

// message is delivered at a given time.
type message struct {
	at      time.Duration
	deliver func()
}

// link is one direction of the connection between two replicas, identified by index.
type link struct{ from, to int }

const (
	modelStep   = 100 * time.Millisecond
	maxReplicas = 5
)

func newModel(seed uint64, injected fault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), injected: injected, cutLinks: map[link]bool{}}
	count := 3 + 2*m.random.IntN(2)
	for i := range count {
		r := &replica{index: i}
		m.replicas = append(m.replicas, r)
		m.restart(r)
	}
	for i := range 12 {
		m.startServer(fmt.Sprint("a", i))
	}
	return m
}

// restart starts a replica with an empty table.
func (m *model) restart(r *replica) {
	*r = replica{
		index:       r.index,
		table:       NewTable(testHeartbeatInterval),
		incarnation: r.incarnation + 1,
		clockOrigin: m.now - time.Duration(m.random.IntN(3600))*time.Second,
		wallOffset:  r.wallOffset,
		startedAt:   m.now,
		peers:       make([]peerState, maxReplicas),
		states:      map[InstanceID]State{},
	}
}

// clock returns the replica's monotonic time.
func (m *model) clock(r *replica) time.Duration { return m.now - r.clockOrigin }

func (m *model) randomReplica() *replica { return m.replicas[m.random.IntN(len(m.replicas))] }

func (m *model) randomServer() *server { return m.servers[m.random.IntN(len(m.servers))] }

func (m *model) startServer(address string) {
	m.servers = append(m.servers, &server{
		id:            InstanceID(fmt.Sprint("i-", len(m.servers))),
		address:       address,
		nextHeartbeat: m.now + time.Duration(m.random.IntN(int(testHeartbeatInterval))),
	})
}

func (m *model) send(delay time.Duration, deliver func()) {
	m.inFlight = append(m.inFlight, message{at: m.now + delay, deliver: deliver})
}

// sendHeartbeat sends a server's heartbeat to a random replica. Some heartbeats are delayed, some are duplicated.
func (m *model) sendHeartbeat(s *server) {
	s.sequence++
	heartbeat := Record{Instance: s.id, Service: "s", Address: s.address, State: s.state, Sequence: s.sequence}
	r := m.randomReplica()
	if m.now < m.outageUntil {
		return
	}
	delays := []time.Duration{modelStep}
	switch m.random.IntN(12) {
	case 0:
		delays = []time.Duration{modelStep, 2500 * time.Millisecond}
	case 1:
		delays = []time.Duration{1500 * time.Millisecond}
	}
	for _, delay := range delays {
		incarnation := r.incarnation
		m.send(delay, func() {
			if r.incarnation == incarnation {
				m.receiveHeartbeat(r, s, heartbeat)
			}
		})
	}
}

func (m *model) receiveHeartbeat(r *replica, s *server, heartbeat Record) {
	heartbeat.HeartbeatAt = m.clock(r)
	m.merge(r, heartbeat, "")
	if heartbeat.State == Draining && s.acknowledgedAt == 0 {
		m.acknowledge(r, s, r.table.LastChange(s.id), r.incarnation)
	}
}

// acknowledge sends a server the acknowledgement of its draining once a majority of the replicas has received the draining.
func (m *model) acknowledge(r *replica, s *server, cursor Cursor, incarnation int) {
	replicasUpToDate := 1
	for i, peer := range r.peers[:len(m.replicas)] {
		if i != r.index && peer.cursor >= cursor && peer.incarnation == m.replicas[i].incarnation {
			replicasUpToDate++
		}
	}
	switch {
	case r.incarnation != incarnation || s.acknowledgedAt != 0:
	case 2*replicasUpToDate > len(m.replicas) || m.injected == acknowledgeWithoutMajority:
		s.acknowledgedAt = m.now
		// In some runs the replica that received the draining restarts at once, and the server ends.
		if m.random.IntN(3) == 0 && m.now-m.lastDisruption > 8*testHeartbeatInterval {
			m.restart(r)
			m.lastDisruption = m.now
			s.endedAt = m.now
		}
	default:
		m.send(modelStep, func() { m.acknowledge(r, s, cursor, incarnation) })
	}
}

func (m *model) merge(r *replica, in Record, source string) {
	r.table.Merge(in, source)
	record := r.table.Get(in.Instance)
	if m.injected == stateOfNewestHeartbeat && record != nil && record.Sequence == in.Sequence {
		record.State = in.State
	}
}

// disrupt injects a random disruption with a small probability.
func (m *model) disrupt() {
	switch m.random.IntN(160) {
	case 0:
		r := m.randomReplica()
		if m.now-m.lastDisruption > 8*testHeartbeatInterval { // the design tolerates one restart at a time
			m.restart(r)
			m.lastDisruption = m.now
		}
	case 1:
		m.cutLink()
	case 2, 3:
		if len(m.cutLinks) > 0 {
			clear(m.cutLinks)
			m.lastDisruption = m.now
			m.partitionChangedAt = m.now
		}
	case 4:
		m.randomReplica().wallOffset = time.Duration(m.random.IntN(20000)-10000) * time.Millisecond
	case 5, 6:
		m.crashServer()
	case 7, 8:
		if s := m.randomServer(); s.endedAt == 0 && s.state == Ready {
			s.state = Draining
			s.nextHeartbeat = m.now
		}
	case 9:
		if m.random.IntN(4) == 0 && m.now > m.outageUntil {
			m.outageStartedAt = m.now
			m.outageUntil = m.now + time.Duration(2+m.random.IntN(8))*testHeartbeatInterval
		}
	}
}

// cutLink cuts a random link between two replicas, in one direction or both.
func (m *model) cutLink() {
	a, b := m.random.IntN(len(m.replicas)), m.random.IntN(len(m.replicas))
	if a == b {
		return
	}
	m.cutLinks[link{a, b}] = true
	m.cutLinks[link{b, a}] = m.random.IntN(3) > 0
	m.lastDisruption = m.now
	m.partitionChangedAt = m.now
}

// crashServer ends a random server without deregistration and starts another, at the same address or a new one.
func (m *model) crashServer() {
	s := m.randomServer()
	if s.endedAt != 0 || s.state != Ready {
		return
	}
	s.endedAt = m.now
	if m.random.IntN(2) == 0 {
		m.startServer(s.address)
	} else {
		m.startServer(fmt.Sprint("b", len(m.servers)))
	}
}

// step advances the model by modelStep and checks the invariants.
func (m *model) step() {
	m.now += modelStep
	m.disrupt()
	if m.now < m.outageUntil {
		m.lastOutage = m.now
	}
	for _, s := range m.servers {
		m.stepServer(s)
	}
	for _, msg := range m.removeDueMessages() {
		msg.deliver()
	}
	for _, r := range m.replicas {
		if int(m.now/modelStep)%4 == r.index%4 {
			m.stepReplica(r)
		}
	}
	m.check()
}

// stepServer sends a server's heartbeat if it is due, and deregisters the server some time after its draining was
// acknowledged.
func (m *model) stepServer(s *server) {
	if s.endedAt == 0 && m.now >= s.nextHeartbeat {
		m.sendHeartbeat(s)
		s.nextHeartbeat = m.now + testHeartbeatInterval - modelStep + time.Duration(m.random.IntN(int(2*modelStep)))
	}
	if s.acknowledgedAt != 0 && s.endedAt == 0 && m.now > s.acknowledgedAt+3*testHeartbeatInterval && m.now > m.outageUntil {
		s.endedAt = m.now
		s.deregisteredAt = m.now
		r := m.randomReplica()
		r.table.Deregister(s.id, m.clock(r))
		m.startServer(fmt.Sprint("c", len(m.servers)))
	}
}

// removeDueMessages removes the messages that are due and returns them.
func (m *model) removeDueMessages() (due []message) {
	var later []message
	for _, msg := range m.inFlight {
		if msg.at <= m.now {
			due = append(due, msg)
		} else {
			later = append(later, msg)
		}
	}
	m.inFlight = later
	return due
}

// stepReplica exchanges a replica's records with all others and expires its records.
func (m *model) stepReplica(r *replica) {
	for _, peer := range m.replicas {
		if peer != r {
			m.gossip(r, peer)
		}
	}
	r.table.Expire(m.clock(r))
	for id, record := range r.table.records {
		switch {
		case m.injected == unresponsiveDuringOutage && r.table.exceeds(m.clock(r)-record.HeartbeatAt, unresponsiveIntervals):
			record.Unresponsive = true
		case m.injected == deregistrationForgotten && record.State == Deregistered:
			delete(r.table.records, id)
		}
	}
}

// runModel runs a number of steps and returns the first violation, "" = none.
func runModel(seed uint64, injected fault, steps int) (violation string) {
	m := newModel(seed, injected)
	for range steps {
		m.step()
		if m.violation != "" {
			return m.violation
		}
	}
	return ""
}

func TestModelKeepsInvariants(t *testing.T) {
	for seed := range uint64(90) {
		if violation := runModel(seed, noFault, 900); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, injected := range map[string]fault{
		"age by wall clock":            ageByWallClock,
		"acknowledge without majority": acknowledgeWithoutMajority,
		"cursors survive restart":      cursorsSurviveRestart,
		"state of newest heartbeat":    stateOfNewestHeartbeat,
		"unresponsive during outage":   unresponsiveDuringOutage,
		"deregistration forgotten":     deregistrationForgotten,
		"ages ignored":                 agesIgnored,
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 600
			for seed := range uint64(seeds) {
				if violation := runModel(seed, injected, 900); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no check detects it in %d runs", seeds)
		})
	}
}
