package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// model runs acceptors with disks and proposers with lost, duplicated and reordered messages, crashes that lose all state that
// was not stored, and no more lost disks than are tolerated. A node whose disk was lost returns under a new identity and is
// made a member again. After each step the model checks that no two values are decided for one slot, and that each value is
// a valid successor of the previous one.
type model struct {
	random       *rand.Rand
	injected     fault
	nodes        []*node
	genesis      *Value
	inFlight     []func() // messages in flight; a call delivers the message
	incarnations uint64
	requestModel // requests of operators and their outcomes

	decided   map[Slot]*Value
	newest    *Value // newest decided value
	violation string // first violation of an invariant; "" = none
}

// node is an acceptor and a proposer in one process.
type node struct {
	address     string
	disk        AcceptorState // state stored on disk
	state       AcceptorState // state in memory
	up          bool
	known       *Value // newest value known to be decided, or the base to start from
	incarnation ProposerID
	number      uint64 // number of the last ballot
	proposals   []*activeProposal
	history     History
}

// activeProposal is a proposal of a node's current incarnation.
type activeProposal struct {
	node     *node
	proposal *Proposal
	request  *testRequest // nil = the proposal is not for a request
	outcome  Outcome
}

// testNodeCount returns the number of nodes for a seed, three or five.
func testNodeCount(seed uint64) int { return 3 + 2*int(seed%2) }

func newModel(seed uint64, nodes int, injected fault) *model {
	m := &model{
		random:       rand.New(rand.NewPCG(seed, uint64(nodes))),
		injected:     injected,
		decided:      map[Slot]*Value{},
		requestModel: requestModel{committed: map[revisionKey]bool{}},
	}
	var members []Member
	for i := range nodes {
		member := Member{ID: AcceptorID(i + 1), Address: fmt.Sprint("m", i)}
		members = append(members, member)
		m.nodes = append(m.nodes, &node{address: member.Address, disk: AcceptorState{ID: member.ID}})
	}
	m.genesis = Genesis(members)
	m.newest = m.genesis
	for _, n := range m.nodes {
		m.start(n)
	}
	return m
}

// start starts a node from its disk.
func (m *model) start(n *node) {
	n.state = n.disk
	n.up = true
	n.known = m.genesis
	n.proposals = nil
	n.history = History{}
	if v := n.disk.Value; v != nil && v.Slot > 0 {
		n.known = RecoveryBase(v)
	}
	if m.injected == ballotsReused {
		n.incarnation = ProposerID(len(n.address) + int(n.address[1]))
		n.number = 0
		return
	}
	m.incarnations++
	n.incarnation = ProposerID(m.incarnations)
	n.number = n.disk.Promised.Number
}

