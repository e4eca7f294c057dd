package pollen

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// LeaseFor is how long a gatherer may use what it was granted, counted from when it asked. It is shorter than the rest that a duty's
// new holder takes (kin.Lease), so that what the one before granted is over by then.
const LeaseFor = 2 * time.Second

// linger is how long after its lease a part is kept for a gatherer that has not asked again: one that froze or was cut off can't use
// it any more, but what it had open stands at the servers until they end it.
const linger = 6 * time.Second

// Split is how a service's connections are divided: what every gatherer has without asking, and the pool that is granted by need. The
// bases and the pool together are never more than the whole. Where there are fewer than two for each, all are bases.
func Split(whole, gatherers int) (base, pool int) {
	gatherers = max(gatherers, 1)
	if whole <= 0 {
		return 0, 0
	}
	if whole < 2*gatherers { // too few to be divided further
		return max(1, whole/gatherers), 0
	}
	base = max(whole*3/4/gatherers, 1)
	return base, whole - base*gatherers
}

// Want is what a tenant would use of a service at one gatherer, in connections at each of its servers, beyond what it has without
// asking.
type Want struct {
	Tenant      string
	Connections float64
	Weight      float64
}

// Use is what a tenant has of a service at one gatherer: connections at the server where it holds most, and parts that wait, for each server.
type Use struct {
	Tenant        string
	Weight        float64
	Held, Waiting float64
}

const (
	steady  = 0.6  // of what was wanted the time before, in what is
	content = 0.75 // of the base: who uses no more asks for nothing
	growth  = 0.25 // of what is in use, so that what grows finds room; one connection at least
	leastOf = 0.1  // what is less is nothing
)

// Needs is a gatherer's side of one service's pool: what it wants beyond its base, smoothed from one asking to the next.
type Needs struct{ was map[string]float64 }

// Wants returns what to ask for; none = the base is enough.
func (n *Needs) Wants(base int, uses []Use) (wants []Want) {
	now, all := map[string]float64{}, 0.0
	for _, u := range uses {
		c := u.Held + u.Waiting
		if c += (n.was[u.Tenant] - c) * steady; c > leastOf {
			now[u.Tenant] = c
			wants = append(wants, Want{u.Tenant, c, u.Weight})
			all += c
		}
	}
	n.was = now
	if all <= content*float64(base) {
		return nil
	}
	for i := range wants {
		wants[i].Connections *= (all + max(all*growth, 1) - content*float64(base)) / all
	}
	return wants
}

// Keeper is the holder's side of one service's pool: it grants parts of it by what tenants want where, each for a lease. What it
// granted and is not over yet is never granted again.
type Keeper struct {
	asked map[uint64]*asker // by the gatherer's life; emptied as their leases end
}

type asker struct {
	wants []Want
	parts int // that it may use: what it was granted last, or still uses from before
	until time.Duration

	granted int // last
}

// NewKeeper makes one that has granted nothing. The caller must have rested since another was the holder.
func NewKeeper() *Keeper { return &Keeper{asked: map[uint64]*asker{}} }

// Ask takes a gatherer's wants and returns the part that it may use until LeaseFor after it asked. Used is
// what it may use yet when it asks: while a smaller part is on its way to it, that stays its own.
func (k *Keeper) Ask(life uint64, wants []Want, used, pool int, now time.Duration) (parts int) {
	for l, a := range k.asked {
		if now >= a.until {
			delete(k.asked, l)
		}
	}
	me := k.asked[life]
	if me == nil {
		me = &asker{}
		k.asked[life] = me
	}
	me.wants = wants
	left := pool
	for l, a := range k.asked {
		if l != life {
			left -= a.parts
		}
	}
	due := k.due(life, pool)
	if math.Abs(due-float64(me.granted)) < 1 { // what swings by less than one would lie idle on its way from one to another
		due = float64(me.granted)
	}
	parts = max(min(int(math.Round(due)), left), 0)
	me.granted = parts
	me.parts, me.until = max(parts, used), now+LeaseFor+linger
	return parts
}

// due is a gatherer's part of the pool: the pool is shared among tenants by weighted max-min over what all gatherers want, and each
// tenant's part among gatherers by what they want of it.
func (k *Keeper) due(life uint64, pool int) float64 {
	type sum struct{ wants, weight, given float64 }
	tenants := map[string]*sum{}
	for _, a := range k.asked {
		for _, w := range a.wants {
			t := tenants[w.Tenant]
			if t == nil {
				t = &sum{}
				tenants[w.Tenant] = t
			}
			t.wants += w.Connections
			t.weight = max(t.weight, w.Weight)
		}
	}
	left := float64(pool)
	open := make([]*sum, 0, len(tenants))
	for _, t := range tenants {
		if t.wants > 0 && t.weight > 0 {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(a, b *sum) int { return cmp.Compare(a.wants/a.weight, b.wants/b.weight) })
	for i, t := range open {
		weights := 0.0
		for _, o := range open[i:] {
			weights += o.weight
		}
		t.given = min(t.wants, left*t.weight/weights)
		left -= t.given
	}
	due := 0.0
	for _, w := range k.asked[life].wants {
		if t := tenants[w.Tenant]; t.wants > 0 {
			due += t.given * w.Connections / t.wants
		}
	}
	// What nobody wants lies ready for whoever comes first, in equal parts.
	due += max(left, 0) / float64(len(k.asked))
	return due
}
