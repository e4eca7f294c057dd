package balancer

import "slices"

// applyServerList applies an update of the server list. If a request for the list failed, it schedules
// another, with exponential backoff and jitter so that instances do not overload a slow discovery service.
func (b *Balancer) applyServerList(e ServerList) {
	if e.Kind == ListFailed {
		if b.listOnRequest && !b.listTimerSet {
			b.listTimerSet = true
			b.emit(SetTimer{b.now + b.listBackoff/2 + Time(b.rand.intN(int(b.listBackoff))), listTimer})
			b.listBackoff = min(2*b.listBackoff, b.maxListBackoff)
		}
		return
	}
	b.listBackoff = firstBackoff
	if e.Kind == ListCached && b.listOnRequest {
		b.emit(Subscribe{})
	}
	if e.Kind != ListDelta {
		for _, s := range slices.Clone(b.ready) {
			b.setState(s, Removed)
		}
	}
	for _, entry := range e.Servers {
		s := b.servers[entry.ID]
		if s == nil {
			s = &server{id: entry.ID, startedAt: -1, sentWork: newWindowCounter(b.overloadWindow)}
			b.servers[entry.ID] = s
		}
		b.setState(s, Removed) // its position among the replicas depends on the cell
		s.local = b.preferLocal && entry.Zone == b.localZone
		s.cell, s.maxInFlight = entry.Cell, entry.MaxInFlight
		if s.zone = b.zones[entry.Zone]; s.zone == nil {
			s.zone = &zone{}
			b.zones[entry.Zone] = s.zone
		}
		b.setState(s, entry.State)
		if entry.StartedAt != s.startedAt { // a restart discards all measurements
			s.startedAt, s.nextEjection = entry.StartedAt, b.baseEjection
			s.unitLatency, s.reportedAt, s.failureRate, s.ejectedUntil, s.probation = 0, 0, 0, 0, false
		}
	}
	if len(b.servers) > 2*len(b.ready) {
		for id, s := range b.servers {
			if s.state == Removed && len(s.inFlight) == 0 && s.sentWork.upper(b.now) == 0 {
				delete(b.servers, id)
			}
		}
	}
}