func (m *model) nodeAt(address string) *node {
	for _, n := range m.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// mayLoseDisk reports whether another disk may be lost now: every member has its disk, and no membership change is
// unconfirmed.
func (m *model) mayLoseDisk() bool {
	return m.newest.Confirmed() && !slices.ContainsFunc(m.newest.Members, func(member Member) bool {
		return m.nodeAt(member.Address).disk.ID != member.ID
	})
}

// learn makes a decided value known to a node.
func (m *model) learn(n *node, v *Value) {
	n.known = v
	if m.requestsOnly {
		n.history.Learn(v)
	}
}

// step performs one random event.
func (m *model) step() {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	switch k := m.random.IntN(100); {
	case k < 6 && n.up:
		m.beginProposal(n)
	case m.requestsOnly && k < 12 && n.up && len(n.proposals) < 4:
		m.beginProposal(n)
	case m.requestsOnly && k < 14 && m.random.IntN(8) > 0: // fewer faults, so that more requests are committed
	case k < 8 || k < 24 && m.injected == ballotsReused:
		m.start(n) // the node crashes and restarts
	case k < 9 && m.mayLoseDisk():
		m.loseDisk(n)
	case k < 14 && len(m.inFlight) > 0:
		m.inFlight = slices.Delete(m.inFlight, 0, 1) // a message is lost
	default:
		m.deliverOne()
	}
}

func (m *model) loseDisk(n *node) {
	id := n.disk.ID
	if m.injected != wipedDiskKeepsIdentity {
		id = AcceptorID(1000 + m.random.IntN(1<<30))
	}
	n.disk = AcceptorState{ID: id}
	m.start(n)
	n.known = m.newest // a node with a new identity learns the newest decided value from other nodes
}

// deliverOne delivers one of the oldest messages. Sometimes the message stays in flight and is delivered again.
func (m *model) deliverOne() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.random.IntN(min(len(m.inFlight), 12))
	deliver := m.inFlight[i]
	if m.random.IntN(20) > 0 {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	deliver()
}

func (m *model) send(deliver func()) { m.inFlight = append(m.inFlight, deliver) }

// beginProposal starts a proposal with a random kind of change.
func (m *model) beginProposal(n *node) {
	p := &activeProposal{node: n}
	change := m.randomChange(p)
	if m.requestsOnly {
		n.proposals = slices.DeleteFunc(n.proposals, func(o *activeProposal) bool {
			_, preempted := o.proposal.Preempted()
			return preempted
		})
	}
	if m.injected == acceptTakenAsDecided && n.state.Value != nil && n.state.Value.Slot > n.known.Slot {
		n.known = n.state.Value
		m.recordDecided(n.known)
	}
	n.number++
	p.proposal = NewProposal(Ballot{Number: n.number, Proposer: n.incarnation}, n.known, change)
	n.proposals = append(n.proposals, p)
	m.sendPrepares(p)
}

func (m *model) randomChange(p *activeProposal) ChangeFunc {
	kind := m.random.IntN(3)
	if m.requestsOnly {
		document := m.random.IntN(4)/3 == 1
		p.request = m.randomRequest(p.node, document)
		return func(v *Value) *Value { return m.evaluate(p, v) }
	}
	switch {
	case kind == 0:
		p.request = m.newOrRepeatedRequest(p.node)
		return func(v *Value) *Value { return m.evaluateWithFaults(p, v) }
	case kind == 1:
		return m.rejoin(p.node)
	case m.injected == membersRemovedAtOnce:
		return func(v *Value) *Value {
			next := v.WithMembers(v.Members[:1])
			next.PriorMembers = next.Members
			return next
		}
	}
	return func(v *Value) *Value { return v }
}

// rejoin returns a change that makes a node whose disk was lost a member in place of its old identity.
func (m *model) rejoin(n *node) ChangeFunc {
	self := Member{ID: n.disk.ID, Address: n.address}
	return func(v *Value) *Value {
		if Contains(v.Members, self.ID) {
			return v
		}
		members := slices.Clone(v.Members)
		for i := range members {
			if members[i].Address == self.Address {
				members[i] = self
			}
		}
		next := v.WithMembers(members)
		if m.injected == membersWithoutPriorMajority {
			next.PriorMembers = members
		}
		return next
	}
}

// store stores a state on a node's disk, before the reply is sent. With replyBeforeStore it sometimes does not store it.
func (m *model) store(n *node, next AcceptorState) {
	n.state = next
	if m.injected != replyBeforeStore || m.random.IntN(2) == 0 {
		n.disk = next
	}
}

// recordViolation records a violation unless one was recorded before.
func (m *model) recordViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// recordDecided records a decided value and checks the invariants.
func (m *model) recordDecided(v *Value) {
	if old := m.decided[v.Slot]; old != nil {
		if !old.Equal(v) {
			m.recordViolation("slot %d: version %d with %v and version %d with %v are both decided",
				v.Slot, old.Version, old.Members, v.Version, v.Members)
		}
		return
	}
	if previous := m.decided[v.Slot-1]; v.Slot > 1 && previous != nil {
		m.checkFollows(previous, v)
	}
	m.decided[v.Slot] = v
	m.recordCommitted(v)
	if v.Slot >= m.newest.Slot {
		m.newest = v
	}
}

// checkFollows checks that a value is a valid successor of that of the previous slot.
func (m *model) checkFollows(previous, v *Value) {
	changed := v.Digest != previous.Digest
	revision := Revision{Version: previous.Version, BasedOn: previous.BasedOn, Digest: previous.Digest}
	switch {
	case !sameMembers(v.PriorMembers, previous.Members):
		m.recordViolation("slot %d: the prior members are not the members of the previous slot", v.Slot)
	case changed && v.BasedOn != previous.Version:
		m.recordViolation("slot %d: version %d is based on %d, but the previous version is %d",
			v.Slot, v.Version, v.BasedOn, previous.Version)
	case changed && previous.Digest != "" && !slices.Contains(v.Revisions(), revision):
		m.recordViolation("slot %d no longer lists version %d", v.Slot, previous.Version)
	}
}

// runModel runs a model for the given number of steps or until the first violation, and returns the model.
func runModel(seed uint64, steps int, injected fault) *model {
	m := newModel(seed, testNodeCount(seed), injected)
	for range steps {
		m.step()
		if m.violation != "" {
			break
		}
	}
	return m
}

func TestModelDecidesOneValuePerSlot(t *testing.T) {
	slots := Slot(0)
	for seed := range uint64(4000) {
		m := runModel(seed, 500, noFault)
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
		slots += m.newest.Slot
	}
	if slots < 6000 {
		t.Fatalf("%d values were decided in 4000 runs: too few to be conclusive", slots)
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for _, injected := range protocolFaults {
		t.Run(injected.String(), func(t *testing.T) {
			requireDetected(t, 30000, func(seed uint64) string { return runModel(seed, 800, injected).violation })
		})
	}
}

// requireDetected runs a model with an injected fault for one seed after another until a run violates an invariant. It fails
// the test if none does.
func requireDetected(t *testing.T, seeds uint64, run func(seed uint64) (violation string)) {
	t.Helper()
	for seed := range seeds {
		if violation := run(seed); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("no check detected the injected fault in %d runs", seeds)
}

// A proposal that is not preempted must be decided if no message is lost.
func TestUncontendedProposalDecides(t *testing.T) {
	m := newModel(1, 3, noFault)
	n := m.nodes[0]
	m.beginProposal(n)
	for len(m.inFlight) > 0 {
		deliver := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		deliver()
	}
	if len(n.proposals) != 0 || m.decided[m.newest.Slot] == nil {
		t.Fatal("the proposal is not decided")
	}
}
