package consensus

// This file contains the events of the membership model: losses, returns and planned replacements of processes.

// powerCycle restarts all running processes at the same time. Their disks are retained.
func (m *membershipModel) powerCycle() {
	m.inFlight = nil
	for _, p := range m.processes {
		if p.up && !p.removed {
			m.start(p)
		}
	}
}

// loseRandomProcess makes a random process fail if another loss is tolerated: it is disconnected, it ends, or it ends and its
// disk is lost.
func (m *membershipModel) loseRandomProcess() {
	p := m.randomProcess()
	if len(m.lost) >= m.tolerated || m.lost[p] || p.removed || p.leaving {
		return
	}
	m.lost[p] = true
	switch m.random.IntN(3) {
	case 0:
		p.disconnected = true
	case 1:
		p.up = false
		p.current = nil
	case 2:
		p.up = false
		p.current = nil
		id := m.randomID()
		if m.injected == lostDiskKeepsIdentity {
			id = p.disk.ID
		}
		p.disk = AcceptorState{ID: id}
	}
}

// restoreLostProcess restores a lost process or starts a successor in its place, and lets the processes recover.
func (m *membershipModel) restoreLostProcess() {
	for _, p := range m.processes { // in a fixed order, so that a seed is reproducible
		if !m.lost[p] {
			continue
		}
		switch {
		case p.disconnected:
			p.disconnected = false
		case m.random.IntN(3) == 0:
			p.removed = true
			m.addProcess()
		default:
			m.start(p)
		}
		m.randomSteps(m.random.IntN(60))
		if m.random.IntN(4) == 0 {
			m.powerCycle()
		}
		m.recover()
		delete(m.lost, p)
		return
	}
}

// replace starts a successor, lets the processes recover, and requests a member to leave. The member must be able to leave
// within its grace period.
func (m *membershipModel) replace() {
	for len(m.lost) > 0 {
		m.restoreLostProcess()
	}
	p := m.randomProcess()
	if !p.reachable() || !Contains(m.newest.Members, p.disk.ID) {
		return
	}
	m.addProcess()
	m.recover()
	p.leaving = true
	m.leaveAmidEvents(p)
	m.leaveWithoutEvents(p)
	if len(m.lost) > 0 { // another process was lost meanwhile, so the leaving one may be needed
		p.leaving = false
		return
	}
	if !m.mayLeave(p) {
		m.recordViolation("slot %d: %s cannot leave within its grace period", m.newest.Slot, p.address)
	}
	p.up = false
	p.removed = true
	p.leaving = false
	p.current = nil
	m.leaves++
}

// leaveAmidEvents performs random steps, power cycles, network partitions and configuration changes until the process may
// leave, for at most 400 rounds.
func (m *membershipModel) leaveAmidEvents(p *process) {
	partitions := m.random.IntN(3) == 0
	for range 400 {
		m.randomSteps(1)
		if m.random.IntN(150) == 0 {
			m.powerCycle()
		}
		if partitions && m.random.IntN(200) == 0 {
			m.partitionRepeatedly()
		}
		if m.random.IntN(30) == 0 {
			m.changeConfiguration()
		}
		if m.mayLeave(p) {
			return
		}
	}
}

// leaveWithoutEvents lets all processes gossip and start the proposals that are due until the process may leave, for at most
// 60 rounds.
func (m *membershipModel) leaveWithoutEvents(p *process) {
	for range 60 {
		if m.mayLeave(p) {
			return
		}
		for _, o := range m.processes {
			m.gossip(o)
			m.deliverAll()
			if o.current == nil || m.random.IntN(4) == 0 {
				m.startDueProposal(o)
			}
		}
		m.deliverAll()
	}
}

// loseMaxTolerated loses as many processes as are tolerated at the same time, and sometimes power cycles all others, before
// any other event occurs.
func (m *membershipModel) loseMaxTolerated() {
	if m.violation != "" || m.random.IntN(3) == 0 {
		return
	}
	for range 20 {
		m.loseRandomProcess()
	}
	m.simultaneousLosses++
	if m.random.IntN(2) == 0 {
		m.powerCycle()
	}
	m.checkAcknowledged()
}
