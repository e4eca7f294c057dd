package dataplane

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/internal/deadlineheap"
	"oxbowspan/internal/settings"
	"oxbowspan/lease"
	"oxbowspan/outlier"
	"oxbowspan/quota"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// activeConfig is what one version of the configuration means here. It is read by many and never changed.
type activeConfig struct {
	slot    uint64
	version uint64
	table   *config.RouteTable
	routes  map[*config.Route]*route
}

// route is a route of one version, in brain's terms.
type route struct {
	*config.Route
	queryType    balancer.QueryType
	shards       []balancer.ShardIndex // a gathered route's
	alternatives []balancer.WeightedShard
	tenant       quota.TenantID // the owner's, where tenants are in force
	hasTenant    bool
}

// request is one request on its way through the program.
type request struct {
	// Set by the client's goroutine.
	route     *route
	method    string
	uri       string
	header    []byte // the header lines that go along
	body      []byte
	attemptID string
	deadline  balancer.Time
	results   chan result // takes one without waiting

	// The owner's.
	id          balancer.RequestID
	shardCalls  []*shardCall
	finished    bool
	mayHaveRun  bool               // something was sent and may have run or run yet
	dispatched  bool               // something was offered to a server
	lastFailure *fasthttp.Response // the last answer of a server that was no success, to be passed on
}

type shardCall struct {
	request  *request
	id       balancer.ShardCallID
	shard    balancer.ShardIndex
	attempts []*attempt // by number of the sub-request; nil = ended
	inFlight int
	response *fasthttp.Response

	firstConn  *serverConn // the connection that carried it first, then the others
	otherConns []*serverConn

	waitingSince balancer.Time // since when it waits for a connection, 0 = it does not
	tenant       quota.TenantID
}

// attempt is one sub-request.
type attempt struct {
	shardCall       *shardCall
	number          balancer.AttemptNumber
	endpoint        *endpoint
	conn            *serverConn // nil = not connected yet
	sentAt          balancer.Time
	deadline        balancer.Time
	afterIdle       bool
	ended           bool
	countsForTenant bool // its connection counts for a tenant
	tenant          quota.TenantID
}

// mayHaveRun tells whether a sub-request that has not ended may have run. One without a connection is never sent any more once its
// search is over.
func (c *attempt) mayHaveRun() bool { return c != nil && c.conn != nil }

// endpoint is a server as this gatherer sees it.
type endpoint struct {
	id                          balancer.ServerID
	instance                    string
	address                     string
	service                     string
	zone                        string
	state                       registry.State
	overdue                     bool
	noHeartbeats                bool          // the core does not hear it itself
	lease                       lease.Lease   // of the newest holder of its duty that was heard of
	seenHealthyAt               balancer.Time // when this gatherer saw it well, as that holder; 0 = not
	nextHealthCheck             balancer.Time // when it may be looked after again
	healthCheckPause            balancer.Time
	sequence                    uint64
	replaced                    bool // another server answered at its address
	listed                      bool
	loggedState                 string        // as last logged
	idle                        []*serverConn // the last used last
	connections                 int           // connections, those being made too
	inFlight                    int           // sub-requests that have not ended
	inFlightIntegral            float64       // of out over time, since it was last told
	integralSince, integratedAt balancer.Time
}

// loopState is the state of the goroutine that alone calls brain.
type loopState struct {
	balancer         *balancer.Balancer
	requests         map[balancer.RequestID]*request     // emptied by the final answer
	shardCalls       map[balancer.ShardCallID]*shardCall // emptied when the search is over and nothing is out
	endpoints        map[string]*endpoint                // by instance; emptied of those gone
	endpointsByID    map[balancer.ServerID]*endpoint     // the same
	shards           map[string]balancer.ShardIndex      // by service: as many as the operator and the servers ever named
	queryTypes       map[string]balancer.QueryType       // by host and prefix; a route that went leaves its number to the next
	freeQueryTypes   []balancer.QueryType
	zones            map[string]balancer.ZoneIndex // as many as servers named
	connectionLimits map[string]int                // connection limits, by service
	config           *config.Configuration
	configText       []byte // its text, for gatherers that hear no hive
	configSlot       uint64
	timers           deadlineheap.Heap[timerEvent] // emptied as they fire
	pendingEvents    []balancer.Event
	subscribers      map[*rpc.Conn]bool
	subscriptions    map[rendezvous.Name]*loadSubscription
	roles            *lease.Tracker
	gateways         []rendezvous.Name          // all, as last told, this one too
	slots            map[string]*slotAssignment // by service, as many as the configuration names
	observedPeers    int                        // others that those watched stand for
	nextExchange     balancer.Time
	lastID           uint64
	lastNumber       balancer.RequestNumber
	quota            quotaClient
	outliers         outlierClient
	writeBuffer      []byte // for the text of a request
	sentLoads        bool
}

