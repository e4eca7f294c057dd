package forager

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowspan/brain"
	"oxbowspan/config"
	"oxbowspan/internal/boot"
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Connections shared among tenants (package pollen decides), where a document of tenants is in force. Without one nothing here
// does anything.

// Rhythm of what is told of it.
const (
	needEvery  = 500 * time.Millisecond // between two askings for a part of a service's connections
	needWait   = 400 * time.Millisecond // for the answer
	calmAfter  = 5 * time.Second        // a tenant that did not wait for so long waits no longer
	figureTerm = time.Minute            // over which waits are summed up
)

// tenancy is what the owner keeps of tenants.
type tenancy struct {
	document *config.TenantDocument // nil = none is in force
	text     []byte                 // of the document, as agreed
	version  uint64
	node     *quota.Limiter
	numbers  map[brain.QueryType]quota.TenantID
	services map[brain.ShardNo]quota.Service
	names    map[quota.TenantID]*tenant
	needs    map[string]*quota.DemandEstimator // by service; kept to those of the configuration
	granted  map[string]grant                  // by service; kept to those of the configuration
	keepers  map[string]*quota.Allocator       // of the services whose duty is held here
	holders  map[rendezvous.Name]*rpc.Client   // emptied of gatherers that are gone
	needAt   brain.Time
}

// tenant is one as operators are told of it.
type tenant struct {
	quota.TenantPolicy
	requests, waited uint64
	waiting          int
	lastWait         brain.Time              // 0 = it does not wait
	waits            *hdrhistogram.Histogram // nil until it first waits
	since            brain.Time
}

// grant is a part of a service's connections beyond the base.
type grant struct {
	parts int
	until brain.Time
	out   bool // asked for again, not answered yet
}

// Room, Press and Wait are what brain asks.
func (t *tenancy) Room(at brain.ServerID, of brain.QueryType, now brain.Time) bool {
	return t.node == nil || t.node.CanAcquire(quota.ServerID(at), t.numbers[of], span(now))
}

func (t *tenancy) Press(of brain.QueryType, now brain.Time) float64 {
	if t.node == nil {
		return 1
	}
	return t.node.InFlightFactor(t.numbers[of], span(now))
}

func (t *tenancy) Wait(at brain.ShardNo, of brain.QueryType, now brain.Time) brain.Time {
	if t.node == nil {
		return brain.Never
	}
	return ticks(t.node.EstimatedWait(t.services[at], t.numbers[of], span(now)))
}

// takeNotes takes what is agreed beside the configuration.
func (f *Forager) takeNotes(notes []*rpc.Document) {
	for _, n := range notes {
		if n.Name == config.PinsDocumentName && n.Version > f.judgement.pins {
			f.takePins(n)
		}
		if n.Name != config.TenantsDocumentName || n.Version <= f.tenancy.version {
			continue
		}
		doc, err := config.ParseTenants(n.Body)
		if err != nil {
			f.log.Error().Err(err).Uint64("version", n.Version).Msg("tenants: an agreed document can't be read, the last one stays")
			continue
		}
		f.tenancy.version, f.tenancy.document, f.tenancy.text = n.Version, doc, n.Body
		f.log.Info().Uint64("version", n.Version).Int("tenants", len(doc.Tenants)).Msg("tenants: in force")
		f.retenant()
		f.relist()
	}
}

// notes are what is told to a gatherer that hears no hive.
func (f *Forager) notes() []*rpc.Document {
	if f.tenancy.document == nil {
		return nil // pins end by themselves, and are not worth a way of their own
	}
	return []*rpc.Document{{Name: config.TenantsDocumentName, Version: f.tenancy.version, Body: f.tenancy.text}}
}

