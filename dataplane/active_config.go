package dataplane

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/quota"
	"oxbowspan/rpc"
)

// Properties of routes that the configuration does not state, or may leave out.
const (
	lateResponseValue = 0.3  // share of a response's value after its latency target
	defaultAttempts   = 1    // attempts for one shard call
	minCoverageFloor  = 1e-9 // a merged response holds at least one shard's
)

// activeConfig is what one version of the configuration means here. Once stored it is constant, save the tenants of its routes.
type activeConfig struct {
	slot    uint64
	version uint64
	table   *config.RouteTable
	routes  map[*config.Route]*route
}

// route is a configured route in the balancer's terms.
type route struct {
	*config.Route
	queryType    balancer.QueryType
	shards       []balancer.ShardIndex    // of a gathered route: all that are asked
	alternatives []balancer.WeightedShard // of another: those of which one is asked

	// Owned by the loop.
	tenant    quota.TenantID
	hasTenant bool // a document of tenants is active
}

// minCoverage returns the smallest share of shards that is enough for a response.
func (r *route) minCoverage() float64 {
	if r.Gathered() {
		return max(r.MinimumShare, minCoverageFloor)
	}
	return 1
}

func (r *route) idempotency() balancer.Idempotency {
	if r.RouteKind == config.Retryable {
		return balancer.Idempotent
	}
	return balancer.NonIdempotent
}

// maxAttempts returns how many servers of one shard a request may be sent to.
func (r *route) maxAttempts() int { return max(r.Attempts, defaultAttempts) }

func (r *route) queryTypeConfig() balancer.QueryTypeConfig {
	return balancer.QueryTypeConfig{
		Idempotency:           r.idempotency(),
		LatencyTarget:         ticksFromMillis(r.TargetMS),
		ClientTimeout:         ticksFromMillis(r.TimeoutMS),
		LateValue:             lateResponseValue,
		MinCoverage:           r.minCoverage(),
		CompleteCoverage:      1,
		MaxAttempts:           r.maxAttempts(),
		QuadraticPartialValue: r.Gathered(),
	}
}

// tenantRoutes assigns tenants to the routes of a new configuration.
type tenantRoutes interface {
	rebuildTenants()
}

// configStore holds the active configuration. Any goroutine may load it; all else is owned by the loop.
type configStore struct {
	log       zerolog.Logger
	endpoints *endpointTable
	balancer  eventSink
	tenants   tenantRoutes

	active     atomic.Pointer[activeConfig] // nil = none yet
	config     *config.Configuration        // the same, as agreed; nil = none yet
	text       []byte                       // its encoding, for gateways that reach no controller
	slot       uint64                       // of the agreed sequence of configurations, 0 = none yet
	queryTypes queryTypeTable
}

func newConfigStore(log zerolog.Logger, endpoints *endpointTable) *configStore {
	return &configStore{log: log, endpoints: endpoints, queryTypes: queryTypeTable{assigned: map[string]balancer.QueryType{}}}
}

// load returns the active configuration, nil = none yet. Any goroutine may call it.
func (s *configStore) load() *activeConfig { return s.active.Load() }

// activate makes a configuration the active one, unless that of the same or a later slot already is. Text is its encoding.
func (s *configStore) activate(c *config.Configuration, text []byte, slot uint64) {
	if slot <= s.slot {
		return
	}
	s.slot, s.config, s.text = slot, c, text
	s.endpoints.setServices(c.Services)
	s.endpoints.resizeCluster()
	next := &activeConfig{slot: slot, version: c.Version, table: config.NewRouteTable(c), routes: map[*config.Route]*route{}}
	previous, now := s.queryTypes.reset(), time.Now()
	for i := range c.Routes {
		r := s.newRoute(&c.Routes[i], previous, now)
		next.routes[r.Route] = r
		s.balancer.handleEvent(balancer.QueryTypeChanged{Type: r.queryType, Config: r.queryTypeConfig()})
	}
	s.queryTypes.release(previous, now)
	s.active.Store(next)
	s.tenants.rebuildTenants()
	s.endpoints.sync()
	s.log.Info().Uint64("version", c.Version).Uint64("slot", slot).Int("routes", len(c.Routes)).Msg("config: active")
}

// newRoute numbers a configured route and its services. Previous are the query types of the configuration before.
func (s *configStore) newRoute(configured *config.Route, previous map[string]balancer.QueryType, now time.Time) *route {
	key := strings.ToLower(configured.Hostname) + configured.PathPrefix
	r := &route{Route: configured, queryType: s.queryTypes.assign(key, previous, now)}
	for _, service := range configured.Services() {
		shard := s.endpoints.shardIndex(service)
		if configured.Gathered() {
			r.shards = append(r.shards, shard)
		} else {
			r.alternatives = append(r.alternatives, balancer.WeightedShard{Shard: shard, Weight: serviceWeight(configured, service)})
		}
	}
	return r
}

// serviceWeight returns the weight of one of a route's services, 1 if the configuration states none.
func serviceWeight(r *config.Route, service string) float64 {
	weight := 1.0
	for _, weighted := range r.WeightedServices {
		if weighted.Service == service {
			weight = weighted.Weight
		}
	}
	return weight
}

// version returns the version of the active configuration, 0 = none yet.
func (s *configStore) version() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// fill puts the active configuration into an update for a gateway that knows an older slot. It reports whether there is one.
func (s *configStore) fill(update *rpc.Update, knownSlot uint64) bool {
	update.Slot = s.slot
	if s.config == nil || s.slot <= knownSlot {
		return false
	}
	update.Version, update.HasConfig, update.Config = s.config.Version, true, s.text
	return true
}

// healthPath returns the path of the health checks of a service's servers.
func (s *configStore) healthPath(service string) string {
	if s.config != nil {
		for _, configured := range s.config.Services {
			if configured.Name == service && configured.HealthPath != "" {
				return configured.HealthPath
			}
		}
	}
	return defaultHealthPath
}

// queryTypeReuse is how long after its route went a number is given to another route. A request that was read before is in the loop
// long by then: else it would be sent again by the rules of the other route.
const queryTypeReuse = time.Minute

// queryTypeTable numbers routes. A route keeps its number from one configuration to the next; the number of one that went is given
// to another later.
type queryTypeTable struct {
	assigned map[string]balancer.QueryType // by host and path prefix
	free     []freeQueryType               // in the order in which their routes went
}

// freeQueryType is a number without a route.
type freeQueryType struct {
	queryType balancer.QueryType
	since     time.Time
}

// reset begins a new configuration, and returns the numbers of the one before.
func (t *queryTypeTable) reset() (previous map[string]balancer.QueryType) {
	previous = t.assigned
	t.assigned = map[string]balancer.QueryType{}
	return previous
}

// assign numbers a route, and takes its number out of previous if it had one.
func (t *queryTypeTable) assign(key string, previous map[string]balancer.QueryType, now time.Time) balancer.QueryType {
	queryType, known := previous[key]
	delete(previous, key)
	if !known {
		queryType = balancer.QueryType(len(t.assigned) + len(previous) + len(t.free))
		if len(t.free) > 0 && now.Sub(t.free[0].since) >= queryTypeReuse {
			queryType, t.free = t.free[0].queryType, t.free[1:]
		}
	}
	t.assigned[key] = queryType
	return queryType
}

// release frees the numbers of routes that went.
func (t *queryTypeTable) release(previous map[string]balancer.QueryType, now time.Time) {
	for _, queryType := range previous {
		t.free = append(t.free, freeQueryType{queryType: queryType, since: now})
	}
}
