package quota

import "time"

// Portions of the gateway's in-flight limit up to which a tenant's requests are admitted while other tenants are active.
// They differ so that a tenant that uses less than its share is still admitted when one that uses more is rejected.
const (
	underShareFactor = 1.25
	overShareFactor  = 0.9
)

// InFlightLimitFactor returns the portion of the gateway's in-flight limit up to which a tenant's requests are
// admitted. It is 1 if no other tenant is active, and may be above 1.
func (l *Limiter) InFlightLimitFactor(tenant TenantID, now time.Duration) float64 {
	inUse, own, others := 0, 0, false
	weights := l.policies[tenant].Weight
	for id, total := range l.totals {
		switch {
		case id == tenant:
			own = total.inUse
		case total.inUse == 0 && now-total.lastUsed >= activityWindow:
			delete(l.totals, id)
			continue
		default:
			others = true
			weights += l.policies[id].Weight
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

// EstimatedWait returns the estimated time that a new shard call waits for a connection: the time in which the
// connections of the tenant's share serve the calls that already wait and the new one, at the mean hold time.
func (l *Limiter) EstimatedWait(service Service, tenant TenantID, now time.Duration) time.Duration {
	holdTime, waiting := initialHoldTime, 0
	if queue := l.queues[queueKey{service, tenant}]; queue != nil {
		holdTime, waiting = queue.meanHoldTime, queue.waiting
	}
	connections := 0.0
	for _, server := range l.servers {
		if server.service == service && !server.removed {
			connections += max(l.share(server, server.usage(tenant), now), 1)
		}
	}
	if connections == 0 {
		return 0
	}
	return time.Duration(float64(holdTime) * float64(waiting+1) / connections)
}

// ConnectionUsage is a tenant's use of the connections to one server, as reported to operators.
type ConnectionUsage struct {
	Server         ServerID
	Tenant         string
	InUse          int     // connections
	Borrowed       int     // connections in use that were acquired beyond the tenant's share
	Limit          int     // of this gateway's connections to the server, for all tenants; 0 = no limit
	Share          float64 // the tenant's share of the limit
	HasUnmetDemand bool    // the tenant was recently denied another connection and still waits
}

// ConnectionUsages returns the usages of all tenants that use connections or have unmet demand, at all servers, unordered.
func (l *Limiter) ConnectionUsages(now time.Duration) (usages []ConnectionUsage) {
	for id, server := range l.servers {
		for _, usage := range server.tenants {
			hasUnmetDemand := l.hasUnmetDemand(server, usage, now)
			if usage.inUse == 0 && !hasUnmetDemand {
				continue
			}
			usages = append(usages, ConnectionUsage{
				Server:         id,
				Tenant:         l.policies[usage.tenant].Name,
				InUse:          usage.inUse,
				Borrowed:       usage.borrowed,
				Limit:          server.limit,
				Share:          l.share(server, usage, now),
				HasUnmetDemand: hasUnmetDemand,
			})
		}
	}
	return usages
}
