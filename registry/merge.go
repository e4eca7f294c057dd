package registry

import (
	"time"

	"oxbowspan/lease"
)

// Merge merges a record received from the server itself (source "") or from another controller, which source identifies. It
// reports whether the record contained new information.
func (t *Table) Merge(in Record, source string) bool {
	r := t.records[in.Instance]
	if r == nil {
		return t.insert(in, source)
	}
	t.lastHeartbeat = max(t.lastHeartbeat, in.HeartbeatAt)
	updated := r.mergeConfirmation(in.Lease, in.HealthyAt)
	changed := false
	if in.State > r.State {
		r.State = in.State
		changed = true
	}
	if in.Sequence > r.Sequence {
		updated = true
		changed = r.mergeHeartbeat(in) || changed
	}
	switch {
	case changed:
		t.markChanged(r, source)
	case updated:
		t.markUpdated(r, source)
	}
	return changed || updated
}

// insert adds the record of an unknown server, unless the record is incomplete or has expired here. It reports whether the
// record was added.
func (t *Table) insert(in Record, source string) bool {
	if in.HeartbeatOnly {
		return false // the digests differ, so the complete record will be sent
	}
	if in.Unresponsive && t.exceeds(t.lastHeartbeat-in.HeartbeatAt, expiryIntervals) {
		return false // the record has expired here, and is about to expire at the sender
	}
	if in.State != Ready && in.Service == "" {
		in.Unresponsive = false // the deregistration of an unknown server, kept so that late heartbeats do not add it
	}
	r := &in
	t.records[r.Instance] = r
	t.markChanged(r, source)
	t.lastHeartbeat = max(t.lastHeartbeat, r.HeartbeatAt)
	t.supersedeAddress(r)
	return true
}

// mergeHeartbeat applies a newer heartbeat to the record. It reports whether the service, the address, the slots or the flags
// of missing heartbeats changed.
func (r *Record) mergeHeartbeat(in Record) (changed bool) {
	r.Sequence = in.Sequence
	r.HeartbeatAt = max(r.HeartbeatAt, in.HeartbeatAt)
	if !in.HeartbeatOnly {
		changed = r.Address != in.Address || r.Service != in.Service || r.Slots != in.Slots
		r.Service = in.Service
		r.Address = in.Address
		r.Zone = in.Zone
		r.Version = in.Version
		r.Slots = in.Slots
		r.SlowStartEndsAt = in.SlowStartEndsAt
	}
	if (r.Unresponsive || r.HeartbeatMissed) && r.State != Deregistered {
		r.Unresponsive = false
		r.HeartbeatMissed = false
		changed = true
	}
	return changed
}

// supersedeAddress marks earlier incarnations at the address of a new record as unresponsive. If the new record came from a
// late heartbeat of an incarnation that has ended, the next heartbeat of the running incarnation clears the flag.
func (t *Table) supersedeAddress(r *Record) {
	if r.State != Ready || r.Address == "" {
		return
	}
	for _, other := range t.records {
		if other != r && other.Address == r.Address && other.State != Deregistered && !other.Unresponsive && other.HeartbeatAt < r.HeartbeatAt {
			other.Unresponsive = true
			other.HeartbeatMissed = true
			t.markChanged(other, "")
		}
	}
}

// mergeConfirmation applies a lease holder's confirmation that the server was healthy at a time, and reports whether it is
// newer than the stored one. Confirmations under a lease older than the newest are rejected, as their holders have been
// replaced.
func (r *Record) mergeConfirmation(confirmedBy lease.Lease, healthyAt time.Duration) bool {
	none := lease.Lease{}
	if confirmedBy == none || confirmedBy.Compare(r.Lease) < 0 || confirmedBy == r.Lease && healthyAt <= r.HealthyAt {
		return false
	}
	if r.Lease == none {
		r.HealthyAt = healthyAt
	}
	r.Lease = confirmedBy
	r.HealthyAt = max(r.HealthyAt, healthyAt)
	return true
}

// ConfirmHealthy records a gateway's confirmation, under its lease, that a server was healthy at a time although the server's
// heartbeats are missing. It reports whether the confirmation was newer than the stored one; it is ignored for servers that
// are unknown, draining or deregistered.
func (t *Table) ConfirmHealthy(id InstanceID, confirmedBy lease.Lease, healthyAt time.Duration) bool {
	r := t.records[id]
	if r == nil || r.State != Ready || !r.mergeConfirmation(confirmedBy, healthyAt) {
		return false
	}
	if r.Unresponsive {
		r.Unresponsive = false
		t.markChanged(r, "")
	} else {
		t.markUpdated(r, "")
	}
	return true
}

// Deregister records that a server has shut down as planned.
func (t *Table) Deregister(id InstanceID, now time.Duration) {
	r := Record{Instance: id, State: Deregistered, HeartbeatAt: now}
	if old := t.records[id]; old != nil {
		r.Sequence = old.Sequence
	}
	t.Merge(r, "")
}
