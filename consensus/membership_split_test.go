package consensus

// The events of the membership model in which the network is cut into halves, and in which more is lost at once than is
// tolerated, though no more disks. Neither may lose what was acknowledged, or show an older state.

// connected reports whether messages pass between two processes now.
func (m *membershipModel) connected(a, b *process) bool {
	return a.reachable() && b.reachable() && m.secondHalf[a] == m.secondHalf[b]
}

// split cuts the network into two halves, drawn anew whatever was cut before.
func (m *membershipModel) split() {
	m.splits++
	m.secondHalf = map[*process]bool{}
	for n, i := range m.random.Perm(len(m.processes)) {
		if n%2 == 0 {
			m.secondHalf[m.processes[i]] = true
		}
	}
}

// splitRepeatedly splits the network, at times once more as the first split ends, while changes are sent and configurations are
// read on both sides, a process is frozen across it and others lose power or their disks. Then the network is whole.
func (m *membershipModel) splitRepeatedly() {
	frozen := m.randomProcess()
	frozen.frozen = m.random.IntN(2) == 0
	for range 1 + m.random.IntN(3) {
		m.split()
		for range 4 {
			m.splitEvent()
			m.randomSteps(m.random.IntN(40))
		}
		frozen.frozen = frozen.frozen && m.random.IntN(2) == 0 // it resumes on the side on which it is by then
	}
	m.secondHalf = nil
	frozen.frozen = false
	m.read()
	m.randomSteps(m.random.IntN(40))
}

// splitEvent makes one event happen while the network is split.
func (m *membershipModel) splitEvent() {
	switch m.random.IntN(7) {
	case 0:
		m.restartHalf()
	case 1:
		m.loseOne()
	case 2, 3:
		m.read()
	default:
		m.changeConfiguration()
	}
}

// restartHalf has one half lose its power, and start again.
func (m *membershipModel) restartHalf() {
	second := m.random.IntN(2) == 0
	for _, p := range m.processes {
		if p.up && !p.gone && m.secondHalf[p] == second {
			m.start(p)
		}
	}
}

// overlappingLosses loses as many disks as are tolerated while any number of the others are without power. When these are back,
// what was acknowledged is there.
func (m *membershipModel) overlappingLosses() {
	var off []*process
	for _, p := range m.processes {
		if p.reachable() && !p.leaving && !m.lost[p] && m.random.IntN(2) == 0 {
			p.up = false
			p.current = nil
			off = append(off, p)
		}
	}
	m.changeConfiguration()
	m.randomSteps(m.random.IntN(40))
	m.loseOne()
	m.randomSteps(m.random.IntN(40))
	for _, p := range off {
		if !m.lost[p] || p.cut {
			m.start(p)
			m.randomSteps(m.random.IntN(10))
		}
	}
	if m.random.IntN(2) == 0 {
		m.powerCycle()
	}
	m.checkAcknowledged()
}

// read has a process read the configuration. Its answer must list all that was acknowledged before.
func (m *membershipModel) read() {
	p := m.randomProcess()
	if !p.reachable() || p.frozen {
		return
	}
	if m.injected == readWithoutQuorum && p.decidedKnown {
		m.checkListed(p.known, len(m.acknowledged))
		return
	}
	a := m.begin(p, unchanged, "")
	m.randomSteps(20 + m.random.IntN(60))
	if a.decided != nil {
		m.reads++
	}
}

// checkListed checks that a value lists the first acknowledged configurations.
func (m *membershipModel) checkListed(v *Value, acknowledged int) {
	for _, digest := range m.acknowledged[:acknowledged] {
		if !v.lists(digest) {
			m.violate("slot %d: %s was acknowledged before, and is not shown", v.Slot, digest)
		}
	}
}

// visibleMembers returns a value as one of whose members only those count that a process can reach.
func (m *membershipModel) visibleMembers(p *process, v *Value) *Value {
	visible := *v
	visible.Members = nil
	for _, member := range v.Members {
		if o := m.processOf(member.ID); o != nil && (o == p || m.connected(p, o)) {
			visible.Members = append(visible.Members, member)
		}
	}
	return &visible
}

// store puts an acceptor's state on its disk. With copyCountsBeforeSync that may be undone by a loss of power.
func (m *membershipModel) store(p *process, next AcceptorState) {
	if m.injected != copyCountsBeforeSync || p.synced.ID != p.disk.ID || m.random.IntN(2) == 0 {
		p.synced = next
	}
	if m.injected == acceptMarkedDecided {
		next.Decided = next.Accepted
	}
	p.disk = next
}
