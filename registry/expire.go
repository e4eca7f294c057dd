package registry

import (
	"time"

	"oxbowspan/lease"
)

// Limits on the time since the last heartbeat of a server, in heartbeat intervals.
const (
	unresponsiveIntervals = 3.5 // after which the server is unresponsive
	expiryIntervals       = 25  // after which its record may be removed
	// outageSpreadIntervals bounds the time within which servers that were cut off at the same moment exceed
	// unresponsiveIntervals. They do so one by one, as each server sends its heartbeats at its own times.
	outageSpreadIntervals = 2
)

const (
	// confirmationTTL is how long a lease holder's confirmation that a server is healthy remains valid. It covers the time
	// until another gateway takes over the lease of a holder that has crashed.
	confirmationTTL = 8 * time.Second
	// deregisteredTTL is how long the record of a deregistered server is kept, so that late heartbeats do not add it again.
	deregisteredTTL = 60 * time.Second
)

// Expire updates the Unresponsive and HeartbeatMissed flags of all records and removes expired records. It reports whether
// any flag changed.
//
// While most servers miss heartbeats (an outage), the fault is assumed to lie between servers and controllers: no flag is
// set, and flags that were set just before the outage are cleared. Servers whose flags are set already count as missing
// heartbeats.
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

// removeExpired removes expired records, and reports whether most of the remaining servers miss heartbeats. Expired records
// of servers that did not deregister are kept while no heartbeat of any server arrives.
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

// expired reports whether a server deregistered more than deregisteredTTL ago, or is unresponsive or draining and has sent no
// heartbeat for more than expiryIntervals.
func (t *Table) expired(r *Record, now time.Duration) bool {
	age := now - r.HeartbeatAt
	if r.State == Deregistered && age > deregisteredTTL {
		return true
	}
	return age > expiryIntervals*t.heartbeatInterval && (r.Unresponsive || r.State == Draining)
}

// missesHeartbeats returns the new value of a record's HeartbeatMissed flag. Once set, the flag remains set until a heartbeat
// arrives. An outage clears it if the last heartbeat is so recent that the outage itself may have caused the miss.
func (t *Table) missesHeartbeats(r *Record, now time.Duration, outage bool) bool {
	age := now - r.HeartbeatAt
	if outage {
		return r.HeartbeatMissed && t.exceeds(age, unresponsiveIntervals+outageSpreadIntervals)
	}
	return r.HeartbeatMissed || t.exceeds(age, unresponsiveIntervals)
}

// confirmedHealthy reports whether a lease holder has confirmed the server healthy within confirmationTTL.
func (r *Record) confirmedHealthy(now time.Duration) bool {
	return r.State == Ready && r.Lease != (lease.Lease{}) && now-r.HealthyAt < confirmationTTL
}

// exceeds reports whether a duration is longer than the given number of heartbeat intervals.
func (t *Table) exceeds(d time.Duration, intervals float64) bool {
	return float64(d) > intervals*float64(t.heartbeatInterval)
}
