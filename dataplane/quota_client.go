package dataplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Timing of quota requests.
const (
	quotaRequestInterval = 500 * time.Millisecond // between two requests for a service
	quotaRequestTimeout  = 400 * time.Millisecond
)

// quotaClient shares the servers' connections among tenants (package quota decides), and requests this gateway's grants of the
// pools from the gateways that allocate them. Without a document of tenants it limits nothing. It is owned by the loop.
type quotaClient struct {
	process   *process
	loop      commandLoop
	members   *membership
	endpoints *endpointTable
	configs   activeRoutes
	allocator *quotaAllocator

	document tenantDocument
	limiter  *quota.Limiter // nil = no document of tenants is active
	tenantOf map[balancer.QueryType]quota.TenantID
	services map[balancer.ShardIndex]quota.Service
	tenants  map[quota.TenantID]*tenantUsage

	demands     map[string]*quota.DemandEstimator // by configured service
	grants      map[string]quotaGrant             // by configured service
	clients     map[rendezvous.Name]*rpc.Client   // to allocating gateways; closed when those are gone
	nextRequest balancer.Time
}

// tenantDocument is the active document of tenants.
type tenantDocument struct {
	parsed  *config.TenantDocument // nil = none is active
	text    []byte                 // its encoding
	version uint64
}

// quotaGrant is what this gateway may use of a service's pool.
type quotaGrant struct {
	connections int // to each server, beyond the base
	expiresAt   balancer.Time
	requested   bool // a request is on its way
}

func newQuotaClient(p *process, loop commandLoop, members *membership, endpoints *endpointTable, configs activeRoutes) *quotaClient {
	return &quotaClient{
		process:   p,
		loop:      loop,
		members:   members,
		endpoints: endpoints,
		configs:   configs,
		allocator: newQuotaAllocator(members, endpoints),
		tenants:   map[quota.TenantID]*tenantUsage{},
		demands:   map[string]*quota.DemandEstimator{},
		grants:    map[string]quotaGrant{},
		clients:   map[rendezvous.Name]*rpc.Client{},
	}
}

// enabled reports whether a document of tenants is active, and with it the limits.
func (q *quotaClient) enabled() bool { return q.limiter != nil }

// CanAcquire implements balancer.CapacityLimiter.
func (q *quotaClient) CanAcquire(at balancer.ServerID, of balancer.QueryType, now balancer.Time) bool {
	return !q.enabled() || q.limiter.CanAcquire(quota.ServerID(at), q.tenantOf[of], duration(now))
}

// LimitShare implements balancer.CapacityLimiter.
func (q *quotaClient) LimitShare(of balancer.QueryType, now balancer.Time) float64 {
	if !q.enabled() {
		return 1
	}
	return q.limiter.InFlightFactor(q.tenantOf[of], duration(now))
}

// ExpectedWait implements balancer.CapacityLimiter.
func (q *quotaClient) ExpectedWait(at balancer.ShardIndex, of balancer.QueryType, now balancer.Time) balancer.Time {
	if !q.enabled() {
		return balancer.Never
	}
	return ticks(q.limiter.EstimatedWait(q.services[at], q.tenantOf[of], duration(now)))
}

// setServer sets the limit of this gateway's connections to a server, and that of all gateways' together.
func (q *quotaClient) setServer(e *endpoint, limit, globalLimit int) {
	if q.enabled() {
		q.limiter.SetServer(quota.ServerID(e.id), quota.Service(e.service), limit, globalLimit)
	}
}

func (q *quotaClient) removeServer(e *endpoint) {
	if q.enabled() {
		q.limiter.RemoveServer(quota.ServerID(e.id))
	}
}

// maxConnections returns this gateway's share of the connections that a server of a service takes from all gateways together.
func (q *quotaClient) maxConnections(service string) int {
	limit := q.endpoints.connectionLimits[service]
	if q.enabled() {
		base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), q.members.size())
		if pool > 0 {
			return base + q.grants[service].connections
		}
	}
	return rendezvous.ConnectionShare(limit, q.members.size())
}

// maintain requests grants, ends those that have expired, and drops what belongs to gateways and roles that are gone.
func (q *quotaClient) maintain(now balancer.Time) {
	if !q.enabled() {
		return
	}
	q.updateTenantUsage(now)
	q.allocator.dropLost(now)
	q.closeUnusedClients()
	expired := q.expireGrants(now)
	if now >= q.nextRequest {
		q.nextRequest = now + ticks(quotaRequestInterval)
		for service, demands := range q.currentDemands(now) {
			q.requestGrant(service, demands, now)
		}
	}
	if expired {
		q.endpoints.sync()
	}
}

// closeUnusedClients closes the connections to gateways that are gone.
func (q *quotaClient) closeUnusedClients() {
	for name, client := range q.clients {
		if !slices.Contains(q.members.gateways, name) {
			client.Close()
			delete(q.clients, name)
		}
	}
}

// expireGrants ends the grants whose time is over. It reports whether there was one.
func (q *quotaClient) expireGrants(now balancer.Time) (expired bool) {
	for service, grant := range q.grants {
		if grant.connections > 0 && now >= grant.expiresAt {
			expired = true
			q.grants[service] = quotaGrant{requested: grant.requested}
		}
	}
	return expired
}

