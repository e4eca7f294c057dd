package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// membershipFault is a fault that is injected into the membership model's own code. The model's checks must detect it.
type membershipFault int

const (
	noMembershipFault membershipFault = iota

	knownValueCountsAsReplica // a process reports the decided value that it knows as the replica on its disk
	slotCountsAsReplica       // a stored value of the slot counts as a replica, whatever its ballot
	newMemberCountsAsReplica  // a member that has not reported a replica yet counts as one that stores the value
	leaveImmediately          // a process leaves as soon as it is requested to
	leaveUnconfirmed          // a process leaves once it is replaced, before the replacement is confirmed
	leaveWhenValueKnown       // a process leaves once the remaining members know the value, though they may not store it
	acceptWithoutPrepare      // missing replicas are stored by an Accept at a ballot that was not promised
	catchUpAtPromisedBallot   // a catch-up Accept is accepted at the ballot that the acceptor promised last
	replicasNeverRepaired     // missing replicas are stored only by the next change
	lostDiskKeepsIdentity     // a process whose disk was lost reports the identity of the old disk
	majorityOfReachable       // a proposer requires a majority only of the members that it can reach
	copyCountsBeforeSync      // an acceptor reports a value as accepted before it is synced to disk
	readWithoutQuorum         // a read returns the value that the process knows to be decided, without a quorum
	decidedIsAlwaysBase       // a proposal starts from a decided value, however far that is behind the accepted one
	acceptRecordedDecided     // an acceptor records each value that it accepts as decided
)

// membershipFaults contains the faults that the model must detect, keyed by subtest name.
var membershipFaults = map[string]membershipFault{
	"known value counts as replica":      knownValueCountsAsReplica,
	"slot counts as replica":             slotCountsAsReplica,
	"new member counts as replica":       newMemberCountsAsReplica,
	"leaves immediately":                 leaveImmediately,
	"leaves before confirmation":         leaveUnconfirmed,
	"leaves when others know":            leaveWhenValueKnown,
	"accept without prepare":             acceptWithoutPrepare,
	"catch-up accept at promised ballot": catchUpAtPromisedBallot,
	"replicas never repaired":            replicasNeverRepaired,
	"lost disk keeps its identity":       lostDiskKeepsIdentity,
	"majority of the reachable members":  majorityOfReachable,
	"copy counts before its sync":        copyCountsBeforeSync,
	"read without a quorum":              readWithoutQuorum,
	"accepted value recorded as decided": acceptRecordedDecided,
	"decided value is always the base":   decidedIsAlwaysBase,
}

// unchanged is a ChangeFunc that proposes the newest value again.
func unchanged(v *Value) *Value { return v }

// startDueProposal makes a process start the proposal or repair that is due, and reports whether there was one.
func (m *membershipModel) startDueProposal(p *process) bool {
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
		m.startAttempt(p, m.replaceUnreachable(p), "")
	case needsProposal:
		m.startAttempt(p, unchanged, "")
	case !p.decidedKnown:
		return false
	case isMember && p.leaving && successor != nil:
		m.startAttempt(p, replaceMember(p.member(), successor.member()), "")
	default:
		return m.repair(p)
	}
	return true
}

// repair makes a process attempt to store the decided value on members that lack it, and reports whether it did so.
func (m *membershipModel) repair(p *process) bool {
	missing := m.unreplicated(p)
	if len(missing) == 0 || m.injected == replicasNeverRepaired {
		return false
	}
	if m.injected == acceptWithoutPrepare {
		p.number++
		for _, member := range missing {
			ballot := Ballot{Number: p.number, Proposer: p.incarnation}
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
	m.startAttempt(p, unchanged, "")
	return true
}

// replaceUnreachable returns a change that makes a process a member in place of the member with the same address, or otherwise
// of one that cannot be reached.
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

// successor returns a process in contact that is not a member and is not leaving; nil = there is none.
func (m *membershipModel) successor(p *process) *process {
	for _, o := range m.processes {
		if o != p && m.connected(p, o) && !o.leaving && !Contains(p.known.Members, o.disk.ID) {
			return o
		}
	}
	return nil
}

// replaceMember returns a change that replaces a member by its successor.
func replaceMember(self, successor Member) ChangeFunc {
	return func(v *Value) *Value {
		i := slices.IndexFunc(v.Members, func(member Member) bool { return member.ID == self.ID })
		if i < 0 || Contains(v.Members, successor.ID) {
			return v
		}
		return withMember(v, i, successor)
	}
}

// withMember returns the value of the next slot with the member at index i replaced.
func withMember(v *Value, i int, member Member) *Value {
	members := slices.Clone(v.Members)
	members[i] = member
	return v.WithMembers(members)
}

// randomSteps performs the given number of random steps.
func (m *membershipModel) randomSteps(steps int) {
	for range steps {
		p := m.randomProcess()
		switch k := m.random.IntN(40); {
		case k < 3:
			m.gossip(p)
		case k < 5 && p.up && p.current == nil:
			m.startDueProposal(p)
		case k < 6 && len(m.inFlight) > 0: // a message is lost with its connection
			i := m.random.IntN(len(m.inFlight))
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		case len(m.inFlight) > 0:
			m.deliver(m.random.IntN(len(m.inFlight)))
		}
	}
}

// recover lets the processes recover: there are no new faults, messages arrive, and the proposals that are due run. Afterwards
// all reachable members must store the newest value.
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
			if m.startDueProposal(p) {
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
			m.recordViolation("slot %d: after a recovery %s does not store the newest value", m.newest.Slot, member.Address)
		}
	}
}

