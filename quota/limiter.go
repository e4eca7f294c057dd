package quota

import (
	"slices"
	"time"
)

const (
	denialWindow      = 50 * time.Millisecond // how long a denied tenant counts as wanting a connection
	creditDecay       = time.Second           // after which a tenant's credit is forgotten
	presenceWindow    = 2 * time.Second       // how long a tenant is expected back after it used a server
	reserveDivisor    = 8                     // at most 1/8 of a service's connections is kept in reserve, but 1 at least
	inUseSmoothing    = 0.05                  // weight of a new sample in tenantQueue.meanInUse
	holdTimeSmoothing = 0.05                  // weight of a new sample in tenantQueue.meanHoldTime
	initialHoldTime   = 20 * time.Millisecond // assumed before a connection was released
)

// Limiter shares the connections of one gateway. Its tables hold entries for the servers and services that exist and the tenants
// that have a policy or still use or await connections.
type Limiter struct {
	rankOffset uint64
	policies   []TenantPolicy // by tenant ID
	byName     map[string]TenantID
	freeIDs    []TenantID // for reuse
	servers    map[ServerID]*serverState
	floors     map[Service][]TenantID
	queues     map[queueKey]*tenantQueue
	services   map[Service]*serviceState
	totals     map[TenantID]*tenantTotal
}

// NewLimiter returns a limiter without tenants and servers. Gateways with different rank offsets keep their reserves at different
// servers.
func NewLimiter(rankOffset uint64) *Limiter {
	return &Limiter{
		rankOffset: rankOffset,
		byName:     map[string]TenantID{},
		servers:    map[ServerID]*serverState{},
		floors:     map[Service][]TenantID{},
		queues:     map[queueKey]*tenantQueue{},
		services:   map[Service]*serviceState{},
		totals:     map[TenantID]*tenantTotal{},
	}
}

// SetPolicies replaces all policies and returns the tenants' IDs in the same order. A tenant keeps its ID and its connections; one
// without a policy any more keeps its old one until it neither uses nor awaits connections.
func (l *Limiter) SetPolicies(policies []TenantPolicy) (ids []TenantID) {
	named := map[string]bool{}
	for _, policy := range policies {
		named[policy.Name] = true
	}
	for name, id := range l.byName {
		if !named[name] && !l.isActive(id) {
			l.removeTenant(name, id)
		}
	}
	for _, policy := range policies {
		id, known := l.byName[policy.Name]
		if !known {
			id = l.addTenant(policy)
		}
		l.policies[id] = policy
		ids = append(ids, id)
	}
	return ids
}

func (l *Limiter) addTenant(policy TenantPolicy) TenantID {
	id := TenantID(len(l.policies))
	if free := len(l.freeIDs); free > 0 {
		id, l.freeIDs = l.freeIDs[free-1], l.freeIDs[:free-1]
	} else {
		l.policies = append(l.policies, policy)
	}
	l.byName[policy.Name] = id
	return id
}

func (l *Limiter) removeTenant(name string, id TenantID) {
	delete(l.byName, name)
	l.freeIDs = append(l.freeIDs, id)
	for key, queue := range l.queues {
		if key.tenant == id && queue.waiting == 0 {
			delete(l.queues, key)
		}
	}
	for _, server := range l.servers {
		server.tenants = slices.DeleteFunc(server.tenants, func(usage *tenantUsage) bool { return usage.tenant == id })
	}
}

// isActive reports whether a tenant uses or awaits connections.
func (l *Limiter) isActive(tenant TenantID) bool {
	for _, server := range l.servers {
		for _, usage := range server.tenants {
			if usage.tenant == tenant && usage.inUse > 0 {
				return true
			}
		}
	}
	for key, queue := range l.queues {
		if key.tenant == tenant && queue.waiting > 0 {
			return true
		}
	}
	return false
}

// SetFloors sets which tenants with a floor have routes to a service.
func (l *Limiter) SetFloors(service Service, tenants []TenantID) {
	if l.floors[service] = tenants; len(tenants) == 0 {
		delete(l.floors, service)
	}
}

// SetServer adds or changes a server. The limit is the number of its connections that this gateway may use, 0 = no limit; the global
// limit is that of all gateways together.
func (l *Limiter) SetServer(id ServerID, service Service, limit, globalLimit int) {
	server := l.servers[id]
	if server == nil {
		server = &serverState{}
		l.servers[id] = server
	}
	if server.service != service || server.limit != limit || server.globalLimit != globalLimit || server.removed {
		server.service, server.limit, server.globalLimit, server.removed = service, limit, globalLimit, false
		l.rankServers(service)
	}
}

