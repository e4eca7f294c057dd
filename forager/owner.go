package forager

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/brain"
	"oxbowspan/config"
	"oxbowspan/internal/alarm"
	"oxbowspan/internal/boot"
	"oxbowspan/outlier"
	"oxbowspan/quota"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// follows is what one version of the configuration means here. It is read by many and never changed.
type follows struct {
	turn    uint64
	version uint64
	table   *config.RouteTable
	routes  map[*config.Route]*route
}

// route is a route of one version, in brain's terms.
type route struct {
	*config.Route
	typ    brain.QueryType
	shards []brain.ShardNo // a gathered route's
	among  []brain.Weighted
	tenant quota.TenantID // the owner's, where tenants are in force
	shared bool
}

// search is one request on its way through the program.
type search struct {
	// Set by the client's goroutine.
	route    *route
	method   string
	uri      string
	head     []byte // the header lines that go along
	body     []byte
	attempt  string
	patience brain.Time
	reply    chan reply // takes one without waiting

	// The owner's.
	id     brain.SearchID
	parts  []*part
	over   bool
	mayRun bool               // something was sent and may have run or run yet
	sent   bool               // something was offered to a server
	last   *fasthttp.Response // the last answer of a server that was no success, to be passed on
}

type part struct {
	s     *search
	id    brain.PartID
	shard brain.ShardNo
	calls []*call // by number of the sub-request; nil = ended
	out   int
	in    *fasthttp.Response

	first  *link // the connection that carried it first, then the others
	others []*link

	awaits brain.Time // since when it waits for a connection, 0 = it does not
	tenant quota.TenantID
}

// call is one sub-request.
type call struct {
	p      *part
	no     brain.SendNo
	f      *flower
	link   *link // nil = not connected yet
	sentAt brain.Time
	until  brain.Time
	rested bool
	over   bool
	shared bool // its connection counts for a tenant
	tenant quota.TenantID
}

// mayRun tells whether a sub-request that has not ended may have run. One without a connection is never sent any more once its
// search is over.
func (c *call) mayRun() bool { return c != nil && c.link != nil }

// flower is a server as this gatherer sees it.
type flower struct {
	id               brain.ServerID
	instance         string
	address          string
	service          string
	zone             string
	state            registry.State
	silent           bool
	unheard          bool             // the core does not hear it itself
	claim            rendezvous.Lease // of the newest holder of its duty that was heard of
	seenAt           brain.Time       // when this gatherer saw it well, as that holder; 0 = not
	probeAt          brain.Time       // when it may be looked after again
	probePause       brain.Time
	sequence         uint64
	replaced         bool // another server answered at its address
	listed           bool
	stance           string  // as last logged
	idle             []*link // the last used last
	links            int     // connections, those being made too
	out              int     // sub-requests that have not ended
	area             float64 // of out over time, since it was last told
	since, countedAt brain.Time
}

// owner is the state of the goroutine that alone calls brain.
type owner struct {
	brain     *brain.Gatherer
	searches  map[brain.SearchID]*search // emptied by the final answer
	partsOf   map[brain.PartID]*part     // emptied when the search is over and nothing is out
	flowers   map[string]*flower         // by instance; emptied of those gone
	servers   map[brain.ServerID]*flower // the same
	shards    map[string]brain.ShardNo   // by service: as many as the operator and the servers ever named
	types     map[string]brain.QueryType // by host and prefix; a route that went leaves its number to the next
	free      []brain.QueryType
	zones     map[string]brain.ZoneNo // as many as servers named
	limits    map[string]int          // connection limits, by service
	config    *config.Configuration
	text      []byte // its text, for gatherers that hear no hive
	turnNow   uint64
	timers    alarm.Heap[due] // emptied as they fire
	pending   []brain.Event
	watchers  map[*rpc.Conn]bool
	watching  map[rendezvous.Name]*watched
	duties    *rendezvous.Tracker
	gatherers []rendezvous.Name // all, as last told, this one too
	seats     map[string]*seats // by service, as many as the configuration names
	company   int               // others that those watched stand for
	shareAt   brain.Time
	lastID    uint64
	lastNo    brain.SearchNo
	tenancy   tenancy
	judgement judgement
	room      []byte // for the text of a request
	toldLoads bool
}

