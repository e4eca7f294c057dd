package gatherer

import (
	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
)

// unknownZone is the index of a zone that the settings do not name.
const unknownZone balancer.ZoneIndex = -1

// server is a shard server.
type server struct {
	id        balancer.ServerID
	host      string
	client    *shardconn.Client // nil = it is not listed
	address   string
	startedAt balancer.Time
	inFlight  int // attempts
	listed    bool
	draining  bool
	cell      int
	zone      string
}

// listReceived processes an update of the list service.
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
		d.degradation.gauge.RecordListResult(d.degradation.now(), true)
	}
}

// applyServerList hands a server list to the balancer, with hosts and zones as numbers, and runs a client for each
// listed server.
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

// applyServer applies one entry of the list and returns it in the form of the balancer.
func (d *dispatcher) applyServer(entry discovery.Server) balancer.Server {
	s, startedAt := d.serverOf(entry.Host), balancerconfig.TimeFromMillis(entry.StartedMillis)
	out := balancer.Server{ID: s.id, Zone: d.zoneIndex(entry.Zone), Cell: balancer.CellIndex(entry.Cell),
		State: serverState(entry.Health), StartedAt: startedAt}
	s.listed = out.State != balancer.Removed
	switch {
	case !s.listed:
	case s.client == nil:
		s.client = d.startClient(s, entry.Address)
	case s.address != entry.Address || s.startedAt != startedAt:
		if !s.client.TrySubmit(shardconn.AddressChanged{Addr: entry.Address, StartedAt: startedAt}) {
			s.client.Stop() // its mailbox is full: it finishes what is in flight, and a new client takes over
			s.client = d.startClient(s, entry.Address)
		}
	}
	if out.State == balancer.Draining && s.client != nil {
		s.client.TrySubmit(shardconn.Drain{}) // if refused its connections end with the server
	}
	s.address, s.startedAt = entry.Address, startedAt
	s.draining, s.cell, s.zone = out.State == balancer.Draining, entry.Cell, entry.Zone
	return out
}

// serverOf returns the server of a host, a new one if it is unknown.
func (d *dispatcher) serverOf(host string) *server {
	id, known := d.serverIDs[host]
	if !known {
		d.lastServerID++
		id = d.lastServerID
		d.serverIDs[host] = id
		d.servers[id] = &server{id: id, host: host}
	}
	return d.servers[id]
}

func (d *dispatcher) startClient(s *server, address string) *shardconn.Client {
	return shardconn.Start(s.id, s.host, address, d.connConfig, d.clock.now, d.mailbox, d.descriptors)
}

func serverState(health string) balancer.ServerState {
	switch health {
	case discovery.Up:
		return balancer.Ready
	case discovery.Draining:
		return balancer.Draining
	}
	return balancer.Removed
}

// pruneServers counts the listed servers, and forgets the others when they are the majority.
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

func (d *dispatcher) zoneIndex(name string) balancer.ZoneIndex {
	for i, zone := range d.deployment.Zones {
		if zone == name {
			return balancer.ZoneIndex(i)
		}
	}
	return unknownZone
}
