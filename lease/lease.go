package lease

import (
	"cmp"
	"slices"
	"time"

	"oxbowspan/rendezvous"
)

// Lease is what stands behind the word of a duty's holder: the fence rises each time the duty changes hands, and of two who
// took it at once the greater life wins. The zero Claim is nobody's.
type Lease struct {
	FencingToken uint64
	Holder       uint64 // the life of the gatherer that holds the duty
}

// Compare returns -1, 0 or 1 as c is older than, is or is newer than o.
func (c Lease) Compare(o Lease) int {
	return cmp.Or(cmp.Compare(c.FencingToken, o.FencingToken), cmp.Compare(c.Holder, o.Holder))
}

// Acquire is the claim under which a gatherer acts that holds a duty now and knows the newest claim: its own, as long as nobody
// else took the duty, or one beyond.
func (c Lease) Acquire(incarnation uint64) Lease {
	if c.Holder == incarnation {
		return c
	}
	return Lease{c.FencingToken + 1, incarnation}
}

// TTL is how long a gatherer may act on what it was last told of the fleet: shorter than the fleet waits before it holds a
// gatherer that is not heard to be gone.
const TTL = 2500 * time.Millisecond

// Tracker tells which duties one gatherer may do. A duty belongs to a key and is cut over the live gatherers. At a change of the
// list everybody rests for a lease, so that whoever had a duty has stopped before another begins. One that was frozen finds its
// lease over when it wakes; should it have been about to act, its claim is older than its successor's and is refused.
//
// Times are the caller's steady clock.
type Tracker struct {
	self      rendezvous.Name
	members   []rendezvous.Name
	renewedAt time.Duration
	changedAt time.Duration
}

// NewTracker makes the duties of one gatherer, which has none until it was told of the fleet.
func NewTracker(self rendezvous.Name) *Tracker { return &Tracker{self: self, renewedAt: -TTL} }

// SetMembers takes the list of the live gatherers, this one among them.
func (d *Tracker) SetMembers(members []rendezvous.Name, now time.Duration) {
	members = slices.Clone(members)
	slices.Sort(members)
	if !slices.Equal(members, d.members) {
		d.members, d.changedAt = members, now
	}
}

// Renew notes that the list still held when a question was asked that the core answered now. After a gap of a lease others may
// have taken this gatherer for gone, though its list is the same again: it rests as at a change.
func (d *Tracker) Renew(asked, now time.Duration) {
	if asked-d.renewedAt >= TTL {
		d.changedAt = now
	}
	d.renewedAt = max(d.renewedAt, asked)
}

// Holds tells whether this gatherer may do a key's duty now.
func (d *Tracker) Holds(key rendezvous.Name, now time.Duration) bool {
	return d.HoldsAmong(key, d.members, now)
}

// HoldsAmong tells whether it may do a duty that is cut over some of the gatherers only, of whom it was told with the others.
func (d *Tracker) HoldsAmong(key rendezvous.Name, members []rendezvous.Name, now time.Duration) bool {
	return now-d.renewedAt < TTL && now-d.changedAt > TTL && rendezvous.Owner(key, members) == d.self
}
