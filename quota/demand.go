package quota

// Demand is the number of connections at each of a service's servers that a tenant would use at one gateway, beyond the gateway's base.
type Demand struct {
	Tenant      string
	Connections float64
	Weight      float64
}

// TenantUse is a tenant's present use of a service at one gateway.
type TenantUse struct {
	Tenant  string
	Weight  float64
	InUse   float64 // connections at the server where it has most
	Waiting float64 // shard calls that wait, per server
}

const (
	demandSmoothing = 0.6  // weight of the previous estimate
	baseUtilization = 0.75 // portion of the base up to which nothing is requested
	growthHeadroom  = 0.25 // requested beyond present use, so that growing demand finds connections; one connection at least
	minDemand       = 0.1  // connections; less counts as none
)

// DemandEstimator estimates what a gateway needs of a service's pool beyond its base, smoothed from one request to the next. Its zero value
// is ready for use.
type DemandEstimator struct {
	smoothed map[string]float64 // connections, by tenant
}

// Demands returns what to request; none = the base is enough.
func (e *DemandEstimator) Demands(base int, usages []TenantUse) (demands []Demand) {
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
