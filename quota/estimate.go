package quota

import "time"

// How much of the in-flight limit tenants may fill while others are there too: whoever has less than its part is let in when whoever has
// more is not.
const (
	underShareFactor = 1.25
	overShareFactor  = 0.9
)

// InFlightFactor is how much of the gatherer's in-flight limit a tenant's requests may fill.
func (l *Limiter) InFlightFactor(tenant TenantID, now time.Duration) float64 {
	inUse, weights, own, others := 0, l.policies[tenant].Weight, 0, false
	for other, total := range l.totals {
		switch {
		case other == tenant:
			own = total.inUse
		case total.inUse == 0 && now-total.lastUsed >= presenceWindow:
			delete(l.totals, other)
			continue
		default:
			others = true
			weights += l.policies[other].Weight
		}
		inUse += total.inUse
	}
	switch {
	case !others:
		return 1
	case float64(own) <= float64(inUse)*l.policies[tenant].Weight/weights:
		return underShareFactor
	}
	return overShareFactor
}

// EstimatedWait is how long a part that finds no room at a service is likely to wait for it: those that wait before it, held one after the
// other in the tenant's own part.
func (l *Limiter) EstimatedWait(service Service, tenant TenantID, now time.Duration) time.Duration {
	holdTime, waiting := initialHoldTime, 0
	if queue := l.queues[queueKey{service, tenant}]; queue != nil {
		holdTime, waiting = queue.meanHoldTime, queue.waiting
	}
	connections := 0.0
	for _, server := range l.servers {
		if server.service == service && !server.removed {
			connections += max(l.share(server, server.usage(tenant, now), now), 1)
		}
	}
	if connections == 0 {
		return 0
	}
	return time.Duration(float64(holdTime) * float64(waiting+1) / connections)
}

// ConnectionUsage is what a tenant has at a server.
type ConnectionUsage struct {
	Server          ServerID
	Tenant          string
	InUse, Borrowed int
	Limit           int // of the gatherer's; 0 = no limit
	Share           float64
	WantsMore       bool
}

// ConnectionUsages lists who holds or wants connections, at all servers.
func (l *Limiter) ConnectionUsages(now time.Duration) (out []ConnectionUsage) {
	for id, server := range l.servers {
		for _, usage := range server.tenants {
			if wants := l.wantsMore(server, usage, now); usage.inUse > 0 || wants {
				out = append(out, ConnectionUsage{id, l.policies[usage.tenant].Name, usage.inUse, usage.borrowed, server.limit, l.share(server, usage, now), wants})
			}
		}
	}
	return out
}

// Waiting is how many parts of a tenant wait at a service.
func (l *Limiter) Waiting(service Service, tenant TenantID) int {
	if queue := l.queues[queueKey{service, tenant}]; queue != nil {
		return queue.waiting
	}
	return 0
}
