package dataplane

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/quota"
	"oxbowspan/rpc"
)

// Timing and precision of the tenant statistics.
const (
	waitingCooldown = 5 * time.Second // time without waiting shard calls after which a tenant counts as no longer waiting
	statsWindow     = time.Minute     // over which requests and waits are counted
	waitDigits      = 2               // significant decimal digits of recorded waits
)

// tenantUsage is a tenant's policy, with statistics for operators.
type tenantUsage struct {
	quota.TenantPolicy
	requests, waited uint64                  // requests, and those of them that waited, since windowStart
	waiting          int                     // shard calls that wait for a connection now
	lastWait         balancer.Time           // when a shard call last started or stopped waiting; 0 = the tenant counts as not waiting
	waits            *hdrhistogram.Histogram // durations of waits in microseconds; nil until the first wait
	windowStart      balancer.Time
}

// applyDocument makes a tenant document the active one, unless the same or a newer version is active already.
func (q *quotaClient) applyDocument(document *rpc.Document) {
	if document.Version <= q.document.version {
		return
	}
	parsed, err := config.ParseTenants(document.Body)
	if err != nil {
		q.process.log.Error().Err(err).Uint64("version", document.Version).Msg("tenants: invalid document ignored")
		return
	}
	q.document = tenantDocument{parsed: parsed, encoded: document.Body, version: document.Version}
	q.process.log.Info().Uint64("version", document.Version).Int("tenants", len(parsed.Tenants)).Msg("tenants: document active")
	q.rebuildTenants()
	q.endpoints.sync()
}

// documents returns the active tenant document for a gateway that reaches no controller. Pins are not passed on, as they expire anyway.
func (q *quotaClient) documents() []*rpc.Document {
	if q.document.parsed == nil {
		return nil
	}
	return []*rpc.Document{{Name: config.TenantsDocumentName, Version: q.document.version, Body: q.document.encoded}}
}

// rebuildTenants assigns tenants to the active routes and sets their policies in the limiter. It does nothing until both a tenant document
// and a configuration are active.
func (q *quotaClient) rebuildTenants() {
	active := q.configs.load()
	if q.document.parsed == nil || active == nil {
		return
	}
	if q.limiter == nil {
		q.limiter = quota.NewLimiter(q.process.incarnation)
	}
	policies := documentPolicies(q.document.parsed)
	policyOf, policies := routePolicies(q.document.parsed, active.routes, policies)
	ids := q.limiter.SetPolicies(policies)
	q.tenants = q.updateUsage(ids, policies)
	floors := q.assignTenants(policyOf, ids, policies)
	q.services = map[balancer.ShardIndex]quota.Service{}
	for name, shard := range q.endpoints.shards {
		service := quota.Service(name)
		q.services[shard] = service
		q.limiter.SetFloors(service, unique(floors[service]))
	}
	q.dropUnknownServices()
}

// documentPolicies returns the policies of a document's tenants, in the order of the document.
func documentPolicies(document *config.TenantDocument) (policies []quota.TenantPolicy) {
	for _, tenant := range document.Tenants {
		policy := quota.TenantPolicy{
			Name:        tenant.Name,
			Weight:      tenant.Weight,
			Floor:       float64(tenant.ReservedConnections),
			Max:         float64(tenant.MaxConnections),
			MaxBorrowed: unlimitedBorrowing,
		}
		if policy.Weight == 0 {
			policy.Weight = defaultTenantWeight
		}
		if tenant.MaxBorrowed != nil {
			policy.MaxBorrowed = float64(*tenant.MaxBorrowed)
		}
		policies = append(policies, policy)
	}
	return policies
}

// Policy of a route that belongs to no tenant of the document, and defaults for fields that a document may omit.
const (
	defaultTenantWeight = 1
	unlimitedBorrowing  = -1
)

// routePolicies returns the index of each route's policy, and all policies: a route that belongs to no tenant of the document is a tenant
// of its own, whose policy is appended.
func routePolicies(document *config.TenantDocument, routes map[*config.Route]*route, policies []quota.TenantPolicy) (policyOf map[*route]int, all []quota.TenantPolicy) {
	table := document.NewTenantTable()
	policyOf = map[*route]int{}
	for _, r := range routes {
		index, named := table.Lookup(r.Route)
		if !named {
			index = len(policies)
			policies = append(policies, quota.TenantPolicy{
				Name:        r.Hostname + r.PathPrefix,
				Weight:      defaultTenantWeight,
				MaxBorrowed: unlimitedBorrowing,
			})
		}
		policyOf[r] = index
	}
	return policyOf, policies
}

// updateUsage returns the usage of the current tenants. Tenants that existed before keep their statistics.
func (q *quotaClient) updateUsage(ids []quota.TenantID, policies []quota.TenantPolicy) map[quota.TenantID]*tenantUsage {
	tenants := map[quota.TenantID]*tenantUsage{}
	for i, id := range ids {
		usage := q.tenants[id]
		if usage == nil || usage.Name != policies[i].Name {
			usage = &tenantUsage{windowStart: q.loop.now()}
		}
		usage.TenantPolicy = policies[i]
		tenants[id] = usage
	}
	return tenants
}

// assignTenants sets the tenants of the routes. It returns, by service, the tenants with reserved connections.
func (q *quotaClient) assignTenants(policyOf map[*route]int, ids []quota.TenantID, policies []quota.TenantPolicy) map[quota.Service][]quota.TenantID {
	q.tenantOf = map[balancer.QueryType]quota.TenantID{}
	floors := map[quota.Service][]quota.TenantID{}
	for r, index := range policyOf {
		id := ids[index]
		q.tenantOf[r.queryType] = id
		r.tenant, r.hasTenant = id, true
		if policies[index].Floor <= 0 {
			continue
		}
		for _, service := range r.Services() {
			floors[quota.Service(service)] = append(floors[quota.Service(service)], id)
		}
	}
	return floors
}

