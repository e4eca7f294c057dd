package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// LeaseDuration is how long a gatherer may use what it was granted, counted from when it asked. It is shorter than the rest that a duty's
// new holder takes (kin.Lease), so that what the one before granted is over by then.
const LeaseDuration = 2 * time.Second

// expiryGrace is how long after its lease a part is kept for a gatherer that has not asked again: one that froze or was cut off can't use
// it any more, but what it had open stands at the servers until they end it.
const expiryGrace = 6 * time.Second

// SplitCapacity is how a service's connections are divided: what every gatherer has without asking, and the pool that is granted by need. The
// bases and the pool together are never more than the whole. Where there are fewer than two for each, all are bases.
func SplitCapacity(total, gateways int) (base, pool int) {
	gateways = max(gateways, 1)
	if total <= 0 {
		return 0, 0
	}
	if total < 2*gateways { // too few to be divided further
		return max(1, total/gateways), 0
	}
	base = max(total*3/4/gateways, 1)
	return base, total - base*gateways
}

// Demand is what a tenant would use of a service at one gatherer, in connections at each of its servers, beyond what it has without
// asking.
type Demand struct {
	Tenant      string
	Connections float64
	Weight      float64
}

// TenantUse is what a tenant has of a service at one gatherer: connections at the server where it holds most, and parts that wait, for each server.
type TenantUse struct {
	Tenant         string
	Weight         float64
	InUse, Waiting float64
}

const (
	demandSmoothing = 0.6  // of what was wanted the time before, in what is
	baseUtilization = 0.75 // of the base: who uses no more asks for nothing
	growthHeadroom  = 0.25 // of what is in use, so that what grows finds room; one connection at least
	minDemand       = 0.1  // what is less is nothing
)

// DemandEstimator is a gatherer's side of one service's pool: what it wants beyond its base, smoothed from one asking to the next.
type DemandEstimator struct{ smoothed map[string]float64 }

// Demands returns what to ask for; none = the base is enough.
func (e *DemandEstimator) Demands(base int, usages []TenantUse) (demands []Demand) {
	current, total := map[string]float64{}, 0.0
	for _, use := range usages {
		connections := use.InUse + use.Waiting
		if connections += (e.smoothed[use.Tenant] - connections) * demandSmoothing; connections > minDemand {
			current[use.Tenant] = connections
			demands = append(demands, Demand{use.Tenant, connections, use.Weight})
			total += connections
		}
	}
	e.smoothed = current
	if total <= baseUtilization*float64(base) {
		return nil
	}
	for i := range demands {
		demands[i].Connections *= (total + max(total*growthHeadroom, 1) - baseUtilization*float64(base)) / total
	}
	return demands
}

// Allocator is the holder's side of one service's pool: it grants parts of it by what tenants want where, each for a lease. What it
// granted and is not over yet is never granted again.
type Allocator struct {
	grants map[uint64]*grant // by the gatherer's life; emptied as their leases end
}

type grant struct {
	demands   []Demand
	reserved  int // that it may use: what it was granted last, or still uses from before
	expiresAt time.Duration

	connections int // last
}

// NewAllocator makes one that has granted nothing. The caller must have rested since another was the holder.
func NewAllocator() *Allocator { return &Allocator{grants: map[uint64]*grant{}} }

// Request takes a gatherer's wants and returns the part that it may use until LeaseDuration after it asked. Used is
// what it may use yet when it asks: while a smaller part is on its way to it, that stays its own.
func (k *Allocator) Request(incarnation uint64, demands []Demand, inUse, pool int, now time.Duration) (granted int) {
	for other, grant := range k.grants {
		if now >= grant.expiresAt {
			delete(k.grants, other)
		}
	}
	own := k.grants[incarnation]
	if own == nil {
		own = &grant{}
		k.grants[incarnation] = own
	}
	own.demands = demands
	available := pool
	for other, grant := range k.grants {
		if other != incarnation {
			available -= grant.reserved
		}
	}
	share := k.fairShare(incarnation, pool)
	if math.Abs(share-float64(own.connections)) < 1 { // what swings by less than one would lie idle on its way from one to another
		share = float64(own.connections)
	}
	granted = max(min(int(math.Round(share)), available), 0)
	own.connections = granted
	own.reserved, own.expiresAt = max(granted, inUse), now+LeaseDuration+expiryGrace
	return granted
}

// fairShare is a gatherer's part of the pool: the pool is shared among tenants by weighted max-min over what all gatherers want, and each
// tenant's part among gatherers by what they want of it.
func (k *Allocator) fairShare(incarnation uint64, pool int) float64 {
	type sum struct{ wants, weight, given float64 }
	tenants := map[string]*sum{}
	for _, grant := range k.grants {
		for _, demand := range grant.demands {
			tenant := tenants[demand.Tenant]
			if tenant == nil {
				tenant = &sum{}
				tenants[demand.Tenant] = tenant
			}
			tenant.wants += demand.Connections
			tenant.weight = max(tenant.weight, demand.Weight)
		}
	}
	remaining := float64(pool)
	open := make([]*sum, 0, len(tenants))
	for _, tenant := range tenants {
		if tenant.wants > 0 && tenant.weight > 0 {
			open = append(open, tenant)
		}
	}
	slices.SortFunc(open, func(grant, b *sum) int { return cmp.Compare(grant.wants/grant.weight, b.wants/b.weight) })
	for i, tenant := range open {
		weights := 0.0
		for _, other := range open[i:] {
			weights += other.weight
		}
		tenant.given = min(tenant.wants, remaining*tenant.weight/weights)
		remaining -= tenant.given
	}
	share := 0.0
	for _, demand := range k.grants[incarnation].demands {
		if tenant := tenants[demand.Tenant]; tenant.wants > 0 {
			share += tenant.given * demand.Connections / tenant.wants
		}
	}
	// What nobody wants lies ready for whoever comes first, in equal parts.
	share += max(remaining, 0) / float64(len(k.grants))
	return share
}
