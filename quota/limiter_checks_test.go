package quota

import (
	"fmt"
	"math"
	"time"
)

// The checks of the limiter model. Each returns a violation, or "".

// fairShare is the reference: a tenant's share by weight among some tenants, within floors and maxima, found by bisection of the level.
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

func (m *limiterModel) checkLimits(server ServerID, tenant, inUse, own int) string {
	if inUse >= m.limit {
		return fmt.Sprintf("%v: server %d: a connection beyond the limit of %d", m.now, server, m.limit)
	}
	policy := m.policies[tenant]
	if policy.Max > 0 && float64(own+1) > max(policy.Max, 1) {
		return fmt.Sprintf("%v: server %d: %s has connection %d beyond its maximum of %v", m.now, server, policy.Name, own+1, policy.Max)
	}
	return ""
}

// checkGrant: no tenant gets more than its share if too little remains for those that want connections and have less than their shares.
func (m *limiterModel) checkGrant(server ServerID, tenant, own int) string {
	competing := append(m.competitors(server, tenant), tenant)
	if float64(own+1) <= math.Ceil(m.fairShare(tenant, competing)) {
		return ""
	}
	short, list := 0, ""
	for _, other := range competing {
		if other == tenant || !m.deniedLately(server, other) {
			continue
		}
		inUse, share := m.inUse(server, other), m.fairShare(other, competing)
		// A little of its share may be lent to a tenant that wants none now.
		if lacking := min(int(0.9*share)-inUse, m.waiting[other]); lacking > 0 {
			short, list = short+lacking, fmt.Sprintf("%s %s has %d of %.1f", list, m.policies[other].Name, inUse, share)
		}
	}
	if left := m.limit - m.inUse(server, anyTenant) - 1; short > left {
		return fmt.Sprintf("%v: server %d: %s takes connection %d, which leaves %d:%s", m.now, server, m.policies[tenant].Name, own+1, left, list)
	}
	return ""
}

// checkDenial: while a server has a free connection, a tenant below its floor or alone at the server is not denied.
func (m *limiterModel) checkDenial(server ServerID, tenant, inUse, own int) string {
	if inUse >= m.limit {
		return ""
	}
	policy := m.policies[tenant]
	if float64(own+1) <= policy.Floor {
		return fmt.Sprintf("%v: server %d: %s is denied with %d, below its floor of %v, and %d of %d in use",
			m.now, server, policy.Name, own, policy.Floor, inUse, m.limit)
	}
	alone := policy.Max == 0 || float64(own+1) <= policy.Max
	for other := range m.policies {
		absent := m.policies[other].Floor == 0 && m.inUse(server, other) == 0 &&
			m.now-m.lastHeld[server][other] > presenceWindow && m.now-m.lastDenied[server][other] > presenceWindow
		alone = alone && (other == tenant || absent)
	}
	if alone {
		return fmt.Sprintf("%v: server %d: %s is alone and denied with %d of %d in use", m.now, server, policy.Name, inUse, m.limit)
	}
	return ""
}

// checkReserve: of two tenants, one that was present lately and comes back finds a connection, unless the other uses no more than its share.
func (m *limiterModel) checkReserve(tenant int) string {
	lastHeld := time.Duration(0)
	for server := range m.servers {
		lastHeld = max(lastHeld, m.lastHeld[server][tenant])
	}
	absence := m.now - lastHeld
	if len(m.policies) != 2 || m.limit < 2 || m.policies[tenant].Max > 0 || absence < 200*time.Millisecond || absence > presenceWindow/2 {
		return ""
	}
	other := 1 - tenant
	for server := range m.servers {
		if float64(m.inUse(ServerID(server), other)) <= math.Ceil(m.fairShare(other, []int{other, tenant})) {
			return ""
		}
	}
	return fmt.Sprintf("%v: %s was present lately and finds %s using all %d at each server",
		m.now, m.policies[tenant].Name, m.policies[other].Name, m.limit)
}

func (m *limiterModel) checkStarvation(tenant int) string {
	weights := 0.0
	for _, policy := range m.policies {
		weights += policy.Weight
	}
	limit := m.longestHold*time.Duration(2+2*weights/m.policies[tenant].Weight) + creditDecay
	if waited := m.now - m.lastServed[tenant]; waited > limit {
		return fmt.Sprintf("%v: %s has waited %v for any connection", m.now, m.policies[tenant].Name, waited)
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

// checkMeanShares: over the steps in which all tenants were backlogged, each had its share.
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
			return fmt.Sprintf("%s had %.2f connections per server on average while all waited, of %.2f", policy.Name, mean, share)
		}
	}
	return ""
}