// timerEvent is a timer of brain's, the time limit of a call, or of a search that was not offered.
type timerEvent struct {
	timer        balancer.TimerID
	attempt      *attempt
	undispatched *request
}

// figures that the platform states nowhere.
const (
	lateResponseValue = 0.3                    // share of an answer's worth after its target
	maxRetryAfter     = 400 * time.Millisecond // a client follows advice up to a third of its time
	defaultAttempts   = 1                      // attempts, where a route states none
)

func (f *Gateway) balancerFacts() balancer.Config {
	b := f.settings.Bounds
	return balancer.Config{Seed: f.incarnation, Instances: 1, ClockResolution: balancer.Millisecond, Cells: 1, ReplicationFactor: 1, MaxAttempts: defaultAttempts,
		AllowHedging: true, MaxRetryAfter: ticks(maxRetryAfter), HasRetryBudget: b.HasRetryBudget, RetryBudgetPerShard: true,
		RetryBudgetBase: b.BudgetExtraTries, RetryBudgetRatio: b.RetryBudgetRatio,
		RetryBudgetWindow:  ticks(time.Duration((b.BudgetWindowS + 1) * float64(time.Second))),
		RetryBudgetDelayed: !f.settings.FirstStart, InferClientTimeout: true, MeasuredAtClient: true, PreferLocalZone: true, LocalZone: 0, OverQuotaValue: 1, Limiter: &f.quota}
}

func (o *loopState) init(f *Gateway) {
	o.balancer = balancer.New(f.balancerFacts())
	o.requests, o.shardCalls = map[balancer.RequestID]*request{}, map[balancer.ShardCallID]*shardCall{}
	o.endpoints, o.endpointsByID = map[string]*endpoint{}, map[balancer.ServerID]*endpoint{}
	o.shards, o.queryTypes, o.zones = map[string]balancer.ShardIndex{}, map[string]balancer.QueryType{}, map[string]balancer.ZoneIndex{}
	o.connectionLimits, o.subscribers, o.subscriptions = map[string]int{}, map[*rpc.Conn]bool{}, map[rendezvous.Name]*loadSubscription{}
	o.roles = lease.NewTracker(rendezvous.Name(f.settings.InternalAddress(settings.GatewayPort)))
	o.gateways, o.slots = []rendezvous.Name{rendezvous.Name(f.settings.InternalAddress(settings.GatewayPort))}, map[string]*slotAssignment{}
	o.zones[f.settings.Zone] = 0
	o.outliers = outlierClient{detector: outlier.NewDetector(outlier.Observer(f.incarnation)), reported: map[balancer.ServerID]balancer.OutlierVerdict{}}
}

// runLoop is the owner's goroutine.
func (f *Gateway) runLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := f.now()
		if now >= f.nextExchange {
			f.nextExchange = now + ticks(exchangeInterval)
			f.evaluateOutliers(now)
			f.exchangeLoads(now)
			f.runHealthChecks(now)
			f.maintainQuota(now)
		}
		f.fireTimers(now)
		next := f.nextExchange
		if at, ok := f.timers.Next(); ok {
			next = min(next, balancer.Time(at))
		}
		timer.Reset(max(duration(next-f.now()), 100*time.Microsecond))
		select {
		case c := <-f.commands:
			c()
		case <-timer.C:
		case <-f.stopped:
			f.closeAll()
			return
		}
		for range len(f.commands) {
			(<-f.commands)()
		}
	}
}

func (f *Gateway) closeAll() {
	for _, w := range f.subscriptions {
		w.cancel()
		w.caller.Close()
	}
	for _, s := range f.endpoints {
		for _, l := range s.idle {
			l.conn.Close()
		}
	}
	for _, c := range f.quota.callers {
		c.Close()
	}
	for _, p := range f.shardCalls {
		for _, c := range p.attempts {
			if c != nil && c.conn != nil {
				c.conn.conn.Close()
			}
		}
	}
}

