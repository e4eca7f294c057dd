package dataplane

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Connections shared among tenants (package pollen decides), where a document of tenants is in force. Without one nothing here
// does anything.

// Rhythm of what is told of it.
const (
	quotaRequestInterval = 500 * time.Millisecond // between two askings for a part of a service's connections
	quotaRequestTimeout  = 400 * time.Millisecond // for the answer
	waitingCooldown      = 5 * time.Second        // a tenant that did not wait for so long waits no longer
	statsWindow          = time.Minute            // over which waits are summed up
)

// quotaClient is what the owner keeps of tenants.
type quotaClient struct {
	document    *config.TenantDocument // nil = none is in force
	text        []byte                 // of the document, as agreed
	version     uint64
	limiter     *quota.Limiter
	tenantOf    map[balancer.QueryType]quota.TenantID
	services    map[balancer.ShardIndex]quota.Service
	tenants     map[quota.TenantID]*tenantUsage
	demands     map[string]*quota.DemandEstimator // by service; kept to those of the configuration
	grants      map[string]quotaGrant             // by service; kept to those of the configuration
	allocators  map[string]*quota.Allocator       // of the services whose duty is held here
	callers     map[rendezvous.Name]*rpc.Client   // emptied of gatherers that are gone
	nextRequest balancer.Time
}

// tenantUsage is one as operators are told of it.
type tenantUsage struct {
	quota.TenantPolicy
	requests, waited uint64
	waiting          int
	lastWait         balancer.Time           // 0 = it does not wait
	waits            *hdrhistogram.Histogram // nil until it first waits
	since            balancer.Time
}

// quotaGrant is a part of a service's connections beyond the base.
type quotaGrant struct {
	connections int
	expiresAt   balancer.Time
	requested   bool // asked for again, not answered yet
}

// CanAcquire, Press and Wait are what brain asks.
func (t *quotaClient) CanAcquire(at balancer.ServerID, of balancer.QueryType, now balancer.Time) bool {
	return t.limiter == nil || t.limiter.CanAcquire(quota.ServerID(at), t.tenantOf[of], duration(now))
}

func (t *quotaClient) LimitShare(of balancer.QueryType, now balancer.Time) float64 {
	if t.limiter == nil {
		return 1
	}
	return t.limiter.InFlightFactor(t.tenantOf[of], duration(now))
}

func (t *quotaClient) ExpectedWait(at balancer.ShardIndex, of balancer.QueryType, now balancer.Time) balancer.Time {
	if t.limiter == nil {
		return balancer.Never
	}
	return ticks(t.limiter.EstimatedWait(t.services[at], t.tenantOf[of], duration(now)))
}

// applyDocuments takes what is agreed beside the configuration.
func (f *Gateway) applyDocuments(notes []*rpc.Document) {
	for _, n := range notes {
		if n.Name == config.PinsDocumentName && n.Version > f.outliers.pinsVersion {
			f.applyPins(n)
		}
		if n.Name != config.TenantsDocumentName || n.Version <= f.quota.version {
			continue
		}
		doc, err := config.ParseTenants(n.Body)
		if err != nil {
			f.process.log.Error().Err(err).Uint64("version", n.Version).Msg("tenants: an agreed document can't be read, the last one stays")
			continue
		}
		f.quota.version, f.quota.document, f.quota.text = n.Version, doc, n.Body
		f.process.log.Info().Uint64("version", n.Version).Int("tenants", len(doc.Tenants)).Msg("tenants: in force")
		f.rebuildTenants()
		f.syncEndpoints()
	}
}

// documents are what is told to a gatherer that hears no hive.
func (f *Gateway) documents() []*rpc.Document {
	if f.quota.document == nil {
		return nil // pins end by themselves, and are not worth a way of their own
	}
	return []*rpc.Document{{Name: config.TenantsDocumentName, Version: f.quota.version, Body: f.quota.text}}
}