// due is a timer of brain's, the time limit of a call, or of a search that was not offered.
type due struct {
	timer     brain.TimerID
	call      *call
	unoffered *search
}

// figures that the platform states nowhere.
const (
	lateValue   = 0.3                    // share of an answer's worth after its target
	mostAdvice  = 400 * time.Millisecond // a client follows advice up to a third of its time
	defaultMost = 1                      // attempts, where a route states none
)

func (f *Forager) init0() brain.Facts {
	b := f.set.Bounds
	return brain.Facts{Seed: f.life, Gatherers: 1, Tick: brain.Millisecond, Cells: 1, Reach: 1, MostSubRequests: defaultMost,
		MayCopy: true, AdviseRetry: ticks(mostAdvice), HasBudget: b.HasRetryBudget, BudgetEach: true,
		BudgetFree: b.BudgetExtraTries, BudgetShare: b.RetryBudgetRatio,
		BudgetSpan:  ticks(time.Duration((b.BudgetWindowS + 1) * float64(time.Second))),
		BudgetWaits: !f.set.FirstStart, TimeoutSeen: true, AtClient: true, Nears: true, Zone: 0, OverShareFactor: 1, Shares: &f.tenancy}
}

func (o *owner) init(f *Forager) {
	o.brain = brain.New(f.init0())
	o.searches, o.partsOf = map[brain.SearchID]*search{}, map[brain.PartID]*part{}
	o.flowers, o.servers = map[string]*flower{}, map[brain.ServerID]*flower{}
	o.shards, o.types, o.zones = map[string]brain.ShardNo{}, map[string]brain.QueryType{}, map[string]brain.ZoneNo{}
	o.limits, o.watchers, o.watching = map[string]int{}, map[*rpc.Conn]bool{}, map[rendezvous.Name]*watched{}
	o.duties = rendezvous.NewTracker(rendezvous.Name(f.set.Internal(boot.ForagerPort)))
	o.gatherers, o.seats = []rendezvous.Name{rendezvous.Name(f.set.Internal(boot.ForagerPort))}, map[string]*seats{}
	o.zones[f.set.Zone] = 0
	o.judgement = judgement{board: outlier.NewDetector(outlier.Observer(f.life)), told: map[brain.ServerID]brain.Judgement{}}
}

// own is the owner's goroutine.
func (f *Forager) own() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := f.now()
		if now >= f.shareAt {
			f.shareAt = now + ticks(loadsEvery)
			f.judge(now)
			f.share(now)
			f.lookAfter(now)
			f.tend(now)
		}
		f.fire(now)
		next := f.shareAt
		if at, ok := f.timers.Next(); ok {
			next = min(next, brain.Time(at))
		}
		timer.Reset(max(span(next-f.now()), 100*time.Microsecond))
		select {
		case c := <-f.cmds:
			c()
		case <-timer.C:
		case <-f.stopped:
			f.end()
			return
		}
		for range len(f.cmds) {
			(<-f.cmds)()
		}
	}
}

func (f *Forager) end() {
	for _, w := range f.watching {
		w.quit()
		w.call.Close()
	}
	for _, s := range f.flowers {
		for _, l := range s.idle {
			l.c.Close()
		}
	}
	for _, c := range f.tenancy.holders {
		c.Close()
	}
	for _, p := range f.partsOf {
		for _, c := range p.calls {
			if c != nil && c.link != nil {
				c.link.c.Close()
			}
		}
	}
}

