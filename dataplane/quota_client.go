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
	quotaRequestInterval = 500 * time.Millisecond // between two requests for the grant of a service
	quotaRequestTimeout  = 400 * time.Millisecond
)

// quotaClient limits the connections of tenants to servers by the rules of package quota, and requests this gateway's grants from the
// gateways that allocate the services' pools. Without a tenant document nothing is limited. It is owned by the loop.
type quotaClient struct {
	process   *process
	loop      commandLoop
	members   *membership
	endpoints *endpointTable
	configs   activeRoutes
	allocator *quotaAllocator

	document tenantDocument
	limiter  *quota.Limiter // nil = no tenant document is active
	tenantOf map[balancer.QueryType]quota.TenantID
	services map[balancer.ShardIndex]quota.Service
	tenants  map[quota.TenantID]*tenantUsage

	demands     map[string]*quota.DemandEstimator // by configured service
	grants      map[string]quotaGrant             // by configured service
	clients     map[rendezvous.Name]*rpc.Client   // of allocating gateways; closed when they leave the membership
	nextRequest balancer.Time
}

// tenantDocument is the active tenant document.
type tenantDocument struct {
	parsed  *config.TenantDocument // nil = none is active
	encoded []byte
	version uint64
}

// quotaGrant is the part of a service's pool that this gateway may use.
type quotaGrant struct {
	connections int // to each server, in addition to the base
	expiresAt   balancer.Time
	pending     bool // a request has been sent and not completed
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

// enabled reports whether a tenant document is active, and thus whether connections are limited.
func (q *quotaClient) enabled() bool { return q.limiter != nil }

// CanAcquire implements balancer.CapacityLimiter.
func (q *quotaClient) CanAcquire(server balancer.ServerID, queryType balancer.QueryType, now balancer.Time) bool {
	return !q.enabled() || q.limiter.CanAcquire(quota.ServerID(server), q.tenantOf[queryType], duration(now))
}

// LimitShare implements balancer.CapacityLimiter.
func (q *quotaClient) LimitShare(queryType balancer.QueryType, now balancer.Time) float64 {
	if !q.enabled() {
		return 1
	}
	return q.limiter.InFlightLimitFactor(q.tenantOf[queryType], duration(now))
}

// ExpectedWait implements balancer.CapacityLimiter.
func (q *quotaClient) ExpectedWait(shard balancer.ShardIndex, queryType balancer.QueryType, now balancer.Time) balancer.Time {
	if !q.enabled() {
		return balancer.Never
	}
	return ticks(q.limiter.EstimatedWait(q.services[shard], q.tenantOf[queryType], duration(now)))
}

// setServer sets the limits of connections to a server: of this gateway, and of all gateways together.
func (q *quotaClient) setServer(e *endpoint, limit, globalLimit int) {
	if q.enabled() {
		q.limiter.SetServer(quota.ServerID(e.id), quota.Service(e.service), limit, globalLimit)
	}
}

// removeServer removes a server from the limiter.
func (q *quotaClient) removeServer(e *endpoint) {
	if q.enabled() {
		q.limiter.RemoveServer(quota.ServerID(e.id))
	}
}

// maxConnections returns this gateway's share of the connections that a server of a service accepts from all gateways together.
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

// maintain requests grants, ends expired ones, closes the connections to gateways that have left, and deletes pools whose role was lost.
func (q *quotaClient) maintain(now balancer.Time) {
	if !q.enabled() {
		return
	}
	q.updateTenantUsage(now)
	q.allocator.dropLostPools(now)
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

// closeUnusedClients closes the connections to gateways that are no longer members.
func (q *quotaClient) closeUnusedClients() {
	for name, client := range q.clients {
		if !slices.Contains(q.members.gateways, name) {
			client.Close()
			delete(q.clients, name)
		}
	}
}

// expireGrants ends the expired grants. It reports whether there were any.
func (q *quotaClient) expireGrants(now balancer.Time) (expired bool) {
	for service, grant := range q.grants {
		if grant.connections > 0 && now >= grant.expiresAt {
			expired = true
			q.grants[service] = quotaGrant{pending: grant.pending}
		}
	}
	return expired
}

// currentDemands returns, by service, the tenants' demands for connections beyond the base that this gateway may use without a grant.
func (q *quotaClient) currentDemands(now balancer.Time) map[string][]quota.Demand {
	servers := q.countListedServers()
	inUse := q.maxInUse(now)
	demands := map[string][]quota.Demand{}
	for service, limit := range q.endpoints.connectionLimits {
		base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), q.members.size())
		if pool == 0 || servers[service] == 0 {
			continue
		}
		var usages []quota.TenantUsage
		for id, tenant := range q.tenants {
			waiting := q.limiter.Waiting(quota.Service(service), id)
			usages = append(usages, quota.TenantUsage{
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

// countListedServers returns the number of servers that the balancer may use, by service.
func (q *quotaClient) countListedServers() map[string]float64 {
	servers := map[string]float64{}
	for _, e := range q.endpoints.byInstance {
		if e.selectable {
			servers[e.service]++
		}
	}
	return servers
}

// maxInUse returns, by service and tenant, the largest number of connections that the tenant has to one server of the service.
func (q *quotaClient) maxInUse(now balancer.Time) map[string]map[string]float64 {
	inUse := map[string]map[string]float64{}
	for _, usage := range q.limiter.ConnectionUsages(duration(now)) {
		e := q.endpoints.byID[balancer.ServerID(usage.Server)]
		if e == nil || !e.selectable {
			continue
		}
		if inUse[e.service] == nil {
			inUse[e.service] = map[string]float64{}
		}
		inUse[e.service][usage.Tenant] = max(inUse[e.service][usage.Tenant], float64(usage.InUse))
	}
	return inUse
}

// requestGrant requests a grant from the gateway that allocates a service's pool, unless a request is pending.
func (q *quotaClient) requestGrant(service string, demands []quota.Demand, now balancer.Time) {
	grant := q.grants[service]
	if grant.pending {
		return
	}
	allocatorName := q.members.roleOwner(poolRole(service))
	if allocatorName == q.members.self {
		if connections, ok := q.allocate(service, q.process.incarnation, demands, grant.connections, now); ok {
			q.applyGrant(service, connections, now)
		}
		return
	}
	client := q.clients[allocatorName]
	if client == nil {
		client = &rpc.Client{Address: string(allocatorName), Network: q.process.network}
		q.clients[allocatorName] = client
	}
	message := &rpc.QuotaRequest{
		Service:     service,
		From:        string(q.members.self),
		Incarnation: q.process.incarnation,
		Demands:     encodeDemands(demands),
		InUse:       uint32(grant.connections),
	}
	grant.pending = true
	q.grants[service] = grant
	go q.callAllocator(client, message, now)
}

// callAllocator sends a request to another gateway and posts the reply to the loop. It runs on its own goroutine.
func (q *quotaClient) callAllocator(client *rpc.Client, message *rpc.QuotaRequest, requestedAt balancer.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaRequestTimeout)
	defer cancel()
	reply, err := client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_QuotaRequest{QuotaRequest: message}})
	q.loop.post(func() {
		grant := q.grants[message.Service]
		grant.pending = false
		q.grants[message.Service] = grant
		if granted := reply.GetQuotaGrant(); err == nil && granted != nil && granted.Granted {
			q.applyGrant(message.Service, int(granted.Connections), requestedAt)
		}
	})
}

// applyGrant applies a grant. Its lease starts at the time of the request, so that it expires here before the allocator considers it
// expired.
func (q *quotaClient) applyGrant(service string, connections int, requestedAt balancer.Time) {
	grant := quotaGrant{connections: connections, expiresAt: requestedAt + ticks(quota.LeaseDuration)}
	if q.loop.now() >= grant.expiresAt {
		return // it arrived after its lease had expired
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

// encodeDemands converts demands to messages, with numbers in thousandths.
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

// decodeDemands converts messages to demands.
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