// rebuildTenants finds the tenants of the routes in force.
func (f *Gateway) rebuildTenants() {
	t, now := &f.quota, f.active.Load()
	if t.document == nil || now == nil {
		return
	}
	if t.limiter == nil {
		t.limiter, t.tenants = quota.NewLimiter(f.process.incarnation), map[quota.TenantID]*tenantUsage{}
		t.demands, t.grants, t.allocators, t.callers = map[string]*quota.DemandEstimator{}, map[string]quotaGrant{}, map[string]*quota.Allocator{}, map[rendezvous.Name]*rpc.Client{}
	}
	of := t.document.NewTenantTable()
	var all []quota.TenantPolicy
	for _, n := range t.document.Tenants {
		terms := quota.TenantPolicy{Name: n.Name, Weight: n.Weight, Floor: float64(n.ReservedConnections), Max: float64(n.MaxConnections), MaxBorrowed: -1}
		if terms.Weight == 0 {
			terms.Weight = 1
		}
		if n.MaxBorrowed != nil {
			terms.MaxBorrowed = float64(*n.MaxBorrowed)
		}
		all = append(all, terms)
	}
	places := map[*route]int{}
	for _, r := range now.routes {
		at, named := of.Lookup(r.Route)
		if !named {
			at = len(all)
			all = append(all, quota.TenantPolicy{Name: r.Hostname + r.PathPrefix, Weight: 1, MaxBorrowed: -1})
		}
		places[r] = at
	}
	numbers := t.limiter.SetPolicies(all)
	kept := map[quota.TenantID]*tenantUsage{}
	for i, no := range numbers {
		if kept[no] = t.tenants[no]; kept[no] == nil || kept[no].Name != all[i].Name {
			kept[no] = &tenantUsage{since: f.loop.now()}
		}
		kept[no].TenantPolicy = all[i]
	}
	t.tenants = kept
	t.tenantOf, t.services = map[balancer.QueryType]quota.TenantID{}, map[balancer.ShardIndex]quota.Service{}
	floors := map[quota.Service][]quota.TenantID{}
	for r, at := range places {
		no := numbers[at]
		t.tenantOf[r.queryType] = no
		r.tenant, r.hasTenant = no, true
		if all[at].Floor <= 0 {
			continue
		}
		for _, s := range r.Services() {
			floors[quota.Service(s)] = append(floors[quota.Service(s)], no)
		}
	}
	for service, shard := range f.shards {
		t.services[shard] = quota.Service(service)
		t.limiter.SetFloors(quota.Service(service), unique(floors[quota.Service(service)]))
	}
	for service := range t.demands {
		if _, named := f.connectionLimits[service]; !named {
			delete(t.grants, service)
			delete(t.demands, service)
		}
	}
}

func unique(in []quota.TenantID) (out []quota.TenantID) {
	seen := map[quota.TenantID]bool{}
	for _, t := range in {
		if !seen[t] {
			seen[t] = true
			out = append(out, t)
		}
	}
	return out
}

// addServer tells the sharing of a server, leave that it is gone.
func (t *quotaClient) addServer(s *endpoint, part, whole int) {
	if t.limiter != nil {
		t.limiter.SetServer(quota.ServerID(s.id), quota.Service(s.service), part, whole)
	}
}

func (t *quotaClient) removeServer(s *endpoint) {
	if t.limiter != nil {
		t.limiter.RemoveServer(quota.ServerID(s.id))
	}
}

// endpointRemoved forgets a server that is gone.
func (f *Gateway) endpointRemoved(s *endpoint) {
	f.quota.removeServer(s)
	delete(f.outliers.reported, s.id)
}

// acquireConnection notes a sub-request's connection for its tenant, gave its end.
func (f *Gateway) acquireConnection(c *attempt, now balancer.Time) {
	t := &f.quota
	no := c.shardCall.request.route.tenant
	if t.limiter == nil || !c.shardCall.request.route.hasTenant {
		return
	}
	c.countsForTenant, c.tenant = true, no
	t.limiter.Acquire(quota.ServerID(c.endpoint.id), no, duration(now))
	f.stopWaiting(c.shardCall, now)
}

func (f *Gateway) releaseConnection(c *attempt, now balancer.Time) {
	if c.countsForTenant {
		c.countsForTenant = false
		f.quota.limiter.Release(quota.ServerID(c.endpoint.id), c.tenant, duration(now-c.sentAt), duration(now))
	}
}

// startWaiting notes which parts of a search that was just taken wait for a connection.
func (f *Gateway) startWaiting(s *request, now balancer.Time) {
	t := &f.quota
	no := s.route.tenant
	if t.limiter == nil || !s.route.hasTenant {
		return
	}
	who := t.tenants[no]
	if who == nil {
		return
	}
	who.requests++
	waits := false
	for _, p := range s.shardCalls {
		if len(p.attempts) > 0 || s.finished {
			continue
		}
		waits = true
		p.waitingSince, p.tenant = now, no
		t.limiter.AddWaiting(t.services[p.shard], no, 1)
		who.waiting++
	}
	if !waits {
		return
	}
	if who.waited++; who.lastWait == 0 {
		f.process.log.Info().Str("tenant", who.Name).Int("parts", who.waiting).Msg("tenants: one waits for connections")
	}
	who.lastWait = now
	if who.waits == nil {
		who.waits = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
	}
}

