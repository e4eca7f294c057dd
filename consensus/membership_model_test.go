package consensus

import (
	"fmt"
	"math/rand/v2"
)

// membershipModel runs processes that come and go. They are lost, with or without their disks, as many at once as are
// tolerated; they return and get time to recover, after which the next are lost at once; they are replaced, as planned (the
// successor starts first, then the old one is told to leave) or after a loss; all of them lose power between any two steps.
// What a process decides (which replicas are missing, who may leave, which proposal is due) is the package's own code. The
// model checks that
//   - no two values are decided for one slot;
//   - nothing that was acknowledged is lost;
//   - while no more are lost than are tolerated, a value can be decided;
//   - a replica that counts as known is on the disk;
//   - all members hold the newest value after a time to recover.
type membershipModel struct {
	random       *rand.Rand
	injected     membershipFault
	processes    []*process
	lost         map[*process]bool
	tolerated    int // processes that may be lost at once
	genesis      *Value
	inFlight     []packet
	incarnations uint64
	configs      int
	secondHalf   map[*process]bool // while the network is split, the processes on one side of it

	decided            map[Slot]*Value
	newest             *Value   // decided
	acknowledged       []string // digests of configurations
	violation          string   // of an invariant, the first found; "" = none
	simultaneousLosses int      // losses of as many as are tolerated, right after a recovery or a planned leave
	leaves             int      // planned leaves that came to their end in time
	splits             int
	reads              int // that were answered
}

// process is an acceptor and a proposer.
type process struct {
	address      string
	disk         AcceptorState
	up           bool
	cut          bool // off the network
	frozen       bool // takes nothing of what it receives
	leaving      bool
	gone         bool          // for good
	synced       AcceptorState // with copyCountsBeforeSync, what a loss of power leaves
	known        *Value
	decidedKnown bool                   // known is decided
	decision     Decision               // known, with its ballots
	replicas     map[AcceptorID]Replica // that others reported lately
	incarnation  ProposerID
	number       uint64 // of the last ballot
	current      *proposalAttempt
}

// proposalAttempt is a change that a process proposes until it is decided, at one ballot after another.
type proposalAttempt struct {
	process  *process
	proposal *Proposal
	change   ChangeFunc
	digest   string // of the configuration that it carries; "" = none
	decided  *Value // with the change included
	known    int    // configurations that were acknowledged before the attempt began
}

// packet is a message in flight. It is lost when either side is, and when its receiver starts again.
type packet struct {
	from, to    *process
	incarnation ProposerID // of the receiver when it was sent
	arrived     bool       // the receiver is frozen and takes it later
	deliver     func()
}

func newMembershipModel(seed uint64, injected membershipFault) *membershipModel {
	m := &membershipModel{
		random:    rand.New(rand.NewPCG(seed, 77)),
		injected:  injected,
		lost:      map[*process]bool{},
		decided:   map[Slot]*Value{},
		tolerated: 1 + int(seed%2),
	}
	var members []Member
	for i := range 2*m.tolerated + 1 {
		member := Member{ID: AcceptorID(i + 1), Address: fmt.Sprint("m", i)}
		members = append(members, member)
		m.processes = append(m.processes, &process{address: member.Address, disk: AcceptorState{ID: member.ID}})
	}
	m.genesis = Genesis(members)
	m.newest = m.genesis
	for _, p := range m.processes {
		m.start(p)
	}
	return m
}

// violate records a violation, unless there was one before.
func (m *membershipModel) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// start starts a process from its disk.
func (m *membershipModel) start(p *process) {
	m.incarnations++
	p.up = true
	p.frozen = false
	if m.injected == copyCountsBeforeSync && p.synced.ID == p.disk.ID {
		p.disk = p.synced
	}
	p.known = m.genesis
	p.decidedKnown = false
	p.replicas = map[AcceptorID]Replica{}
	p.current = nil
	if p.disk.Value != nil {
		p.known = RecoveryBase(p.disk.Value)
	}
	p.incarnation = ProposerID(m.incarnations)
	p.number = p.disk.Promised.Number
	p.decision = Decision{Value: p.known}
	if p.disk.HoldsDecision() {
		p.learn(p.disk.Value, p.disk.Accepted)
	}
}

// addProcess starts a process with an empty disk.
func (m *membershipModel) addProcess() {
	p := &process{address: fmt.Sprint("m", len(m.processes)), disk: AcceptorState{ID: m.randomID()}}
	m.processes = append(m.processes, p)
	m.start(p)
}

func (m *membershipModel) randomID() AcceptorID { return AcceptorID(1000 + m.random.IntN(1<<40)) }

func (m *membershipModel) randomProcess() *process {
	return m.processes[m.random.IntN(len(m.processes))]
}

func (m *membershipModel) processOf(id AcceptorID) *process {
	for _, p := range m.processes {
		if p.disk.ID == id && !p.gone {
			return p
		}
	}
	return nil
}

// decidedValue returns the newest value that the process knows to be decided; nil = none.
func (p *process) decidedValue() *Value {
	if !p.decidedKnown {
		return nil
	}
	return p.known
}

func (p *process) reachable() bool { return p.up && !p.cut && !p.gone }

func (p *process) member() Member { return Member{ID: p.disk.ID, Address: p.address} }

// holds reports whether the process's disk holds a decided value, or one of a later slot.
func (p *process) holds(v *Value) bool {
	stored := p.disk.Value
	return stored != nil && (stored.Slot > v.Slot || stored.Slot == v.Slot && stored.Equal(v))
}

func (m *membershipModel) send(from, to *process, deliver func()) {
	if to != nil && (from == to || m.connected(from, to)) {
		m.inFlight = append(m.inFlight, packet{from: from, to: to, incarnation: to.incarnation, deliver: deliver})
	}
}

