package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"oxbowspan/internal/discovery"
)

const (
	// firstSequence is the initial version of the list.
	firstSequence = 40
	// requestLogSize is the capacity of DiscoveryService.Requests.
	requestLogSize = 1000
)

// DiscoveryService serves the list of shard servers to gatherers, which read it and watch it for changes. Its methods may be
// called concurrently.
type DiscoveryService struct {
	// Requests receives the URL of each request. Requests are not recorded while it is full.
	Requests chan string

	server *http.Server
	addr   string

	mu       sync.Mutex
	sequence uint64
	servers  map[string]discovery.Server // by host
	changed  chan struct{}               // closed and replaced at each change
	down     bool
}

// StartDiscoveryService starts a service on loopback that lists some shard servers.
func StartDiscoveryService(shardServers ...*ShardServer) (*DiscoveryService, error) {
	d := &DiscoveryService{
		Requests: make(chan string, requestLogSize),
		sequence: firstSequence,
		servers:  map[string]discovery.Server{},
		changed:  make(chan struct{}),
	}
	for _, s := range shardServers {
		d.servers[s.Host] = s.Entry()
	}
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	d.addr = listener.Addr().String()
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d, nil
}

// Addr returns the address that the service listens at.
func (d *DiscoveryService) Addr() string { return d.addr }

// Stop closes the service and its connections.
func (d *DiscoveryService) Stop() { d.server.Close() }

// Entry returns the list entry of a server that is up.
func (s *ShardServer) Entry() discovery.Server {
	return discovery.Server{
		Host:          s.Host,
		Address:       s.Addr(),
		Zone:          s.Zone,
		Cell:          s.Cell,
		Health:        discovery.Up,
		StartedMillis: s.StartedMillis,
	}
}

// Update changes or adds one entry in a new version of the list and notifies the watchers.
func (d *DiscoveryService) Update(entry discovery.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	d.servers[entry.Host] = entry
	d.notify()
}

// SetWithoutNotify changes or adds one entry without a new version or a notification. It is meant for use before the first watch.
func (d *DiscoveryService) SetWithoutNotify(entry discovery.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers[entry.Host] = entry
}

// SetDown makes the service end all watches and reject requests, or accept them again.
func (d *DiscoveryService) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notify()
}

// SetVersion sets the list's version without notifying the watchers.
func (d *DiscoveryService) SetVersion(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence = version
}

// notify wakes the watchers. The caller holds the lock.
func (d *DiscoveryService) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot returns the current list. The caller holds the lock.
func (d *DiscoveryService) snapshot() discovery.ServerList {
	list := discovery.ServerList{Version: d.sequence, Complete: true}
	for _, entry := range d.servers {
		list.Servers = append(list.Servers, entry)
	}
	return list
}

// ServeHTTP implements http.Handler. It sends the list once, or with the query parameter watch again after each change.
func (d *DiscoveryService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.Requests <- r.URL.String():
	default:
	}
	for {
		d.mu.Lock()
		down, list, changed := d.down, d.snapshot(), d.changed
		d.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
		if r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
