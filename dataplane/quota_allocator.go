package dataplane

import (
	"oxbowspan/balancer"
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// poolRole returns the singleton role of allocating a service's pool of connections. All gateways hash the same name of the role, so it
// must not change.
func poolRole(service string) rendezvous.Name { return rendezvous.Name("connections " + service) }

// quotaAllocator allocates the connection pools of the services for which this gateway holds the pool role. It is owned by the loop.
type quotaAllocator struct {
	members   *membership
	endpoints *endpointTable
	pools     map[string]*quota.Allocator // by service, while this gateway holds the role
}

func newQuotaAllocator(members *membership, endpoints *endpointTable) *quotaAllocator {
	return &quotaAllocator{members: members, endpoints: endpoints, pools: map[string]*quota.Allocator{}}
}

// dropLostPools deletes the pools whose role this gateway no longer holds.
func (a *quotaAllocator) dropLostPools(now balancer.Time) {
	for service := range a.pools {
		if !a.members.holdsRole(poolRole(service), duration(now)) {
			delete(a.pools, service)
		}
	}
}

// allocate grants connections of a service's pool to the gateway with an incarnation, which currently uses inUse of them. It reports false
// if this gateway does not hold the role or the service is not configured.
func (a *quotaAllocator) allocate(service string, incarnation uint64, demands []quota.Demand, inUse int, now balancer.Time) (connections int, ok bool) {
	limit, known := a.endpoints.connectionLimits[service]
	if !known || !a.members.holdsRole(poolRole(service), duration(now)) {
		return 0, false
	}
	allocator := a.pools[service]
	if allocator == nil {
		allocator = quota.NewAllocator()
		a.pools[service] = allocator
	}
	_, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), a.members.size())
	return allocator.RequestGrant(incarnation, demands, inUse, pool, duration(now)), true
}

// allocate allocates a grant. It reports false if no tenant document is active, or if this gateway may not allocate the pool.
func (q *quotaClient) allocate(service string, incarnation uint64, demands []quota.Demand, inUse int, now balancer.Time) (connections int, ok bool) {
	if !q.enabled() {
		return 0, false
	}
	return q.allocator.allocate(service, incarnation, demands, inUse, now)
}

// handleRequest responds to another gateway's request for a grant.
func (q *quotaClient) handleRequest(conn *rpc.Conn, requestID uint64, message *rpc.QuotaRequest) {
	demands := decodeDemands(message.Demands)
	connections, ok := q.allocate(message.Service, message.Incarnation, demands, int(message.InUse), q.loop.now())
	grant := &rpc.QuotaGrant{Connections: uint32(connections), Granted: ok}
	go conn.Respond(requestID, &rpc.Frame{Body: &rpc.Frame_QuotaGrant{QuotaGrant: grant}})
}
