package dataplane

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/quota"
	"oxbowspan/rpc"
)

// Reporting of tenants.
const (
	waitingCooldown = 5 * time.Second // without a wait, after which a tenant counts as no longer waiting
	statsWindow     = time.Minute     // over which its requests and waits are counted
	waitDigits      = 2               // significant digits of recorded waits
)

// tenantUsage is a tenant's policy, and its traffic as operators see it.
type tenantUsage struct {
	quota.TenantPolicy
	requests, waited uint64 // since windowStart
	waiting          int    // shard calls that wait for a connection now
	lastWait         balancer.Time
	waits            *hdrhistogram.Histogram // in microseconds; nil until it first waits
	windowStart      balancer.Time
}

// applyDocument makes a document of tenants the active one, unless it or a newer one already is.
func (q *quotaClient) applyDocument(document *rpc.Document) {
	if document.Version <= q.document.version {
		return
	}
	parsed, err := config.ParseTenants(document.Body)
	if err != nil {
		q.process.log.Error().Err(err).Uint64("version", document.Version).Msg("tenants: invalid document ignored")
		return
	}
	q.document = tenantDocument{parsed: parsed, text: document.Body, version: document.Version}
	q.process.log.Info().Uint64("version", document.Version).Int("tenants", len(parsed.Tenants)).Msg("tenants: document active")
	q.rebuildTenants()
	q.endpoints.sync()
}

// documents returns the active document for a gateway that reaches no controller. Pins are left out: they expire by themselves.
func (q *quotaClient) documents() []*rpc.Document {
	if q.document.parsed == nil {
		return nil
	}
	return []*rpc.Document{{Name: config.TenantsDocumentName, Version: q.document.version, Body: q.document.text}}
}

// rebuildTenants finds the tenants of the active routes. It does nothing until both a document and a configuration are known.
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
	q.tenants = q.keepUsage(ids, policies)
	floors := q.assignTenants(policyOf, ids, policies)
	q.services = map[balancer.ShardIndex]quota.Service{}
	for name, shard := range q.endpoints.shards {
		service := quota.Service(name)
		q.services[shard] = service
		q.limiter.SetFloors(service, unique(floors[service]))
	}
	q.dropUnknownServices()
}

// documentPolicies returns the policies of a document's tenants, in its order.
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

// Policy of a route that belongs to no named tenant, and what a document may leave out.
const (
	defaultTenantWeight = 1
	unlimitedBorrowing  = -1
)

// routePolicies finds each route's policy. A route that belongs to no tenant of the document is a tenant of its own; its policy is
// appended.
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

// keepUsage returns the usage of the tenants that there are now. Those that were there before keep theirs.
func (q *quotaClient) keepUsage(ids []quota.TenantID, policies []quota.TenantPolicy) map[quota.TenantID]*tenantUsage {
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

// assignTenants gives the routes their tenants, and returns by service those that have connections reserved.
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

// dropUnknownServices forgets the demands and grants of services that are not configured any more.
func (q *quotaClient) dropUnknownServices() {
	for service := range q.demands {
		if _, known := q.endpoints.connectionLimits[service]; !known {
			delete(q.grants, service)
			delete(q.demands, service)
		}
	}
}

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

// acquire accounts an attempt's connection to its tenant.
func (q *quotaClient) acquire(a *attempt, now balancer.Time) {
	r := a.shardCall.request.route
	if !q.enabled() || !r.hasTenant {
		return
	}
	a.countsForTenant, a.tenant = true, r.tenant
	q.limiter.Acquire(quota.ServerID(a.endpoint.id), r.tenant, duration(now))
	q.stopWaiting(a.shardCall, now)
}

// release ends what acquire began.
func (q *quotaClient) release(a *attempt, now balancer.Time) {
	if a.countsForTenant {
		a.countsForTenant = false
		q.limiter.Release(quota.ServerID(a.endpoint.id), a.tenant, duration(now-a.sentAt), duration(now))
	}
}

// startWaiting records which shard calls of a request that just arrived wait for a connection.
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
	waits := false
	for _, call := range r.shardCalls {
		if len(call.attempts) > 0 || r.finished {
			continue
		}
		waits = true
		call.waitingSince, call.tenant = now, id
		q.limiter.AddWaiting(q.services[call.shard], id, 1)
		tenant.waiting++
	}
	if waits {
		q.recordWait(tenant, now)
	}
}

// recordWait counts a request that waits.
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

// stopWaiting records that a shard call was dispatched, or that its request has finished.
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

// updateTenantUsage logs which tenants wait no longer, and begins new windows of counting.
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

// connectionUsages returns which tenants have or want connections to which server, for operators.
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
			WantsMore:  usage.WantsMore,
		})
	}
	return usages
}

// waitStats returns how long tenants waited, for operators.
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
