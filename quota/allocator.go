package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a gateway may use a grant, counted from when it sent the request. It is shorter than the time for which a new
	// holder of a singleton role waits before it acts, so that the previous holder's grants have expired by then.
	LeaseDuration = 2 * time.Second

	// expiryGrace is how long beyond its lease a grant stays reserved for a gateway that did not renew it. A gateway that was frozen or
	// partitioned can no longer use the grant, but the connections that it had opened exist until the servers close them.
	expiryGrace = 6 * time.Second
)

// SplitCapacity divides a service's connections into a base for each gateway, which needs no grant, and the pool that is granted on demand.
// All bases and the pool together never exceed the total, except that each gateway has at least one connection. With fewer than two
// connections for each gateway there is no pool.
func SplitCapacity(total, gateways int) (base, pool int) {
	gateways = max(gateways, 1)
	if total <= 0 {
		return 0, 0
	}
	if total < 2*gateways {
		return max(1, total/gateways), 0
	}
	base = max(total*3/4/gateways, 1)
	return base, total - base*gateways
}

// Allocator grants the pool of one service to gateways, on the holder of the service's quota role. Connections of a grant are not granted
// again before it has expired.
type Allocator struct {
	grants map[uint64]*grant // unexpired, by the gateway's incarnation
}

// grant is what one gateway may use.
type grant struct {
	demands     []Demand
	connections int           // granted last
	reserved    int           // the last grant, or what the gateway still used of earlier ones if that is more
	expiresAt   time.Duration // when the reservation ends
}

// NewAllocator returns an allocator that has granted nothing. The caller must have waited until the grants of a previous holder expired.
func NewAllocator() *Allocator { return &Allocator{grants: map[uint64]*grant{}} }

// Request replaces a gateway's demands and returns the connections that it may use until [LeaseDuration] after it sent the request. inUse is
// what it still uses of earlier grants: that stays reserved for it while a smaller grant is on its way.
func (a *Allocator) Request(incarnation uint64, demands []Demand, inUse, pool int, now time.Duration) (connections int) {
	for id, g := range a.grants {
		if now >= g.expiresAt {
			delete(a.grants, id)
		}
	}
	own := a.grants[incarnation]
	if own == nil {
		own = &grant{}
		a.grants[incarnation] = own
	}
	own.demands = demands
	available := pool
	for id, g := range a.grants {
		if id != incarnation {
			available -= g.reserved
		}
	}
	share := a.fairShare(incarnation, pool)
	if math.Abs(share-float64(own.connections)) < 1 {
		share = float64(own.connections) // smaller changes would leave connections idle in transit between gateways
	}
	connections = max(min(int(math.Round(share)), available), 0)
	own.connections = connections
	own.reserved = max(connections, inUse)
	own.expiresAt = now + LeaseDuration + expiryGrace
	return connections
}

// tenantDemand is a tenant's demand at all gateways.
type tenantDemand struct {
	connections float64
	weight      float64
	granted     float64
}

// fairShare returns a gateway's share of the pool. The pool is divided among tenants by weighted max-min fairness over their demand at all
// gateways; each tenant's part is divided among gateways in proportion to its demand there. What remains is divided equally.
func (a *Allocator) fairShare(incarnation uint64, pool int) float64 {
	tenants := a.totalDemand()
	remaining := divide(float64(pool), tenants)
	share := 0.0
	for _, demand := range a.grants[incarnation].demands {
		if tenant := tenants[demand.Tenant]; tenant.connections > 0 {
			share += tenant.granted * demand.Connections / tenant.connections
		}
	}
	return share + max(remaining, 0)/float64(len(a.grants))
}

func (a *Allocator) totalDemand() map[string]*tenantDemand {
	tenants := map[string]*tenantDemand{}
	for _, g := range a.grants {
		for _, demand := range g.demands {
			tenant := tenants[demand.Tenant]
			if tenant == nil {
				tenant = &tenantDemand{}
				tenants[demand.Tenant] = tenant
			}
			tenant.connections += demand.Connections
			tenant.weight = max(tenant.weight, demand.Weight)
		}
	}
	return tenants
}

// divide sets what each tenant is granted of a number of connections and returns what remains. In the order of demand by weight each gets its
// demand or its part by weight of what the ones before it left, whichever is less.
func divide(connections float64, tenants map[string]*tenantDemand) (remaining float64) {
	ordered := make([]*tenantDemand, 0, len(tenants))
	for _, tenant := range tenants {
		if tenant.connections > 0 && tenant.weight > 0 {
			ordered = append(ordered, tenant)
		}
	}
	slices.SortFunc(ordered, func(a, b *tenantDemand) int {
		return cmp.Compare(a.connections/a.weight, b.connections/b.weight)
	})
	remaining = connections
	for i, tenant := range ordered {
		weights := 0.0
		for _, other := range ordered[i:] {
			weights += other.weight
		}
		tenant.granted = min(tenant.connections, remaining*tenant.weight/weights)
		remaining -= tenant.granted
	}
	return remaining
}
