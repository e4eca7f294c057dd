package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a gateway may use a grant, counted from the time at which it sent the request. It is
	// shorter than the time for which a new holder of a singleton role waits before it acts, so that the former holder's
	// grants have expired by then.
	LeaseDuration = 2 * time.Second

	// expiryGrace is how long a grant stays reserved after the end of its lease if the gateway does not renew it. A
	// suspended or partitioned gateway can no longer use the grant, but the connections that it has opened exist until
	// the servers close them.
	expiryGrace = 6 * time.Second
)

// SplitCapacity divides a service's connections into a base for each gateway, which may be used without a grant, and a
// pool that is granted on demand. The sum of all bases and the pool does not exceed the total, unless that would leave a
// gateway without a connection: the base is at least 1. With fewer than two connections for each gateway there is no
// pool. A total of 0 means no limit, for which both are 0.
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

// Allocator grants connections from the pool of one service to gateways. It runs on the gateway that holds the service's
// quota role. Connections of a grant are not granted again before the grant has expired.
type Allocator struct {
	grants map[uint64]*grant // by the gateway's incarnation; expired ones are removed by the next request
}

// grant holds the demands of one gateway and the connections granted to it.
type grant struct {
	demands     []Demand
	connections int           // granted by the last request
	reserved    int           // connections, or the number still in use from earlier grants if that is higher
	expiresAt   time.Duration // when the reservation ends
}

// NewAllocator returns an allocator without grants. The caller must first wait until the grants of a former holder have
// expired.
func NewAllocator() *Allocator { return &Allocator{grants: map[uint64]*grant{}} }

// RequestGrant replaces a gateway's demands and returns the number of connections that it may use until [LeaseDuration]
// after it sent the request. inUse is the number of connections that it still uses from earlier grants: they stay
// reserved while a smaller grant is in transit.
func (a *Allocator) RequestGrant(incarnation uint64, demands []Demand, inUse, pool int, now time.Duration) (connections int) {
	for id, g := range a.grants {
		if now >= g.expiresAt {
			delete(a.grants, id)
		}
	}
	current := a.grants[incarnation]
	if current == nil {
		current = &grant{}
		a.grants[incarnation] = current
	}
	current.demands = demands
	available := pool
	for id, g := range a.grants {
		if id != incarnation {
			available -= g.reserved
		}
	}
	share := a.fairShare(incarnation, pool)
	if math.Abs(share-float64(current.connections)) < 1 {
		share = float64(current.connections) // smaller changes would only leave connections idle while they move between gateways
	}
	connections = max(min(int(math.Round(share)), available), 0)
	current.connections = connections
	current.reserved = max(connections, inUse)
	current.expiresAt = now + LeaseDuration + expiryGrace
	return connections
}

// tenantDemand is a tenant's total demand at all gateways, and the part of it that is granted.
type tenantDemand struct {
	connections float64
	weight      float64
	granted     float64
}

// fairShare returns a gateway's share of the pool. The pool is divided among tenants by weighted max-min fairness over
// their total demands. Each tenant's part is divided among gateways in proportion to the tenant's demand there. The
// remainder is divided equally among gateways.
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

// totalDemand returns the sums of the tenants' demands at all gateways, by tenant.
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

// divide sets the granted part of each tenant's demand and returns the connections that remain. In ascending order of
// demand per weight, each tenant is granted the minimum of its demand and its weighted part of the connections not yet
// granted.
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