// retenant finds the tenants of the routes in force.
func (f *Forager) retenant() {
	t, now := &f.tenancy, f.follows.Load()
	if t.document == nil || now == nil {
		return
	}
	if t.node == nil {
		t.node, t.names = quota.NewLimiter(f.life), map[quota.TenantID]*tenant{}
		t.needs, t.granted, t.keepers, t.holders = map[string]*quota.DemandEstimator{}, map[string]grant{}, map[string]*quota.Allocator{}, map[rendezvous.Name]*rpc.Client{}
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
	numbers := t.node.SetPolicies(all)
	kept := map[quota.TenantID]*tenant{}
	for i, no := range numbers {
		if kept[no] = t.names[no]; kept[no] == nil || kept[no].Name != all[i].Name {
			kept[no] = &tenant{since: f.now()}
		}
		kept[no].TenantPolicy = all[i]
	}
	t.names = kept
	t.numbers, t.services = map[brain.QueryType]quota.TenantID{}, map[brain.ShardNo]quota.Service{}
	floors := map[quota.Service][]quota.TenantID{}
	for r, at := range places {
		no := numbers[at]
		t.numbers[r.typ] = no
		r.tenant, r.shared = no, true
		if all[at].Floor <= 0 {
			continue
		}
		for _, s := range r.Services() {
			floors[quota.Service(s)] = append(floors[quota.Service(s)], no)
		}
	}
	for service, shard := range f.shards {
		t.services[shard] = quota.Service(service)
		t.node.SetFloors(quota.Service(service), distinct(floors[quota.Service(service)]))
	}
	for service := range t.needs {
		if _, named := f.limits[service]; !named {
			delete(t.granted, service)
			delete(t.needs, service)
		}
	}
}

func distinct(in []quota.TenantID) (out []quota.TenantID) {
	seen := map[quota.TenantID]bool{}
	for _, t := range in {
		if !seen[t] {
			seen[t] = true
			out = append(out, t)
		}
	}
	return out
}

// serve tells the sharing of a server, leave that it is gone.
func (t *tenancy) serve(s *flower, part, whole int) {
	if t.node != nil {
		t.node.SetServer(quota.ServerID(s.id), quota.Service(s.service), part, whole)
	}
}

func (t *tenancy) leave(s *flower) {
	if t.node != nil {
		t.node.RemoveServer(quota.ServerID(s.id))
	}
}

// left forgets a server that is gone.
func (f *Forager) left(s *flower) {
	f.tenancy.leave(s)
	delete(f.judgement.told, s.id)
}

// took notes a sub-request's connection for its tenant, gave its end.
func (f *Forager) took(c *call, now brain.Time) {
	t := &f.tenancy
	no := c.p.s.route.tenant
	if t.node == nil || !c.p.s.route.shared {
		return
	}
	c.shared, c.tenant = true, no
	t.node.Acquire(quota.ServerID(c.f.id), no, span(now))
	f.waitsNoMore(c.p, now)
}

func (f *Forager) gave(c *call, now brain.Time) {
	if c.shared {
		c.shared = false
		f.tenancy.node.Release(quota.ServerID(c.f.id), c.tenant, span(now-c.sentAt), span(now))
	}
}

// awaits notes which parts of a search that was just taken wait for a connection.
func (f *Forager) awaits(s *search, now brain.Time) {
	t := &f.tenancy
	no := s.route.tenant
	if t.node == nil || !s.route.shared {
		return
	}
	who := t.names[no]
	if who == nil {
		return
	}
	who.requests++
	waits := false
	for _, p := range s.parts {
		if len(p.calls) > 0 || s.over {
			continue
		}
		waits = true
		p.awaits, p.tenant = now, no
		t.node.AddWaiting(t.services[p.shard], no, 1)
		who.waiting++
	}
	if !waits {
		return
	}
	if who.waited++; who.lastWait == 0 {
		f.log.Info().Str("tenant", who.Name).Int("parts", who.waiting).Msg("tenants: one waits for connections")
	}
	who.lastWait = now
	if who.waits == nil {
		who.waits = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
	}
}

// waitsNoMore notes that a part was sent, or is over.
func (f *Forager) waitsNoMore(p *part, now brain.Time) {
	if p.awaits == 0 {
		return
	}
	t := &f.tenancy
	t.node.AddWaiting(t.services[p.shard], p.tenant, -1)
	if who := t.names[p.tenant]; who != nil {
		who.waiting = max(who.waiting-1, 0)
		who.lastWait = now
		if who.waits != nil {
			who.waits.RecordValue(span(now - p.awaits).Microseconds())
		}
	}
	p.awaits = 0
}

// tend asks for parts of the services' connections, tells who waits no longer, and gives up keepers whose duty is another's.
func (f *Forager) tend(now brain.Time) {
	t := &f.tenancy
	if t.node == nil {
		return
	}
	for _, who := range t.names {
		if who.waiting == 0 && who.lastWait > 0 && now-who.lastWait > ticks(calmAfter) {
			who.lastWait = 0
			f.log.Info().Str("tenant", who.Name).Msg("tenants: one waits no longer")
		}
		if now-who.since > ticks(figureTerm) {
			who.since, who.requests, who.waited = now, 0, 0
			if who.waits != nil {
				who.waits.Reset()
			}
		}
	}
	for service := range t.keepers {
		if !f.duties.Holds(connections(service), span(now)) {
			delete(t.keepers, service)
		}
	}
	for name, c := range t.holders {
		gone := true
		for _, g := range f.gatherers {
			gone = gone && g != name
		}
		if gone {
			c.Close()
			delete(t.holders, name)
		}
	}
	ended := false
	for service, g := range t.granted {
		if g.parts > 0 && now >= g.until {
			ended = true
			t.granted[service] = grant{out: g.out}
		}
	}
	if now >= t.needAt {
		t.needAt = now + ticks(needEvery)
		for service, wants := range f.wants(now) {
			f.need(service, wants, now)
		}
	}
	if ended {
		f.relist()
	}
}

// connections is the key of the duty to divide a service's connections.
func connections(service string) rendezvous.Name { return rendezvous.Name("connections " + service) }

// wants are, by service, what tenants would use beyond the base that is had without asking.
func (f *Forager) wants(now brain.Time) map[string][]quota.Demand {
	t := &f.tenancy
	most := map[string]map[string]float64{} // by service and tenant
	servers := map[string]float64{}
	for _, s := range f.flowers {
		if s.listed {
			servers[s.service]++
		}
	}
	for _, h := range t.node.ConnectionUsages(span(now)) {
		s := f.servers[brain.ServerID(h.Server)]
		if s == nil || !s.listed {
			continue
		}
		if most[s.service] == nil {
			most[s.service] = map[string]float64{}
		}
		most[s.service][h.Tenant] = max(most[s.service][h.Tenant], float64(h.InUse))
	}
	out := map[string][]quota.Demand{}
	for service, limit := range f.limits {
		base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), len(f.gatherers))
		if pool == 0 || servers[service] == 0 {
			continue
		}
		var uses []quota.TenantUse
		for no, who := range t.names {
			waiting := float64(t.node.Waiting(quota.Service(service), no)) / servers[service]
			uses = append(uses, quota.TenantUse{Tenant: who.Name, Weight: who.Weight, InUse: most[service][who.Name], Waiting: waiting})
		}
		if t.needs[service] == nil {
			t.needs[service] = &quota.DemandEstimator{}
		}
		if wants := t.needs[service].Demands(base, uses); len(wants) > 0 {
			out[service] = wants
		}
	}
	return out
}

