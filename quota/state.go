package quota

import (
	"slices"
	"time"
)

// tenantTotal is a tenant's use of all servers together.
type tenantTotal struct {
	inUse    int
	lastUsed time.Duration
}

type queueKey struct {
	service Service
	tenant  TenantID
}

// tenantQueue is the state of one tenant at one service.
type tenantQueue struct {
	tenant       TenantID
	waiting      int     // shard calls that wait for a connection
	inUse        int     // connections to all servers of the service
	meanInUse    float64 // moving average of inUse, updated by each acquisition
	lastUsed     time.Duration
	meanHoldTime time.Duration // moving average, updated by each release
}

// serviceState is the state of one service.
type serviceState struct {
	serverCount   int            // servers with a limit
	totalLimit    int            // sum of these servers' limits
	recentTenants []*tenantQueue // tenants that recently acquired a connection
}

// serverState is the state of one server.
type serverState struct {
	service     Service
	limit       int // connections that this gateway may use; 0 = no limit
	globalLimit int // connections that all gateways together may use
	inUse       int
	tenants     []*tenantUsage // tenants that use, or recently used or were denied, connections
	updatedAt   time.Duration  // when credits were last updated
	rank        int            // among the servers of its service, in this gateway's order
	removed     bool           // removed, but not all connections are released yet
}

// tenantUsage is the state of one tenant at one server.
type tenantUsage struct {
	tenant   TenantID
	inUse    int
	borrowed int           // connections in use that were acquired beyond the tenant's share
	lastUsed time.Duration // when the tenant last acquired or released a connection
	deniedAt time.Duration // when the tenant was last denied a connection
	// credit is the number of connection-seconds that the tenant used less than its share while it and others had unmet
	// demand; negative = used more.
	credit float64
}

// usage returns the state of a tenant at the server, and creates it if there is none.
func (s *serverState) usage(tenant TenantID) *tenantUsage {
	for _, usage := range s.tenants {
		if usage.tenant == tenant {
			return usage
		}
	}
	usage := &tenantUsage{tenant: tenant, lastUsed: -activityWindow, deniedAt: -denialWindow}
	s.tenants = append(s.tenants, usage)
	return usage
}

// scale converts a number of connections of all gateways to this gateway's portion.
func (s *serverState) scale(connections float64) float64 {
	if s.globalLimit <= 0 {
		return connections
	}
	return connections * float64(s.limit) / float64(s.globalLimit)
}

// service returns the state of a service, and creates it if there is none.
func (l *Limiter) service(name Service) *serviceState {
	service := l.services[name]
	if service == nil {
		service = &serviceState{}
		l.services[name] = service
	}
	return service
}

// queue returns the state of a tenant at a service, and creates it if there is none.
func (l *Limiter) queue(service Service, tenant TenantID) *tenantQueue {
	key := queueKey{service, tenant}
	queue := l.queues[key]
	if queue == nil {
		queue = &tenantQueue{tenant: tenant, meanHoldTime: initialHoldTime}
		l.queues[key] = queue
	}
	return queue
}

// updateServer updates a server's credits to the current time, and removes tenants that have neither used nor been denied
// a connection within activityWindow.
func (l *Limiter) updateServer(server *serverState, now time.Duration) {
	if now == server.updatedAt {
		return
	}
	elapsed := min(now-server.updatedAt, activityWindow)
	server.updatedAt = now
	if server.limit > 0 && len(server.tenants) > 1 {
		l.updateCredits(server, elapsed, now)
	}
	server.tenants = slices.DeleteFunc(server.tenants, func(usage *tenantUsage) bool {
		return usage.inUse == 0 && now-usage.lastUsed >= activityWindow && now-usage.deniedAt >= activityWindow
	})
}

// updateCredits decays all credits and then, if at least two tenants have unmet demand, adds to the credit of each of
// them the difference between its share and its use. The credits of other tenants only decay: these tenants have lent the
// rest of their share or do not need it.
func (l *Limiter) updateCredits(server *serverState, elapsed, now time.Duration) {
	seconds := elapsed.Seconds()
	available := float64(server.limit)
	var contenders []*tenantUsage
	for _, usage := range server.tenants {
		if l.hasUnmetDemand(server, usage, now) {
			contenders = append(contenders, usage)
		} else {
			available -= float64(usage.inUse)
		}
		usage.credit -= usage.credit * min(seconds/creditDecay.Seconds(), 1)
	}
	if len(contenders) < 2 {
		return
	}
	bound := float64(server.limit)
	for i, share := range l.maxMinShares(server, available, contenders, true) {
		usage := contenders[i]
		usage.credit = max(min(usage.credit+seconds*(share-float64(usage.inUse)), bound), -bound)
	}
}

// pruneService removes the state of a service that has no servers left. A removed server counts until its last connection
// is released.
func (l *Limiter) pruneService(name Service) {
	for _, server := range l.servers {
		if server.service == name {
			return
		}
	}
	delete(l.services, name)
	for key, queue := range l.queues {
		if key.service == name && queue.waiting == 0 {
			delete(l.queues, key)
		}
	}
}