func (f *Forager) fire(now brain.Time) {
	for {
		at, ok := f.timers.Next()
		if !ok || brain.Time(at) > now {
			return
		}
		d := f.timers.Pop()
		if d.unoffered != nil {
			f.unoffered(d.unoffered, now)
		} else if d.call == nil {
			f.handle(brain.TimerFired{Timer: d.timer})
		} else if !d.call.over {
			f.callEnded(d.call, brain.TimedOut, nil)
		}
	}
}

// handle gives an event to brain and performs its actions, in order.
func (f *Forager) handle(ev brain.Event) {
	f.perform(f.brain.Handle(f.now(), ev))
	for len(f.pending) > 0 {
		next := f.pending[0]
		f.pending = f.pending[1:]
		f.perform(f.brain.Handle(f.now(), next))
	}
	f.pending = nil
}

func (f *Forager) perform(acts []brain.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case brain.Send:
			f.send(a)
		case brain.Answer:
			f.answer(a)
		case brain.Shed:
			f.giveUp(a.Search, a.RetryAfter)
		case brain.Fail:
			f.giveUp(a.Search, 0)
		case brain.Wake:
			f.timers.Push(int64(a.At), due{timer: a.Timer})
		case brain.CloseIdle:
			if s := f.servers[a.Server]; s != nil {
				f.closeIdle(s)
			}
		}
	}
}

// arrived takes a request.
func (f *Forager) arrived(s *search) {
	f.lastID++
	s.id = brain.SearchID(f.lastID)
	if f.lastNo++; f.lastNo >= math.MaxUint32-1 {
		f.lastNo = 1
	}
	f.searches[s.id] = s
	ev := brain.SearchArrived{Search: s.id, Number: f.lastNo, Type: s.route.typ, Patience: s.patience, Among: s.route.among}
	shards := s.route.shards
	if len(shards) == 0 {
		shards = []brain.ShardNo{s.route.among[0].Shard}
	}
	for _, at := range shards {
		f.lastID++
		p := &part{s: s, id: brain.PartID(f.lastID), shard: at}
		s.parts = append(s.parts, p)
		f.partsOf[p.id] = p
		ev.Parts = append(ev.Parts, brain.Part{ID: p.id, Shard: at, Weight: 1 / float64(len(shards))})
	}
	f.handle(ev)
	f.awaits(s, f.now())
	f.watchUnoffered(s, f.now())
}

// answer gives a search what is in.
func (f *Forager) answer(a brain.Answer) {
	s := f.searches[a.Search]
	if s == nil {
		return
	}
	r := reply{kind: replyParts, missing: len(s.parts)}
	for _, p := range s.parts {
		if p.in != nil {
			r.parts = append(r.parts, p.in)
			r.missing--
			p.in = nil
		}
	}
	if !s.route.Gathered() {
		r.kind = replyPassOn
	}
	f.finish(s, r)
}

// giveUp ends a search without an answer. Only where nothing has run nor can yet, it is told that coming back is harmless.
func (f *Forager) giveUp(id brain.SearchID, advice brain.Time) {
	s := f.searches[id]
	if s == nil {
		return
	}
	r := reply{kind: replyShed, advice: span(advice)}
	for _, p := range s.parts {
		s.mayRun = s.mayRun || slices.ContainsFunc(p.calls, (*call).mayRun)
	}
	switch {
	case s.mayRun && s.last != nil && !s.route.Gathered():
		r = reply{kind: replyPassOn, parts: []*fasthttp.Response{s.last}}
		s.last = nil
	case s.mayRun:
		r.kind = replyFail
	}
	f.finish(s, r)
}

func (f *Forager) finish(s *search, r reply) {
	s.over = true
	delete(f.searches, s.id)
	for _, p := range s.parts {
		if p.in != nil {
			fasthttp.ReleaseResponse(p.in)
			p.in = nil
		}
		f.waitsNoMore(p, f.now())
		f.forget(p)
	}
	if s.last != nil {
		fasthttp.ReleaseResponse(s.last)
		s.last = nil
	}
	s.reply <- r
}

func (f *Forager) forget(p *part) {
	if p.s.over && p.out == 0 {
		delete(f.partsOf, p.id)
	}
}

