package balancer

import (
	"maps"
	"slices"
)

// applyServerList applies an update of the server list, or backs off after a failed request for one.
func (b *Balancer) applyServerList(e ServerList) {
	if e.Kind == ListFailed {
		b.retryServerList()
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
		b.applyServer(entry)
	}
	if len(b.servers) > 2*len(b.ready) {
		maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool {
			return s.state == Removed && len(s.inFlight) == 0 && s.sentWork.upper(b.now) == 0
		})
	}
}

// retryServerList schedules the next request for the list, with exponential backoff and jitter so that
// instances do not flood a list service that is already late.
func (b *Balancer) retryServerList() {
	if !b.listOnRequest || b.listTimerSet {
		return
	}
	b.listTimerSet = true
	b.emit(SetTimer{b.now + b.listBackoff/2 + Time(b.rand.intN(int(b.listBackoff))), listTimer})
	b.listBackoff = min(2*b.listBackoff, b.maxListBackoff)
}
