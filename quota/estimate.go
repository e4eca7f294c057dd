package quota

import "time"

// Portions of the gateway's in-flight limit that a tenant's requests may fill while other tenants are present: one that uses less than its
// share is still admitted when one that uses more is not.
const (
	underShareFactor = 1.25
	overShareFactor  = 0.9
)

// InFlightFactor returns the portion of the gateway's in-flight limit that a tenant's requests may fill; 1 = all of it.
func (l *Limiter) InFlightFactor(tenant TenantID, now time.Duration) float64 {
	inUse, own, others := 0, 0, false
	weights := l.policies[tenant].Weight
	for id, total := range l.totals {
		switch {
		case id == tenant:
			own = total.inUse
		case total.inUse == 0 && now-total.lastUsed >= presenceWindow:
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

// EstimatedWait returns how long a shard call without a free connection is likely to wait for one: as long as the tenant's calls that wait
// already take, one after another, on the connections of its share.
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

// ConnectionUsage is a tenant's use of one server, for operators.
type ConnectionUsage struct {
	Server    ServerID
	Tenant    string
	InUse     int     // connections
	Borrowed  int     // of these, beyond the tenant's share
	Limit     int     // of all tenants of this gateway at the server; 0 = no limit
	Share     float64 // of the limit
	WantsMore bool    // the tenant was denied another lately and still waits
}

// ConnectionUsages returns the tenants that use or want connections, at all servers, in no order.
func (l *Limiter) ConnectionUsages(now time.Duration) (usages []ConnectionUsage) {
	for id, server := range l.servers {
		for _, usage := range server.tenants {
			wantsMore := l.wantsMore(server, usage, now)
			if usage.inUse == 0 && !wantsMore {
				continue
			}
			usages = append(usages, ConnectionUsage{
				Server:    id,
				Tenant:    l.policies[usage.tenant].Name,
				InUse:     usage.inUse,
				Borrowed:  usage.borrowed,
				Limit:     server.limit,
				Share:     l.share(server, usage, now),
				WantsMore: wantsMore,
			})
		}
	}
	return usages
}
