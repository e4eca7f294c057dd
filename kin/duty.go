package kin

import (
	"cmp"
	"slices"
	"time"
)

// Claim is what stands behind the word of a duty's holder: the fence rises each time the duty changes hands, and of two who
// took it at once the greater life wins. The zero Claim is nobody's.
type Claim struct {
	Fence  uint64
	Holder uint64 // the life of the gatherer that holds the duty
}

// Compare returns -1, 0 or 1 as c is older than, is or is newer than o.
func (c Claim) Compare(o Claim) int {
	return cmp.Or(cmp.Compare(c.Fence, o.Fence), cmp.Compare(c.Holder, o.Holder))
}

// Take is the claim under which a gatherer acts that holds a duty now and knows the newest claim: its own, as long as nobody
// else took the duty, or one beyond.
func (c Claim) Take(life uint64) Claim {
	if c.Holder == life {
		return c
	}
	return Claim{c.Fence + 1, life}
}

// Lease is how long a gatherer may act on what it was last told of the fleet: shorter than the fleet waits before it holds a
// gatherer that is not heard to be gone.
const Lease = 2500 * time.Millisecond

// Duties tells which duties one gatherer may do. A duty belongs to a key and is cut over the live gatherers. At a change of the
// list everybody rests for a lease, so that whoever had a duty has stopped before another begins. One that was frozen finds its
// lease over when it wakes; should it have been about to act, its claim is older than its successor's and is refused.
//
// Times are the caller's steady clock.
type Duties struct {
	self      Name
	all       []Name
	heardAt   time.Duration
	changedAt time.Duration
}

// NewDuties makes the duties of one gatherer, which has none until it was told of the fleet.
func NewDuties(self Name) *Duties { return &Duties{self: self, heardAt: -Lease} }

// Told takes the list of the live gatherers, this one among them.
func (d *Duties) Told(all []Name, now time.Duration) {
	all = slices.Clone(all)
	slices.Sort(all)
	if !slices.Equal(all, d.all) {
		d.all, d.changedAt = all, now
	}
}

// Heard notes that the list still held when a question was asked that the core answered now. After a gap of a lease others may
// have taken this gatherer for gone, though its list is the same again: it rests as at a change.
func (d *Duties) Heard(asked, now time.Duration) {
	if asked-d.heardAt >= Lease {
		d.changedAt = now
	}
	d.heardAt = max(d.heardAt, asked)
}

// May tells whether this gatherer may do a key's duty now.
func (d *Duties) May(key Name, now time.Duration) bool { return d.MayAmong(key, d.all, now) }

// MayAmong tells whether it may do a duty that is cut over some of the gatherers only, of whom it was told with the others.
func (d *Duties) MayAmong(key Name, some []Name, now time.Duration) bool {
	return now-d.heardAt < Lease && now-d.changedAt > Lease && Holder(key, some) == d.self
}
