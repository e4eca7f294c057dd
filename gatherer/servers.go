package gatherer

import (
	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
)

// unknownZone is the index of all zones that are not in the settings.
const unknownZone balancer.ZoneIndex = -1

// server is a shard server that is or was in the server list.
type server struct {
	id        balancer.ServerID
	host      string
	client    *shardconn.Client // nil = not listed and no attempt in flight
	address   string
	startedAt balancer.Time
	inFlight  int // number of attempts in flight
	listed    bool
	draining  bool
	cell      int
	zone      string
}

// listReceived applies and saves an update of the server list from the discovery service.
func (d *dispatcher) listReceived(list discovery.ServerList) {
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListComplete
	}
	d.applyServerList(kind, list)
	if d.persistence != nil {
		d.persistence.saveServerList(list)
	}
	if d.degradation != nil {
		d.degradation.monitor.RecordListResult(d.degradation.now(), true)
	}
}

// applyServerList passes a server list to the balancer, with hosts and zones converted to numbers, and starts a client for
// each listed server that has none.
func (d *dispatcher) applyServerList(kind balancer.ServerListKind, list discovery.ServerList) {
	event := balancer.ServerList{Kind: kind}
	if kind != balancer.ListDelta {
		for _, s := range d.servers {
			s.listed = false
		}
	}
	for _, entry := range list.Servers {
		event.Servers = append(event.Servers, d.applyServer(entry))
	}
	d.pruneServers()
	d.handle(event)
	if d.listedServers > 0 {
		d.onListReady()
	}
}

// applyServer applies one entry of the server list to its server and returns the entry as a value for the balancer.
func (d *dispatcher) applyServer(entry discovery.Server) balancer.Server {
	s, startedAt := d.findOrAddServer(entry.Host), balancerconfig.TimeFromMillis(entry.StartedMillis)
	out := balancer.Server{ID: s.id, Zone: d.zoneIndex(entry.Zone), Cell: balancer.CellIndex(entry.Cell),
		State: serverState(entry.Health), StartedAt: startedAt}
	s.listed = out.State != balancer.Removed
	switch {
	case !s.listed:
	case s.client == nil:
		s.client = d.startClient(s, entry.Address)
	case s.address != entry.Address || s.startedAt != startedAt:
		if !s.client.TrySubmit(shardconn.AddressChanged{Addr: entry.Address, StartedAt: startedAt}) {
			s.client.Stop() // its mailbox is full: it finishes the attempts in flight, and a new client replaces it
			s.client = d.startClient(s, entry.Address)
		}
	}
	if out.State == balancer.Draining && s.client != nil {
		s.client.TrySubmit(shardconn.Drain{}) // if its mailbox is full the connections last until the server ends
	}
	s.address, s.startedAt = entry.Address, startedAt
	s.draining, s.cell, s.zone = out.State == balancer.Draining, entry.Cell, entry.Zone
	return out
}

// findOrAddServer returns the server of a host, a new one if it is unknown.
func (d *dispatcher) findOrAddServer(host string) *server {
	id, known := d.serverIDs[host]
	if !known {
		d.lastServerID++
		id = d.lastServerID
		d.serverIDs[host] = id
		d.servers[id] = &server{id: id, host: host}
	}
	return d.servers[id]
}

// startClient starts the client that manages the connections to a server.
func (d *dispatcher) startClient(s *server, address string) *shardconn.Client {
	return shardconn.Start(s.id, s.host, address, d.connConfig, d.clock.now, d.mailbox, d.descriptors)
}

// serverState converts the health in the server list to a state of the balancer. Any unknown health means removed.
func serverState(health string) balancer.ServerState {
	switch health {
	case discovery.Up:
		return balancer.Ready
	case discovery.Draining:
		return balancer.Draining
	}
	return balancer.Removed
}

// pruneServers updates the number of listed servers and releases the clients of the others. When unlisted servers are the
// majority, those without a client are deleted.
func (d *dispatcher) pruneServers() {
	d.listedServers = 0
	for _, s := range d.servers {
		d.releaseServer(s)
		if s.listed {
			d.listedServers++
		}
	}
	if len(d.servers) <= 2*d.listedServers {
		return
	}
	for id, s := range d.servers {
		if s.client == nil {
			delete(d.servers, id)
			delete(d.serverIDs, s.host)
		}
	}
}

// releaseServer stops the client of a server that is no longer listed, once nothing is in flight there.
func (d *dispatcher) releaseServer(s *server) {
	if !s.listed && s.client != nil && s.inFlight == 0 {
		s.client.Stop()
		s.client = nil
	}
}

// zoneIndex returns the index of a zone in the settings, or unknownZone.
func (d *dispatcher) zoneIndex(name string) balancer.ZoneIndex {
	for i, zone := range d.deployment.Zones {
		if zone == name {
			return balancer.ZoneIndex(i)
		}
	}
	return unknownZone
}
