package quota

import "math"

// MaxMinShares returns each tenant's share of a number of connections while the demand of every tenant is unlimited.
func MaxMinShares(connections int, policies []TenantPolicy) []float64 {
	limiter := &Limiter{policies: policies}
	server := &serverState{limit: connections, globalLimit: connections}
	usages := make([]*tenantUsage, len(policies))
	for i := range policies {
		usages[i] = &tenantUsage{tenant: TenantID(i)}
	}
	return limiter.maxMinShares(server, float64(connections), usages, false)
}

// maxMinShares divides the available connections by weighted max-min fairness and returns a share for each usage. No
// share is below the tenant's floor or above its maximum; if limited to demand, none is above the sum of the tenant's
// connections and waiting calls. The remainder is divided by weight. Floors take precedence over limits.
func (l *Limiter) maxMinShares(server *serverState, available float64, usages []*tenantUsage, limitToDemand bool) []float64 {
	d := division{
		limiter:       l,
		server:        server,
		usages:        usages,
		limitToDemand: limitToDemand,
		shares:        make([]float64, len(usages)),
		fixed:         make([]bool, len(usages)),
	}
	d.divide(available)
	return d.shares
}

// division is the state of one computation of shares.
type division struct {
	limiter       *Limiter
	server        *serverState
	usages        []*tenantUsage
	limitToDemand bool

	shares    []float64
	fixed     []bool  // whether a share is fixed at its floor or limit
	remaining float64 // connections not covered by fixed shares
	weights   float64 // sum of the weights of the tenants whose shares are not fixed
}

// divide repeatedly divides the remaining connections by weight among the shares that are not fixed. Each iteration fixes
// shares at floors above their weighted shares, which lowers the weighted shares of the others. Only if there are none
// does it fix shares at limits below their weighted shares, which raises those of the others. Each iteration but the last
// fixes at least one share, so the loop ends.
func (d *division) divide(available float64) {
	for {
		d.sumUnfixed(available)
		if d.weights <= 0 {
			return
		}
		if d.fixFloors() || d.fixLimits() {
			continue
		}
		for i := range d.usages {
			if !d.fixed[i] {
				d.shares[i] = d.weightShare(i)
			}
		}
		return
	}
}

// sumUnfixed computes the connections that remain and the sum of the weights for the shares that are not fixed.
func (d *division) sumUnfixed(available float64) {
	d.remaining, d.weights = max(available, 0), 0
	for i := range d.usages {
		if d.fixed[i] {
			d.remaining -= d.shares[i]
		} else {
			d.weights += d.policy(i).Weight
		}
	}
	d.remaining = max(d.remaining, 0)
}

func (d *division) policy(i int) *TenantPolicy { return &d.limiter.policies[d.usages[i].tenant] }

// weightShare returns a tenant's weighted part of the remaining connections.
func (d *division) weightShare(i int) float64 { return d.remaining * d.policy(i).Weight / d.weights }

// limit returns the upper limit of a tenant's share.
func (d *division) limit(i int) float64 {
	limit := math.Inf(1)
	if maximum := d.policy(i).Max; maximum > 0 {
		limit = max(d.server.scale(maximum), 1)
	}
	if d.limitToDemand {
		usage := d.usages[i]
		waiting := max(d.limiter.Waiting(d.server.service, usage.tenant), 1)
		limit = min(limit, float64(usage.inUse+waiting))
	}
	return limit
}

// fixFloors fixes shares at floors above the weighted share, and reports whether there were any.
func (d *division) fixFloors() (changed bool) {
	for i := range d.usages {
		policy := d.policy(i)
		if d.fixed[i] || policy.Floor <= 0 {
			continue
		}
		if floor := d.server.scale(policy.Floor); d.weightShare(i) < floor {
			d.shares[i], d.fixed[i], changed = floor, true, true
		}
	}
	return changed
}

// fixLimits fixes shares at limits below the weighted share, and reports whether there were any.
func (d *division) fixLimits() (changed bool) {
	for i := range d.usages {
		if d.fixed[i] {
			continue
		}
		if limit := d.limit(i); d.weightShare(i) > limit {
			d.shares[i], d.fixed[i], changed = limit, true, true
		}
	}
	return changed
}
