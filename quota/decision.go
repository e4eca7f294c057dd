package quota

import (
	"math"
	"slices"
	"time"
)

// shareTolerance absorbs rounding errors where shares are compared with whole connections.
const shareTolerance = 1e-9

// wantsMore reports whether a tenant was denied a connection lately and still waits for one.
func (l *Limiter) wantsMore(server *serverState, usage *tenantUsage, now time.Duration) bool {
	return now-usage.deniedAt < denialWindow && l.Waiting(server.service, usage.tenant) > 0
}

// share returns a tenant's share of a server's connections among the tenants that were there lately, whatever each uses.
func (l *Limiter) share(server *serverState, tenant *tenantUsage, now time.Duration) float64 {
	if server.limit == 0 {
		return math.Inf(1)
	}
	competing := []*tenantUsage{tenant}
	for _, usage := range server.tenants {
		if usage != tenant && (usage.inUse > 0 || now-usage.lastUsed < presenceWindow || now-usage.deniedAt < denialWindow) {
			competing = append(competing, usage)
		}
	}
	return l.maxMinShares(server, float64(server.limit), competing, false)[0]
}

// withinShare reports whether a tenant may take another connection of a server with a free one. It may as long as that keeps no
// tenant that wants connections from its share, and leaves the floors and the reserve of tenants that are expected back.
func (l *Limiter) withinShare(server *serverState, requester *tenantUsage, now time.Duration) bool {
	wanting, free := l.wantingTenants(server, requester, now)
	own, inUse := l.share(server, requester, now), float64(requester.inUse)
	reserved := min(l.unusedFloors(server, requester, wanting), float64(server.limit-1))
	if inUse+1 > own { // the reserve limits borrowing, not the tenant's own share
		reserved = max(reserved, float64(l.reserve(server, requester.tenant, now)))
	}
	free -= reserved
	shares := l.maxMinShares(server, free, wanting, true)
	share := shares[0]
	policy := l.policies[requester.tenant]
	if policy.MaxBorrowed >= 0 {
		share = min(share, own+server.scale(policy.MaxBorrowed))
	}
	if inUse+1 <= server.scale(policy.Floor) {
		return true
	}
	if inUse >= share-shareTolerance {
		// A share below one connection would otherwise never get one: it does when nothing is reserved and no one else wants it.
		return requester.inUse == 0 && len(wanting) == 1 && free > 0
	}
	wholeShare := inUse+1 <= share+shareTolerance
	shortfall, othersFirst := l.competition(wanting, shares, wholeShare)
	sufficient := server.inUse+shortfall < server.limit
	if !wholeShare {
		return sufficient && !othersFirst
	}
	return sufficient || !othersFirst
}

// wantingTenants returns the tenants that want connections, the requester first, and the connections that the others leave to them.
func (l *Limiter) wantingTenants(server *serverState, requester *tenantUsage, now time.Duration) (wanting []*tenantUsage, free float64) {
	free = float64(server.limit)
	wanting = []*tenantUsage{requester}
	for _, usage := range server.tenants {
		if usage == requester {
			continue
		}
		if l.wantsMore(server, usage, now) {
			wanting = append(wanting, usage)
			continue
		}
		free -= float64(usage.inUse)
	}
	return wanting, free
}

// unusedFloors returns the connections that tenants which don't want any at present may still claim by their floors.
func (l *Limiter) unusedFloors(server *serverState, requester *tenantUsage, wanting []*tenantUsage) (connections float64) {
	for _, tenant := range l.floors[server.service] {
		isWanting := slices.ContainsFunc(wanting, func(usage *tenantUsage) bool { return usage.tenant == tenant })
		if tenant == requester.tenant || isWanting {
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

// competition returns the whole connections by which the other wanting tenants are below their shares, and whether one of them has
// precedence over the first, the requester. Where the requester's next connection is wholly within its share, the tenant with fewer
// connections by weight has precedence; where only a fraction is, the one with more credit that is below its share.
func (l *Limiter) competition(wanting []*tenantUsage, shares []float64, wholeShare bool) (shortfall int, othersFirst bool) {
	requester := wanting[0]
	weighted := func(usage *tenantUsage) float64 {
		return (float64(usage.inUse) + 1) / l.policies[usage.tenant].Weight
	}
	for i, usage := range wanting[1:] {
		share := shares[i+1]
		short := int(share+shareTolerance) - usage.inUse
		shortfall += max(short, 0)
		switch {
		case !wholeShare:
			belowShare := float64(usage.inUse) < share-shareTolerance
			othersFirst = othersFirst || belowShare && usage.credit > requester.credit
		case short > 0:
			othersFirst = othersFirst || weighted(usage) < weighted(requester)
		}
	}
	return shortfall, othersFirst
}

// reserve returns how many connections of a server are kept for tenants that used its service lately and are expected back: for each its
// usual number and one more, less what it uses. They may use any server of the service, so the total is spread over the servers by rank.
func (l *Limiter) reserve(server *serverState, requester TenantID, now time.Duration) int {
	service := l.service(server.service)
	if service.totalLimit < 2 {
		return 0
	}
	own, needed := l.queue(server.service, requester), 0
	for _, queue := range service.recentTenants {
		if queue == own || now-queue.lastUsed >= presenceWindow {
			continue
		}
		alreadyWanting := slices.ContainsFunc(server.tenants, func(usage *tenantUsage) bool {
			return usage.tenant == queue.tenant && l.wantsMore(server, usage, now)
		})
		if !alreadyWanting {
			needed += max(int(math.Ceil(queue.meanInUse))+1-queue.inUse, 0)
		}
	}
	needed = min(needed, max(service.totalLimit/reserveDivisor, 1))
	here := (needed + service.serverCount - 1 - server.rank) / service.serverCount
	return min(here, server.limit-1)
}
