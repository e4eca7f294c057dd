package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"oxbowspan/internal/discovery"
)

// DiscoveryService is the list service: a list, its watchers, and whether it answers.
type DiscoveryService struct {
	Requests chan string // queries, as they come; it holds 1,000

	srv  *http.Server
	addr string

	mu       sync.Mutex
	sequence uint64
	hosts    map[string]discovery.Server
	changed  chan struct{} // closed at each change
	down     bool
}

// StartDiscoveryService starts a list service on loopback that lists some servers.
func StartDiscoveryService(shards ...*ShardServer) (*DiscoveryService, error) {
	l := &DiscoveryService{sequence: 40, hosts: map[string]discovery.Server{}, changed: make(chan struct{}), Requests: make(chan string, 1000)}
	for _, s := range shards {
		l.hosts[s.Host] = s.Entry()
	}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.addr, l.srv = nl.Addr().String(), &http.Server{Handler: l}
	go l.srv.Serve(nl)
	return l, nil
}

// Addr is where it listens.
func (l *DiscoveryService) Addr() string { return l.addr }

// Stop ends it.
func (l *DiscoveryService) Stop() { l.srv.Close() }

// Entry is a server's entry, as one that is up.
func (s *ShardServer) Entry() discovery.Server {
	return discovery.Server{Host: s.Host, Address: s.Addr(), Zone: s.Zone, Cell: s.Cell, Health: discovery.Up, StartedMillis: s.StartedMillis}
}

// Update changes one entry and tells the watchers.
func (l *DiscoveryService) Update(e discovery.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.hosts[e.Host] = e
	l.notify()
}

// Set changes an entry before anybody watches.
func (l *DiscoveryService) Set(e discovery.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[e.Host] = e
}

// SetDown ends all watches and refuses calls, or takes them again.
func (l *DiscoveryService) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notify()
}

func (l *DiscoveryService) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *DiscoveryService) snapshot() discovery.ServerList {
	out := discovery.ServerList{Version: l.sequence, Complete: true}
	for _, e := range l.hosts {
		out.Servers = append(out.Servers, e)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (l *DiscoveryService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case l.Requests <- r.URL.String():
	default:
	}
	for {
		l.mu.Lock()
		down, now, changed := l.down, l.snapshot(), l.changed
		l.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(now)
		if w.(http.Flusher).Flush(); r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// SetSequence sets the list's version, as of a list service that counts on its own.
func (l *DiscoveryService) SetSequence(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence = seq
}
