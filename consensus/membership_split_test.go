package consensus

// This file contains the events of the membership model in which the network is partitioned into two halves, and those in
// which more processes are lost at the same time than are tolerated, but no more disks. None of these events may lose an
// acknowledged change or make a read return an older state.

// connected reports whether two processes can exchange messages now.
func (m *membershipModel) connected(a, b *process) bool {
	return a.reachable() && b.reachable() && m.secondHalf[a] == m.secondHalf[b]
}

// partition partitions the network into two random halves, independent of any earlier partition.
func (m *membershipModel) partition() {
	m.partitions++
	m.secondHalf = map[*process]bool{}
	for n, i := range m.random.Perm(len(m.processes)) {
		if n%2 == 0 {
			m.secondHalf[m.processes[i]] = true
		}
	}
}

// partitionRepeatedly partitions the network, sometimes again immediately after the first partition ends, while changes are
// proposed and configurations are read on both sides, a process is frozen during the partitions, and others lose power or their
// disks. Afterwards all processes are connected again.
func (m *membershipModel) partitionRepeatedly() {
	frozen := m.randomProcess()
	frozen.frozen = m.random.IntN(2) == 0
	for range 1 + m.random.IntN(3) {
		m.partition()
		for range 4 {
			m.partitionEvent()
			m.randomSteps(m.random.IntN(40))
		}
		frozen.frozen = frozen.frozen && m.random.IntN(2) == 0 // it resumes on the side to which it belongs then
	}
	m.secondHalf = nil
	frozen.frozen = false
	m.read()
	m.randomSteps(m.random.IntN(40))
}

// partitionEvent performs one random event during a network partition.
func (m *membershipModel) partitionEvent() {
	switch m.random.IntN(7) {
	case 0:
		m.restartHalf()
	case 1:
		m.loseRandomProcess()
	case 2, 3:
		m.read()
	default:
		m.changeConfiguration()
	}
}

// restartHalf makes all processes of one half lose power and restart.
func (m *membershipModel) restartHalf() {
	second := m.random.IntN(2) == 0
	for _, p := range m.processes {
		if p.up && !p.removed && m.secondHalf[p] == second {
			m.start(p)
		}
	}
}

// overlappingLosses loses no more disks than are tolerated while any number of the other processes are without power. When
// these have returned, all acknowledged changes must still be present.
func (m *membershipModel) overlappingLosses() {
	var poweredOff []*process
	for _, p := range m.processes {
		if p.reachable() && !p.leaving && !m.lost[p] && m.random.IntN(2) == 0 {
			p.up = false
			p.current = nil
			poweredOff = append(poweredOff, p)
		}
	}
	m.changeConfiguration()
	m.randomSteps(m.random.IntN(40))
	m.loseRandomProcess()
	m.randomSteps(m.random.IntN(40))
	for _, p := range poweredOff {
		if !m.lost[p] || p.disconnected {
			m.start(p)
			m.randomSteps(m.random.IntN(10))
		}
	}
	if m.random.IntN(2) == 0 {
		m.powerCycle()
	}
	m.checkAcknowledged()
}

// read makes a process read the configuration. The result must list all configurations acknowledged before the read.
func (m *membershipModel) read() {
	p := m.randomProcess()
	if !p.reachable() || p.frozen {
		return
	}
	if m.injected == readWithoutQuorum && p.decidedKnown {
		m.checkListed(p.known, len(m.acknowledged))
		return
	}
	a := m.startAttempt(p, unchanged, "")
	m.randomSteps(20 + m.random.IntN(60))
	if a.decided != nil {
		m.reads++
	}
}

// checkListed checks that a value lists the given number of configurations that were acknowledged first.
func (m *membershipModel) checkListed(v *Value, acknowledged int) {
	for _, digest := range m.acknowledged[:acknowledged] {
		if !v.lists(digest) {
			m.recordViolation("slot %d: %s was acknowledged before but is not listed", v.Slot, digest)
		}
	}
}

// withReachableMembers returns a copy of a value whose members are only those that a process can reach.
func (m *membershipModel) withReachableMembers(p *process, v *Value) *Value {
	restricted := *v
	restricted.Members = nil
	for _, member := range v.Members {
		if o := m.processOf(member.ID); o != nil && (o == p || m.connected(p, o)) {
			restricted.Members = append(restricted.Members, member)
		}
	}
	return &restricted
}

// store stores an acceptor's state on its disk. With copyCountsBeforeSync a loss of power may undo this.
func (m *membershipModel) store(p *process, next AcceptorState) {
	if m.injected != copyCountsBeforeSync || p.synced.ID != p.disk.ID || m.random.IntN(2) == 0 {
		p.synced = next
	}
	if m.injected == acceptRecordedDecided {
		next.Decided = next.Accepted
	}
	p.disk = next
}
