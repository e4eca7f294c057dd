package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is injected into how records are carried, to show that the model's checks detect it.
type fault int

const (
	noFault fault = iota

	ageByWallClock             // the time of a heartbeat is sent as a time of day, not as an age
	acknowledgeWithoutMajority // a draining is acknowledged by the replica that received it, before others hold it
	cursorsSurviveRestart      // cursors count for a replica that restarted since, and digests are not compared
	stateOfNewestHeartbeat     // the state is that of the newest heartbeat, not the furthest
	unresponsiveDuringOutage   // servers without heartbeats are unresponsive, however many they are
	deregistrationForgotten    // a deregistration is forgotten at once
	agesIgnored                // a record that is received counts as a heartbeat at that time
)

// model runs replicas of a table, with monotonic clocks of their own and times of day that jump, against servers that send
// heartbeats, crash, drain, deregister and follow one another at their addresses; heartbeats that come late or twice; links
// between replicas that are cut; replicas that restart with nothing; and outages in which no heartbeat reaches any replica.
// After each step it checks the invariants.
type model struct {
	random   *rand.Rand
	injected fault
	now      time.Duration
	replicas []*replica
	servers  []*server
	inFlight []message
	cut      map[link]bool

	lastDisruption     time.Duration // when a replica last restarted or a link last changed
	partitionChangedAt time.Duration // when a link last changed
	outageSince        time.Duration
	outageUntil        time.Duration
	lastOutage         time.Duration // when there last was an outage

	violation string // of an invariant, the first found; "" = none
}

// replica is one controller's table.
type replica struct {
	index       int
	table       *Table
	incarnation int
	clockOrigin time.Duration // of its monotonic clock
	wallOffset  time.Duration // of its time of day
	startedAt   time.Duration
	peers       []peerState // by index
	states      map[InstanceID]State
}

// peerState is what a replica knows of another.
type peerState struct {
	incarnation     int    // that the rest is about
	cursor          Cursor // up to where it has this replica's updates
	differingRanges []int
}

// server is one incarnation of a server.
type server struct {
	id             InstanceID
	address        string
	sequence       Sequence
	state          State
	nextHeartbeat  time.Duration
	endedAt        time.Duration // 0 = it is running
	acknowledgedAt time.Duration // when its draining was; 0 = not yet
	deregisteredAt time.Duration // 0 = not yet
}

// message is delivered at a time.
type message struct {
	at      time.Duration
	deliver func()
}

// link is one direction between two replicas, by index.
type link struct{ from, to int }

const (
	modelStep   = 100 * time.Millisecond
	maxReplicas = 5
)

func newModel(seed uint64, injected fault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), injected: injected, cut: map[link]bool{}}
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

// sendHeartbeat has a server send a heartbeat to a replica. Some come late, and some twice.
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

// acknowledge tells a server that its draining is held by a majority, once it is.
func (m *model) acknowledge(r *replica, s *server, cursor Cursor, incarnation int) {
	holding := 1
	for i, peer := range r.peers[:len(m.replicas)] {
		if i != r.index && peer.cursor >= cursor && peer.incarnation == m.replicas[i].incarnation {
			holding++
		}
	}
	switch {
	case r.incarnation != incarnation || s.acknowledgedAt != 0:
	case 2*holding > len(m.replicas) || m.injected == acknowledgeWithoutMajority:
		s.acknowledgedAt = m.now
		// The replica that received it restarts at once, and the server ends.
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
	held := r.table.Get(in.Instance)
	if m.injected == stateOfNewestHeartbeat && held != nil && held.Sequence == in.Sequence {
		held.State = in.State
	}
}

// disrupt makes one of the disruptions happen, now and then.
func (m *model) disrupt() {
	switch m.random.IntN(160) {
	case 0:
		r := m.randomReplica()
		if m.now-m.lastDisruption > 8*testHeartbeatInterval { // one at a time, as is tolerated
			m.restart(r)
			m.lastDisruption = m.now
		}
	case 1:
		m.cutLink()
	case 2, 3:
		if len(m.cut) > 0 {
			clear(m.cut)
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
			m.outageSince = m.now
			m.outageUntil = m.now + time.Duration(2+m.random.IntN(8))*testHeartbeatInterval
		}
	}
}

// cutLink cuts a link between two replicas, in one direction or both.
func (m *model) cutLink() {
	a, b := m.random.IntN(len(m.replicas)), m.random.IntN(len(m.replicas))
	if a == b {
		return
	}
	m.cut[link{a, b}] = true
	m.cut[link{b, a}] = m.random.IntN(3) > 0
	m.lastDisruption = m.now
	m.partitionChangedAt = m.now
}

// crashServer ends a server and starts another, at the same address or elsewhere.
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

// step lets a step of time pass.
func (m *model) step() {
	m.now += modelStep
	m.disrupt()
	if m.now < m.outageUntil {
		m.lastOutage = m.now
	}
	for _, s := range m.servers {
		m.stepServer(s)
	}
	for _, due := range m.takeDue() {
		due.deliver()
	}
	for _, r := range m.replicas {
		if int(m.now/modelStep)%4 == r.index%4 {
			m.stepReplica(r)
		}
	}
	m.check()
}

// stepServer has a server send its heartbeat, and end some time after its draining was acknowledged.
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

// takeDue removes the messages that are due and returns them.
func (m *model) takeDue() (due []message) {
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

// stepReplica has a replica gossip and expire.
func (m *model) stepReplica(r *replica) {
	for _, o := range m.replicas {
		if o != r {
			m.gossip(r, o)
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
