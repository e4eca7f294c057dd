package quota

// Demand is a tenant's demand at one gateway: the number of connections to each server of a service that the tenant would
// use beyond the gateway's base.
type Demand struct {
	Tenant      string
	Connections float64
	Weight      float64
}

// TenantUsage is a tenant's current use of a service at one gateway.
type TenantUsage struct {
	Tenant  string
	Weight  float64
	InUse   float64 // connections to the server to which it has the most
	Waiting float64 // waiting shard calls per server
}

const (
	demandSmoothing = 0.6  // weight of the previous estimate
	baseUtilization = 0.75 // portion of the base that demand must exceed before connections are requested
	growthHeadroom  = 0.25 // portion requested beyond current use, at least one connection, so that demand can grow
	minDemand       = 0.1  // connections; a demand at or below it counts as none
)

// DemandEstimator estimates the number of connections that a gateway needs from a service's pool beyond its base.
// Estimates are smoothed exponentially from one request to the next. The zero value is ready for use.
type DemandEstimator struct {
	smoothed map[string]float64 // connections, by tenant
}

// Demands returns the demands to request; none = the base is sufficient.
func (e *DemandEstimator) Demands(base int, usages []TenantUsage) (demands []Demand) {
	smoothed, total := map[string]float64{}, 0.0
	for _, use := range usages {
		connections := use.InUse + use.Waiting
		connections += (e.smoothed[use.Tenant] - connections) * demandSmoothing
		if connections <= minDemand {
			continue
		}
		smoothed[use.Tenant] = connections
		demands = append(demands, Demand{Tenant: use.Tenant, Connections: connections, Weight: use.Weight})
		total += connections
	}
	e.smoothed = smoothed
	covered := baseUtilization * float64(base)
	if total <= covered {
		return nil
	}
	headroom := max(total*growthHeadroom, 1)
	for i := range demands {
		demands[i].Connections *= (total + headroom - covered) / total
	}
	return demands
}
