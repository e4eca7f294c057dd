package consensus

// The events of the membership model: losses, returns and planned replacements of processes.

// powerCycle restarts all running processes at once, with their disks.
func (m *membershipModel) powerCycle() {
	m.inFlight = nil
	for _, p := range m.processes {
		if p.up && !p.gone {
			m.start(p)
		}
	}
}

// loseOne loses a process, if one more is tolerated: its network, the process, or the process with its disk.
func (m *membershipModel) loseOne() {
	p := m.randomProcess()
	if len(m.lost) >= m.tolerated || m.lost[p] || p.gone || p.leaving {
		return
	}
	m.lost[p] = true
	switch m.random.IntN(3) {
	case 0:
		p.cut = true
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

// restoreOne brings back a lost process, or a successor in its place, and lets it recover.
func (m *membershipModel) restoreOne() {
	for _, p := range m.processes { // in order, so that a seed repeats
		if !m.lost[p] {
			continue
		}
		switch {
		case p.cut:
			p.cut = false
		case m.random.IntN(3) == 0:
			p.gone = true
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

// replace starts a successor, lets it recover, and tells a member to leave, which must be able to within its grace period.
func (m *membershipModel) replace() {
	for len(m.lost) > 0 {
		m.restoreOne()
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
	if len(m.lost) > 0 { // another was lost meanwhile, and may be needed
		p.leaving = false
		return
	}
	if !m.mayLeave(p) {
		m.violate("slot %d: %s can't leave within its grace period", m.newest.Slot, p.address)
	}
	p.up = false
	p.gone = true
	p.leaving = false
	p.current = nil
	m.leaves++
}

// leaveAmidEvents makes random steps, power cycles and changes until the process may leave, or for a while.
func (m *membershipModel) leaveAmidEvents(p *process) {
	splits := m.random.IntN(3) == 0
	for range 400 {
		m.randomSteps(1)
		if m.random.IntN(150) == 0 {
			m.powerCycle()
		}
		if splits && m.random.IntN(200) == 0 {
			m.splitRepeatedly()
		}
		if m.random.IntN(30) == 0 {
			m.changeConfiguration()
		}
		if m.mayLeave(p) {
			return
		}
	}
}

// leaveWithoutEvents lets all processes do what is due until the process may leave, or for a while.
func (m *membershipModel) leaveWithoutEvents(p *process) {
	for range 60 {
		if m.mayLeave(p) {
			return
		}
		for _, o := range m.processes {
			m.gossip(o)
			m.deliverAll()
			if o.current == nil || m.random.IntN(4) == 0 {
				m.tick(o)
			}
		}
		m.deliverAll()
	}
}

// loseTolerated loses as many at once as are tolerated, and perhaps the power of all others, before anything else happens.
func (m *membershipModel) loseTolerated() {
	if m.violation != "" || m.random.IntN(3) == 0 {
		return
	}
	for range 20 {
		m.loseOne()
	}
	m.simultaneousLosses++
	if m.random.IntN(2) == 0 {
		m.powerCycle()
	}
	m.checkAcknowledged()
}
