// Package quota shares the servers' connections among tenants, as foragers carry home what feeds the whole hive: on one gatherer
// (Node) by weighted max-min with what is idle lent out, and over all gatherers (Keeper) as parts that follow where each tenant's
// traffic is. It owns who may take the next connection and how many each gatherer may hold. It has no I/O, no clock and no
// goroutine; times are the caller's steady clock.
//
// Connections held over time are the server's time that a tenant takes: what holds for the one at each moment holds for the other.
package quota

import (
	"slices"
	"time"
)

type (
	TenantID int    // a tenant's number at one gatherer
	ServerID uint32 // a server, as the gatherer numbers it
	Service  string
)

// TenantPolicy are what a tenant is given. Floor, Most and Borrow count connections at one server of all gatherers together; a gatherer
// holds its part of them.
type TenantPolicy struct {
	Name        string
	Weight      float64 // above 0
	Floor       float64 // never lent to others
	Max         float64 // 0 = no bound
	MaxBorrowed float64 // beyond its own part, of what others leave idle; negative = all of it
}

const (
	denialWindow      = 50 * time.Millisecond // a tenant that was refused wants a connection for so long
	creditDecay       = time.Second           // what a tenant had too little or too much of is forgotten in so long
	presenceWindow    = 2 * time.Second       // one that used a server so lately is expected back: a reserve is kept
	reserveDivisor    = 8                     // of a service's connections one in so many is kept in reserve at the most, one at least
	inUseSmoothing    = 0.05                  // smoothing of how many connections a tenant holds at a service
	holdTimeSmoothing = 0.05                  // smoothing of how long a connection is held
	initialHoldTime   = 20 * time.Millisecond // before any was seen
)

// Limiter is the sharing on one gatherer.
type Limiter struct {
	rankOffset uint64
	policies   []TenantPolicy
	byName     map[string]TenantID       // as many as the document and the routes name
	freeIDs    []TenantID                // numbers of those gone that hold nothing
	servers    map[ServerID]*serverState // emptied as servers go
	floors     map[Service][]TenantID
	queues     map[queueKey]*tenantQueue // emptied as services go
	services   map[Service]*serviceState // emptied as services go
	totals     map[TenantID]*tenantTotal // emptied of those that hold nothing and were not seen of late
}

// tenantTotal is what a tenant holds at all servers.
type tenantTotal struct {
	inUse    int
	lastUsed time.Duration
}

type queueKey struct {
	service Service
	tenant  TenantID
}

// tenantQueue is a tenant at one service: parts that wait for a connection, connections that it holds and how long.
type tenantQueue struct {
	tenant       TenantID
	waiting      int
	inUse        int
	meanInUse    float64 // of what it held, as it took another
	lastUsed     time.Duration
	meanHoldTime time.Duration
}

// serviceState is a service: its servers, and the tenants that were seen there.
type serviceState struct {
	serverCount, totalLimit int
	recentTenants           []*tenantQueue
}

// serverState is one server's connections, as this gatherer may hold them.
type serverState struct {
	service            Service
	limit, globalLimit int // of whole for all gatherers together; part 0 = no limit
	inUse              int
	tenants            []*tenantUsage // emptied of those that hold nothing and were not seen of late
	updatedAt          time.Duration
	rank               int  // among the servers of its service, in this gatherer's order
	removed            bool // the server is gone; forgotten with its last connection
}

type tenantUsage struct {
	tenant   TenantID
	inUse    int
	borrowed int           // of these, taken beyond its own part
	lastUsed time.Duration // when it last held one
	deniedAt time.Duration // when it was last refused
	credit   float64       // connections times seconds that it had less than its part, while it and others wanted more
}

// NewLimiter makes a sharing that knows no tenant and no server. Gatherers with other lots keep their reserves at other servers.
func NewLimiter(rankOffset uint64) *Limiter {
	return &Limiter{rankOffset: rankOffset, byName: map[string]TenantID{}, servers: map[ServerID]*serverState{}, floors: map[Service][]TenantID{}, queues: map[queueKey]*tenantQueue{}, services: map[Service]*serviceState{}, totals: map[TenantID]*tenantTotal{}}
}