// stopWaiting notes that a part was sent, or is over.
func (f *Gateway) stopWaiting(p *shardCall, now balancer.Time) {
	if p.waitingSince == 0 {
		return
	}
	t := &f.quota
	t.limiter.AddWaiting(t.services[p.shard], p.tenant, -1)
	if who := t.tenants[p.tenant]; who != nil {
		who.waiting = max(who.waiting-1, 0)
		who.lastWait = now
		if who.waits != nil {
			who.waits.RecordValue(duration(now - p.waitingSince).Microseconds())
		}
	}
	p.waitingSince = 0
}

// maintainQuota asks for parts of the services' connections, tells who waits no longer, and gives up keepers whose duty is another's.
func (f *Gateway) maintainQuota(now balancer.Time) {
	t := &f.quota
	if t.limiter == nil {
		return
	}
	for _, who := range t.tenants {
		if who.waiting == 0 && who.lastWait > 0 && now-who.lastWait > ticks(waitingCooldown) {
			who.lastWait = 0
			f.process.log.Info().Str("tenant", who.Name).Msg("tenants: one waits no longer")
		}
		if now-who.since > ticks(statsWindow) {
			who.since, who.requests, who.waited = now, 0, 0
			if who.waits != nil {
				who.waits.Reset()
			}
		}
	}
	for service := range t.allocators {
		if !f.members.holdsRole(poolRole(service), duration(now)) {
			delete(t.allocators, service)
		}
	}
	for name, c := range t.callers {
		gone := true
		for _, g := range f.members.gateways {
			gone = gone && g != name
		}
		if gone {
			c.Close()
			delete(t.callers, name)
		}
	}
	ended := false
	for service, g := range t.grants {
		if g.connections > 0 && now >= g.expiresAt {
			ended = true
			t.grants[service] = quotaGrant{requested: g.requested}
		}
	}
	if now >= t.nextRequest {
		t.nextRequest = now + ticks(quotaRequestInterval)
		for service, wants := range f.quotaDemand(now) {
			f.requestQuota(service, wants, now)
		}
	}
	if ended {
		f.syncEndpoints()
	}
}

// poolRole is the key of the duty to divide a service's connections.
func poolRole(service string) rendezvous.Name { return rendezvous.Name("connections " + service) }

// quotaDemand are, by service, what tenants would use beyond the base that is had without asking.
func (f *Gateway) quotaDemand(now balancer.Time) map[string][]quota.Demand {
	t := &f.quota
	most := map[string]map[string]float64{} // by service and tenant
	servers := map[string]float64{}
	for _, s := range f.endpoints {
		if s.listed {
			servers[s.service]++
		}
	}
	for _, h := range t.limiter.ConnectionUsages(duration(now)) {
		s := f.endpointsByID[balancer.ServerID(h.Server)]
		if s == nil || !s.listed {
			continue
		}
		if most[s.service] == nil {
			most[s.service] = map[string]float64{}
		}
		most[s.service][h.Tenant] = max(most[s.service][h.Tenant], float64(h.InUse))
	}
	out := map[string][]quota.Demand{}
	for service, limit := range f.connectionLimits {
		base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), f.members.size())
		if pool == 0 || servers[service] == 0 {
			continue
		}
		var uses []quota.TenantUse
		for no, who := range t.tenants {
			waiting := float64(t.limiter.Waiting(quota.Service(service), no)) / servers[service]
			uses = append(uses, quota.TenantUse{Tenant: who.Name, Weight: who.Weight, InUse: most[service][who.Name], Waiting: waiting})
		}
		if t.demands[service] == nil {
			t.demands[service] = &quota.DemandEstimator{}
		}
		if wants := t.demands[service].Demands(base, uses); len(wants) > 0 {
			out[service] = wants
		}
	}
	return out
}

