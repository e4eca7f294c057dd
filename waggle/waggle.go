// Package waggle keeps what servers say of themselves, as bees tell by their dance where the flowers are: records that any
// core machine may take and that merge to the same whatever way they came. It owns the order of two records of one server,
// who counts as silent, and what may be forgotten. It has no I/O, no clock and no goroutine; all times are the caller's
// steady clock, and an age is told in place of a time wherever records go to another machine.
package waggle

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"oxbowspan/kin"
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
	Gone
)

func (s State) String() string { return [...]string{"ready", "draining", "gone"}[min(s, Gone)] }

// Report is what is known of one server's life.
type Report struct {
	Instance InstanceID
	Service  ServiceID
	Address  string
	Zone     string
	Version  string
	Slots    int
	State    State
	WarmAt   time.Duration // when it is no longer slow from its start
	Sequence Sequence
	HeardAt  time.Duration // when the newest call came, by the holder's steady clock
	Silent   bool          // not heard for a while, though others are; of one that comes in: so the teller holds
	Unheard  bool          // its own calls do not come, whether it is held for silent or not
	SeenAt   time.Duration // when the holder of its duty last saw it well, where Claim is not zero
	Claim    kin.Claim     // of that holder
	Refresh  bool          // of one that comes in: only its instance, sequence and age are told

	heard   Cursor // of the last word of any kind
	changed Cursor // of the last word that changed what is to be done
	from    string // whom the last word came from; "" = the server itself
}

// newer tells whether a call numbered so tells more than what is held.
func (r *Report) newer(seq Sequence) bool { return seq > r.Sequence }

// How long things are kept. Silence is counted in beats, as the deployment says how often servers call.
const (
	silentBeats = 3.5              // without a call for so many intervals, a server is silent
	waveBeats   = 2                // those cut off at one moment fall silent within so many
	lostBeats   = 25               // and after so many it is forgotten
	seenFor     = 8 * time.Second  // until another takes over from a holder that died; the word of a duty's holder that a server is well counts so long
	goneFor     = 60 * time.Second // a server that signed off is remembered so long, against late calls
)

// Table is one holder's reports. What empties it: Tidy, which forgets those gone or silent for long.
type Table struct {
	beat    time.Duration
	reports map[InstanceID]*Report
	cursor  Cursor
	heardAt time.Duration // when any call came
}

// NewTable makes an empty table of servers that call once in an interval.
func NewTable(beat time.Duration) *Table {
	return &Table{beat: max(beat, time.Millisecond), reports: map[InstanceID]*Report{}}
}

// Take merges a report, heard at its HeardAt, from the server itself (from = "") or from another holder. It tells whether
// the report said anything new.
func (t *Table) Take(in Report, from string) bool {
	r := t.reports[in.Instance]
	if r == nil && in.Refresh {
		return false // its whole report will come: digests differ
	}
	if r == nil && in.Silent && float64(t.heardAt-in.HeardAt) > lostBeats*float64(t.beat) {
		return false // forgotten here, and soon by the one who tells of it
	}
	if r == nil {
		if in.State != Ready && in.Service == "" {
			in.Silent = false // a sign-off of one that nobody knows: kept against late calls
		}
		r = &in
		t.reports[in.Instance] = r
		t.cursor++
		r.heard, r.changed, r.from = t.cursor, t.cursor, from
		t.heardAt = max(t.heardAt, in.HeardAt)
		t.succeeds(r)
		return true
	}
	t.heardAt = max(t.heardAt, in.HeardAt)
	changed, heard := false, t.witness(r, in.Claim, in.SeenAt)
	if in.State > r.State {
		r.State, changed = in.State, true
	}
	if r.newer(in.Sequence) && in.Refresh {
		in.Service, in.Address, in.Zone, in.Version, in.Slots, in.WarmAt = r.Service, r.Address, r.Zone, r.Version, r.Slots, r.WarmAt
	}
	if r.newer(in.Sequence) {
		changed = changed || r.Address != in.Address || r.Service != in.Service || r.Slots != in.Slots
		heard = true
		r.Service, r.Address, r.Zone, r.Version, r.Slots = in.Service, in.Address, in.Zone, in.Version, in.Slots
		r.Sequence, r.WarmAt = in.Sequence, in.WarmAt
		r.HeardAt = max(r.HeardAt, in.HeardAt)
		if (r.Silent || r.Unheard) && r.State != Gone {
			r.Silent, r.Unheard, changed = false, false, true
		}
	}
	if changed || heard {
		t.cursor++
		r.heard, r.from = t.cursor, from
		if changed {
			r.changed = t.cursor
		}
	}
	return changed || heard
}

// succeeds takes the lives that stood at the address of one just heard of for the first time as silent: their next call
// brings them back, should that one's have been the late word of a life that is over.
func (t *Table) succeeds(r *Report) {
	if r.State != Ready || r.Address == "" {
		return
	}
	for _, o := range t.reports {
		if o != r && o.Address == r.Address && o.State != Gone && !o.Silent && o.HeardAt < r.HeardAt {
			t.cursor++
			o.Silent, o.Unheard, o.heard, o.changed, o.from = true, true, t.cursor, t.cursor, ""
		}
	}
}

