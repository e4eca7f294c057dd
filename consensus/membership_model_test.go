package consensus

import (
	"fmt"
	"math/rand/v2"
)

// membershipModel runs processes that join and leave. Processes are lost, with or without their disks, at most as many at a
// time as are tolerated. They return and have time to recover, after which the next ones are lost immediately. They are
// replaced as planned (the successor starts first, then the old process is requested to leave) or after a loss. All processes
// may lose power between any two steps. The processes determine with the package's own code which replicas are missing, who
// may leave and which proposal is due. The model checks that
//   - no two values are decided for one slot;
//   - no acknowledged change is lost;
//   - a value can be decided while no more processes are lost than are tolerated;
//   - a replica that a process counts as known is stored on the member's disk;
//   - all members store the newest value after they had time to recover.
type membershipModel struct {
	random       *rand.Rand
	injected     membershipFault
	processes    []*process
	lost         map[*process]bool
	tolerated    int // number of processes that may be lost at the same time
	genesis      *Value
	inFlight     []packet
	incarnations uint64
	configs      int
	secondHalf   map[*process]bool // during a network partition, the processes on one side of it

	decided            map[Slot]*Value
	newest             *Value   // newest decided value
	acknowledged       []string // digests of acknowledged configurations
	violation          string   // first violation of an invariant; "" = none
	simultaneousLosses int      // losses of as many processes as are tolerated, right after a recovery or a planned leave
	leaves             int      // planned leaves that were completed within the grace period
	partitions         int
	reads              int // number of reads that were answered
}

// process is an acceptor and a proposer.
type process struct {
	address      string
	disk         AcceptorState
	up           bool
	disconnected bool // disconnected from the network
	frozen       bool // does not process the messages that it receives
	leaving      bool
	removed      bool                   // permanently removed
	synced       AcceptorState          // with copyCountsBeforeSync, the state that survives a loss of power
	known        *Value                 // newest value known to be decided, or the base to start from
	decidedKnown bool                   // known is decided
	decision     Decision               // known with the ballots at which it was decided
	replicas     map[AcceptorID]Replica // replicas that others reported recently
	incarnation  ProposerID
	number       uint64           // number of the last ballot
	current      *proposalAttempt // nil = none
}

// proposalAttempt is a change that a process proposes until it is decided, at one ballot after another.
type proposalAttempt struct {
	process            *process
	proposal           *Proposal
	change             ChangeFunc
	digest             string // digest of the proposed configuration; "" = none
	decided            *Value // decided value that includes the change; nil = not decided yet
	acknowledgedBefore int    // number of configurations acknowledged before the attempt started
}

// packet is a message in flight. It is lost if its sender or receiver is lost, or if its receiver restarts.
type packet struct {
	from, to    *process
	incarnation ProposerID // incarnation of the receiver when the message was sent
	arrived     bool       // the receiver is frozen and processes the message later
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

// recordViolation records a violation unless one was recorded before.
func (m *membershipModel) recordViolation(format string, args ...any) {
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
	if p.disk.RecordsDecision() {
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

// processOf returns the process whose disk has the given identity; nil = there is none.
func (m *membershipModel) processOf(id AcceptorID) *process {
	for _, p := range m.processes {
		if p.disk.ID == id && !p.removed {
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

func (p *process) reachable() bool { return p.up && !p.disconnected && !p.removed }

func (p *process) member() Member { return Member{ID: p.disk.ID, Address: p.address} }

// holds reports whether the process's disk stores the given decided value or a value of a later slot.
func (p *process) holds(v *Value) bool {
	stored := p.disk.Value
	return stored != nil && (stored.Slot > v.Slot || stored.Slot == v.Slot && stored.Equal(v))
}

// send sends a message if its receiver is reachable from its sender. The message is delivered by a call of deliver.
func (m *membershipModel) send(from, to *process, deliver func()) {
	if to != nil && (from == to || m.connected(from, to)) {
		m.inFlight = append(m.inFlight, packet{from: from, to: to, incarnation: to.incarnation, deliver: deliver})
	}
}

// deliver delivers the packet at index i of inFlight, or drops it if it is lost. A packet to a frozen process stays in flight.
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

// deliverAll delivers all messages in flight and those that are sent as a result. Messages to frozen processes stay in flight.
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

// startAttempt starts an attempt of a process, which replaces its previous one.
func (m *membershipModel) startAttempt(p *process, change ChangeFunc, digest string) *proposalAttempt {
	a := &proposalAttempt{process: p, change: change, digest: digest, acknowledgedBefore: len(m.acknowledged)}
	m.propose(a)
	return a
}

// propose starts a proposal of an attempt at the process's next ballot.
func (m *membershipModel) propose(a *proposalAttempt) {
	p := a.process
	p.number++
	base := p.known
	if p.disk.Value != nil && m.injected != decidedIsAlwaysBase {
		base = ProposalBase(p.disk.Value, p.decidedValue())
	}
	if m.injected == majorityOfReachable {
		base = m.withReachableMembers(p, base)
	}
	a.proposal = NewProposal(Ballot{Number: p.number, Proposer: p.incarnation}, base, a.change)
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

// isCurrent reports whether a proposal is still the current one of its process, so that replies to it must be processed.
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
	m.recordDecided(v)
	p.learn(v, proposal.Ballot())
	p.current = nil
	if !proposal.IncludesChange() || !v.Confirmed() {
		m.propose(a) // a preceding value had to be decided first, or the change must be confirmed
		return
	}
	a.decided = v
	m.checkListed(v, a.acknowledgedBefore)
	if a.digest != "" && v.Digest == a.digest {
		m.acknowledged = append(m.acknowledged, a.digest)
	}
}

// recordPreemption ends an attempt that was preempted and raises the process's ballot number to that of the ballot that
// preempted it.
func (a *proposalAttempt) recordPreemption() {
	if by, preempted := a.proposal.Preempted(); preempted {
		a.process.number = max(a.process.number, by.Number)
		a.process.current = nil
	}
}

// learn makes a decided value, and ballots at which it was decided, known to a process.
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

// recordDecided records a decided value and checks it against the decided values of its slot and of the previous slot.
func (m *membershipModel) recordDecided(v *Value) {
	if old := m.decided[v.Slot]; old != nil {
		if !old.Equal(v) {
			m.recordViolation("slot %d: two values are decided", v.Slot)
		}
		return
	}
	if previous := m.decided[v.Slot-1]; previous != nil && !sameMembers(v.PriorMembers, previous.Members) {
		m.recordViolation("slot %d: the prior members are not the members of the previous slot", v.Slot)
	}
	m.decided[v.Slot] = v
	if v.Slot > m.newest.Slot {
		m.newest = v
	}
}
