package quota

import "math"

// Shares returns each tenant's share of a number of connections while all of them want all of them.
func Shares(connections int, policies []TenantPolicy) []float64 {
	limiter := &Limiter{policies: policies}
	server := &serverState{limit: connections, globalLimit: connections}
	usages := make([]*tenantUsage, len(policies))
	for i := range policies {
		usages[i] = &tenantUsage{tenant: TenantID(i)}
	}
	return limiter.maxMinShares(server, float64(connections), usages, false)
}

// maxMinShares divides the available connections by weighted max-min fairness: no tenant gets more than its maximum, or, when limited
// to demand, than it uses and waits for; none gets less than its floor; weights divide the rest. It returns a share for each usage.
//
// Each iteration divides what is not yet fixed by weight. Floors above that level are fixed first, as they lower the level for the others;
// only when none is left are the maxima below it, which raise it. As each iteration fixes at least one share, it ends.
func (l *Limiter) maxMinShares(server *serverState, available float64, usages []*tenantUsage, limitToDemand bool) []float64 {
	shares := make([]float64, len(usages))
	fixed := make([]bool, len(usages))
	for {
		remaining, weights := max(available, 0), 0.0
		for i, usage := range usages {
			if fixed[i] {
				remaining -= shares[i]
			} else {
				weights += l.policies[usage.tenant].Weight
			}
		}
		if remaining = max(remaining, 0); weights <= 0 {
			return shares
		}
		level := func(usage *tenantUsage) float64 {
			return remaining * l.policies[usage.tenant].Weight / weights
		}
		if l.fixFloors(server, usages, level, shares, fixed) || l.fixMaxima(server, usages, level, limitToDemand, shares, fixed) {
			continue
		}
		for i, usage := range usages {
			if !fixed[i] {
				shares[i] = level(usage)
			}
		}
		return shares
	}
}

// fixFloors fixes the shares of tenants whose level is below their floor. It reports whether there were any.
func (l *Limiter) fixFloors(server *serverState, usages []*tenantUsage, level func(*tenantUsage) float64, shares []float64, fixed []bool) (changed bool) {
	for i, usage := range usages {
		policy := l.policies[usage.tenant]
		if fixed[i] || policy.Floor <= 0 {
			continue
		}
		if floor := server.scale(policy.Floor); level(usage) < floor {
			shares[i], fixed[i], changed = floor, true, true
		}
	}
	return changed
}

// fixMaxima fixes the shares of tenants whose level is above their maximum or demand. It reports whether there were any.
func (l *Limiter) fixMaxima(server *serverState, usages []*tenantUsage, level func(*tenantUsage) float64, limitToDemand bool, shares []float64, fixed []bool) (changed bool) {
	for i, usage := range usages {
		if fixed[i] {
			continue
		}
		limit := math.Inf(1)
		if maximum := l.policies[usage.tenant].Max; maximum > 0 {
			limit = max(server.scale(maximum), 1)
		}
		if limitToDemand {
			limit = min(limit, float64(usage.inUse+max(l.Waiting(server.service, usage.tenant), 1)))
		}
		if level(usage) > limit {
			shares[i], fixed[i], changed = limit, true, true
		}
	}
	return changed
}
