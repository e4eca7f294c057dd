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

// maxMinShares divides the available connections by weighted max-min fairness: no tenant gets more than its maximum, or, when
// limited to demand, than it uses and waits for; none gets less than its floor; weights divide the rest. It returns a share for
// each usage.
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
	fixed     []bool  // shares that are at a floor or a limit
	remaining float64 // connections beside the fixed shares
	weights   float64 // sum of the tenants whose shares are not fixed
}

// divide divides what is not yet fixed by weight, again and again. Floors above that level are fixed first, as they lower the level
// for the others; only when none is left are the limits below it, which raise it. As each iteration fixes at least one share, it ends.
func (d *division) divide(available float64) {
	for {
		d.sum(available)
		if d.weights <= 0 {
			return
		}
		if d.fixFloors() || d.fixLimits() {
			continue
		}
		for i := range d.usages {
			if !d.fixed[i] {
				d.shares[i] = d.level(i)
			}
		}
		return
	}
}

func (d *division) sum(available float64) {
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

// level returns a tenant's part by weight of what remains.
func (d *division) level(i int) float64 { return d.remaining * d.policy(i).Weight / d.weights }

// limit returns the most that a tenant may get.
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

// fixFloors fixes the shares of tenants whose level is below their floor, and reports whether there were any.
func (d *division) fixFloors() (changed bool) {
	for i := range d.usages {
		policy := d.policy(i)
		if d.fixed[i] || policy.Floor <= 0 {
			continue
		}
		if floor := d.server.scale(policy.Floor); d.level(i) < floor {
			d.shares[i], d.fixed[i], changed = floor, true, true
		}
	}
	return changed
}

// fixLimits fixes the shares of tenants whose level is above their limit, and reports whether there were any.
func (d *division) fixLimits() (changed bool) {
	for i := range d.usages {
		if d.fixed[i] {
			continue
		}
		if limit := d.limit(i); d.level(i) > limit {
			d.shares[i], d.fixed[i], changed = limit, true, true
		}
	}
	return changed
}