func (f *Gateway) fireTimers(now balancer.Time) {
	for {
		at, ok := f.timers.Next()
		if !ok || balancer.Time(at) > now {
			return
		}
		d := f.timers.Pop()
		if d.undispatched != nil {
			f.dispatchOverdue(d.undispatched, now)
		} else if d.attempt == nil {
			f.handleEvent(balancer.TimerFired{Timer: d.timer})
		} else if !d.attempt.ended {
			f.attemptEnded(d.attempt, balancer.TimedOut, nil)
		}
	}
}

// handleEvent gives an event to brain and performs its actions, in order.
func (f *Gateway) handleEvent(ev balancer.Event) {
	f.performActions(f.balancer.Handle(f.now(), ev))
	for len(f.pendingEvents) > 0 {
		next := f.pendingEvents[0]
		f.pendingEvents = f.pendingEvents[1:]
		f.performActions(f.balancer.Handle(f.now(), next))
	}
	f.pendingEvents = nil
}

func (f *Gateway) performActions(acts []balancer.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case balancer.Send:
			f.dispatch(a)
		case balancer.Answer:
			f.answerRequest(a)
		case balancer.Shed:
			f.failRequest(a.Request, a.RetryAfter)
		case balancer.Fail:
			f.failRequest(a.Request, 0)
		case balancer.SetTimer:
			f.timers.Push(int64(a.At), timerEvent{timer: a.Timer})
		case balancer.CloseIdle:
			if s := f.endpointsByID[a.Server]; s != nil {
				f.closeIdleConns(s)
			}
		}
	}
}

// requestArrived takes a request.
func (f *Gateway) requestArrived(s *request) {
	f.lastID++
	s.id = balancer.RequestID(f.lastID)
	if f.lastNumber++; f.lastNumber >= math.MaxUint32-1 {
		f.lastNumber = 1
	}
	f.requests[s.id] = s
	ev := balancer.RequestArrived{Request: s.id, Number: f.lastNumber, Type: s.route.queryType, Timeout: s.deadline, Candidates: s.route.alternatives}
	shards := s.route.shards
	if len(shards) == 0 {
		shards = []balancer.ShardIndex{s.route.alternatives[0].Shard}
	}
	for _, at := range shards {
		f.lastID++
		p := &shardCall{request: s, id: balancer.ShardCallID(f.lastID), shard: at}
		s.shardCalls = append(s.shardCalls, p)
		f.shardCalls[p.id] = p
		ev.Calls = append(ev.Calls, balancer.ShardCall{ID: p.id, Shard: at, Weight: 1 / float64(len(shards))})
	}
	f.handleEvent(ev)
	f.startWaiting(s, f.now())
	f.watchDispatch(s, f.now())
}

// answerRequest gives a search what is in.
func (f *Gateway) answerRequest(a balancer.Answer) {
	s := f.requests[a.Request]
	if s == nil {
		return
	}
	r := result{kind: resultMerge, missing: len(s.shardCalls)}
	for _, p := range s.shardCalls {
		if p.response != nil {
			r.responses = append(r.responses, p.response)
			r.missing--
			p.response = nil
		}
	}
	if !s.route.Gathered() {
		r.kind = resultForward
	}
	f.finishRequest(s, r)
}

// failRequest ends a search without an answer. Only where nothing has run nor can yet, it is told that coming back is harmless.
func (f *Gateway) failRequest(id balancer.RequestID, advice balancer.Time) {
	s := f.requests[id]
	if s == nil {
		return
	}
	r := result{kind: resultRejected, retryAfter: duration(advice)}
	for _, p := range s.shardCalls {
		s.mayHaveRun = s.mayHaveRun || slices.ContainsFunc(p.attempts, (*attempt).mayHaveRun)
	}
	switch {
	case s.mayHaveRun && s.lastFailure != nil && !s.route.Gathered():
		r = result{kind: resultForward, responses: []*fasthttp.Response{s.lastFailure}}
		s.lastFailure = nil
	case s.mayHaveRun:
		r.kind = resultFailed
	}
	f.finishRequest(s, r)
}

func (f *Gateway) finishRequest(s *request, r result) {
	s.finished = true
	delete(f.requests, s.id)
	for _, p := range s.shardCalls {
		if p.response != nil {
			fasthttp.ReleaseResponse(p.response)
			p.response = nil
		}
		f.stopWaiting(p, f.now())
		f.releaseShardCall(p)
	}
	if s.lastFailure != nil {
		fasthttp.ReleaseResponse(s.lastFailure)
		s.lastFailure = nil
	}
	s.results <- r
}