// rankServers orders the servers of a service. The order decides which of them keep connections in reserve.
func (l *Limiter) rankServers(name Service) {
	service := l.service(name)
	service.serverCount, service.totalLimit = 0, 0
	var ids []ServerID
	for id, server := range l.servers {
		if server.service == name && !server.removed && server.limit > 0 {
			ids = append(ids, id)
			service.totalLimit += server.limit
		}
	}
	slices.Sort(ids)
	service.serverCount = len(ids)
	for i, id := range ids {
		l.servers[id].rank = int((uint64(i) + l.rankOffset) % uint64(len(ids)))
	}
}

// RemoveServer removes a server. Its state is kept until its last connection is released.
func (l *Limiter) RemoveServer(id ServerID) {
	server := l.servers[id]
	if server == nil {
		return
	}
	if server.removed = true; server.inUse == 0 {
		delete(l.servers, id)
	}
	l.rankServers(server.service)
	l.pruneService(server.service)
}

// CanAcquire reports whether a tenant may take one more connection to a server. A denial counts as demand for a while.
func (l *Limiter) CanAcquire(id ServerID, tenant TenantID, now time.Duration) bool {
	server := l.servers[id]
	if server == nil || server.limit == 0 {
		return true
	}
	l.advance(server, now)
	usage := server.usage(tenant)
	allowed := server.inUse < server.limit && l.withinShare(server, usage, now)
	if !allowed {
		usage.deniedAt = now
	}
	return allowed
}

// Acquire records that a tenant took a connection. It does not check whether it may: see CanAcquire.
func (l *Limiter) Acquire(id ServerID, tenant TenantID, now time.Duration) {
	server := l.servers[id]
	if server == nil {
		return
	}
	l.advance(server, now)
	usage := server.usage(tenant)
	if server.limit > 0 && float64(usage.inUse) >= l.share(server, usage, now) {
		usage.borrowed++
	}
	usage.inUse++
	usage.lastUsed = now
	usage.deniedAt = -denialWindow
	server.inUse++
	l.acquireTotal(tenant, now)
	l.acquireQueue(server.service, tenant, now)
}

func (l *Limiter) acquireTotal(tenant TenantID, now time.Duration) {
	total := l.totals[tenant]
	if total == nil {
		total = &tenantTotal{}
		l.totals[tenant] = total
	}
	total.inUse++
	total.lastUsed = now
}

func (l *Limiter) acquireQueue(name Service, tenant TenantID, now time.Duration) {
	queue := l.queue(name, tenant)
	queue.inUse++
	if now-queue.lastUsed >= presenceWindow {
		queue.meanInUse = 0
	}
	queue.meanInUse += (float64(queue.inUse) - queue.meanInUse) * inUseSmoothing
	queue.lastUsed = now
	service := l.service(name)
	if slices.Contains(service.recentTenants, queue) {
		return
	}
	present := slices.DeleteFunc(service.recentTenants, func(other *tenantQueue) bool {
		return other.inUse == 0 && now-other.lastUsed >= presenceWindow
	})
	service.recentTenants = append(present, queue)
}

// Release records that a tenant released a connection that it had held for a time.
func (l *Limiter) Release(id ServerID, tenant TenantID, holdTime, now time.Duration) {
	server := l.servers[id]
	if server == nil {
		return
	}
	l.advance(server, now)
	usage := server.usage(tenant)
	if usage.inUse == 0 {
		return
	}
	usage.inUse--
	usage.lastUsed = now
	usage.borrowed = min(usage.borrowed, usage.inUse)
	if total := l.totals[tenant]; total != nil {
		total.inUse, total.lastUsed = max(total.inUse-1, 0), now
	}
	server.inUse--
	queue := l.queue(server.service, tenant)
	queue.inUse, queue.lastUsed = max(queue.inUse-1, 0), now
	queue.meanHoldTime += time.Duration(holdTimeSmoothing * float64(holdTime-queue.meanHoldTime))
	if server.removed && server.inUse == 0 {
		delete(l.servers, id)
		l.pruneService(server.service)
	}
}

// AddWaiting changes the number of a tenant's shard calls that wait for a connection of a service.
func (l *Limiter) AddWaiting(service Service, tenant TenantID, delta int) {
	queue := l.queue(service, tenant)
	queue.waiting = max(queue.waiting+delta, 0)
	if queue.waiting == 0 && l.services[service] == nil {
		delete(l.queues, queueKey{service, tenant})
	}
}

// Waiting returns how many of a tenant's shard calls wait for a connection of a service.
func (l *Limiter) Waiting(service Service, tenant TenantID) int {
	if queue := l.queues[queueKey{service, tenant}]; queue != nil {
		return queue.waiting
	}
	return 0
}