func (m *membershipModel) deliver(i int) {
	p := m.inFlight[i]
	if p.to.frozen {
		m.inFlight[i].arrived = p.arrived || m.connected(p.from, p.to)
		return
	}
	last := len(m.inFlight) - 1
	m.inFlight[i] = m.inFlight[last]
	m.inFlight = m.inFlight[:last]
	arrives := p.from == p.to || p.arrived || m.connected(p.from, p.to)
	if p.to.up && p.to.incarnation == p.incarnation && arrives {
		p.deliver()
	}
}

// deliverAll delivers what is in flight, and what that leads to. What is in flight to frozen processes stays.
func (m *membershipModel) deliverAll() {
	for {
		deliverable := m.deliverable()
		if len(deliverable) == 0 {
			return
		}
		m.deliver(deliverable[m.random.IntN(len(deliverable))])
	}
}

// deliverable returns the indices of the packets whose receivers are not frozen.
func (m *membershipModel) deliverable() (indices []int) {
	for i, p := range m.inFlight {
		if !p.to.frozen {
			indices = append(indices, i)
		}
	}
	return indices
}

// begin starts an attempt of a process, in place of the one before.
func (m *membershipModel) begin(p *process, change ChangeFunc, digest string) *proposalAttempt {
	a := &proposalAttempt{process: p, change: change, digest: digest, known: len(m.acknowledged)}
	m.propose(a)
	return a
}

func (m *membershipModel) propose(a *proposalAttempt) {
	p := a.process
	p.number++
	base := p.known
	if p.disk.Value != nil && m.injected != decidedIsAlwaysBase {
		base = ProposalBase(p.disk.Value, p.decidedValue())
	}
	if m.injected == majorityOfVisible {
		base = m.visibleMembers(p, base)
	}
	a.proposal = NewProposal(Ballot{Number: p.number, By: p.incarnation}, base, a.change)
	p.current = a
	m.sendPrepares(a)
}

func (m *membershipModel) sendPrepares(a *proposalAttempt) {
	proposal := a.proposal
	for _, member := range proposal.NextPrepares() {
		to := m.processOf(member.ID)
		m.send(a.process, to, func() {
			next, reply := to.disk.HandlePrepare(Prepare{To: member.ID, Ballot: proposal.Ballot()})
			to.disk = next
			m.send(to, a.process, func() { m.handlePrepareReply(a, proposal, reply) })
		})
	}
}

// isCurrent reports whether a reply to a proposal still matters.
func (a *proposalAttempt) isCurrent(proposal *Proposal) bool {
	return a.process.current == a && a.proposal == proposal
}

func (m *membershipModel) handlePrepareReply(a *proposalAttempt, proposal *Proposal, reply PrepareReply) {
	if !a.isCurrent(proposal) {
		return
	}
	acceptors := proposal.HandlePrepareReply(reply)
	if acceptors == nil {
		m.sendPrepares(a)
	}
	for _, member := range acceptors {
		m.sendAccept(a, Accept{To: member.ID, Ballot: proposal.Ballot(), Value: proposal.Value()})
	}
	a.recordPreemption()
}

func (m *membershipModel) sendAccept(a *proposalAttempt, accept Accept) {
	to, proposal := m.processOf(accept.To), a.proposal
	m.send(a.process, to, func() {
		next, reply := to.disk.HandleAccept(accept)
		m.store(to, next)
		m.send(to, a.process, func() { m.handleAcceptReply(a, proposal, reply) })
	})
}

func (m *membershipModel) handleAcceptReply(a *proposalAttempt, proposal *Proposal, reply AcceptReply) {
	if !a.isCurrent(proposal) {
		return
	}
	if !proposal.HandleAcceptReply(reply) {
		a.recordPreemption()
		return
	}
	v, p := proposal.Value(), a.process
	m.decide(v)
	p.learn(v, proposal.Ballot())
	p.current = nil
	if !proposal.IncludesChange() || !v.Confirmed() {
		m.propose(a) // what precedes the change is decided first
		return
	}
	a.decided = v
	m.checkListed(v, a.known)
	if a.digest != "" && v.Digest == a.digest {
		m.acknowledged = append(m.acknowledged, a.digest)
	}
}

// recordPreemption ends an attempt that was preempted, and raises the number of the next ballot above that one.
func (a *proposalAttempt) recordPreemption() {
	if by, preempted := a.proposal.Preempted(); preempted {
		a.process.number = max(a.process.number, by.Number)
		a.process.current = nil
	}
}

// learn has a process know a decided value, and ballots at which it was decided.
func (p *process) learn(v *Value, ballots ...Ballot) {
	if v.Slot < p.known.Slot {
		return
	}
	if !p.decidedKnown || v.Slot > p.known.Slot {
		p.known = v
		p.decidedKnown = true
		p.decision = Decision{Value: v}
	}
	for _, b := range ballots {
		p.decision = p.decision.WithBallot(b)
	}
	p.disk = p.disk.WithDecision(p.decision)
}

// decide records a decided value and checks it against those of its slot and the slot before.
func (m *membershipModel) decide(v *Value) {
	if old := m.decided[v.Slot]; old != nil {
		if !old.Equal(v) {
			m.violate("slot %d: two values are decided", v.Slot)
		}
		return
	}
	if previous := m.decided[v.Slot-1]; previous != nil && !sameMembers(v.PriorMembers, previous.Members) {
		m.violate("slot %d follows other members than those of the slot before", v.Slot)
	}
	m.decided[v.Slot] = v
	if v.Slot > m.newest.Slot {
		m.newest = v
	}
}