// currentDemands returns, by service, what tenants would use beyond the base that this gateway has without asking.
func (q *quotaClient) currentDemands(now balancer.Time) map[string][]quota.Demand {
	servers := q.listedServers()
	inUse := q.maxInUse(now)
	demands := map[string][]quota.Demand{}
	for service, limit := range q.endpoints.connectionLimits {
		base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), q.members.size())
		if pool == 0 || servers[service] == 0 {
			continue
		}
		var usages []quota.TenantUse
		for id, tenant := range q.tenants {
			waiting := q.limiter.Waiting(quota.Service(service), id)
			usages = append(usages, quota.TenantUse{
				Tenant:  tenant.Name,
				Weight:  tenant.Weight,
				InUse:   inUse[service][tenant.Name],
				Waiting: float64(waiting) / servers[service],
			})
		}
		if q.demands[service] == nil {
			q.demands[service] = &quota.DemandEstimator{}
		}
		if current := q.demands[service].Demands(base, usages); len(current) > 0 {
			demands[service] = current
		}
	}
	return demands
}

// listedServers counts the servers in use, by service.
func (q *quotaClient) listedServers() map[string]float64 {
	servers := map[string]float64{}
	for _, e := range q.endpoints.byInstance {
		if e.listed {
			servers[e.service]++
		}
	}
	return servers
}

// maxInUse returns, by service and tenant, the connections that the tenant has to the server where it has most.
func (q *quotaClient) maxInUse(now balancer.Time) map[string]map[string]float64 {
	inUse := map[string]map[string]float64{}
	for _, usage := range q.limiter.ConnectionUsages(duration(now)) {
		e := q.endpoints.byID[balancer.ServerID(usage.Server)]
		if e == nil || !e.listed {
			continue
		}
		if inUse[e.service] == nil {
			inUse[e.service] = map[string]float64{}
		}
		inUse[e.service][usage.Tenant] = max(inUse[e.service][usage.Tenant], float64(usage.InUse))
	}
	return inUse
}

// requestGrant requests a grant from the gateway that allocates a service's pool.
func (q *quotaClient) requestGrant(service string, demands []quota.Demand, now balancer.Time) {
	grant := q.grants[service]
	if grant.requested {
		return
	}
	allocating := q.members.roleOwner(poolRole(service))
	if allocating == q.members.self {
		if connections, ok := q.allocate(service, q.process.incarnation, demands, grant.connections, now); ok {
			q.applyGrant(service, connections, now)
		}
		return
	}
	client := q.clients[allocating]
	if client == nil {
		client = &rpc.Client{Address: string(allocating), Network: q.process.network}
		q.clients[allocating] = client
	}
	message := &rpc.QuotaRequest{
		Service:     service,
		From:        string(q.members.self),
		Incarnation: q.process.incarnation,
		Demands:     encodeDemands(demands),
		InUse:       uint32(grant.connections),
	}
	grant.requested = true
	q.grants[service] = grant
	go q.callAllocator(client, message, now)
}

// callAllocator sends a request to another gateway and posts the reply to the loop. It runs on a goroutine of its own.
func (q *quotaClient) callAllocator(client *rpc.Client, message *rpc.QuotaRequest, requestedAt balancer.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaRequestTimeout)
	defer cancel()
	reply, err := client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_QuotaRequest{QuotaRequest: message}})
	q.loop.post(func() {
		grant := q.grants[message.Service]
		grant.requested = false
		q.grants[message.Service] = grant
		if granted := reply.GetQuotaGrant(); err == nil && granted != nil && granted.Granted {
			q.applyGrant(message.Service, int(granted.Connections), requestedAt)
		}
	})
}

// applyGrant takes a grant. Its lease counts from the request, so that it ends here before the allocator takes it for over.
func (q *quotaClient) applyGrant(service string, connections int, requestedAt balancer.Time) {
	grant := quotaGrant{connections: connections, expiresAt: requestedAt + ticks(quota.LeaseDuration)}
	if q.loop.now() >= grant.expiresAt {
		return // it took too long to arrive
	}
	changed := q.grants[service].connections != connections
	q.grants[service] = grant
	if changed {
		q.endpoints.sync()
	}
}

// close closes the connections to other gateways.
func (q *quotaClient) close() {
	for _, client := range q.clients {
		client.Close()
	}
}

func encodeDemands(demands []quota.Demand) (encoded []*rpc.Demand) {
	for _, demand := range demands {
		encoded = append(encoded, &rpc.Demand{
			Tenant:           demand.Tenant,
			ConnectionsMilli: uint32(1000 * demand.Connections),
			WeightMilli:      uint32(1000 * demand.Weight),
		})
	}
	return encoded
}

func decodeDemands(encoded []*rpc.Demand) (demands []quota.Demand) {
	for _, demand := range encoded {
		demands = append(demands, quota.Demand{
			Tenant:      demand.Tenant,
			Connections: float64(demand.ConnectionsMilli) / 1000,
			Weight:      float64(demand.WeightMilli) / 1000,
		})
	}
	return demands
}
