// Package registry keeps what servers say of themselves, as bees tell by their dance where the flowers are: records that any
// core machine may take and that merge to the same whatever way they came. It owns the order of two records of one server,
// who counts as silent, and what may be forgotten. It has no I/O, no clock and no goroutine; all times are the caller's
// steady clock, and an age is told in place of a time wherever records go to another machine.
package registry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"oxbowspan/lease"
)

type (
	InstanceID string // one life of a server
	ServiceID  string
	Sequence   uint64 // rises with each call of a server
	Cursor     uint64 // a place in the order of a table's changes
	State      uint8  // goes up only
)

// The states of a server.
const (
	Ready State = iota
	Draining
	Deregistered
)

func (s State) String() string { return [...]string{"ready", "draining", "gone"}[min(s, Deregistered)] }

// Record is what is known of one server's life.
type Record struct {
	Instance        InstanceID
	Service         ServiceID
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           State
	SlowStartEndsAt time.Duration // when it is no longer slow from its start
	Sequence        Sequence
	HeartbeatAt     time.Duration // when the newest call came, by the holder's steady clock
	Unresponsive    bool          // not heard for a while, though others are; of one that comes in: so the teller holds
	HeartbeatMissed bool          // its own calls do not come, whether it is held for silent or not
	HealthyAt       time.Duration // when the holder of its duty last saw it well, where Claim is not zero
	Lease           lease.Lease   // of that holder
	HeartbeatOnly   bool          // of one that comes in: only its instance, sequence and age are told

	lastUpdate Cursor // of the last word of any kind
	lastChange Cursor // of the last word that changed what is to be done
	source     string // whom the last word came from; "" = the server itself
}

// newer tells whether a call numbered so tells more than what is held.
func (r *Record) newer(seq Sequence) bool { return seq > r.Sequence }

// How long things are kept. Silence is counted in beats, as the deployment says how often servers call.
const (
	unresponsiveIntervals = 3.5              // without a call for so many intervals, a server is silent
	outageSpreadIntervals = 2                // those cut off at one moment fall silent within so many
	expiryIntervals       = 25               // and after so many it is forgotten
	confirmationTTL       = 8 * time.Second  // until another takes over from a holder that died; the word of a duty's holder that a server is well counts so long
	deregisteredTTL       = 60 * time.Second // a server that signed off is remembered so long, against late calls
)

// Table is one holder's reports. What empties it: Tidy, which forgets those gone or silent for long.
type Table struct {
	heartbeatInterval time.Duration
	records           map[InstanceID]*Record
	cursor            Cursor
	lastHeartbeat     time.Duration // when any call came
}

// NewTable makes an empty table of servers that call once in an interval.
func NewTable(heartbeatInterval time.Duration) *Table {
	return &Table{heartbeatInterval: max(heartbeatInterval, time.Millisecond), records: map[InstanceID]*Record{}}
}

