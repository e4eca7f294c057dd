package registry

import (
	"fmt"
	"time"
)

// settleTime is how long after the last disruption every replica must be up to date, in heartbeat intervals.
const settleTime = 7 * testHeartbeatInterval

// violate records a violation, unless there was one before.
func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("%v: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// since returns how long ago a time was.
func (m *model) since(at time.Duration) time.Duration { return m.now - at }

// settled reports whether nothing was disrupted lately.
func (m *model) settled() bool {
	return len(m.cut) == 0 && m.since(m.lastDisruption) > settleTime && m.since(m.lastOutage) > settleTime && m.now > settleTime
}

// check compares the tables with what the servers did.
func (m *model) check() {
	for _, r := range m.replicas {
		m.checkStatesRise(r)
		for _, s := range m.servers {
			m.checkServer(r, s)
		}
		m.checkOutage(r)
	}
	if m.violation == "" && m.settled() && m.since(m.lastDisruption) > 10*testHeartbeatInterval {
		m.checkDigests()
	}
}

// checkStatesRise checks that no state of a server goes back.
func (m *model) checkStatesRise(r *replica) {
	for id, record := range r.table.records {
		if record.State < r.states[id] {
			m.violate("%s goes back from state %s to %s at replica %d", id, r.states[id], record.State, r.index)
		}
		r.states[id] = record.State
	}
}

// checkServer checks what a replica holds of a server: that its end is known soon once it was acknowledged, that it is listed
// while it sends heartbeats, and that it is not once it has crashed.
func (m *model) checkServer(r *replica, s *server) {
	record := r.table.Get(s.id)
	const gossipTime = 2 * testHeartbeatInterval
	connected := len(m.cut) == 0 && m.since(m.partitionChangedAt) > gossipTime && m.since(r.startedAt) > gossipTime
	listedReady := connected && record != nil && record.State == Ready
	crashedBefore := s.endedAt > 0 && s.deregisteredAt == 0 && m.since(s.endedAt) > settleTime
	switch {
	case listedReady && s.acknowledgedAt > 0 && m.since(s.acknowledgedAt) > gossipTime:
		m.violate("the draining of %s was acknowledged, and replica %d lists it as ready", s.id, r.index)
	case listedReady && s.deregisteredAt > 0 && m.since(s.deregisteredAt) > gossipTime:
		m.violate("%s deregistered, and replica %d lists it as ready", s.id, r.index)
	case !m.settled() || m.since(r.startedAt) < settleTime:
	case s.endedAt == 0 && s.sequence > 6 && s.acknowledgedAt == 0 && (record == nil || record.Unresponsive):
		m.violate("%s sends heartbeats, and replica %d does not list it: %+v", s.id, r.index, record)
	case crashedBefore && record != nil && !record.Unresponsive && record.State == Ready:
		m.violate("%s crashed %v ago, and replica %d lists it", s.id, m.since(s.endedAt), r.index)
	}
}

// checkOutage checks that most servers stay listed while none can send heartbeats.
func (m *model) checkOutage(r *replica) {
	unresponsive, running := 0, 0
	for _, s := range m.servers {
		record := r.table.Get(s.id)
		if record == nil || record.State == Deregistered || s.endedAt != 0 {
			continue
		}
		running++
		if record.Unresponsive {
			unresponsive++
		}
	}
	longOutage := m.now < m.outageUntil && m.since(m.outageSince) > 6*testHeartbeatInterval
	undisturbed := m.since(m.lastDisruption) > settleTime && m.since(r.startedAt) > settleTime
	if longOutage && undisturbed && 4*unresponsive > running {
		m.violate("%d of %d running servers are unresponsive to replica %d while none can send", unresponsive, running, r.index)
	}
}

// checkDigests checks that all replicas hold the same.
func (m *model) checkDigests() {
	first := m.replicas[0].table.Digests()
	for _, r := range m.replicas[1:] {
		for number, digest := range r.table.Digests() {
			if digest != first[number] && m.settledRange(number) {
				m.violate("replicas 0 and %d differ in range %d after %v without disruption", r.index, number, m.since(m.lastDisruption))
			}
		}
	}
}

// settledRange reports whether nothing of a range changed lately. What is over is forgotten by each replica in its own time.
func (m *model) settledRange(number int) bool {
	for _, s := range m.servers {
		changing := s.sequence < 5 || s.state != Ready || s.endedAt > 0
		if rangeOf(s.id) == number && changing {
			return false
		}
	}
	return true
}