// need asks the holder of a service's duty for a part.
func (f *Forager) need(service string, wants []quota.Demand, now brain.Time) {
	t := &f.tenancy
	g := t.granted[service]
	if g.out {
		return
	}
	self := rendezvous.Name(f.set.Internal(boot.ForagerPort))
	holder := rendezvous.Owner(connections(service), f.gatherers)
	if holder == self {
		if parts, may := f.keep(service, f.life, wants, g.parts, now); may {
			f.grant(service, parts, now)
		}
		return
	}
	c := t.holders[holder]
	if c == nil {
		c = &rpc.Client{Address: string(holder), Network: f.net}
		t.holders[holder] = c
	}
	m := &rpc.QuotaRequest{Service: service, From: string(self), Incarnation: f.life, InUse: uint32(g.parts)}
	for _, w := range wants {
		m.Demands = append(m.Demands, &rpc.Demand{Tenant: w.Tenant, ConnectionsMilli: uint32(1000 * w.Connections), WeightMilli: uint32(1000 * w.Weight)})
	}
	g.out = true
	t.granted[service] = g
	go func() {
		limit, cancel := context.WithTimeout(context.Background(), needWait)
		defer cancel()
		a, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_QuotaRequest{QuotaRequest: m}})
		f.do(func() {
			g := t.granted[service]
			g.out = false
			t.granted[service] = g
			if p := a.GetQuotaGrant(); err == nil && p != nil && p.Granted {
				f.grant(service, int(p.Connections), now)
			}
		})
	}()
}