// Merge merges a report, heard at its HeartbeatAt, from the server itself (from = "") or from another holder. It tells whether
// the report said anything new.
func (t *Table) Merge(in Record, source string) bool {
	r := t.records[in.Instance]
	if r == nil && in.HeartbeatOnly {
		return false // its whole report will come: digests differ
	}
	if r == nil && in.Unresponsive && float64(t.lastHeartbeat-in.HeartbeatAt) > expiryIntervals*float64(t.heartbeatInterval) {
		return false // forgotten here, and soon by the one who tells of it
	}
	if r == nil {
		if in.State != Ready && in.Service == "" {
			in.Unresponsive = false // a sign-off of one that nobody knows: kept against late calls
		}
		r = &in
		t.records[in.Instance] = r
		t.cursor++
		r.lastUpdate, r.lastChange, r.source = t.cursor, t.cursor, source
		t.lastHeartbeat = max(t.lastHeartbeat, in.HeartbeatAt)
		t.supersedeAddress(r)
		return true
	}
	t.lastHeartbeat = max(t.lastHeartbeat, in.HeartbeatAt)
	changed, heard := false, t.mergeConfirmation(r, in.Lease, in.HealthyAt)
	if in.State > r.State {
		r.State, changed = in.State, true
	}
	if r.newer(in.Sequence) && in.HeartbeatOnly {
		in.Service, in.Address, in.Zone, in.Version, in.Slots, in.SlowStartEndsAt = r.Service, r.Address, r.Zone, r.Version, r.Slots, r.SlowStartEndsAt
	}
	if r.newer(in.Sequence) {
		changed = changed || r.Address != in.Address || r.Service != in.Service || r.Slots != in.Slots
		heard = true
		r.Service, r.Address, r.Zone, r.Version, r.Slots = in.Service, in.Address, in.Zone, in.Version, in.Slots
		r.Sequence, r.SlowStartEndsAt = in.Sequence, in.SlowStartEndsAt
		r.HeartbeatAt = max(r.HeartbeatAt, in.HeartbeatAt)
		if (r.Unresponsive || r.HeartbeatMissed) && r.State != Deregistered {
			r.Unresponsive, r.HeartbeatMissed, changed = false, false, true
		}
	}
	if changed || heard {
		t.cursor++
		r.lastUpdate, r.source = t.cursor, source
		if changed {
			r.lastChange = t.cursor
		}
	}
	return changed || heard
}

// supersedeAddress takes the lives that stood at the address of one just heard of for the first time as silent: their next call
// brings them back, should that one's have been the late word of a life that is over.
func (t *Table) supersedeAddress(r *Record) {
	if r.State != Ready || r.Address == "" {
		return
	}
	for _, o := range t.records {
		if o != r && o.Address == r.Address && o.State != Deregistered && !o.Unresponsive && o.HeartbeatAt < r.HeartbeatAt {
			t.cursor++
			o.Unresponsive, o.HeartbeatMissed, o.lastUpdate, o.lastChange, o.source = true, true, t.cursor, t.cursor, ""
		}
	}
}

// mergeConfirmation takes the word of a duty's holder that a server is well. Older claims than one that was taken are refused.
func (t *Table) mergeConfirmation(r *Record, asserted lease.Lease, seen time.Duration) bool {
	if asserted == (lease.Lease{}) || asserted.Compare(r.Lease) < 0 || asserted == r.Lease && seen <= r.HealthyAt {
		return false
	}
	if r.Lease == (lease.Lease{}) {
		r.HealthyAt = seen
	}
	r.Lease, r.HealthyAt = asserted, max(r.HealthyAt, seen)
	return true
}

// ConfirmHealthy takes from a gatherer that a server which does not call is well all the same, seen at a moment under a claim. It
// tells whether that was news.
func (t *Table) ConfirmHealthy(id InstanceID, asserted lease.Lease, seen time.Duration) bool {
	r := t.records[id]
	if r == nil || r.State != Ready || !t.mergeConfirmation(r, asserted, seen) {
		return false
	}
	t.cursor++
	r.lastUpdate, r.source = t.cursor, ""
	if r.Unresponsive {
		r.Unresponsive, r.lastChange = false, t.cursor
	}
	return true
}

// Deregister notes that a server has ended.
func (t *Table) Deregister(id InstanceID, now time.Duration) {
	r := Record{Instance: id, State: Deregistered, HeartbeatAt: now}
	if old := t.records[id]; old != nil {
		r.Sequence = old.Sequence
	}
	t.Merge(r, "")
}