// SetPolicies puts terms in force and returns the tenants' numbers, in their order. A tenant keeps its number, and what it holds, from one
// document to the next; one that is no longer named keeps its terms until its last connection is back.
func (l *Limiter) SetPolicies(policies []TenantPolicy) (ids []TenantID) {
	named := map[string]bool{}
	for _, t := range policies {
		named[t.Name] = true
	}
	for name, id := range l.byName {
		if !named[name] && !l.inUse(id) {
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
	}
	for _, t := range policies {
		id, known := l.byName[t.Name]
		if !known {
			id = TenantID(len(l.policies))
			if k := len(l.freeIDs); k > 0 {
				id, l.freeIDs = l.freeIDs[k-1], l.freeIDs[:k-1]
			} else {
				l.policies = append(l.policies, t)
			}
			l.byName[t.Name] = id
		}
		l.policies[id] = t
		ids = append(ids, id)
	}
	return ids
}

func (l *Limiter) inUse(tenant TenantID) bool {
	for _, server := range l.servers {
		for _, usage := range server.tenants {
			if usage.tenant == tenant && usage.inUse > 0 {
				return true
			}
		}
	}
	for key, q := range l.queues {
		if key.tenant == tenant && q.waiting > 0 {
			return true
		}
	}
	return false
}

// SetFloors says which tenants with floors have routes to a service.
func (l *Limiter) SetFloors(service Service, tenants []TenantID) {
	if l.floors[service] = tenants; len(tenants) == 0 {
		delete(l.floors, service)
	}
}

// SetServer says that a server is there and how many of its connections this gatherer may hold, of how many that it takes in all;
// part 0 = no limit.
func (l *Limiter) SetServer(server ServerID, service Service, limit, globalLimit int) {
	state := l.servers[server]
	if state == nil {
		state = &serverState{}
		l.servers[server] = state
	}
	if state.service != service || state.limit != limit || state.globalLimit != globalLimit || state.removed {
		state.service, state.limit, state.globalLimit, state.removed = service, limit, globalLimit, false
		l.rankServers(service)
	}
}

// rankServers puts the servers of a service into this gatherer's order, in which they keep connections in reserve.
func (l *Limiter) rankServers(service Service) {
	state := l.service(service)
	state.serverCount, state.totalLimit = 0, 0
	var ids []ServerID
	for id, server := range l.servers {
		if server.service == service && !server.removed && server.limit > 0 {
			ids = append(ids, id)
			state.totalLimit += server.limit
		}
	}
	slices.Sort(ids)
	state.serverCount = len(ids)
	for i, id := range ids {
		l.servers[id].rank = int((uint64(i) + l.rankOffset) % uint64(len(ids)))
	}
}

func (l *Limiter) service(service Service) *serviceState {
	state := l.services[service]
	if state == nil {
		state = &serviceState{}
		l.services[service] = state
	}
	return state
}

// RemoveServer says that a server is gone.
func (l *Limiter) RemoveServer(server ServerID) {
	if state := l.servers[server]; state != nil {
		if state.removed = true; state.inUse == 0 {
			delete(l.servers, server)
		}
		l.rankServers(state.service)
		l.pruneService(state.service)
	}
}

// pruneService empties the tables of a service whose last server is gone and whose last connection is back.
func (l *Limiter) pruneService(service Service) {
	for _, server := range l.servers {
		if server.service == service {
			return
		}
	}
	delete(l.services, service)
	for key, queue := range l.queues {
		if key.service == service && queue.waiting == 0 {
			delete(l.queues, key)
		}
	}
}

// CanAcquire tells whether a tenant may take one more connection to a server now. A refusal is noted: the tenant wants one.
func (l *Limiter) CanAcquire(server ServerID, tenant TenantID, now time.Duration) bool {
	state := l.servers[server]
	if state == nil || state.limit == 0 {
		return true
	}
	l.advance(state, now)
	usage := state.usage(tenant, now)
	allowed := state.inUse < state.limit && l.withinShare(state, usage, now)
	if !allowed {
		usage.deniedAt = now
	}
	return allowed
}

// Acquire says that a tenant took a connection, Back that it gave one back.
func (l *Limiter) Acquire(server ServerID, tenant TenantID, now time.Duration) {
	state := l.servers[server]
	if state == nil {
		return
	}
	l.advance(state, now)
	usage := state.usage(tenant, now)
	if state.limit > 0 && float64(usage.inUse) >= l.share(state, usage, now) {
		usage.borrowed++
	}
	usage.inUse, usage.lastUsed, usage.deniedAt = usage.inUse+1, now, -denialWindow
	state.inUse++
	total := l.totals[tenant]
	if total == nil {
		total = &tenantTotal{}
		l.totals[tenant] = total
	}
	total.inUse, total.lastUsed = total.inUse+1, now
	queue := l.queue(state.service, tenant)
	if queue.inUse++; now-queue.lastUsed >= presenceWindow {
		queue.meanInUse = 0
	}
	queue.meanInUse += (float64(queue.inUse) - queue.meanInUse) * inUseSmoothing
	if queue.lastUsed = now; !slices.Contains(l.service(state.service).recentTenants, queue) {
		service := l.service(state.service)
		service.recentTenants = append(slices.DeleteFunc(service.recentTenants, func(other *tenantQueue) bool { return other.inUse == 0 && now-other.lastUsed >= presenceWindow }), queue)
	}
}

// Release says that a tenant gave a connection back that it had held for so long.
func (l *Limiter) Release(server ServerID, tenant TenantID, holdTime, now time.Duration) {
	state := l.servers[server]
	if state == nil {
		return
	}
	l.advance(state, now)
	usage := state.usage(tenant, now)
	if usage.inUse == 0 {
		return
	}
	usage.inUse, usage.lastUsed = usage.inUse-1, now
	usage.borrowed = min(usage.borrowed, usage.inUse)
	if total := l.totals[tenant]; total != nil {
		total.inUse, total.lastUsed = max(total.inUse-1, 0), now
	}
	state.inUse--
	queue := l.queue(state.service, tenant)
	queue.inUse, queue.lastUsed = max(queue.inUse-1, 0), now
	queue.meanHoldTime += time.Duration(holdTimeSmoothing * float64(holdTime-queue.meanHoldTime))
	if state.removed && state.inUse == 0 {
		delete(l.servers, server)
		l.pruneService(state.service)
	}
}

// AddWaiting says that so many more parts of a tenant wait at a service, or fewer.
func (l *Limiter) AddWaiting(service Service, tenant TenantID, delta int) {
	queue := l.queue(service, tenant)
	queue.waiting = max(queue.waiting+delta, 0)
	if queue.waiting == 0 && l.services[service] == nil {
		delete(l.queues, queueKey{service, tenant})
	}
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

func (server *serverState) usage(tenant TenantID, now time.Duration) *tenantUsage {
	for _, usage := range server.tenants {
		if usage.tenant == tenant {
			return usage
		}
	}
	usage := &tenantUsage{tenant: tenant, lastUsed: -presenceWindow, deniedAt: -denialWindow}
	server.tenants = append(server.tenants, usage)
	return usage
}
