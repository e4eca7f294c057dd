package quota

import (
	"math"
	"slices"
	"time"
)

// shareTolerance compensates for rounding errors when shares are compared with whole numbers of connections.
const shareTolerance = 1e-9

// hasUnmetDemand reports whether a tenant was denied a connection within denialWindow and still waits for one.
func (l *Limiter) hasUnmetDemand(server *serverState, usage *tenantUsage, now time.Duration) bool {
	return now-usage.deniedAt < denialWindow && l.Waiting(server.service, usage.tenant) > 0
}

// share returns a tenant's share of a server's connections among the recently active tenants, regardless of how many each
// uses.
func (l *Limiter) share(server *serverState, tenant *tenantUsage, now time.Duration) float64 {
	if server.limit == 0 {
		return math.Inf(1)
	}
	competing := []*tenantUsage{tenant}
	for _, usage := range server.tenants {
		if usage != tenant && (usage.inUse > 0 || now-usage.lastUsed < activityWindow || now-usage.deniedAt < denialWindow) {
			competing = append(competing, usage)
		}
	}
	return l.maxMinShares(server, float64(server.limit), competing, false)[0]
}

// withinShare reports whether a tenant may acquire another connection of a server that has a free one. It may if this
// prevents no tenant with unmet demand from reaching its share, and leaves free the unused floors of other tenants and
// the reserve for recently active ones.
func (l *Limiter) withinShare(server *serverState, requester *tenantUsage, now time.Duration) bool {
	contenders, free := l.contendingTenants(server, requester, now)
	ownShare, inUse := l.share(server, requester, now), float64(requester.inUse)
	reserved := min(l.unusedFloors(server, requester, contenders), float64(server.limit-1))
	if inUse+1 > ownShare { // the reserve limits borrowing only, not the use of the tenant's own share
		reserved = max(reserved, float64(l.reservedConnections(server, requester.tenant, now)))
	}
	free -= reserved
	shares := l.maxMinShares(server, free, contenders, true)
	share := shares[0]
	policy := l.policies[requester.tenant]
	if policy.MaxBorrowed >= 0 {
		share = min(share, ownShare+server.scale(policy.MaxBorrowed))
	}
	if inUse+1 <= server.scale(policy.Floor) {
		return true
	}
	if inUse >= share-shareTolerance {
		// A tenant with a share below one connection could otherwise never acquire one. It may if no other tenant has
		// unmet demand and a connection remains beside the reserved ones.
		return requester.inUse == 0 && len(contenders) == 1 && free > 0
	}
	fullyWithinShare := inUse+1 <= share+shareTolerance
	shortfall, outranked := l.competingClaims(contenders, shares, fullyWithinShare)
	sufficient := server.inUse+shortfall < server.limit
	if !fullyWithinShare {
		return sufficient && !outranked
	}
	return sufficient || !outranked
}

// contendingTenants returns the tenants that contend for connections, which are the requester, as the first, and the
// tenants with unmet demand. It also returns the number of connections that the other tenants leave to them.
func (l *Limiter) contendingTenants(server *serverState, requester *tenantUsage, now time.Duration) (contenders []*tenantUsage, free float64) {
	free = float64(server.limit)
	contenders = []*tenantUsage{requester}
	for _, usage := range server.tenants {
		if usage == requester {
			continue
		}
		if l.hasUnmetDemand(server, usage, now) {
			contenders = append(contenders, usage)
			continue
		}
		free -= float64(usage.inUse)
	}
	return contenders, free
}

// unusedFloors returns the number of connections below their floors that tenants without unmet demand do not use but may
// still claim. The requester is excluded.
func (l *Limiter) unusedFloors(server *serverState, requester *tenantUsage, contenders []*tenantUsage) (connections float64) {
	for _, tenant := range l.floors[server.service] {
		isContender := slices.ContainsFunc(contenders, func(usage *tenantUsage) bool { return usage.tenant == tenant })
		if tenant == requester.tenant || isContender {
			continue
		}
		inUse := 0
		for _, usage := range server.tenants {
			if usage.tenant == tenant {
				inUse = usage.inUse
			}
		}
		connections += max(math.Ceil(server.scale(l.policies[tenant].Floor))-float64(inUse), 0)
	}
	return connections
}

// competingClaims returns the whole connections by which the other contenders are below their shares, and whether one of
// them has precedence over the requester, the first contender. If the requester's next connection is fully within its
// share, a contender with fewer connections relative to its weight has precedence, provided that it lacks a whole
// connection. If only a fraction is within the share, a contender below its share with more credit has precedence.
func (l *Limiter) competingClaims(contenders []*tenantUsage, shares []float64, fullyWithinShare bool) (shortfall int, outranked bool) {
	requester := contenders[0]
	inUsePerWeight := func(usage *tenantUsage) float64 {
		return (float64(usage.inUse) + 1) / l.policies[usage.tenant].Weight
	}
	for i, usage := range contenders[1:] {
		share := shares[i+1]
		deficit := int(share+shareTolerance) - usage.inUse
		shortfall += max(deficit, 0)
		switch {
		case !fullyWithinShare:
			belowShare := float64(usage.inUse) < share-shareTolerance
			outranked = outranked || belowShare && usage.credit > requester.credit
		case deficit > 0:
			outranked = outranked || inUsePerWeight(usage) < inUsePerWeight(requester)
		}
	}
	return shortfall, outranked
}

// reservedConnections returns the number of a server's connections that are kept free for tenants that used its service
// within activityWindow and may return: for each tenant its mean number in use plus one, minus the number in use. The
// tenants may use any server of the service, so the total is distributed over the servers by rank.
func (l *Limiter) reservedConnections(server *serverState, requester TenantID, now time.Duration) int {
	service := l.service(server.service)
	if service.totalLimit < 2 {
		return 0
	}
	ownQueue, needed := l.queue(server.service, requester), 0
	for _, queue := range service.recentTenants {
		if queue == ownQueue || now-queue.lastUsed >= activityWindow {
			continue
		}
		alreadyContends := slices.ContainsFunc(server.tenants, func(usage *tenantUsage) bool {
			return usage.tenant == queue.tenant && l.hasUnmetDemand(server, usage, now)
		})
		if !alreadyContends {
			needed += max(int(math.Ceil(queue.meanInUse))+1-queue.inUse, 0)
		}
	}
	needed = min(needed, max(service.totalLimit/reserveDivisor, 1))
	reserved := (needed + service.serverCount - 1 - server.rank) / service.serverCount
	return min(reserved, server.limit-1)
}