// putInForce follows a version of the configuration from now on.
func (f *Forager) putInForce(c *config.Configuration, turn uint64) {
	if turn <= f.turnNow {
		return
	}
	f.turnNow, f.config = turn, c
	f.limits = map[string]int{}
	clear(f.seats)
	for _, s := range c.Services {
		f.limits[s.Name] = s.ConnectionLimit
		f.shard(s.Name)
	}
	f.handle(brain.FleetChanged{Shards: len(f.shards), Gatherers: len(f.gatherers)})
	next := &follows{turn: turn, version: c.Version, table: config.NewRouteTable(c), routes: map[*config.Route]*route{}}
	had := f.types
	f.types = map[string]brain.QueryType{}
	for i := range c.Routes {
		r := &c.Routes[i]
		key := strings.ToLower(r.Hostname) + r.PathPrefix
		typ, known := had[key]
		if delete(had, key); !known {
			typ = brain.QueryType(len(f.types) + len(had) + len(f.free))
			if n := len(f.free); n > 0 {
				typ, f.free = f.free[n-1], f.free[:n-1]
			}
		}
		f.types[key] = typ
		to := &route{Route: r, typ: typ}
		for _, s := range r.Services() {
			at, weight := f.shard(s), 1.0
			for _, w := range r.WeightedServices {
				if w.Service == s {
					weight = w.Weight
				}
			}
			if r.Gathered() {
				to.shards = append(to.shards, at)
			} else {
				to.among = append(to.among, brain.Weighted{Shard: at, Weight: weight})
			}
		}
		if r.Gathered() {
			to.among = nil
		}
		next.routes[r] = to
		effect := brain.NonIdempotent
		if r.RouteKind == config.Retryable {
			effect = brain.Idempotent
		}
		least := 1.0
		if r.Gathered() {
			least = max(r.MinimumShare, 1e-9)
		}
		f.handle(brain.TypeChanged{Type: typ, Facts: brain.QueryTypeFacts{Effect: effect, LatencyTarget: milliseconds(r.TargetMS),
			ClientTimeout: milliseconds(r.TimeoutMS), LateValue: lateValue, LeastShare: least, WholeAt: 1,
			MostSubRequests: max(r.Attempts, defaultMost), Square: r.Gathered()}})
	}
	for _, typ := range had {
		f.free = append(f.free, typ)
	}
	f.follows.Store(next)
	f.retenant()
	f.relist()
	f.log.Info().Uint64("version", c.Version).Uint64("turn", turn).Int("routes", len(c.Routes)).Msg("config: in force")
}

func milliseconds(ms float64) brain.Time { return brain.Time(ms * float64(brain.Millisecond)) }

// shard is the number of a service.
func (f *Forager) shard(service string) brain.ShardNo {
	at, known := f.shards[service]
	if !known {
		at = brain.ShardNo(len(f.shards))
		f.shards[service] = at
	}
	return at
}

func (f *Forager) zone(name string) brain.ZoneNo {
	no, known := f.zones[name]
	if !known {
		no = brain.ZoneNo(len(f.zones))
		f.zones[name] = no
	}
	return no
}

// takeReports merges what a hive says of the servers.
func (f *Forager) takeReports(n *rpc.Update) {
	if n.Full && n.HasQuorum && n.Warm {
		named := map[string]bool{}
		for _, r := range n.Reports {
			named[r.Instance] = true
		}
		for i, s := range f.flowers {
			if !named[i] {
				s.state = registry.Deregistered
			}
		}
	}
	for _, r := range n.Reports {
		s := f.flowers[r.Instance]
		if s == nil {
			if r.Service == "" || r.State == uint32(registry.Deregistered) {
				continue
			}
			f.lastID++
			s = &flower{id: brain.ServerID(f.lastID), instance: r.Instance}
			f.flowers[r.Instance], f.servers[s.id] = s, s
		}
		if r.Sequence >= s.sequence {
			if r.Service != "" {
				s.address, s.service, s.zone = r.Address, r.Service, r.Zone
			}
			s.sequence, s.silent, s.unheard = r.Sequence, r.Overdue, r.NoHeartbeats
		}
		if claim := (rendezvous.Lease{FencingToken: r.FencingToken, Holder: r.LeaseHolder}); claim.Compare(s.claim) > 0 {
			s.claim = claim
		}
		s.state = max(s.state, registry.State(r.State))
	}
	if len(n.Reports) > 0 || n.Full {
		f.relist()
	}
}

