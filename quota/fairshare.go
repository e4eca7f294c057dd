package quota

import (
	"math"
	"slices"
	"time"
)

// reserve is how many connections of a server are kept for tenants that were at its service a moment ago and are expected back: for each
// what it mostly holds and one more, less what it holds. A part may go to any server of the service, so that few keep one.
func (l *Limiter) reserve(server *serverState, requester TenantID, now time.Duration) int {
	service := l.service(server.service)
	if service.totalLimit < 2 {
		return 0
	}
	own, need := l.queue(server.service, requester), 0
	for _, queue := range service.recentTenants {
		if queue == own || now-queue.lastUsed >= presenceWindow {
			continue
		}
		if !slices.ContainsFunc(server.tenants, func(usage *tenantUsage) bool { return usage.tenant == queue.tenant && l.wantsMore(server, usage, now) }) { // else its claim stands already
			need += max(int(math.Ceil(queue.meanInUse))+1-queue.inUse, 0)
		}
	}
	need = min(need, max(service.totalLimit/reserveDivisor, 1))
	return min((need+service.serverCount-1-server.rank)/service.serverCount, server.limit-1)
}

// wantsMore tells whether a tenant was refused a connection of late and waits yet.
func (l *Limiter) wantsMore(server *serverState, usage *tenantUsage, now time.Duration) bool {
	return now-usage.deniedAt < denialWindow && l.Waiting(server.service, usage.tenant) > 0
}

// advance carries the credits on to a moment, and drops those that have nothing there any more.
func (l *Limiter) advance(server *serverState, now time.Duration) {
	if now == server.updatedAt {
		return
	}
	seconds := min(now-server.updatedAt, presenceWindow).Seconds()
	server.updatedAt = now
	if server.limit > 0 && len(server.tenants) > 1 {
		var wanting []*tenantUsage
		available := float64(server.limit)
		for _, usage := range server.tenants {
			if l.wantsMore(server, usage, now) {
				wanting = append(wanting, usage)
			} else { // what it has it has lent or is glad of: that counts neither way
				available -= float64(usage.inUse)
			}
			usage.credit -= usage.credit * min(seconds/creditDecay.Seconds(), 1)
		}
		if len(wanting) > 1 {
			for i, share := range l.maxMinShares(server, available, wanting, true) {
				usage := wanting[i]
				usage.credit = max(min(usage.credit+seconds*(share-float64(usage.inUse)), float64(server.limit)), -float64(server.limit))
			}
		}
	}
	server.tenants = slices.DeleteFunc(server.tenants, func(usage *tenantUsage) bool {
		return usage.inUse == 0 && now-usage.lastUsed >= presenceWindow && now-usage.deniedAt >= presenceWindow
	})
}

// scale is a number of connections of all gatherers, in this one's part.
func (server *serverState) scale(connections float64) float64 {
	if server.globalLimit <= 0 {
		return connections
	}
	return connections * float64(server.limit) / float64(server.globalLimit)
}

// share is a tenant's part of a server's connections beside those that are there too, whatever they hold.
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

// withinShare tells whether a tenant that holds what it does may take another without keeping those from theirs who want it, and without
// the reserve of those who are expected.
func (l *Limiter) withinShare(server *serverState, requester *tenantUsage, now time.Duration) bool {
	free := float64(server.limit)
	wanting := []*tenantUsage{requester}
	floors := 0.0
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
	for _, tenant := range l.floors[server.service] {
		if tenant == requester.tenant || slices.ContainsFunc(wanting, func(usage *tenantUsage) bool { return usage.tenant == tenant }) {
			continue
		}
		inUse := 0
		for _, usage := range server.tenants {
			if usage.tenant == tenant {
				inUse = usage.inUse
			}
		}
		floors += max(math.Ceil(server.scale(l.policies[tenant].Floor))-float64(inUse), 0)
	}
	own, inUse := l.share(server, requester, now), float64(requester.inUse)
	reserved := min(floors, float64(server.limit-1))
	if inUse+1 > own { // the reserve is kept from what is lent, not from anybody's own
		reserved = max(reserved, float64(l.reserve(server, requester.tenant, now)))
	}
	free -= reserved
	shares := l.maxMinShares(server, free, wanting, true)
	share := shares[0]
	if maxBorrowed := l.policies[requester.tenant].MaxBorrowed; maxBorrowed >= 0 {
		share = min(share, own+server.scale(maxBorrowed))
	}
	if inUse+1 <= server.scale(l.policies[requester.tenant].Floor) {
		return true
	}
	if inUse >= share-1e-9 {
		// Nobody else wants it, nothing is kept back and its own bounds allow it: a part below one would else be none.
		return requester.inUse == 0 && len(wanting) == 1 && free > 0
	}
	claims, othersFirst := 0, false // whole connections that others are short of; somebody has had less of its part so far
	for i, usage := range wanting[1:] {
		shortfall := int(shares[i+1]+1e-9) - usage.inUse
		claims += max(shortfall, 0)
		switch {
		case inUse+1 > share+1e-9: // a fraction is left for this one
			othersFirst = othersFirst || float64(usage.inUse) < shares[i+1]-1e-9 && usage.credit > requester.credit
		case shortfall > 0:
			othersFirst = othersFirst || float64(usage.inUse+1)/l.policies[usage.tenant].Weight < (inUse+1)/l.policies[requester.tenant].Weight
		}
	}
	sufficient := server.inUse+claims < server.limit
	if inUse+1 > share+1e-9 {
		return sufficient && !othersFirst
	}
	return sufficient || !othersFirst
}

// Shares is what each of some tenants has of a server's connections while all of them want all.
func Shares(connections int, policies []TenantPolicy) []float64 {
	limiter, server := &Limiter{policies: policies}, &serverState{limit: connections, globalLimit: connections}
	usages := make([]*tenantUsage, len(policies))
	for i := range policies {
		usages[i] = &tenantUsage{tenant: TenantID(i)}
	}
	return limiter.maxMinShares(server, float64(connections), usages, false)
}

// maxMinShares divides what is there by weighted max-min: nobody gets more than its most, and by demand no more than it holds and waits for,
// nobody less than its floor, the rest goes by weights. It returns a part for each, in their order.
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
		// Floors first: they lower the level for the rest; then the bounds above, which raise it.
		changed := false
		for phase := 0; phase < 2 && !changed; phase++ {
			for i, usage := range usages {
				if fixed[i] {
					continue
				}
				policy := l.policies[usage.tenant]
				level := remaining * policy.Weight / weights
				if floor := server.scale(policy.Floor); phase == 0 && policy.Floor > 0 && level < floor {
					shares[i], fixed[i], changed = floor, true, true
				}
				limit := math.Inf(1)
				if policy.Max > 0 {
					limit = max(server.scale(policy.Max), 1)
				}
				if limitToDemand {
					limit = min(limit, float64(usage.inUse+max(l.Waiting(server.service, usage.tenant), 1)))
				}
				if phase == 1 && level > limit {
					shares[i], fixed[i], changed = limit, true, true
				}
			}
		}
		if changed {
			continue
		}
		for i, usage := range usages {
			if !fixed[i] {
				shares[i] = remaining * l.policies[usage.tenant].Weight / weights
			}
		}
		return shares
	}
}
