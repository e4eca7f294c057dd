// Package gatherer is a whole gatherer that a program can embed: HTTP for clients on one side, shard servers and
// discovery on the other, and between them the decisions of package brain.
//
// Load or fill in a Setup, make a Gatherer with New, and Run it until its context is done.
package gatherer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"oxbowspan/balancer"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/internal/shardconn"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// Config is what a gatherer is told, as its configuration file has it.
type Config struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`    // address for clients
	Discovery    string          `json:"discovery"` // address of the list service
	Seed         string          `json:"seed"`      // hex, for random numbers
	Limits       Limits          `json:"limits"`
	KnownServers json.RawMessage `json:"known"` // the list as last held; it may be old
	Settings     json.RawMessage `json:"settings"`
	Operator     *Operator       `json:"-"` // the operator's own file; nil = none
}

// Operator is what an operator's own file says.
type Operator = operatorconfig.File

// LoadOperator reads and checks an operator's file. Its error names all faults, a line each.
func LoadOperator(path string) (*Operator, error) { return operatorconfig.Load(path) }

// LoadConfig reads a configuration file.
func LoadConfig(path string) (Config, error) {
	var s Config
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// validate checks a setup and reads its settings.
func (s Config) validate() (d balancerconfig.Deployment, err error) {
	if s.Listen == "" || s.Discovery == "" {
		return d, errors.New("an address is missing: listen and discovery are both needed")
	}
	if _, _, err := net.SplitHostPort(s.Discovery); err != nil {
		return d, fmt.Errorf("discovery: %w", err)
	}
	seed := uint64(0)
	if s.Seed != "" {
		if seed, err = strconv.ParseUint(s.Seed, 16, 64); err != nil {
			return d, fmt.Errorf("seed %.40q is not a hex number", s.Seed)
		}
	}
	if len(s.Settings) == 0 {
		return d, errors.New("settings are missing")
	}
	if d, err = balancerconfig.FromJSON(s.Settings, seed); err != nil {
		return d, err
	}
	for i := range d.Balancer.QueryTypes {
		q := &d.Balancer.QueryTypes[i]
		if q.SecondPhaseCalls > 0 {
			return d, fmt.Errorf("query type %q has a second step, which the protocol on sockets does not have", d.QueryTypes[i])
		}
		if q.Idempotency == balancer.Deduplicated { // the protocol names no place in a frame for the token, so no server could tell a repeat
			q.Idempotency = balancer.NonIdempotent
		}
	}
	if d.ConnectTimeout <= 0 {
		return d, errors.New("setting limits.dialTimeout is missing")
	}
	if o := s.levelsConfig(); o != nil {
		if _, err := o.For(d.QueryTypes); err != nil {
			return d, err
		}
	}
	if s.fleetConfig() != nil {
		if err := s.validateFleet(d); err != nil {
			return d, err
		}
	}
	return d, s.validateMerging(d)
}

// fleetConfig is what the operator's file says of the fleet; nil = nothing.
func (s Config) fleetConfig() *operatorconfig.Fleet {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Fleet
}

// validateFleet checks what the operator's file says of the fleet against the configuration.
func (s Config) validateFleet(d balancerconfig.Deployment) error {
	f, steward := s.Operator.Fleet, false
	for _, a := range f.Stewards {
		steward = steward || a.Name == s.Name
	}
	switch {
	case !d.AllowPeers:
		return s.Operator.FleetFault("gatherers may not talk to each other here (limits.peers of the settings is not true)")
	case steward && (f.Listen == "" || f.Path == ""):
		return s.Operator.FleetFault("this gatherer is a steward, and needs listen, its address for the fleet, and path, where its log is kept")
	}
	return nil
}

// validateMerging checks what the operator's file lets be merged against the settings.
func (s Config) validateMerging(d balancerconfig.Deployment) error {
	m := s.mergingConfig()
	if m == nil {
		return nil
	}
	var errs []error
	for name, a := range m.Types {
		switch at := slices.Index(d.QueryTypes, name); {
		case at < 0:
			errs = append(errs, s.Operator.TypeFault(name, "is no query type of the settings"))
		case d.Balancer.QueryTypes[at].Idempotency != balancer.Idempotent:
			errs = append(errs, s.Operator.TypeFault(name, "is not idempotent: a merge past its limits is shed, which says that asking again is harmless"))
		case slices.Contains(a.Kinds, merge.Paged) && d.Balancer.QueryTypes[at].CompleteCoverage < 1:
			errs = append(errs, s.Operator.TypeFault(name, "counts as whole short of a part (domain.wholeAt): pages would never wait for the last segment, and no walk would end"))
		}
	}
	return operatorconfig.Join(errs...)
}

func (s Config) mergingConfig() *operatorconfig.Merging {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Merging
}

// connectionsConfig is what the operator's file says of clients' connections.
func (s Config) connectionsConfig() (c operatorconfig.Connections) {
	if s.Operator != nil && s.Operator.Connections != nil {
		c = *s.Operator.Connections
	}
	return c
}

// storeConfig is what the operator's file says of the store; nil = there is none.
func (s Config) storeConfig() *operatorconfig.Store {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Store
}

// applyOperatorConfig puts what the operator's file says in force.
func (g *Gatherer) applyOperatorConfig(s Config) {
	m := s.mergingConfig()
	g.transport.merging.Store(m)
	g.setMergeLimits(1)
	g.memory.SetOptions(s.Limits.memoryLimits(s.memoryConfig()))
}

// setMergeLimits puts a share of the limits on merges in force.
func (g *Gatherer) setMergeLimits(share float64) {
	if m := g.transport.merging.Load(); m != nil {
		part := func(n int64) int64 { return int64(float64(n) * share) }
		g.dispatcher.merges.Limit(part(m.MostBytes), part(m.MostRows), part(m.MostOpen))
	}
}

// levelsConfig is what the operator's file says of reduced service; nil = it is never reduced.
func (s Config) levelsConfig() *operatorconfig.Levels {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Levels
}

// memoryConfig is what the operator's file says of memory in sum; nil = nothing.
func (s Config) memoryConfig() *operatorconfig.Memory {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Memory
}

// Gatherer is one gatherer.
type Gatherer struct {
	mu           sync.Mutex
	config       Config             // in force; discovery may change
	watcher      *discovery.Watcher // nil = Run has not begun, or is over
	frontend     *frontend
	transport    *transport
	dispatcher   *dispatcher
	memory       *memorybudget.Budget
	deployment   balancerconfig.Deployment
	knownServers discovery.ServerList
	counters     counters
}

// New checks a setup and makes a gatherer of it. It opens nothing.
func New(s Config) (*Gatherer, error) {
	d, err := s.validate()
	if err != nil {
		return nil, err
	}
	g := &Gatherer{config: s, deployment: d, memory: memorybudget.New(memorybudget.Options{}, logPressure)}
	if len(s.KnownServers) > 0 && string(s.KnownServers) != "null" {
		var err error
		if g.knownServers, err = discovery.Parse(s.KnownServers, g.acceptServer); err != nil {
			slog.Warn("known_left_out", "error", err) // the list will come from discovery
		}
	}
	_, servers := s.Limits.splitDescriptors()
	box := mailbox{make(chan any, mailboxSize), make(chan struct{})}
	g.dispatcher = &dispatcher{mailbox: box, deployment: d, clock: newClock(), balancer: balancer.New(d.Balancer), descriptors: newDescriptorPool(servers), merges: &merge.Budget{},
		memory: g.memory, valueSizes: memorybudget.NewSizeEstimator(len(d.QueryTypes), initialValueSize),
		connConfig: shardconn.Config{ConnectTimeout: d.ConnectTimeout, IdleTimeout: d.IdleTimeout, StreamsPerConn: d.StreamsPerConn,
			CallsPerFrame: d.CallsPerFrame, LoadHealthChecks: d.LoadReportsByHealthCheck, LoadReports: len(d.LoadReportFields) > 0, Memory: memoryAccount{g.memory, memorybudget.ServerConns}},
		requests: map[balancer.RequestID]*clientRequest{}, calls: map[balancer.ShardCallID]*shardCall{}, callsByWireID: map[string]int{},
		servers: map[balancer.ServerID]*server{}, serverIDs: map[string]balancer.ServerID{}, ended: make(chan struct{})}
	g.dispatcher.counters = &g.counters
	g.dispatcher.merges.Under(memoryAccount{g.memory, memorybudget.Merges})
	g.transport = newTransport(d, box, g.memory)
	if o := s.storeConfig(); o != nil {
		g.transport.keyHeader = o.KeyHeader
	}
	if o := s.levelsConfig(); o != nil {
		if g.dispatcher.degradation, err = newDegradation(g.dispatcher, o); err != nil {
			return nil, err
		}
		g.dispatcher.setMergeLimits = g.setMergeLimits
	}
	g.applyOperatorConfig(s)
	g.frontend = newFrontend(g.transport, duration(d.MaxClientTimeout), g.memory)
	g.frontend.connections = s.connectionsConfig()
	g.frontend.maxActiveConns = cmp.Or(g.frontend.connections.Awake, s.Limits.maxActiveConns())
	g.dispatcher.onListReady = func() { g.frontend.hasServers.Store(true) }
	return g, nil
}

// acceptServer tells what a list entry must keep for the layout of the settings.
func (g *Gatherer) acceptServer(e discovery.Server) error {
	if e.Health != discovery.Removed && (e.Cell < 0 || e.Cell >= g.deployment.Balancer.Cells) {
		return fmt.Errorf("block %d is out of range, 0 to %d are known", e.Cell, g.deployment.Balancer.Cells-1)
	}
	return nil
}

// Handler is the HTTP side alone, for a program with a server of its own. It answers searches while Run is on.
func (g *Gatherer) Handler() http.Handler { return g.frontend }

// Run listens, serves until ctx is done, drains and returns.
func (g *Gatherer) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", g.config.Listen)
	if err != nil {
		return err
	}
	m := g.dispatcher
	if o := g.config.storeConfig(); o != nil {
		if m.persistence, err = openPersistence(o); err != nil {
			l.Close()
			return err
		}
		defer m.persistence.close()
		g.knownServers = m.persistence.loadServerList(g.knownServers, g.acceptServer)
	}
	slog.Info("listening", "name", g.config.Name, "addr", l.Addr().String())
	g.mu.Lock()
	m.watcher = discovery.Start(g.config.Discovery, g.knownServers.Version, duration(g.deployment.ConnectTimeout), g.acceptServer, m.mailbox, !g.deployment.Balancer.ListOnRequest)
	g.watcher = m.watcher
	g.mu.Unlock()
	if o := g.config.levelsConfig(); o != nil && o.Socket != "" {
		socket, err := admin.Listen(o.Socket, func(q admin.Question) bool { return m.send(q) })
		if err != nil {
			l.Close()
			return err
		}
		defer socket.Close()
	}
	stop := make(chan struct{})
	if mem := g.config.memoryConfig(); mem != nil && mem.Report > 0 {
		go reportMemory(g.memory, mem.Report, stop)
	}
	m.applyServerList(balancer.ListCached, g.knownServers)
	if m.persistence != nil {
		m.restoreServerRecords()
	}
	go m.run(stop)
	clients, _ := g.config.Limits.splitDescriptors()
	err = g.frontend.serve(ctx, l, clients, duration(g.deployment.MaxClientTimeout))
	close(stop)
	<-m.ended
	g.mu.Lock()
	g.watcher = nil
	g.mu.Unlock()
	m.watcher.Stop()
	return err
}

// Reload takes a setup that has been read anew, at any time and as often as one likes, while Run goes on. A changed
// discovery address is watched at once, and the operator's file is in force for all searches that come from now on. What else differs is named in the log, as it needs a restart; the list and
// the seed are for a start alone. A setup that New would refuse changes nothing.
func (g *Gatherer) Reload(s Config) error {
	if _, err := s.validate(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	connections := s.connectionsConfig() == g.config.connectionsConfig()
	was, now, fleet := g.config.storeConfig(), s.storeConfig(), g.config.fleetConfig()
	stored := was == now || was != nil && now != nil && *was == *now
	reduced := s.levelsConfig() != nil == (g.dispatcher.degradation != nil) && (s.levelsConfig() == nil || g.config.levelsConfig() == nil || s.levelsConfig().Socket == g.config.levelsConfig().Socket)
	g.config.Operator = s.Operator
	g.applyOperatorConfig(s)
	if o := s.levelsConfig(); o != nil && g.dispatcher.degradation != nil {
		if f, err := o.For(g.deployment.QueryTypes); err == nil { // deployment has checked it
			g.dispatcher.send(levelsReplaced{f})
		}
	}
	moved := s.Discovery != g.config.Discovery
	if g.config.Discovery = s.Discovery; moved && g.watcher != nil {
		g.watcher.Move(s.Discovery)
	}
	var restart []string
	for _, f := range []struct {
		name string
		same bool
	}{{"name", s.Name == g.config.Name}, {"listen", s.Listen == g.config.Listen}, {"limits", s.Limits == g.config.Limits},
		{"connections", connections}, {"fleet", reflect.DeepEqual(s.fleetConfig(), fleet)}, {"store", stored}, {"levels", reduced},
		{"settings", sameJSON(s.Settings, g.config.Settings)}} {
		if !f.same {
			restart = append(restart, f.name)
		}
	}
	slog.Info("reload", "discovery", s.Discovery, "moved", moved, "needs_restart", cmp.Or(strings.Join(restart, ","), "none"))
	return nil
}

// sameJSON tells whether two texts hold the same, whatever the order and the spaces.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
