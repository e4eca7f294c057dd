package registry

import (
	"time"

	"oxbowspan/lease"
)

// Merge merges a record that was received from the server itself (source "") or from another controller. It reports whether
// the record held anything new.
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

// insert adds the record of a server that is not known, unless it is incomplete or about to be forgotten.
func (t *Table) insert(in Record, source string) bool {
	if in.HeartbeatOnly {
		return false // the complete record follows, as the digests differ
	}
	if in.Unresponsive && t.exceeds(t.lastHeartbeat-in.HeartbeatAt, expiryIntervals) {
		return false // it was forgotten here, and soon will be by the sender
	}
	if in.State != Ready && in.Service == "" {
		in.Unresponsive = false // a deregistration of an unknown server, kept against late heartbeats
	}
	r := &in
	t.records[r.Instance] = r
	t.markChanged(r, source)
	t.lastHeartbeat = max(t.lastHeartbeat, r.HeartbeatAt)
	t.supersedeAddress(r)
	return true
}

// mergeHeartbeat takes a newer heartbeat, and reports whether it changes more than its time.
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

// supersedeAddress marks earlier incarnations at the address of a new record as unresponsive. Should the new record have been
// the late heartbeat of an incarnation that is over, the next heartbeat of the present one undoes the mark.
func (t *Table) supersedeAddress(r *Record) {
	if r.State != Ready || r.Address == "" {
		return
	}
	for _, o := range t.records {
		if o != r && o.Address == r.Address && o.State != Deregistered && !o.Unresponsive && o.HeartbeatAt < r.HeartbeatAt {
			o.Unresponsive = true
			o.HeartbeatMissed = true
			t.markChanged(o, "")
		}
	}
}

// mergeConfirmation takes a lease holder's statement that it saw the server healthy at a time, and reports whether it is
// newer than the one held. Statements under older leases than the newest are rejected: their holders were replaced.
func (r *Record) mergeConfirmation(asserted lease.Lease, healthyAt time.Duration) bool {
	none := lease.Lease{}
	if asserted == none || asserted.Compare(r.Lease) < 0 || asserted == r.Lease && healthyAt <= r.HealthyAt {
		return false
	}
	if r.Lease == none {
		r.HealthyAt = healthyAt
	}
	r.Lease = asserted
	r.HealthyAt = max(r.HealthyAt, healthyAt)
	return true
}

// ConfirmHealthy takes a gateway's statement, under its lease, that it saw a server healthy at a time although the server's
// heartbeats stay away. It reports whether that was new.
func (t *Table) ConfirmHealthy(id InstanceID, asserted lease.Lease, healthyAt time.Duration) bool {
	r := t.records[id]
	if r == nil || r.State != Ready || !r.mergeConfirmation(asserted, healthyAt) {
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

// Deregister records that a server has ended as planned.
func (t *Table) Deregister(id InstanceID, now time.Duration) {
	r := Record{Instance: id, State: Deregistered, HeartbeatAt: now}
	if old := t.records[id]; old != nil {
		r.Sequence = old.Sequence
	}
	t.Merge(r, "")
}