// dropUnknownServices deletes the demands and grants of services that are no longer configured.
func (q *quotaClient) dropUnknownServices() {
	for service := range q.demands {
		if _, known := q.endpoints.connectionLimits[service]; !known {
			delete(q.grants, service)
			delete(q.demands, service)
		}
	}
}

// unique returns the distinct ids in the order of their first occurrence.
func unique(ids []quota.TenantID) (out []quota.TenantID) {
	seen := map[quota.TenantID]bool{}
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			out = append(out, id)
		}
	}
	return out
}

// acquire counts an attempt's connection towards its tenant's usage. Its shard call no longer waits.
func (q *quotaClient) acquire(a *attempt, now balancer.Time) {
	r := a.shardCall.request.route
	if !q.enabled() || !r.hasTenant {
		return
	}
	a.countsForTenant, a.tenant = true, r.tenant
	q.limiter.Acquire(quota.ServerID(a.endpoint.id), r.tenant, duration(now))
	q.stopWaiting(a.shardCall, now)
}

// release ends the use of a connection that acquire counted, if it did.
func (q *quotaClient) release(a *attempt, now balancer.Time) {
	if a.countsForTenant {
		a.countsForTenant = false
		q.limiter.Release(quota.ServerID(a.endpoint.id), a.tenant, duration(now-a.sentAt), duration(now))
	}
}

// startWaiting counts a request that has just arrived, and records which of its shard calls wait for a connection.
func (q *quotaClient) startWaiting(r *request, now balancer.Time) {
	if !q.enabled() || !r.route.hasTenant {
		return
	}
	id := r.route.tenant
	tenant := q.tenants[id]
	if tenant == nil {
		return
	}
	tenant.requests++
	hasWaiting := false
	for _, call := range r.shardCalls {
		if len(call.attempts) > 0 || r.finished {
			continue
		}
		hasWaiting = true
		call.waitingSince, call.tenant = now, id
		q.limiter.AddWaiting(q.services[call.shard], id, 1)
		tenant.waiting++
	}
	if hasWaiting {
		q.recordWait(tenant, now)
	}
}

// recordWait counts a request with waiting shard calls, and logs when a tenant begins to wait.
func (q *quotaClient) recordWait(tenant *tenantUsage, now balancer.Time) {
	tenant.waited++
	if tenant.lastWait == 0 {
		q.process.log.Info().Str("tenant", tenant.Name).Int("shard_calls", tenant.waiting).Msg("tenants: waiting for connections")
	}
	tenant.lastWait = now
	if tenant.waits == nil {
		tenant.waits = hdrhistogram.New(1, time.Minute.Microseconds(), waitDigits)
	}
}

// stopWaiting records that a waiting shard call was dispatched or that its request has finished.
func (q *quotaClient) stopWaiting(call *shardCall, now balancer.Time) {
	if call.waitingSince == 0 {
		return
	}
	q.limiter.AddWaiting(q.services[call.shard], call.tenant, -1)
	if tenant := q.tenants[call.tenant]; tenant != nil {
		tenant.waiting = max(tenant.waiting-1, 0)
		tenant.lastWait = now
		if tenant.waits != nil {
			tenant.waits.RecordValue(duration(now - call.waitingSince).Microseconds())
		}
	}
	call.waitingSince = 0
}

// updateTenantUsage logs which tenants no longer wait, and starts new statistics windows.
func (q *quotaClient) updateTenantUsage(now balancer.Time) {
	for _, tenant := range q.tenants {
		if tenant.waiting == 0 && tenant.lastWait > 0 && now-tenant.lastWait > ticks(waitingCooldown) {
			tenant.lastWait = 0
			q.process.log.Info().Str("tenant", tenant.Name).Msg("tenants: no longer waiting")
		}
		if now-tenant.windowStart > ticks(statsWindow) {
			tenant.windowStart, tenant.requests, tenant.waited = now, 0, 0
			if tenant.waits != nil {
				tenant.waits.Reset()
			}
		}
	}
}

// connectionUsages returns the connections that tenants use or want, by server, for operators.
func (q *quotaClient) connectionUsages(now balancer.Time) (usages []*rpc.ConnectionUsage) {
	for _, usage := range q.limiter.ConnectionUsages(duration(now)) {
		e := q.endpoints.byID[balancer.ServerID(usage.Server)]
		if e == nil {
			continue
		}
		usages = append(usages, &rpc.ConnectionUsage{
			Tenant:     usage.Tenant,
			Instance:   e.instance,
			Service:    e.service,
			InUse:      uint32(usage.InUse),
			Borrowed:   uint32(usage.Borrowed),
			Limit:      uint32(usage.Limit),
			ShareMilli: uint32(1000 * min(usage.Share, maxReportedRatio)),
			WantsMore:  usage.HasUnmetDemand,
		})
	}
	return usages
}

// waitStats returns statistics of the waits of tenants with traffic, for operators.
func (q *quotaClient) waitStats() (stats []*rpc.WaitStats) {
	for _, tenant := range q.tenants {
		if tenant.requests == 0 && tenant.waiting == 0 {
			continue
		}
		entry := &rpc.WaitStats{Tenant: tenant.Name, Requests: tenant.requests, Waited: tenant.waited, Waiting: uint32(tenant.waiting)}
		if tenant.waits != nil {
			entry.P50Us = uint32(tenant.waits.ValueAtQuantile(50))
			entry.P99Us = uint32(tenant.waits.ValueAtQuantile(99))
			entry.MaxUs = uint32(tenant.waits.Max())
		}
		stats = append(stats, entry)
	}
	return stats
}
