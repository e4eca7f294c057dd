package dataplane

import (
	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/lease"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// eventSink accepts events for the balancer.
type eventSink interface {
	handleEvent(event balancer.Event)
}

// connectionQuota limits this gateway's connections to servers.
type connectionQuota interface {
	// maxConnections returns the limit of open connections to one server of a service; 0 = no limit.
	maxConnections(service string) int
	// setServer sets this gateway's limit of connections to a server and the limit of all gateways together.
	setServer(e *endpoint, limit, globalLimit int)
	removeServer(e *endpoint)
}

// outlierTargets is the part of the outlier detection that is notified of changes of the servers.
type outlierTargets interface {
	// syncServers updates the monitored servers from the endpoint table.
	syncServers()
	removeServer(e *endpoint)
}

// shardNamer assigns servers of a service to shards by version while a rollout of the service is active.
type shardNamer interface {
	// shardName returns the name of the shard of a service's servers of the given version.
	shardName(service, version string) string
}

// unversionedShards assigns all servers of a service to one shard, whatever their versions. It is the default until the
// rollout table is set.
type unversionedShards struct{}

func (unversionedShards) shardName(service, _ string) string { return service }

// endpointTable holds the known servers, assigns indexes to their shards and zones, and keeps the balancer's server list
// up to date. It is owned by the event loop.
type endpointTable struct {
	process  *process
	members  *membership
	ids      *idSequence
	balancer eventSink
	quota    connectionQuota
	outliers outlierTargets
	rollouts shardNamer

	byInstance       map[string]*endpoint // removed once retired
	byID             map[balancer.ServerID]*endpoint
	departed         registry.Departed              // reported as draining or deregistered
	shards           map[string]balancer.ShardIndex // by shard name; entries are never removed
	zones            map[string]balancer.ZoneIndex  // by name; entries are never removed
	connectionLimits map[string]int                 // by configured service: connections one server accepts from all gateways; nil = none active
	slots            map[string]*slotAssignment     // by service, for those with fewer connection slots per server than gateways
	usableByShard    map[balancer.ShardIndex]int    // by shard: servers to which the balancer may send attempts
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

		usableByShard: map[balancer.ShardIndex]int{},
		rollouts:      unversionedShards{},
	}
}

// setServices applies the services of a new configuration.
func (t *endpointTable) setServices(services []config.Service) {
	t.connectionLimits = map[string]int{}
	clear(t.slots)
	for _, service := range services {
		t.connectionLimits[service.Name] = service.ConnectionLimit
		t.shardIndex(service.Name)
	}
}

// shardIndex returns the index of a shard, which is a service or, during a rollout, a service's version. A new shard gets
// the next index.
func (t *endpointTable) shardIndex(service string) balancer.ShardIndex {
	index, known := t.shards[service]
	if !known {
		index = balancer.ShardIndex(len(t.shards))
		t.shards[service] = index
	}
	return index
}

// shardOf returns the index of the shard that a server belongs to.
func (t *endpointTable) shardOf(e *endpoint) balancer.ShardIndex {
	return t.shardIndex(t.rollouts.shardName(e.service, e.version))
}

// usable reports whether the balancer may send attempts to any server of a shard. It reflects the last sync.
func (t *endpointTable) usable(shard balancer.ShardIndex) bool { return t.usableByShard[shard] > 0 }

// zoneIndex returns the index of a zone. A new zone gets the next index.
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

// applyReports merges the server reports of a controller or another gateway.
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

// deregisterUnlisted marks the servers that are missing from a complete list as deregistered.
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

// applyReport merges the report of one server. A server that was reported as draining or deregistered is not added again as ready, whoever
// reports it: a controller may have started with an old disk. Address, service, zone and version change only if the report names a
// service; an older report changes nothing but the lease and the state, each of which only advances.
func (t *endpointTable) applyReport(report *rpc.ServerReport) {
	e, instance, state := t.byInstance[report.Instance], registry.InstanceID(report.Instance), registry.State(report.State)
	if state != registry.Ready {
		t.departed.Add(instance)
	}
	if e == nil {
		isOutdated := state == registry.Ready && t.departed.Contains(instance)
		if report.Service == "" || state == registry.Deregistered || isOutdated {
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
	e.state = max(e.state, state) // a server's state only advances
}

// reports returns reports of all known servers, for another gateway.
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
	clear(t.usableByShard)
	t.resizeCluster()
	assigned := t.assignedServers()
	list := balancer.ServerList{Kind: balancer.ListDelta}
	for _, e := range t.byInstance {
		list.Servers = append(list.Servers, t.syncEndpoint(e, assigned))
		t.removeIfRetired(e)
	}
	t.balancer.handleEvent(list)
	t.outliers.syncServers()
	t.checkReady(len(list.Servers))
}

// syncEndpoint updates one server's idle connections and limits, and returns its entry for the balancer's list. The map
// assigned holds the result of assignedServers.
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
	e.selectable = entry.State == balancer.Ready
	if e.selectable {
		t.usableByShard[t.shardOf(e)]++
	}
	if !e.selectable {
		e.closeIdle()
	}
	e.trimIdle(entry.MaxInFlight)
	t.quota.setServer(e, entry.MaxInFlight, rendezvous.ConnectionSlots(t.connectionLimits[e.service]))
	return entry
}

// checkReady marks the gateway as ready once a configuration is active and at least one server is known.
func (t *endpointTable) checkReady(servers int) {
	if t.connectionLimits == nil || servers == 0 || t.process.ready.Load() {
		return
	}
	t.process.ready.Store(true)
	t.process.log.Info().Int("servers", servers).Msg("gateway: ready")
}

// removeIfRetired removes a deregistered server once it has no attempts in flight and no connections.
func (t *endpointTable) removeIfRetired(e *endpoint) {
	if !e.retired() || t.byInstance[e.instance] != e {
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
