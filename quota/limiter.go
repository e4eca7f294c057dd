package quota

import (
	"slices"
	"time"
)

const (
	denialWindow      = 50 * time.Millisecond // how long a denial counts as unmet demand
	creditDecay       = time.Second           // time constant of the decay of credits
	activityWindow    = 2 * time.Second       // how long a tenant counts as active, and may return, after it used a server
	reserveDivisor    = 8                     // at most 1/8 of a service's connections is reserved, but at least 1
	inUseSmoothing    = 0.05                  // weight of a new sample in tenantQueue.meanInUse
	holdTimeSmoothing = 0.05                  // weight of a new sample in tenantQueue.meanHoldTime
	initialHoldTime   = 20 * time.Millisecond // assumed until the first connection is released
)

// Limiter divides the connections of one gateway among tenants. Its maps hold entries only for existing servers and
// services, and for tenants that have a policy or still use or wait for connections.
type Limiter struct {
	rankOffset uint64
	policies   []TenantPolicy // by tenant ID
	byName     map[string]TenantID
	freeIDs    []TenantID // IDs of removed tenants, for reuse
	servers    map[ServerID]*serverState
	floors     map[Service][]TenantID // tenants with a floor
	queues     map[queueKey]*tenantQueue
	services   map[Service]*serviceState
	totals     map[TenantID]*tenantTotal
}

// NewLimiter returns a limiter without tenants and servers. Gateways with different rank offsets reserve connections of
// different servers.
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

// SetPolicies replaces all policies and returns the tenants' IDs in the same order. Tenants that remain keep their IDs and
// connections. A tenant whose policy is removed keeps its old policy until it neither uses nor waits for connections.
func (l *Limiter) SetPolicies(policies []TenantPolicy) (ids []TenantID) {
	hasPolicy := map[string]bool{}
	for _, policy := range policies {
		hasPolicy[policy.Name] = true
	}
	for name, id := range l.byName {
		if !hasPolicy[name] && !l.isActive(id) {
			l.removeTenant(name, id)
		}
	}
	for _, policy := range policies {
		id, exists := l.byName[policy.Name]
		if !exists {
			id = l.addTenant(policy)
		}
		l.policies[id] = policy
		ids = append(ids, id)
	}
	return ids
}

// addTenant adds a tenant and returns its ID, a free one if there is any.
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

// removeTenant frees a tenant's ID and removes its state at all servers and services.
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

// isActive reports whether a tenant uses or waits for connections.
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

// SetFloors sets the tenants with a floor that have routes to a service.
func (l *Limiter) SetFloors(service Service, tenants []TenantID) {
	if l.floors[service] = tenants; len(tenants) == 0 {
		delete(l.floors, service)
	}
}

// SetServer adds or updates a server. limit is the number of its connections that this gateway may use, 0 = no limit;
// globalLimit is the number that all gateways together may use.
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

// rankServers ranks the servers of a service. The rank determines which of them reserve connections.
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

// RemoveServer removes a server. Its state remains until its last connection is released.
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

// CanAcquire reports whether a tenant may acquire another connection to a server. A denial counts as unmet demand for
// denialWindow.
func (l *Limiter) CanAcquire(id ServerID, tenant TenantID, now time.Duration) bool {
	server := l.servers[id]
	if server == nil || server.limit == 0 {
		return true
	}
	l.updateServer(server, now)
	usage := server.usage(tenant)
	allowed := server.inUse < server.limit && l.withinShare(server, usage, now)
	if !allowed {
		usage.deniedAt = now
	}
	return allowed
}

// Acquire records that a tenant acquired a connection. It does not check whether the tenant may: see CanAcquire.
func (l *Limiter) Acquire(id ServerID, tenant TenantID, now time.Duration) {
	server := l.servers[id]
	if server == nil {
		return
	}
	l.updateServer(server, now)
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
	if now-queue.lastUsed >= activityWindow {
		queue.meanInUse = 0
	}
	queue.meanInUse += (float64(queue.inUse) - queue.meanInUse) * inUseSmoothing
	queue.lastUsed = now
	service := l.service(name)
	if slices.Contains(service.recentTenants, queue) {
		return
	}
	active := slices.DeleteFunc(service.recentTenants, func(other *tenantQueue) bool {
		return other.inUse == 0 && now-other.lastUsed >= activityWindow
	})
	service.recentTenants = append(active, queue)
}

// Release records that a tenant released a connection after it had held it for holdTime.
func (l *Limiter) Release(id ServerID, tenant TenantID, holdTime, now time.Duration) {
	server := l.servers[id]
	if server == nil {
		return
	}
	l.updateServer(server, now)
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

// AddWaiting adds delta to the number of a tenant's shard calls that wait for a connection of a service.
func (l *Limiter) AddWaiting(service Service, tenant TenantID, delta int) {
	queue := l.queue(service, tenant)
	queue.waiting = max(queue.waiting+delta, 0)
	if queue.waiting == 0 && l.services[service] == nil {
		delete(l.queues, queueKey{service, tenant})
	}
}

// Waiting returns the number of a tenant's shard calls that wait for a connection of a service.
func (l *Limiter) Waiting(service Service, tenant TenantID) int {
	if queue := l.queues[queueKey{service, tenant}]; queue != nil {
		return queue.waiting
	}
	return 0
}
