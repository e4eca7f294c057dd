package quota

import (
	"fmt"
	"math"
	"time"
)

// The checks of the limiter model. Each returns the description of a violation, "" = none.

// fairShare is the reference implementation: a tenant's share by weight among some tenants, bounded by floors and maxima.
// It finds the number of connections per unit of weight by bisection.
func (m *limiterModel) fairShare(tenant int, among []int) float64 {
	shareAt := func(level float64, tenant int) float64 {
		share := math.Max(level*m.policies[tenant].Weight, m.policies[tenant].Floor)
		if maximum := m.policies[tenant].Max; maximum > 0 {
			share = min(share, maximum)
		}
		return share
	}
	low, high := 0.0, float64(m.limit)
	for range 60 {
		level, sum := (low+high)/2, 0.0
		for _, other := range among {
			sum += shareAt(level, other)
		}
		if sum > float64(m.limit) {
			high = level
		} else {
			low = level
		}
	}
	return shareAt(low, tenant)
}

// checkLimits checks that a new connection exceeds neither the server's limit nor the tenant's maximum.
func (m *limiterModel) checkLimits(server ServerID, tenant, inUse, own int) string {
	if inUse >= m.limit {
		return fmt.Sprintf("%v: server %d: allowed a connection beyond the limit of %d", m.now, server, m.limit)
	}
	policy := m.policies[tenant]
	if policy.Max > 0 && float64(own+1) > max(policy.Max, 1) {
		return fmt.Sprintf("%v: server %d: %s was allowed connection %d, beyond its maximum of %v",
			m.now, server, policy.Name, own+1, policy.Max)
	}
	return ""
}

// checkAcquisition checks that no tenant acquires more than its share if too few connections remain for tenants with unmet
// demand that are below their shares.
func (m *limiterModel) checkAcquisition(server ServerID, tenant, own int) string {
	competing := append(m.competitors(server, tenant), tenant)
	if float64(own+1) <= math.Ceil(m.fairShare(tenant, competing)) {
		return ""
	}
	shortfall, belowShare := 0, ""
	for _, other := range competing {
		if other == tenant || !m.recentlyDenied(server, other) {
			continue
		}
		inUse, share := m.inUse(server, other), m.fairShare(other, competing)
		// A small part of its share may be lent to a tenant without unmet demand.
		if deficit := min(int(0.9*share)-inUse, m.waiting[other]); deficit > 0 {
			shortfall, belowShare = shortfall+deficit, fmt.Sprintf("%s %s has %d of %.1f", belowShare, m.policies[other].Name, inUse, share)
		}
	}
	if free := m.limit - m.inUse(server, anyTenant) - 1; shortfall > free {
		return fmt.Sprintf("%v: server %d: %s was allowed connection %d, which leaves %d free:%s",
			m.now, server, m.policies[tenant].Name, own+1, free, belowShare)
	}
	return ""
}

// checkDenial checks that a server with a free connection does not deny it to a tenant that is below its floor, or that is
// the only active one and below its maximum.
func (m *limiterModel) checkDenial(server ServerID, tenant, inUse, own int) string {
	if inUse >= m.limit {
		return ""
	}
	policy := m.policies[tenant]
	if float64(own+1) <= policy.Floor {
		return fmt.Sprintf("%v: server %d: %s was denied with %d connections, below its floor of %v, while %d of %d are in use",
			m.now, server, policy.Name, own, policy.Floor, inUse, m.limit)
	}
	onlyActive := policy.Max == 0 || float64(own+1) <= policy.Max
	for other := range m.policies {
		inactive := m.policies[other].Floor == 0 && m.inUse(server, other) == 0 &&
			m.now-m.lastHeld[server][other] > activityWindow && m.now-m.lastDenied[server][other] > activityWindow
		onlyActive = onlyActive && (other == tenant || inactive)
	}
	if onlyActive {
		return fmt.Sprintf("%v: server %d: %s, the only active tenant, was denied with %d of %d connections in use",
			m.now, server, policy.Name, inUse, m.limit)
	}
	return ""
}

// checkReserve checks, for two tenants, that one that was recently active and returns acquires a connection, unless the
// other uses no more than its share.
func (m *limiterModel) checkReserve(tenant int) string {
	lastHeld := time.Duration(0)
	for server := range m.servers {
		lastHeld = max(lastHeld, m.lastHeld[server][tenant])
	}
	absence := m.now - lastHeld
	if len(m.policies) != 2 || m.limit < 2 || m.policies[tenant].Max > 0 || absence < 200*time.Millisecond || absence > activityWindow/2 {
		return ""
	}
	other := 1 - tenant
	for server := range m.servers {
		if float64(m.inUse(ServerID(server), other)) <= math.Ceil(m.fairShare(other, []int{other, tenant})) {
			return ""
		}
	}
	return fmt.Sprintf("%v: %s was recently active but returns to find %s using all %d connections of each server",
		m.now, m.policies[tenant].Name, m.policies[other].Name, m.limit)
}

// checkStarvation checks that a tenant's calls do not wait longer than a bound given by hold times and weights.
func (m *limiterModel) checkStarvation(tenant int) string {
	weights := 0.0
	for _, policy := range m.policies {
		weights += policy.Weight
	}
	limit := m.longestHold*time.Duration(2+2*weights/m.policies[tenant].Weight) + creditDecay
	if waited := m.now - m.lastServed[tenant]; waited > limit {
		return fmt.Sprintf("%v: %s has waited %v without acquiring a connection", m.now, m.policies[tenant].Name, waited)
	}
	return ""
}

// checkCounts compares the limiter's counters with each other and with the model's connections.
func (m *limiterModel) checkCounts() string {
	for i := range m.servers {
		server, sum := m.limiter.servers[ServerID(i)], 0
		for _, usage := range server.tenants {
			sum += usage.inUse
		}
		actual := m.inUse(ServerID(i), anyTenant)
		if sum != server.inUse || m.defect == noLimiterDefect && actual != sum {
			return fmt.Sprintf("%v: server %d: %d connections counted, %d by tenant, %d actual", m.now, i, server.inUse, sum, actual)
		}
	}
	return ""
}

// checkMeanShares checks that each tenant had its share on average over the steps in which all tenants were backlogged.
func (m *limiterModel) checkMeanShares() string {
	if m.backlogSteps <= minBacklogSteps {
		return ""
	}
	all := make([]int, len(m.policies))
	for i := range all {
		all[i] = i
	}
	for tenant, policy := range m.policies {
		mean, share := m.connectionSteps[tenant]/m.backlogSteps/float64(m.servers), m.fairShare(tenant, all)
		if mean < 0.8*share-0.05 {
			return fmt.Sprintf("%s had %.2f connections per server on average while all tenants were backlogged, its share is %.2f",
				policy.Name, mean, share)
		}
	}
	return ""
}