// changeConfiguration makes a process propose a new configuration.
func (m *membershipModel) changeConfiguration() {
	p := m.randomProcess()
	if !p.up || p.removed || !p.decidedKnown && m.configs > 0 {
		return
	}
	m.configs++
	version := Version(10 * m.configs)
	digest := fmt.Sprint("d", m.configs)
	m.startAttempt(p, func(v *Value) *Value {
		if v.lists(digest) {
			return v
		}
		return v.WithConfiguration(version, v.Version, digest, nil)
	}, digest)
}

// lists reports whether the value contains the configuration with the given digest or lists it as an earlier one.
func (v *Value) lists(digest string) bool {
	return v.Digest == digest || slices.ContainsFunc(v.PriorRevisions, func(r Revision) bool { return r.Digest == digest })
}

// checkAcknowledged reads the newest value before any repair, and checks that it lists all acknowledged configurations. No more
// processes than are tolerated may be lost.
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
		a := m.startAttempt(p, unchanged, "")
		m.deliverAll()
		if a.decided == nil {
			continue
		}
		for _, digest := range m.acknowledged {
			if !a.decided.lists(digest) {
				m.recordViolation("slot %d: %s was acknowledged but is lost", a.decided.Slot, digest)
			}
		}
		return
	}
	m.recordViolation("slot %d: no value can be decided with %d processes lost, %d losses are tolerated",
		m.newest.Slot, len(m.lost), m.tolerated)
}

// randomEvent performs a random event.
func (m *membershipModel) randomEvent() {
	switch k := m.random.IntN(14); {
	case k >= 12:
		m.overlappingLosses()
	case k >= 10:
		m.partitionRepeatedly()
	case k < 3:
		m.changeConfiguration()
		m.randomSteps(m.random.IntN(80))
	case k < 5:
		m.loseRandomProcess()
		m.changeConfiguration()
		m.randomSteps(m.random.IntN(60))
	case k < 7:
		m.restoreLostProcess()
		m.loseMaxTolerated()
	case k < 9:
		m.replace()
		m.loseMaxTolerated()
	default:
		m.powerCycle()
	}
}

// runMembershipModel runs a model for a fixed number of events or until the first violation, and returns the model.
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
	acknowledged, losses, leaves, partitions, reads := 0, 0, 0, 0, 0
	for seed := range uint64(2500) {
		m := runMembershipModel(seed, noMembershipFault)
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
		slots += m.newest.Slot
		acknowledged += len(m.acknowledged)
		losses += m.simultaneousLosses
		leaves += m.leaves
		partitions += m.partitions
		reads += m.reads
	}
	t.Logf("%d slots, %d changes acknowledged, %d simultaneous losses of the tolerated number, %d planned leaves, %d partitions, %d reads",
		slots, acknowledged, losses, leaves, partitions, reads)
	if acknowledged < 5000 || losses < 2500 || leaves < 1000 || partitions < 5000 || reads < 2000 {
		t.Fatal("too few to be conclusive")
	}
}

func TestMembershipModelDetectsInjectedFaults(t *testing.T) {
	for name, injected := range membershipFaults {
		t.Run(name, func(t *testing.T) {
			requireDetected(t, 30000, func(seed uint64) string { return runMembershipModel(seed, injected).violation })
		})
	}
}