// relist tells brain which servers there are.
func (f *Forager) relist() {
	for _, s := range f.flowers {
		f.shard(s.service)
	}
	f.handle(brain.FleetChanged{Shards: len(f.shards), Gatherers: len(f.gatherers)})
	seated := f.seated()
	ev := brain.ServerList{Kind: brain.ListChanges}
	for i, s := range f.flowers {
		entry := brain.Server{ID: s.id, Zone: f.zone(s.zone), Cell: brain.CellNo(f.shard(s.service)), Most: f.most(s.service)}
		if own, few := seated[s.service]; !s.silent && !s.replaced && (!few || own[s.instance]) {
			switch s.state {
			case registry.Ready:
				entry.State = brain.Ready
			case registry.Draining:
				entry.State = brain.Draining
			}
		}
		if s.listed = entry.State == brain.Ready; !s.listed {
			f.closeIdle(s)
		}
		for entry.Most > 0 && s.links > entry.Most && len(s.idle) > 0 { // its part grew smaller
			f.drop(s.idle[0])
			s.idle = s.idle[1:]
		}
		f.tenancy.serve(s, entry.Most, rendezvous.ConnectionSlots(f.limits[s.service]))
		ev.Servers = append(ev.Servers, entry)
		if s.state == registry.Deregistered && s.out == 0 && s.links == 0 {
			delete(f.flowers, i)
			delete(f.servers, s.id)
			f.left(s)
		}
	}
	f.handle(ev)
	f.listJudged()
	if f.config != nil && len(ev.Servers) > 0 && !f.ready.Load() {
		f.ready.Store(true)
		f.log.Info().Int("servers", len(ev.Servers)).Msg("forager: ready")
	}
}

// seats are the servers of one service that this gatherer may use, and what they were found from.
type seats struct {
	from []rendezvous.Name // the servers, in order
	all  []rendezvous.Name // the gatherers
	n    int
	own  map[string]bool
}

// seated names, for each service whose servers take fewer connections than there are gatherers, those that this one may use.
func (f *Forager) seated() map[string]map[string]bool {
	few := map[string]map[string]bool{}
	for service, limit := range f.limits {
		n := rendezvous.ConnectionSlots(limit)
		if n <= 0 || n >= len(f.gatherers) {
			delete(f.seats, service)
			continue
		}
		var servers []rendezvous.Name
		for _, s := range f.flowers {
			if s.service == service && s.state == registry.Ready && !s.silent && !s.replaced {
				servers = append(servers, rendezvous.Name(s.instance))
			}
		}
		slices.Sort(servers)
		at := f.seats[service]
		if at == nil || at.n != n || !slices.Equal(at.from, servers) || !slices.Equal(at.all, f.gatherers) {
			at = &seats{servers, f.gatherers, n, map[string]bool{}}
			for _, name := range rendezvous.AssignedServers(rendezvous.Name(f.set.Internal(boot.ForagerPort)), f.gatherers, servers, n) {
				at.own[string(name)] = true
			}
			f.seats[service] = at
		}
		few[service] = at.own
	}
	return few
}

// most is this gatherer's part of the connections that a server of a service takes from all callers together.
func (f *Forager) most(service string) int {
	if f.tenancy.node != nil {
		if base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(f.limits[service]), len(f.gatherers)); pool > 0 {
			return base + f.tenancy.granted[service].parts
		}
	}
	return rendezvous.ConnectionShare(f.limits[service], len(f.gatherers))
}
