package dataplane

import (
	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/lease"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// endpoint is one server as this gateway knows it. It is owned by the loop.
type endpoint struct {
	id       balancer.ServerID
	instance string
	address  string
	service  string
	zone     string
	version  string // of its program

	// As reported by the controllers.
	state           registry.State
	sequence        uint64 // of the newest report taken
	unresponsive    bool   // it is not to be used: no controller receives its heartbeats, and no health check confirmed it
	heartbeatMissed bool   // no controller receives its heartbeats; the gateway with the role checks its health
	lease           lease.Lease

	replaced    bool   // another server answered at its address
	listed      bool   // the balancer may send there
	loggedState string // outlier state, as last logged
	health      healthCheckState
	load        endpointLoad
	respondedAt balancer.Time // when it last responded to a request during a rollout of its service

	idle        []*serverConn // the last used last
	connections int           // open ones and those being made
}

// closeIdle closes the idle connections.
func (e *endpoint) closeIdle() {
	for _, conn := range e.idle {
		conn.close()
	}
	e.idle = nil
}

// trimIdle closes idle connections, the longest unused first, until no more than limit connections are open; 0 = no limit.
func (e *endpoint) trimIdle(limit int) {
	for limit > 0 && e.connections > limit && len(e.idle) > 0 {
		e.idle[0].close()
		e.idle = e.idle[1:]
	}
}

// gone reports whether a deregistered server has nothing in flight any more.
func (e *endpoint) gone() bool {
	return e.state == registry.Deregistered && e.load.inFlight == 0 && e.connections == 0
}

// balancerState returns the server's state for the balancer's list.
func (e *endpoint) balancerState() balancer.ServerState {
	if e.unresponsive || e.replaced {
		return balancer.Removed
	}
	switch e.state {
	case registry.Ready:
		return balancer.Ready
	case registry.Draining:
		return balancer.Draining
	}
	return balancer.Removed
}

// endpointLoad counts the attempts in flight at a server, and integrates them over time.
type endpointLoad struct {
	inFlight     int           // attempts that have not ended
	integral     float64       // of inFlight over time, in attempts × ticks, since the last sample
	sampledAt    balancer.Time // when sample was last called
	integratedAt balancer.Time
}

// add counts delta more attempts in flight from now on.
func (l *endpointLoad) add(now balancer.Time, delta int) {
	l.integral += float64(l.inFlight) * float64(now-l.integratedAt)
	l.integratedAt = now
	l.inFlight += delta
}

// sample returns the mean number of attempts in flight since the last sample, in thousandths. It reports false if there was none.
func (l *endpointLoad) sample(now balancer.Time) (meanMilli uint32, ok bool) {
	l.add(now, 0)
	if elapsed := now - l.sampledAt; elapsed > 0 && l.integral > 0 {
		meanMilli, ok = uint32(1000*l.integral/float64(elapsed)), true
	}
	l.integral, l.sampledAt = 0, now
	return meanMilli, ok
}

// eventSink takes events for the balancer.
type eventSink interface {
	handleEvent(event balancer.Event)
}

// connectionQuota limits this gateway's connections to servers.
type connectionQuota interface {
	// maxConnections returns how many connections to one server of a service may be open; 0 = no limit.
	maxConnections(service string) int
	setServer(e *endpoint, limit, globalLimit int)
	removeServer(e *endpoint)
}

// outlierTargets is the outlier detection's view of the servers.
type outlierTargets interface {
	syncServers()
	removeServer(e *endpoint)
}

// versionShards tells apart the servers of a service whose versions have a rollout.
type versionShards interface {
	// shardName returns the name of the shard that a service's server of a version belongs to.
	shardName(service, version string) string
}

// oneShardEach has all servers of a service in one shard.
type oneShardEach struct{}

func (oneShardEach) shardName(service, _ string) string { return service }

// endpointTable holds the known servers, numbers their services and zones, and keeps the balancer's server list up to date.
// It is owned by the loop.
type endpointTable struct {
	process  *process
	members  *membership
	ids      *idSequence
	balancer eventSink
	quota    connectionQuota
	outliers outlierTargets
	rollouts versionShards

	byInstance       map[string]*endpoint // until they are gone
	byID             map[balancer.ServerID]*endpoint
	shards           map[string]balancer.ShardIndex // by service; entries are never removed
	zones            map[string]balancer.ZoneIndex  // by name; entries are never removed
	connectionLimits map[string]int                 // by configured service: what one server takes from all gateways; nil = no configuration yet
	slots            map[string]*slotAssignment     // by service, for those with fewer connection slots than gateways
	usableServersOf  map[balancer.ShardIndex]int    // that the balancer may send to
}

func newEndpointTable(p *process, members *membership, ids *idSequence) *endpointTable {
	return &endpointTable{
		process:    p,
		members:    members,
		ids:        ids,
		byInstance: map[string]*endpoint{},
		byID:       map[balancer.ServerID]*endpoint{},
		shards:     map[string]balancer.ShardIndex{},
		zones:      map[string]balancer.ZoneIndex{p.settings.Zone: localZone},
		slots:      map[string]*slotAssignment{},

		usableServersOf: map[balancer.ShardIndex]int{},
		rollouts:        oneShardEach{},
	}
}

// setServices takes the services of a new configuration.
func (t *endpointTable) setServices(services []config.Service) {
	t.connectionLimits = map[string]int{}
	clear(t.slots)
	for _, service := range services {
		t.connectionLimits[service.Name] = service.ConnectionLimit
		t.shardIndex(service.Name)
	}
}

// shardIndex returns the number of a service, a new one if it has none yet.
func (t *endpointTable) shardIndex(service string) balancer.ShardIndex {
	index, known := t.shards[service]
	if !known {
		index = balancer.ShardIndex(len(t.shards))
		t.shards[service] = index
	}
	return index
}

// shardOf returns the number of the shard that a server belongs to.
func (t *endpointTable) shardOf(e *endpoint) balancer.ShardIndex {
	return t.shardIndex(t.rollouts.shardName(e.service, e.version))
}

// usable reports whether requests can be sent to servers of a shard.
func (t *endpointTable) usable(shard balancer.ShardIndex) bool { return t.usableServersOf[shard] > 0 }

func (t *endpointTable) zoneIndex(name string) balancer.ZoneIndex {
	index, known := t.zones[name]
	if !known {
		index = balancer.ZoneIndex(len(t.zones))
		t.zones[name] = index
	}
	return index
}

// resizeCluster reports the number of shards and gateways to the balancer.
func (t *endpointTable) resizeCluster() {
	t.balancer.handleEvent(balancer.ClusterResized{Shards: len(t.shards), Instances: t.members.size()})
}

// applyReports merges what a controller or another gateway reports of the servers.
func (t *endpointTable) applyReports(update *rpc.Update) {
	if update.Full && update.HasQuorum && update.Warm {
		t.deregisterUnlisted(update.Reports)
	}
	for _, report := range update.Reports {
		t.applyReport(report)
	}
	if len(update.Reports) > 0 || update.Full {
		t.sync()
	}
}

// deregisterUnlisted marks the servers that a complete list does not name as gone.
func (t *endpointTable) deregisterUnlisted(reports []*rpc.ServerReport) {
	listed := map[string]bool{}
	for _, report := range reports {
		listed[report.Instance] = true
	}
	for instance, e := range t.byInstance {
		if !listed[instance] {
			e.state = registry.Deregistered
		}
	}
}

func (t *endpointTable) applyReport(report *rpc.ServerReport) {
	e := t.byInstance[report.Instance]
	if e == nil {
		if report.Service == "" || report.State == uint32(registry.Deregistered) {
			return
		}
		e = &endpoint{id: balancer.ServerID(t.ids.next()), instance: report.Instance}
		t.byInstance[report.Instance], t.byID[e.id] = e, e
	}
	if report.Sequence >= e.sequence {
		if report.Service != "" {
			e.address, e.service, e.zone, e.version = report.Address, report.Service, report.Zone, report.Version
		}
		e.sequence, e.unresponsive, e.heartbeatMissed = report.Sequence, report.Unresponsive, report.HeartbeatMissed
	}
	reported := lease.Lease{FencingToken: report.FencingToken, Holder: report.LeaseHolder}
	if reported.Compare(e.lease) > 0 {
		e.lease = reported
	}
	e.state = max(e.state, registry.State(report.State)) // a server's state only ever advances
}

// reports returns reports of all servers for another gateway.
func (t *endpointTable) reports() (reports []*rpc.ServerReport) {
	for _, e := range t.byInstance {
		reports = append(reports, &rpc.ServerReport{
			Instance:     e.instance,
			Service:      e.service,
			Address:      e.address,
			Zone:         e.zone,
			Version:      e.version,
			State:        uint32(e.state),
			Sequence:     e.sequence,
			Unresponsive: e.unresponsive,
		})
	}
	return reports
}

// sync updates the balancer's server list, the connection limits and the outlier detection from the table.
func (t *endpointTable) sync() {
	for _, e := range t.byInstance {
		t.shardOf(e)
	}
	clear(t.usableServersOf)
	t.resizeCluster()
	assigned := t.assignedServers()
	list := balancer.ServerList{Kind: balancer.ListDelta}
	for _, e := range t.byInstance {
		list.Servers = append(list.Servers, t.syncEndpoint(e, assigned))
		t.removeIfGone(e)
	}
	t.balancer.handleEvent(list)
	t.outliers.syncServers()
	t.checkReady(len(list.Servers))
}

// syncEndpoint updates one server's connections and limits, and returns its entry of the balancer's list.
func (t *endpointTable) syncEndpoint(e *endpoint, assigned map[string]map[string]bool) balancer.Server {
	entry := balancer.Server{
		ID:          e.id,
		Zone:        t.zoneIndex(e.zone),
		Cell:        balancer.CellIndex(t.shardOf(e)),
		MaxInFlight: t.quota.maxConnections(e.service),
	}
	if own, limited := assigned[e.service]; !limited || own[e.instance] {
		entry.State = e.balancerState()
	}
	e.listed = entry.State == balancer.Ready
	if e.listed {
		t.usableServersOf[t.shardOf(e)]++
	}
	if !e.listed {
		e.closeIdle()
	}
	e.trimIdle(entry.MaxInFlight)
	t.quota.setServer(e, entry.MaxInFlight, rendezvous.ConnectionSlots(t.connectionLimits[e.service]))
	return entry
}

// checkReady marks the gateway ready once it has a configuration and knows servers.
func (t *endpointTable) checkReady(servers int) {
	if t.connectionLimits == nil || servers == 0 || t.process.ready.Load() {
		return
	}
	t.process.ready.Store(true)
	t.process.log.Info().Int("servers", servers).Msg("gateway: ready")
}

// removeIfGone forgets a server that has left once nothing is in flight there.
func (t *endpointTable) removeIfGone(e *endpoint) {
	if !e.gone() || t.byInstance[e.instance] != e {
		return
	}
	delete(t.byInstance, e.instance)
	delete(t.byID, e.id)
	t.quota.removeServer(e)
	t.outliers.removeServer(e)
}

// closeConns closes all idle connections.
func (t *endpointTable) closeConns() {
	for _, e := range t.byInstance {
		for _, conn := range e.idle {
			conn.conn.Close()
		}
	}
}
