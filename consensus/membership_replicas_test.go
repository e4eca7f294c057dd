package consensus

import "slices"

// This file contains how the processes of the membership model report their replicas to each other and what they conclude from
// these reports.

// gossip sends the decided value that a process knows and the replica on its disk to all other processes.
func (m *membershipModel) gossip(p *process) {
	id, replica, known, decidedKnown, decision := p.disk.ID, p.disk.Replica(), p.known, p.decidedKnown, p.decision
	if m.injected == knownValueCountsAsReplica && decidedKnown {
		replica = Replica{Slot: known.Slot, Ballot: decision.Last}
	}
	for _, o := range m.processes {
		if o == p {
			continue
		}
		m.send(p, o, func() {
			if o.replicas[id].Ballot.Compare(replica.Ballot) <= 0 {
				o.replicas[id] = replica
			}
			if decidedKnown {
				o.learn(known, decision.First, decision.Last)
			}
		})
	}
}

// knownReplicas returns the replicas that a process knows: its own and those reported by the processes in contact.
func (m *membershipModel) knownReplicas(p *process) map[AcceptorID]Replica {
	for id := range p.replicas { // reports expire when contact is lost
		if o := m.processOf(id); o == nil || !m.connected(p, o) {
			delete(p.replicas, id)
		}
	}
	replicas := map[AcceptorID]Replica{p.disk.ID: p.disk.Replica()}
	for id, replica := range p.replicas {
		replicas[id] = replica
	}
	for _, member := range p.known.Members {
		if _, reported := replicas[member.ID]; !reported && m.injected == newMemberCountsAsReplica && m.processOf(member.ID) != nil {
			replicas[member.ID] = Replica{Slot: p.known.Slot, Ballot: p.decision.Last}
		}
		if r := replicas[member.ID]; m.injected == slotCountsAsReplica && r.Slot >= p.known.Slot {
			replicas[member.ID] = Replica{Slot: r.Slot, Ballot: Ballot{Number: 1 << 60, Proposer: 1}}
		}
	}
	return replicas
}

// unreplicated returns the members in contact that are not known to the process to store the decided value. It also checks
// that the members that are known to store it really do.
func (m *membershipModel) unreplicated(p *process) []Member {
	decision := p.decision
	missing := decision.Unreplicated(m.knownReplicas(p))
	for _, member := range decision.Value.Members {
		o := m.processOf(member.ID)
		if o == nil || Contains(missing, member.ID) || decision.Value.Slot == 0 {
			continue
		}
		if !o.holds(decision.Value) {
			m.recordViolation("slot %d: the replica of %s counts as known but is not on its disk", decision.Value.Slot, member.Address)
		}
	}
	return slices.DeleteFunc(missing, func(member Member) bool {
		o := m.processOf(member.ID)
		return o == nil || !m.connected(p, o)
	})
}

// mayLeave reports whether a process that was requested to leave may shut down now.
func (m *membershipModel) mayLeave(p *process) bool {
	replaced := p.decidedKnown && !Contains(p.known.Members, p.disk.ID)
	if m.injected == leaveImmediately || m.injected == leaveUnconfirmed && replaced {
		return true
	}
	if !replaced {
		return false // its successor is running and must replace it first
	}
	replicas := m.knownReplicas(p)
	if m.injected == leaveWhenValueKnown {
		for _, member := range p.known.Members {
			if o := m.processOf(member.ID); o != nil && o.decidedKnown && o.known.Slot >= p.known.Slot {
				replicas[member.ID] = Replica{Slot: p.known.Slot, Ballot: p.decision.Last}
			}
		}
	}
	status, _ := p.decision.CheckLeave(p.disk.ID, p.disk.Replica(), replicas)
	if status != LeaveAllowed {
		return false
	}
	for _, member := range p.known.Members {
		if v := m.processOf(member.ID).disk.Value; v == nil || v.Slot < p.known.Slot {
			m.recordViolation("slot %d: %s may leave although %s does not store the decided value", p.known.Slot, p.address, member.Address)
		}
	}
	return true
}
