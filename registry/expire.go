package registry

import (
	"time"

	"oxbowspan/lease"
)

// How long a server may be without a heartbeat, in heartbeat intervals.
const (
	unresponsiveIntervals = 3.5 // then it is unresponsive
	expiryIntervals       = 25  // then it is forgotten
	// outageSpreadIntervals bounds the time between the marks of servers whose heartbeats were cut off at one moment. They
	// come one by one, as each server sends at its own time.
	outageSpreadIntervals = 2
)

const (
	// confirmationTTL is how long a lease holder's statement that a server is healthy counts. It covers the time until
	// another gateway takes over the lease of a holder that died.
	confirmationTTL = 8 * time.Second
	// deregisteredTTL is how long a server that deregistered is remembered, against late heartbeats.
	deregisteredTTL = 60 * time.Second
)

// Expire marks unresponsive servers and removes the records that have expired. It reports whether any mark changed.
//
// While most servers miss their heartbeats, the fault is taken to be between servers and controllers: no server is marked,
// and the marks that were set just before are removed. Servers marked already count among those that miss them.
func (t *Table) Expire(now time.Duration) (changed bool) {
	outage := t.removeExpired(now)
	for _, r := range t.records {
		if r.State == Deregistered {
			continue
		}
		missed := t.missesHeartbeats(r, now, outage)
		unresponsive := missed && !r.confirmedHealthy(now)
		if r.Unresponsive != unresponsive || r.HeartbeatMissed != missed {
			r.Unresponsive = unresponsive
			r.HeartbeatMissed = missed
			t.markChanged(r, "")
			changed = true
		}
	}
	return changed
}

// removeExpired removes expired records, and reports whether the heartbeats of most other servers are missed. Those that were
// marked are kept while no heartbeat of any server arrives.
func (t *Table) removeExpired(now time.Duration) (outage bool) {
	received, missed := 0, 0
	for id, r := range t.records {
		switch {
		case t.expired(r, now):
			if r.State == Deregistered || now-t.lastHeartbeat < t.heartbeatInterval {
				delete(t.records, id)
			}
		case r.State == Deregistered:
		case t.exceeds(now-r.HeartbeatAt, unresponsiveIntervals):
			missed++
		default:
			received++
		}
	}
	return missed > received
}

// expired reports whether a server deregistered more than deregisteredTTL ago, or has been unresponsive, or draining without a
// heartbeat, for more than expiryIntervals.
func (t *Table) expired(r *Record, now time.Duration) bool {
	age := now - r.HeartbeatAt
	if r.State == Deregistered && age > deregisteredTTL {
		return true
	}
	return age > expiryIntervals*t.heartbeatInterval && (r.Unresponsive || r.State == Draining)
}

// missesHeartbeats reports whether a server's heartbeats stay away. A mark that was set stays until a heartbeat arrives, or
// until an outage begins so soon after that the mark was its first sign.
func (t *Table) missesHeartbeats(r *Record, now time.Duration, outage bool) bool {
	age := now - r.HeartbeatAt
	if outage {
		return r.HeartbeatMissed && t.exceeds(age, unresponsiveIntervals+outageSpreadIntervals)
	}
	return r.HeartbeatMissed || t.exceeds(age, unresponsiveIntervals)
}

// confirmedHealthy reports whether a lease holder saw the server healthy within confirmationTTL.
func (r *Record) confirmedHealthy(now time.Duration) bool {
	return r.State == Ready && r.Lease != (lease.Lease{}) && now-r.HealthyAt < confirmationTTL
}

// exceeds reports whether a duration is longer than so many heartbeat intervals.
func (t *Table) exceeds(d time.Duration, intervals float64) bool {
	return float64(d) > intervals*float64(t.heartbeatInterval)
}