// witness takes the word of a duty's holder that a server is well. Older claims than one that was taken are refused.
func (t *Table) witness(r *Report, claim kin.Claim, seen time.Duration) bool {
	if claim == (kin.Claim{}) || claim.Compare(r.Claim) < 0 || claim == r.Claim && seen <= r.SeenAt {
		return false
	}
	if r.Claim == (kin.Claim{}) {
		r.SeenAt = seen
	}
	r.Claim, r.SeenAt = claim, max(r.SeenAt, seen)
	return true
}

// Witness takes from a gatherer that a server which does not call is well all the same, seen at a moment under a claim. It
// tells whether that was news.
func (t *Table) Witness(id InstanceID, claim kin.Claim, seen time.Duration) bool {
	r := t.reports[id]
	if r == nil || r.State != Ready || !t.witness(r, claim, seen) {
		return false
	}
	t.cursor++
	r.heard, r.from = t.cursor, ""
	if r.Silent {
		r.Silent, r.changed = false, t.cursor
	}
	return true
}

// SignOff notes that a server has ended.
func (t *Table) SignOff(id InstanceID, now time.Duration) {
	r := Report{Instance: id, State: Gone, HeardAt: now}
	if old := t.reports[id]; old != nil {
		r.Sequence = old.Sequence
	}
	t.Take(r, "")
}

// Tidy marks the silent and forgets what is over. While most servers are unheard, the fault is held to be between them and
// the holders: nobody is marked, and who was marked just before is taken back. They fall unheard one by one, as each called
// at its own time, so that those marked already count among the unheard. It tells whether anything changed.
func (t *Table) Tidy(now time.Duration) (changed bool) {
	heard, unheard := 0, 0
	for id, r := range t.reports {
		old := now - r.HeardAt
		if r.State == Gone && old > goneFor || old > lostBeats*t.beat && (r.Silent || r.State == Draining) {
			if r.State == Gone || now-t.heardAt < t.beat {
				delete(t.reports, id)
			}
			continue
		}
		switch {
		case r.State == Gone:
		case t.unheard(r, now, silentBeats):
			unheard++
		default:
			heard++
		}
	}
	cutOff := unheard > heard
	for _, r := range t.reports {
		unheard := !cutOff && t.unheard(r, now, silentBeats) || r.Unheard && (!cutOff || t.unheard(r, now, silentBeats+waveBeats))
		seen := r.State == Ready && r.Claim != (kin.Claim{}) && now-r.SeenAt < seenFor
		if silent := unheard && !seen; r.State != Gone && (r.Silent != silent || r.Unheard != unheard) {
			t.cursor++
			r.Silent, r.Unheard, r.heard, r.changed, r.from = silent, unheard, t.cursor, t.cursor, ""
			changed = true
		}
	}
	return changed
}

// unheard tells whether a server's last call is more than so many beats ago.
func (t *Table) unheard(r *Report, now time.Duration, beats float64) bool {
	return float64(now-r.HeardAt) > beats*float64(t.beat)
}

// Cursor is the place of the last change.
func (t *Table) Cursor() Cursor { return t.cursor }

// Get returns what is held of one server, nil = nothing.
func (t *Table) Get(id InstanceID) *Report { return t.reports[id] }

// Len is how many servers are held.
func (t *Table) Len() int { return len(t.reports) }

// Heard are the reports with any word after a cursor that another holder is to be told, in the order of the words: those
// that servers gave here, those that changed, and those of third holders whom it does not hear itself, as deaf tells.
func (t *Table) Heard(after Cursor, to string, deaf func(from string) bool) []*Report {
	all := t.since(func(r *Report) Cursor { return r.heard }, after, to)
	return slices.DeleteFunc(all, func(r *Report) bool { return r.from != "" && r.changed <= after && !deaf(r.from) })
}

// ChangedAfter tells whether more than the time of a server's last call is new after a cursor.
func (r *Report) ChangedAfter(after Cursor) bool { return r.changed > after }

// Changed are the reports with a change after a cursor, in the order of the changes.
func (t *Table) Changed(after Cursor) []*Report {
	return t.since(func(r *Report) Cursor { return r.changed }, after, "")
}

func (t *Table) since(at func(*Report) Cursor, after Cursor, less string) (out []*Report) {
	if after >= t.cursor {
		return nil
	}
	for _, r := range t.reports {
		if at(r) > after && (less == "" || r.from != less) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Report) int { return cmp.Compare(at(a), at(b)) })
	return out
}

// Ranges is how many ranges of instance ids digests are made over.
const Ranges = 16

// Digests sums up what is held, by ranges: equal tables have equal digests, whatever way they were filled. What changes
// with each beat is left out.
func (t *Table) Digests() (sums [Ranges]uint64) {
	for id, r := range t.reports {
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{0, byte(r.State)})
		h.Write([]byte(r.Address))
		sums[rangeOf(id)] ^= h.Sum64()
	}
	return sums
}

// Range is what is held of one range.
func (t *Table) Range(no int) (out []*Report) {
	for id, r := range t.reports {
		if rangeOf(id) == no {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Report) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func rangeOf(id InstanceID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % Ranges)
}

// ChangedAt is the place of a server's last change.
func (t *Table) ChangedAt(id InstanceID) Cursor {
	if r := t.reports[id]; r != nil {
		return r.changed
	}
	return 0
}