// grant takes a part that was asked for at a moment.
func (f *Forager) grant(service string, parts int, asked brain.Time) {
	g := grant{parts: parts, until: asked + ticks(quota.LeaseDuration)}
	if f.now() >= g.until {
		return // it was on its way for too long
	}
	changed := f.tenancy.granted[service].parts != parts
	if f.tenancy.granted[service] = g; changed {
		f.relist()
	}
}

// keep answers for a service whose duty is held here. It tells whether it is.
func (f *Forager) keep(service string, life uint64, wants []quota.Demand, used int, now brain.Time) (parts int, may bool) {
	t := &f.tenancy
	limit, known := f.limits[service]
	if t.node == nil || !known || !f.duties.Holds(connections(service), span(now)) {
		return 0, false
	}
	k := t.keepers[service]
	if k == nil {
		k = quota.NewAllocator()
		t.keepers[service] = k
	}
	_, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(limit), len(f.gatherers))
	return k.Request(life, wants, used, pool, span(now)), true
}

// needed answers another gatherer's asking.
func (f *Forager) needed(c *rpc.Conn, id uint64, m *rpc.QuotaRequest) {
	var wants []quota.Demand
	for _, w := range m.Demands {
		wants = append(wants, quota.Demand{Tenant: w.Tenant, Connections: float64(w.ConnectionsMilli) / 1000, Weight: float64(w.WeightMilli) / 1000})
	}
	parts, may := f.keep(m.Service, m.Incarnation, wants, int(m.InUse), f.now())
	go c.Respond(id, &rpc.Frame{Body: &rpc.Frame_QuotaGrant{QuotaGrant: &rpc.QuotaGrant{Connections: uint32(parts), Granted: may}}})
}

// figures are what operators are told; nil = there is nothing to tell.
func (f *Forager) figures(now brain.Time) *rpc.GatewayStats {
	t := &f.tenancy
	m := &rpc.GatewayStats{TenantsVersion: t.version, Verdicts: f.stances(now)}
	if f.config != nil {
		m.Version = f.config.Version
	}
	if t.node == nil {
		if len(m.Verdicts) == 0 { // nothing to tell but the version
			return nil
		}
		return m
	}
	for _, h := range t.node.ConnectionUsages(span(now)) {
		if s := f.servers[brain.ServerID(h.Server)]; s != nil {
			m.Connections = append(m.Connections, &rpc.ConnectionUsage{Tenant: h.Tenant, Instance: s.instance, Service: s.service, InUse: uint32(h.InUse), Borrowed: uint32(h.Borrowed),
				Limit: uint32(h.Limit), ShareMilli: uint32(1000 * min(h.Share, 1e6)), WantsMore: h.WantsMore})
		}
	}
	for _, who := range t.names {
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
