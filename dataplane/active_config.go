package dataplane

import (
	"math"
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
	lateResponseValue = 0.3  // value of a response after the latency target, as a share of its value before it
	defaultAttempts   = 1    // attempts for one shard call
	shareTolerance    = 1e-9 // rounding error of a share of the shards
)

// activeConfig is one version of the configuration, resolved to the balancer's query types and shards. It is immutable once stored,
// except for the tenants of its routes.
type activeConfig struct {
	slot    uint64
	version uint64
	table   *config.RouteTable
	routes  map[*config.Route]*route
}

// route is a configured route with its query type and its shards in the balancer.
type route struct {
	*config.Route
	queryType    balancer.QueryType
	shards       []balancer.ShardIndex    // of a gathered route: each request is sent to all of them
	alternatives []balancer.WeightedShard // of any other route: each request is sent to one of them

	// Owned by the loop.
	tenant    quota.TenantID
	hasTenant bool // a tenant document is active
}

// minCoverage returns the smallest share of the shards whose responses suffice for a response to the client. It is that of a whole number
// of shards, at least one: the balancer tolerates errors in sums of coverage, so that less than a configured share could suffice.
func (r *route) minCoverage() float64 {
	if !r.Gathered() {
		return 1
	}
	shards := float64(len(r.shards))
	required := math.Ceil(r.MinimumShare*shards - shareTolerance)
	return max(required, 1) / shards
}

func (r *route) idempotency() balancer.Idempotency {
	if r.RouteKind == config.Retryable {
		return balancer.Idempotent
	}
	return balancer.NonIdempotent
}

// maxAttempts returns the maximum number of servers of one shard that a request may be sent to.
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

// tenantAssigner assigns tenants to the routes of a new configuration.
type tenantAssigner interface {
	rebuildTenants()
}

// configStore holds the active configuration. Any goroutine may call load; everything else is owned by the loop.
type configStore struct {
	log       zerolog.Logger
	endpoints *endpointTable
	balancer  eventSink
	tenants   tenantAssigner

	active     atomic.Pointer[activeConfig] // nil = none yet
	config     *config.Configuration        // the same version as decided by the controllers; nil = none yet
	encoded    []byte                       // its encoding, for gateways that reach no controller
	slot       uint64                       // its position in the decided sequence of configurations, 0 = none yet
	queryTypes queryTypeTable
}

func newConfigStore(log zerolog.Logger, endpoints *endpointTable) *configStore {
	return &configStore{log: log, endpoints: endpoints, queryTypes: queryTypeTable{assigned: map[string]balancer.QueryType{}}}
}

// load returns the active configuration, nil = none yet. Any goroutine may call it.
func (s *configStore) load() *activeConfig { return s.active.Load() }

// activate makes a configuration the active one, unless one of the same or a later slot is active already.
func (s *configStore) activate(c *config.Configuration, encoded []byte, slot uint64) {
	if slot <= s.slot {
		return
	}
	s.slot, s.config, s.encoded = slot, c, encoded
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

// newRoute assigns a query type to a configured route and shard indexes to its services. previous holds the query types of the previous
// configuration.
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

// serviceWeight returns the weight of one of a route's services, 1 if none is configured.
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

// fillUpdate adds the active configuration to an update for a gateway whose configuration has knownSlot. It reports false if no newer
// configuration is active.
func (s *configStore) fillUpdate(update *rpc.Update, knownSlot uint64) bool {
	update.Slot = s.slot
	if s.config == nil || s.slot <= knownSlot {
		return false
	}
	update.Version, update.HasConfig, update.Config = s.config.Version, true, s.encoded
	return true
}

// healthPath returns the URL path for health checks of a service's servers.
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

// queryTypeReuseDelay is the time from the removal of a route until its query type may be assigned to another route. It is much longer
// than a request that has been read needs to reach the loop: such a request would otherwise be retried by the rules of the other route.
const queryTypeReuseDelay = time.Minute

// queryTypeTable assigns query types to routes. A route keeps its query type from one configuration to the next; the query type of a
// removed route is reused after queryTypeReuseDelay.
type queryTypeTable struct {
	assigned map[string]balancer.QueryType // by hostname and path prefix
	free     []freeQueryType               // in the order in which their routes were removed
}

// freeQueryType is a query type whose route was removed.
type freeQueryType struct {
	queryType balancer.QueryType
	freedAt   time.Time
}

// reset clears the assignments for a new configuration and returns those of the previous one.
func (t *queryTypeTable) reset() (previous map[string]balancer.QueryType) {
	previous = t.assigned
	t.assigned = map[string]balancer.QueryType{}
	return previous
}

// assign returns the query type of a route: the one it had in previous, from which it is removed, or else an unused one.
func (t *queryTypeTable) assign(key string, previous map[string]balancer.QueryType, now time.Time) balancer.QueryType {
	queryType, known := previous[key]
	delete(previous, key)
	if !known {
		queryType = balancer.QueryType(len(t.assigned) + len(previous) + len(t.free))
		if len(t.free) > 0 && now.Sub(t.free[0].freedAt) >= queryTypeReuseDelay {
			queryType, t.free = t.free[0].queryType, t.free[1:]
		}
	}
	t.assigned[key] = queryType
	return queryType
}

// release frees the query types of removed routes: those left in previous.
func (t *queryTypeTable) release(previous map[string]balancer.QueryType, now time.Time) {
	for _, queryType := range previous {
		t.free = append(t.free, freeQueryType{queryType: queryType, freedAt: now})
	}
}
