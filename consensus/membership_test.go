package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// membershipFault is injected into the membership model's own part of the work, to show that its checks detect it.
type membershipFault int

const (
	noMembershipFault membershipFault = iota

	knowledgeCountsAsReplica // a process reports what it knows as what its disk holds
	slotCountsAsReplica      // a stored value of the slot counts as a replica, whatever its ballot
	newMemberCountsAsReplica // a member that reported nothing yet counts as one that holds the value
	leaveImmediately         // a process that is told to leave goes at once
	leaveUnconfirmed         // it goes once it is replaced, before that is confirmed
	leaveOnKnowledge         // it goes once those that stay know the value
	acceptWithoutPrepare     // replicas are completed by an Accept at a ballot that nobody promised
	catchUpAtPromisedBallot  // a catch-up Accept is accepted at the ballot that the acceptor promised last
	replicasNeverRepaired    // replicas are completed by the next change alone
	lostDiskKeepsIdentity    // a process whose disk was lost reports the identity of the old one
	majorityOfVisible        // a proposer counts the majority over the members that it can reach
	copyCountsBeforeSync     // an acceptor reports a value as accepted before it is on the disk
	readWithoutQuorum        // a read is answered with what the process knows to be decided
	decidedIsAlwaysBase      // a proposal starts from a decided value, however far it is behind the accepted one
	acceptMarkedDecided      // an acceptor marks each value that it accepts as decided
)

// membershipFaultNames are the faults that the model must detect, by name.
var membershipFaultNames = map[string]membershipFault{
	"knowledge counts as replica":        knowledgeCountsAsReplica,
	"slot counts as replica":             slotCountsAsReplica,
	"new member counts as replica":       newMemberCountsAsReplica,
	"leaves immediately":                 leaveImmediately,
	"leaves before confirmation":         leaveUnconfirmed,
	"leaves when others know":            leaveOnKnowledge,
	"accept without prepare":             acceptWithoutPrepare,
	"catch-up accept at promised ballot": catchUpAtPromisedBallot,
	"replicas never repaired":            replicasNeverRepaired,
	"lost disk keeps its identity":       lostDiskKeepsIdentity,
	"majority of the visible members":    majorityOfVisible,
	"copy counts before its sync":        copyCountsBeforeSync,
	"read without a quorum":              readWithoutQuorum,
	"accepted value marked as decided":   acceptMarkedDecided,
	"decided value is always the base":   decidedIsAlwaysBase,
}

func unchanged(v *Value) *Value { return v }

// tick has a process begin the proposal that is due, and reports whether there was one.
func (m *membershipModel) tick(p *process) bool {
	if !p.reachable() {
		return false
	}
	isMember := Contains(p.known.Members, p.disk.ID)
	needsProposal := !p.decision.Resolves(p.disk.Replica()) ||
		!p.decidedKnown && p.disk.Value != nil ||
		p.decidedKnown && !p.known.Confirmed()
	successor := m.successor(p)
	switch {
	case p.decidedKnown && p.known.Confirmed() && !isMember && !p.leaving && m.replaceUnreachable(p)(p.known) != p.known:
		m.begin(p, m.replaceUnreachable(p), "")
	case needsProposal:
		m.begin(p, unchanged, "")
	case !p.decidedKnown:
		return false
	case isMember && p.leaving && successor != nil:
		m.begin(p, handOver(p.member(), successor.member()), "")
	default:
		return m.repair(p)
	}
	return true
}

// repair has a process attempt to complete replicas, and reports whether any is missing.
func (m *membershipModel) repair(p *process) bool {
	missing := m.unreplicated(p)
	if len(missing) == 0 || m.injected == replicasNeverRepaired {
		return false
	}
	if m.injected == acceptWithoutPrepare {
		p.number++
		for _, member := range missing {
			ballot := Ballot{Number: p.number, By: p.incarnation}
			m.sendAccept(&proposalAttempt{process: p}, Accept{To: member.ID, Ballot: ballot, Value: p.known})
		}
		return true
	}
	accept, ok := p.decision.CatchUpAccept(p.disk.ID)
	if ok && Contains(missing, p.disk.ID) && m.random.IntN(4) > 0 {
		if m.injected == catchUpAtPromisedBallot && p.disk.Promised.Compare(accept.Ballot) > 0 {
			accept.Ballot = p.disk.Promised
		}
		next, reply := p.disk.HandleAccept(accept)
		p.disk = next
		if reply.OK {
			return true
		}
	}
	m.begin(p, unchanged, "")
	return true
}

// replaceUnreachable makes a process a member in place of the one that was at its address before, or of one that can't be
// reached.
func (m *membershipModel) replaceUnreachable(p *process) ChangeFunc {
	self := p.member()
	return func(v *Value) *Value {
		if Contains(v.Members, self.ID) {
			return v
		}
		replaceable := func(member Member) bool { return member.Address == self.Address }
		if !slices.ContainsFunc(v.Members, replaceable) {
			replaceable = func(member Member) bool {
				o := m.processOf(member.ID)
				return o == nil || !m.connected(p, o)
			}
		}
		i := slices.IndexFunc(v.Members, replaceable)
		if i < 0 {
			return v
		}
		return withMember(v, i, self)
	}
}

// successor returns a process in contact that is no member and stays; nil = there is none.
func (m *membershipModel) successor(p *process) *process {
	for _, o := range m.processes {
		if o != p && m.connected(p, o) && !o.leaving && !Contains(p.known.Members, o.disk.ID) {
			return o
		}
	}
	return nil
}

