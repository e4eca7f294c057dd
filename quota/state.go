package quota

import (
	"slices"
	"time"
)

// tenantTotal is what a tenant uses at all servers together.
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
	inUse        int     // connections, at all servers of the service
	meanInUse    float64 // smoothed over acquisitions
	lastUsed     time.Duration
	meanHoldTime time.Duration // smoothed over releases
}

// serviceState is the state of one service.
type serviceState struct {
	serverCount   int            // servers with a limit
	totalLimit    int            // sum of these servers' limits
	recentTenants []*tenantQueue // those that acquired a connection lately
}

// serverState is the state of one server.
type serverState struct {
	service     Service
	limit       int // connections that this gateway may use; 0 = no limit
	globalLimit int // connections that all gateways together may use
	inUse       int
	tenants     []*tenantUsage // those that use, used or were denied connections lately
	updatedAt   time.Duration  // when credits were last advanced
	rank        int            // among the servers of its service, in this gateway's order
	removed     bool           // kept until its last connection is released
}

// tenantUsage is the state of one tenant at one server.
type tenantUsage struct {
	tenant   TenantID
	inUse    int
	borrowed int           // of these, acquired beyond the tenant's share
	lastUsed time.Duration // when it last acquired or released one
	deniedAt time.Duration // when it was last denied one
	credit   float64       // connection-seconds received less than its share, while it and others wanted more; negative = received more
}

// usage returns the state of a tenant, which it adds if there is none.
func (s *serverState) usage(tenant TenantID) *tenantUsage {
	for _, usage := range s.tenants {
		if usage.tenant == tenant {
			return usage
		}
	}
	usage := &tenantUsage{tenant: tenant, lastUsed: -presenceWindow, deniedAt: -denialWindow}
	s.tenants = append(s.tenants, usage)
	return usage
}

// scale converts a number of connections over all gateways to this gateway's portion.
func (s *serverState) scale(connections float64) float64 {
	if s.globalLimit <= 0 {
		return connections
	}
	return connections * float64(s.limit) / float64(s.globalLimit)
}

func (l *Limiter) service(name Service) *serviceState {
	service := l.services[name]
	if service == nil {
		service = &serviceState{}
		l.services[name] = service
	}
	return service
}

func (l *Limiter) queue(service Service, tenant TenantID) *tenantQueue {
	key := queueKey{service, tenant}
	queue := l.queues[key]
	if queue == nil {
		queue = &tenantQueue{tenant: tenant, meanHoldTime: initialHoldTime}
		l.queues[key] = queue
	}
	return queue
}

// advance brings a server's credits up to a time, and drops tenants that have neither used nor wanted it lately.
func (l *Limiter) advance(server *serverState, now time.Duration) {
	if now == server.updatedAt {
		return
	}
	elapsed := min(now-server.updatedAt, presenceWindow)
	server.updatedAt = now
	if server.limit > 0 && len(server.tenants) > 1 {
		l.advanceCredits(server, elapsed, now)
	}
	server.tenants = slices.DeleteFunc(server.tenants, func(usage *tenantUsage) bool {
		return usage.inUse == 0 && now-usage.lastUsed >= presenceWindow && now-usage.deniedAt >= presenceWindow
	})
}

// advanceCredits decays all credits. Tenants that want more then earn the difference between their share and their use. Credits
// of the others don't change: they have lent the rest of their share or don't need it.
func (l *Limiter) advanceCredits(server *serverState, elapsed, now time.Duration) {
	seconds := elapsed.Seconds()
	available := float64(server.limit)
	var wanting []*tenantUsage
	for _, usage := range server.tenants {
		if l.wantsMore(server, usage, now) {
			wanting = append(wanting, usage)
		} else {
			available -= float64(usage.inUse)
		}
		usage.credit -= usage.credit * min(seconds/creditDecay.Seconds(), 1)
	}
	if len(wanting) < 2 {
		return
	}
	bound := float64(server.limit)
	for i, share := range l.maxMinShares(server, available, wanting, true) {
		usage := wanting[i]
		usage.credit = max(min(usage.credit+seconds*(share-float64(usage.inUse)), bound), -bound)
	}
}

// pruneService drops the state of a service whose last server is gone and whose last connection is released.
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