func (f *Gateway) releaseShardCall(p *shardCall) {
	if p.request.finished && p.inFlight == 0 {
		delete(f.shardCalls, p.id)
	}
}

// activateConfig follows a version of the configuration from now on.
func (f *Gateway) activateConfig(c *config.Configuration, turn uint64) {
	if turn <= f.configSlot {
		return
	}
	f.configSlot, f.config = turn, c
	f.connectionLimits = map[string]int{}
	clear(f.slots)
	for _, s := range c.Services {
		f.connectionLimits[s.Name] = s.ConnectionLimit
		f.shardNumber(s.Name)
	}
	f.handleEvent(balancer.ClusterResized{Shards: len(f.shards), Instances: len(f.gateways)})
	next := &activeConfig{slot: turn, version: c.Version, table: config.NewRouteTable(c), routes: map[*config.Route]*route{}}
	had := f.queryTypes
	f.queryTypes = map[string]balancer.QueryType{}
	for i := range c.Routes {
		r := &c.Routes[i]
		key := strings.ToLower(r.Hostname) + r.PathPrefix
		typ, known := had[key]
		if delete(had, key); !known {
			typ = balancer.QueryType(len(f.queryTypes) + len(had) + len(f.freeQueryTypes))
			if n := len(f.freeQueryTypes); n > 0 {
				typ, f.freeQueryTypes = f.freeQueryTypes[n-1], f.freeQueryTypes[:n-1]
			}
		}
		f.queryTypes[key] = typ
		to := &route{Route: r, queryType: typ}
		for _, s := range r.Services() {
			at, weight := f.shardNumber(s), 1.0
			for _, w := range r.WeightedServices {
				if w.Service == s {
					weight = w.Weight
				}
			}
			if r.Gathered() {
				to.shards = append(to.shards, at)
			} else {
				to.alternatives = append(to.alternatives, balancer.WeightedShard{Shard: at, Weight: weight})
			}
		}
		if r.Gathered() {
			to.alternatives = nil
		}
		next.routes[r] = to
		effect := balancer.NonIdempotent
		if r.RouteKind == config.Retryable {
			effect = balancer.Idempotent
		}
		least := 1.0
		if r.Gathered() {
			least = max(r.MinimumShare, 1e-9)
		}
		f.handleEvent(balancer.QueryTypeChanged{Type: typ, Config: balancer.QueryTypeConfig{Idempotency: effect, LatencyTarget: ticksFromMillis(r.TargetMS),
			ClientTimeout: ticksFromMillis(r.TimeoutMS), LateValue: lateResponseValue, MinCoverage: least, CompleteCoverage: 1,
			MaxAttempts: max(r.Attempts, defaultAttempts), QuadraticPartialValue: r.Gathered()}})
	}
	for _, typ := range had {
		f.freeQueryTypes = append(f.freeQueryTypes, typ)
	}
	f.active.Store(next)
	f.rebuildTenants()
	f.syncEndpoints()
	f.log.Info().Uint64("version", c.Version).Uint64("turn", turn).Int("routes", len(c.Routes)).Msg("config: in force")
}

func ticksFromMillis(ms float64) balancer.Time {
	return balancer.Time(ms * float64(balancer.Millisecond))
}

// shardNumber is the number of a service.
func (f *Gateway) shardNumber(service string) balancer.ShardIndex {
	at, known := f.shards[service]
	if !known {
		at = balancer.ShardIndex(len(f.shards))
		f.shards[service] = at
	}
	return at
}

func (f *Gateway) zoneNumber(name string) balancer.ZoneIndex {
	no, known := f.zones[name]
	if !known {
		no = balancer.ZoneIndex(len(f.zones))
		f.zones[name] = no
	}
	return no
}

// applyReports merges what a hive says of the servers.
func (f *Gateway) applyReports(n *rpc.Update) {
	if n.Full && n.HasQuorum && n.Warm {
		named := map[string]bool{}
		for _, r := range n.Reports {
			named[r.Instance] = true
		}
		for i, s := range f.endpoints {
			if !named[i] {
				s.state = registry.Deregistered
			}
		}
	}
	for _, r := range n.Reports {
		s := f.endpoints[r.Instance]
		if s == nil {
			if r.Service == "" || r.State == uint32(registry.Deregistered) {
				continue
			}
			f.lastID++
			s = &endpoint{id: balancer.ServerID(f.lastID), instance: r.Instance}
			f.endpoints[r.Instance], f.endpointsByID[s.id] = s, s
		}
		if r.Sequence >= s.sequence {
			if r.Service != "" {
				s.address, s.service, s.zone = r.Address, r.Service, r.Zone
			}
			s.sequence, s.overdue, s.noHeartbeats = r.Sequence, r.Overdue, r.NoHeartbeats
		}
		if claim := (lease.Lease{FencingToken: r.FencingToken, Holder: r.LeaseHolder}); claim.Compare(s.lease) > 0 {
			s.lease = claim
		}
		s.state = max(s.state, registry.State(r.State))
	}
	if len(n.Reports) > 0 || n.Full {
		f.syncEndpoints()
	}
}