// requestQuota asks the holder of a service's duty for a part.
func (f *Gateway) requestQuota(service string, wants []quota.Demand, now balancer.Time) {
	t := &f.quota
	g := t.grants[service]
	if g.requested {
		return
	}
	self := f.members.self
	holder := f.members.roleOwner(poolRole(service))
	if holder == self {
		if parts, may := f.allocate(service, f.process.incarnation, wants, g.connections, now); may {
			f.applyGrant(service, parts, now)
		}
		return
	}
	c := t.callers[holder]
	if c == nil {
		c = &rpc.Client{Address: string(holder), Network: f.process.network}
		t.callers[holder] = c
	}
	m := &rpc.QuotaRequest{Service: service, From: string(self), Incarnation: f.process.incarnation, InUse: uint32(g.connections)}
	for _, w := range wants {
		m.Demands = append(m.Demands, &rpc.Demand{Tenant: w.Tenant, ConnectionsMilli: uint32(1000 * w.Connections), WeightMilli: uint32(1000 * w.Weight)})
	}
	g.requested = true
	t.grants[service] = g
	go func() {
		limit, cancel := context.WithTimeout(context.Background(), quotaRequestTimeout)
		defer cancel()
		a, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_QuotaRequest{QuotaRequest: m}})
		f.loop.post(func() {
			g := t.grants[service]
			g.requested = false
			t.grants[service] = g
			if p := a.GetQuotaGrant(); err == nil && p != nil && p.Granted {
				f.applyGrant(service, int(p.Connections), now)
			}
		})
	}()
}

// applyGrant takes a part that was asked for at a moment.
func (f *Gateway) applyGrant(service string, parts int, asked balancer.Time) {
	g := quotaGrant{connections: parts, expiresAt: asked + ticks(quota.LeaseDuration)}
	if f.loop.now() >= g.expiresAt {
		return // it was on its way for too long
	}
	changed := f.quota.grants[service].connections != parts
	if f.quota.grants[service] = g; changed {
		f.syncEndpoints()
	}
}

// allocate answers for a service whose duty is held here. It tells whether it is.
func (f *Gateway) allocate(service string, life uint64, wants []quota.Demand, used int, now balancer.Time) (parts int, may bool) {
	t := &f.quota
	limit, known := f.connectionLimits[service]
	if t.limiter == nil || !known || !f.members.holdsRole(poolRole(service), duration(now)) {
		return 0, false
	}
	k := t.allocators[service]
	if k == nil {
		k = quota.NewAllocator()
		t.allocators[service] = k
	}
	_, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), f.members.size())
	return k.Request(life, wants, used, pool, duration(now)), true
}

// handleQuotaRequest answers another gatherer's asking.
func (f *Gateway) handleQuotaRequest(c *rpc.Conn, id uint64, m *rpc.QuotaRequest) {
	var wants []quota.Demand
	for _, w := range m.Demands {
		wants = append(wants, quota.Demand{Tenant: w.Tenant, Connections: float64(w.ConnectionsMilli) / 1000, Weight: float64(w.WeightMilli) / 1000})
	}
	parts, may := f.allocate(m.Service, m.Incarnation, wants, int(m.InUse), f.loop.now())
	go c.Respond(id, &rpc.Frame{Body: &rpc.Frame_QuotaGrant{QuotaGrant: &rpc.QuotaGrant{Connections: uint32(parts), Granted: may}}})
}

// stats are what operators are told; nil = there is nothing to tell.
func (f *Gateway) stats(now balancer.Time) *rpc.GatewayStats {
	t := &f.quota
	m := &rpc.GatewayStats{TenantsVersion: t.version, Verdicts: f.verdicts(now)}
	if f.config != nil {
		m.Version = f.config.Version
	}
	if t.limiter == nil {
		if len(m.Verdicts) == 0 { // nothing to tell but the version
			return nil
		}
		return m
	}
	for _, h := range t.limiter.ConnectionUsages(duration(now)) {
		if s := f.endpointsByID[balancer.ServerID(h.Server)]; s != nil {
			m.Connections = append(m.Connections, &rpc.ConnectionUsage{Tenant: h.Tenant, Instance: s.instance, Service: s.service, InUse: uint32(h.InUse), Borrowed: uint32(h.Borrowed),
				Limit: uint32(h.Limit), ShareMilli: uint32(1000 * min(h.Share, 1e6)), WantsMore: h.WantsMore})
		}
	}
	for _, who := range t.tenants {
		if who.requests == 0 && who.waiting == 0 {
			continue
		}
		w := &rpc.WaitStats{Tenant: who.Name, Requests: who.requests, Waited: who.waited, Waiting: uint32(who.waiting)}
		if who.waits != nil {
			w.P50Us, w.P99Us, w.MaxUs = uint32(who.waits.ValueAtQuantile(50)), uint32(who.waits.ValueAtQuantile(99)), uint32(who.waits.Max())
		}
		m.Waits = append(m.Waits, w)
	}
	return m
}