func handOver(self, successor Member) ChangeFunc {
	return func(v *Value) *Value {
		i := slices.IndexFunc(v.Members, func(member Member) bool { return member.ID == self.ID })
		if i < 0 || Contains(v.Members, successor.ID) {
			return v
		}
		return withMember(v, i, successor)
	}
}

func withMember(v *Value, i int, member Member) *Value {
	members := slices.Clone(v.Members)
	members[i] = member
	return v.WithMembers(members)
}

// randomSteps makes a few random steps.
func (m *membershipModel) randomSteps(steps int) {
	for range steps {
		p := m.randomProcess()
		switch k := m.random.IntN(40); {
		case k < 3:
			m.gossip(p)
		case k < 5 && p.up && p.current == nil:
			m.tick(p)
		case k < 6 && len(m.inFlight) > 0: // one is lost with its connection
			i := m.random.IntN(len(m.inFlight))
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		case len(m.inFlight) > 0:
			m.deliver(m.random.IntN(len(m.inFlight)))
		}
	}
}

// recover lets the processes complete their work: no new faults, messages arrive, proposals that are due run. All members
// must hold the newest value then.
func (m *membershipModel) recover() {
	for range 40 {
		for _, p := range m.processes {
			m.gossip(p)
		}
		m.deliverAll()
		due := false
		for _, i := range m.random.Perm(len(m.processes)) {
			p := m.processes[i]
			p.current = nil
			if m.tick(p) {
				due = true
				m.randomSteps(m.random.IntN(12))
			}
		}
		m.deliverAll()
		if !due {
			break
		}
	}
	if len(m.lost) > m.tolerated || m.violation != "" {
		return
	}
	for _, member := range m.newest.Members {
		p := m.processOf(member.ID)
		if p != nil && p.reachable() && m.newest.Slot > 0 && !p.holds(m.newest) {
			m.violate("slot %d: after a recovery %s does not hold the newest value", m.newest.Slot, member.Address)
		}
	}
}

// changeConfiguration has a process propose another configuration.
func (m *membershipModel) changeConfiguration() {
	p := m.randomProcess()
	if !p.up || p.gone || !p.decidedKnown && m.configs > 0 {
		return
	}
	m.configs++
	version := Version(10 * m.configs)
	digest := fmt.Sprint("d", m.configs)
	m.begin(p, func(v *Value) *Value {
		if v.lists(digest) {
			return v
		}
		return v.WithConfiguration(version, v.Version, digest, nil)
	}, digest)
}

// lists reports whether a configuration is in place or among those before it.
func (v *Value) lists(digest string) bool {
	return v.Digest == digest || slices.ContainsFunc(v.PriorRevisions, func(r Revision) bool { return r.Digest == digest })
}

// checkAcknowledged reads the newest value, with no more lost than are tolerated, before anything is repaired.
func (m *membershipModel) checkAcknowledged() {
	for range 40 {
		p := m.randomProcess()
		if !p.reachable() {
			continue
		}
		for _, o := range m.processes {
			m.gossip(o)
		}
		m.deliverAll()
		a := m.begin(p, unchanged, "")
		m.deliverAll()
		if a.decided == nil {
			continue
		}
		for _, digest := range m.acknowledged {
			if !a.decided.lists(digest) {
				m.violate("slot %d: %s was acknowledged and is lost", a.decided.Slot, digest)
			}
		}
		return
	}
	m.violate("slot %d: with %d lost of %d tolerated nothing can be decided", m.newest.Slot, len(m.lost), m.tolerated)
}

// randomEvent makes one of the events of a membership happen.
func (m *membershipModel) randomEvent() {
	switch k := m.random.IntN(14); {
	case k >= 12:
		m.overlappingLosses()
	case k >= 10:
		m.splitRepeatedly()
	case k < 3:
		m.changeConfiguration()
		m.randomSteps(m.random.IntN(80))
	case k < 5:
		m.loseOne()
		m.changeConfiguration()
		m.randomSteps(m.random.IntN(60))
	case k < 7:
		m.restoreOne()
		m.loseTolerated()
	case k < 9:
		m.replace()
		m.loseTolerated()
	default:
		m.powerCycle()
	}
}

// runMembershipModel runs a model and returns it as it ended, or as it was at the first violation.
func runMembershipModel(seed uint64, injected membershipFault) *membershipModel {
	m := newMembershipModel(seed, injected)
	m.changeConfiguration()
	m.recover()
	for range 17 {
		m.randomEvent()
		if m.violation == "" && m.random.IntN(3) == 0 {
			m.checkAcknowledged()
		}
		if m.violation != "" {
			break
		}
	}
	return m
}

func TestMembershipModelKeepsAcknowledgedChanges(t *testing.T) {
	var slots Slot
	acknowledged, losses, leaves, splits, reads := 0, 0, 0, 0, 0
	for seed := range uint64(2500) {
		m := runMembershipModel(seed, noMembershipFault)
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
		slots += m.newest.Slot
		acknowledged += len(m.acknowledged)
		losses += m.simultaneousLosses
		leaves += m.leaves
		splits += m.splits
		reads += m.reads
	}
	t.Logf("%d slots, %d changes acknowledged, %d simultaneous losses of as many as are tolerated, %d planned leaves, %d splits, %d reads",
		slots, acknowledged, losses, leaves, splits, reads)
	if acknowledged < 5000 || losses < 2500 || leaves < 1000 || splits < 5000 || reads < 2000 {
		t.Fatal("too few to be conclusive")
	}
}

func TestMembershipModelDetectsInjectedFaults(t *testing.T) {
	for name, injected := range membershipFaultNames {
		t.Run(name, func(t *testing.T) {
			requireDetected(t, 30000, func(seed uint64) string { return runMembershipModel(seed, injected).violation })
		})
	}
}