// syncEndpoints tells brain which servers there are.
func (f *Gateway) syncEndpoints() {
	for _, s := range f.endpoints {
		f.shardNumber(s.service)
	}
	f.handleEvent(balancer.ClusterResized{Shards: len(f.shards), Instances: len(f.gateways)})
	seated := f.assignedEndpoints()
	ev := balancer.ServerList{Kind: balancer.ListDelta}
	for i, s := range f.endpoints {
		entry := balancer.Server{ID: s.id, Zone: f.zoneNumber(s.zone), Cell: balancer.CellIndex(f.shardNumber(s.service)), MaxInFlight: f.maxConnections(s.service)}
		if own, few := seated[s.service]; !s.overdue && !s.replaced && (!few || own[s.instance]) {
			switch s.state {
			case registry.Ready:
				entry.State = balancer.Ready
			case registry.Draining:
				entry.State = balancer.Draining
			}
		}
		if s.listed = entry.State == balancer.Ready; !s.listed {
			f.closeIdleConns(s)
		}
		for entry.MaxInFlight > 0 && s.connections > entry.MaxInFlight && len(s.idle) > 0 { // its part grew smaller
			f.closeConn(s.idle[0])
			s.idle = s.idle[1:]
		}
		f.quota.addServer(s, entry.MaxInFlight, rendezvous.ConnectionSlots(f.connectionLimits[s.service]))
		ev.Servers = append(ev.Servers, entry)
		if s.state == registry.Deregistered && s.inFlight == 0 && s.connections == 0 {
			delete(f.endpoints, i)
			delete(f.endpointsByID, s.id)
			f.endpointRemoved(s)
		}
	}
	f.handleEvent(ev)
	f.syncDetector()
	if f.config != nil && len(ev.Servers) > 0 && !f.ready.Load() {
		f.ready.Store(true)
		f.log.Info().Int("servers", len(ev.Servers)).Msg("forager: ready")
	}
}

// slotAssignment are the servers of one service that this gatherer may use, and what they were found from.
type slotAssignment struct {
	servers  []rendezvous.Name // the servers, in order
	gateways []rendezvous.Name // the gatherers
	slots    int
	assigned map[string]bool
}

// assignedEndpoints names, for each service whose servers take fewer connections than there are gatherers, those that this one may use.
func (f *Gateway) assignedEndpoints() map[string]map[string]bool {
	few := map[string]map[string]bool{}
	for service, limit := range f.connectionLimits {
		n := rendezvous.ConnectionSlots(limit)
		if n <= 0 || n >= len(f.gateways) {
			delete(f.slots, service)
			continue
		}
		var servers []rendezvous.Name
		for _, s := range f.endpoints {
			if s.service == service && s.state == registry.Ready && !s.overdue && !s.replaced {
				servers = append(servers, rendezvous.Name(s.instance))
			}
		}
		slices.Sort(servers)
		at := f.slots[service]
		if at == nil || at.slots != n || !slices.Equal(at.servers, servers) || !slices.Equal(at.gateways, f.gateways) {
			at = &slotAssignment{servers, f.gateways, n, map[string]bool{}}
			for _, name := range rendezvous.AssignedServers(rendezvous.Name(f.settings.InternalAddress(settings.GatewayPort)), f.gateways, servers, n) {
				at.assigned[string(name)] = true
			}
			f.slots[service] = at
		}
		few[service] = at.assigned
	}
	return few
}

// maxConnections is this gatherer's part of the connections that a server of a service takes from all callers together.
func (f *Gateway) maxConnections(service string) int {
	if f.quota.limiter != nil {
		if base, pool := quota.SplitCapacity(rendezvous.ConnectionSlots(f.connectionLimits[service]), len(f.gateways)); pool > 0 {
			return base + f.quota.grants[service].connections
		}
	}
	return rendezvous.ConnectionShare(f.connectionLimits[service], len(f.gateways))
}