// Expire marks the silent and forgets what is over. While most servers are unheard, the fault is held to be between them and
// the holders: nobody is marked, and who was marked just before is taken back. They fall unheard one by one, as each called
// at its own time, so that those marked already count among the unheard. It tells whether anything changed.
func (t *Table) Expire(now time.Duration) (changed bool) {
	heard, unheard := 0, 0
	for id, r := range t.records {
		old := now - r.HeartbeatAt
		if r.State == Deregistered && old > deregisteredTTL || old > expiryIntervals*t.heartbeatInterval && (r.Unresponsive || r.State == Draining) {
			if r.State == Deregistered || now-t.lastHeartbeat < t.heartbeatInterval {
				delete(t.records, id)
			}
			continue
		}
		switch {
		case r.State == Deregistered:
		case t.heartbeatMissed(r, now, unresponsiveIntervals):
			unheard++
		default:
			heard++
		}
	}
	cutOff := unheard > heard
	for _, r := range t.records {
		unheard := !cutOff && t.heartbeatMissed(r, now, unresponsiveIntervals) || r.HeartbeatMissed && (!cutOff || t.heartbeatMissed(r, now, unresponsiveIntervals+outageSpreadIntervals))
		seen := r.State == Ready && r.Lease != (lease.Lease{}) && now-r.HealthyAt < confirmationTTL
		if silent := unheard && !seen; r.State != Deregistered && (r.Unresponsive != silent || r.HeartbeatMissed != unheard) {
			t.cursor++
			r.Unresponsive, r.HeartbeatMissed, r.lastUpdate, r.lastChange, r.source = silent, unheard, t.cursor, t.cursor, ""
			changed = true
		}
	}
	return changed
}

// heartbeatMissed tells whether a server's last call is more than so many beats ago.
func (t *Table) heartbeatMissed(r *Record, now time.Duration, beats float64) bool {
	return float64(now-r.HeartbeatAt) > beats*float64(t.heartbeatInterval)
}

// Cursor is the place of the last change.
func (t *Table) Cursor() Cursor { return t.cursor }

// Get returns what is held of one server, nil = nothing.
func (t *Table) Get(id InstanceID) *Record { return t.records[id] }

// Len is how many servers are held.
func (t *Table) Len() int { return len(t.records) }

// UpdatesFor are the reports with any word after a cursor that another holder is to be told, in the order of the words: those
// that servers gave here, those that changed, and those of third holders whom it does not hear itself, as deaf tells.
func (t *Table) UpdatesFor(after Cursor, to string, unreachable func(from string) bool) []*Record {
	all := t.recordsAfter(func(r *Record) Cursor { return r.lastUpdate }, after, to)
	return slices.DeleteFunc(all, func(r *Record) bool { return r.source != "" && r.lastChange <= after && !unreachable(r.source) })
}

// ChangedAfter tells whether more than the time of a server's last call is new after a cursor.
func (r *Record) ChangedAfter(after Cursor) bool { return r.lastChange > after }

// ChangesAfter are the reports with a change after a cursor, in the order of the changes.
func (t *Table) ChangesAfter(after Cursor) []*Record {
	return t.recordsAfter(func(r *Record) Cursor { return r.lastChange }, after, "")
}

func (t *Table) recordsAfter(at func(*Record) Cursor, after Cursor, less string) (out []*Record) {
	if after >= t.cursor {
		return nil
	}
	for _, r := range t.records {
		if at(r) > after && (less == "" || r.source != less) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Record) int { return cmp.Compare(at(a), at(b)) })
	return out
}

// RangeCount is how many ranges of instance ids digests are made over.
const RangeCount = 16

// Digests sums up what is held, by ranges: equal tables have equal digests, whatever way they were filled. What changes
// with each beat is left out.
func (t *Table) Digests() (sums [RangeCount]uint64) {
	for id, r := range t.records {
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{0, byte(r.State)})
		h.Write([]byte(r.Address))
		sums[rangeOf(id)] ^= h.Sum64()
	}
	return sums
}

// Range is what is held of one range.
func (t *Table) Range(no int) (out []*Record) {
	for id, r := range t.records {
		if rangeOf(id) == no {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Record) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func rangeOf(id InstanceID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % RangeCount)
}

// LastChange is the place of a server's last change.
func (t *Table) LastChange(id InstanceID) Cursor {
	if r := t.records[id]; r != nil {
		return r.lastChange
	}
	return 0
}
