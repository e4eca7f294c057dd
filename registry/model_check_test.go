package registry

import (
	"fmt"
	"time"
)

// convergenceTime is the time after the last disruption within which every replica must be up to date.
const convergenceTime = 7 * testHeartbeatInterval

// reportViolation records a violation of an invariant, if it is the first.
func (m *model) reportViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("%v: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// since returns the time that has elapsed since at.
func (m *model) since(at time.Duration) time.Duration { return m.now - at }

// mustHaveConverged reports whether no link is cut and the last disruption and the last outage are longer ago than
// convergenceTime.
func (m *model) mustHaveConverged() bool {
	return len(m.cutLinks) == 0 && m.since(m.lastDisruption) > convergenceTime &&
		m.since(m.lastOutage) > convergenceTime && m.now > convergenceTime
}

// check compares the replicas' tables with the actual states of the servers.
func (m *model) check() {
	for _, r := range m.replicas {
		m.checkMonotonicStates(r)
		for _, s := range m.servers {
			m.checkServer(r, s)
		}
		m.checkOutage(r)
	}
	if m.violation == "" && m.mustHaveConverged() && m.since(m.lastDisruption) > 10*testHeartbeatInterval {
		m.checkDigests()
	}
}

// checkMonotonicStates checks that no server's state decreases.
func (m *model) checkMonotonicStates(r *replica) {
	for id, record := range r.table.records {
		if record.State < r.states[id] {
			m.reportViolation("the state of %s decreases from %s to %s at replica %d", id, r.states[id], record.State, r.index)
		}
		r.states[id] = record.State
	}
}

// checkServer checks a replica's record of a server: the server is not ready soon after its draining was acknowledged or it
// deregistered, it is listed while it sends heartbeats, and it is not listed after a crash.
func (m *model) checkServer(r *replica, s *server) {
	record := r.table.Get(s.id)
	const gossipTime = 2 * testHeartbeatInterval
	connected := len(m.cutLinks) == 0 && m.since(m.partitionChangedAt) > gossipTime && m.since(r.startedAt) > gossipTime
	listedAsReady := connected && record != nil && record.State == Ready
	crashed := s.endedAt > 0 && s.deregisteredAt == 0 && m.since(s.endedAt) > convergenceTime
	switch {
	case listedAsReady && s.acknowledgedAt > 0 && m.since(s.acknowledgedAt) > gossipTime:
		m.reportViolation("the draining of %s was acknowledged, but replica %d lists it as ready", s.id, r.index)
	case listedAsReady && s.deregisteredAt > 0 && m.since(s.deregisteredAt) > gossipTime:
		m.reportViolation("%s deregistered, but replica %d lists it as ready", s.id, r.index)
	case !m.mustHaveConverged() || m.since(r.startedAt) < convergenceTime:
	case s.endedAt == 0 && s.sequence > 6 && s.acknowledgedAt == 0 && (record == nil || record.Unresponsive):
		m.reportViolation("%s sends heartbeats, but replica %d does not list it: %+v", s.id, r.index, record)
	case crashed && record != nil && !record.Unresponsive && record.State == Ready:
		m.reportViolation("%s crashed %v ago, but replica %d lists it", s.id, m.since(s.endedAt), r.index)
	}
}

// checkOutage checks that at most a quarter of the running servers is unresponsive during an outage.
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
	outageInProgress := m.now < m.outageUntil && m.since(m.outageStartedAt) > 6*testHeartbeatInterval
	undisrupted := m.since(m.lastDisruption) > convergenceTime && m.since(r.startedAt) > convergenceTime
	if outageInProgress && undisrupted && 4*unresponsive > running {
		m.reportViolation("%d of %d running servers are unresponsive at replica %d during an outage", unresponsive, running, r.index)
	}
}

// checkDigests checks that the digests of all replicas are equal.
func (m *model) checkDigests() {
	first := m.replicas[0].table.Digests()
	for _, r := range m.replicas[1:] {
		for number, digest := range r.table.Digests() {
			if digest != first[number] && m.comparableRange(number) {
				m.reportViolation("replicas 0 and %d differ in range %d, %v after the last disruption",
					r.index, number, m.since(m.lastDisruption))
			}
		}
	}
}

// comparableRange reports whether all servers of a range are running and ready and have sent some heartbeats. The records of
// ended servers expire at a different time at each replica.
func (m *model) comparableRange(number int) bool {
	for _, s := range m.servers {
		changing := s.sequence < 5 || s.state != Ready || s.endedAt > 0
		if rangeOf(s.id) == number && changing {
			return false
		}
	}
	return true
}
