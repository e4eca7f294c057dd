package gatherer

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"

	"oxbowspan/balancer"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// Gatherer is one instance of a gatherer. New creates it, Run serves.
type Gatherer struct {
	deployment   balancerconfig.Deployment
	knownServers discovery.ServerList
	frontend     *frontend
	transport    *transport
	dispatcher   *dispatcher
	memory       *memorybudget.Budget
	counters     counters

	mu      sync.Mutex
	config  Config             // including what was reloaded since
	watcher *discovery.Watcher // nil before Run starts it and after Run has returned
}

// New validates a configuration and returns a gatherer for it. It opens no files, sockets or connections. Invalid known
// servers are logged and ignored.
func New(config Config) (*Gatherer, error) {
	deployment, err := config.validate()
	if err != nil {
		return nil, err
	}
	g := &Gatherer{config: config, deployment: deployment,
		memory: memorybudget.New(memorybudget.Options{}, logPressure)}
	if len(config.KnownServers) > 0 && string(config.KnownServers) != "null" {
		if g.knownServers, err = discovery.Parse(config.KnownServers, g.acceptServer); err != nil {
			slog.Warn("known_left_out", "error", err) // not fatal, as the discovery service will send a list
		}
	}
	g.dispatcher = g.newDispatcher(config)
	g.transport = newTransport(deployment, g.dispatcher.mailbox, g.memory)
	if store := config.storeConfig(); store != nil {
		g.transport.keyHeader = store.KeyHeader
	}
	if levels := config.levelsConfig(); levels != nil {
		if g.dispatcher.degradation, err = newDegradation(g.dispatcher, levels); err != nil {
			return nil, err
		}
		g.dispatcher.setMergeLimits = g.setMergeLimits
	}
	g.applyOperatorConfig(config)
	g.frontend = newFrontend(g.transport, duration(deployment.MaxClientTimeout), g.memory)
	g.frontend.connections = config.connectionsConfig()
	g.frontend.maxActiveConns = cmp.Or(g.frontend.connections.MaxActive, config.Limits.maxActiveConns())
	g.dispatcher.onListReady = func() { g.frontend.hasServers.Store(true) }
	return g, nil
}

// newDispatcher returns a dispatcher with its balancer and its memory accounts. Degradation and persistence are added by
// New and Run.
func (g *Gatherer) newDispatcher(config Config) *dispatcher {
	deployment := g.deployment
	_, serverDescriptors := config.Limits.splitDescriptors()
	d := &dispatcher{
		mailbox:     newMailbox(),
		deployment:  deployment,
		clock:       newClock(),
		balancer:    balancer.New(deployment.Balancer),
		descriptors: newDescriptorPool(serverDescriptors),
		connConfig: shardconn.Config{
			ConnectTimeout:    deployment.ConnectTimeout,
			IdleTimeout:       deployment.IdleTimeout,
			MaxStreamsPerConn: deployment.MaxStreamsPerConn,
			MaxCallsPerFrame:  deployment.MaxCallsPerFrame,
			LoadHealthChecks:  deployment.LoadReportsByHealthCheck,
			LoadReports:       len(deployment.LoadReportFields) > 0,
			Memory:            memoryAccount{g.memory, memorybudget.ServerConns},
		},
		merges:        &merge.Budget{},
		memory:        g.memory,
		valueSizes:    memorybudget.NewSizeEstimator(len(deployment.QueryTypes), initialValueSize),
		counters:      &g.counters,
		requests:      map[balancer.RequestID]*clientRequest{},
		calls:         map[balancer.ShardCallID]*shardCall{},
		callsByWireID: map[string]int{},
		servers:       map[balancer.ServerID]*server{},
		serverIDs:     map[string]balancer.ServerID{},
		ended:         make(chan struct{}),
	}
	d.merges.SetParent(memoryAccount{g.memory, memorybudget.Merges})
	return d
}

// acceptServer returns an error if an entry of the server list has a cell that the settings do not have. Entries that
// remove a server are always accepted.
func (g *Gatherer) acceptServer(s discovery.Server) error {
	if s.Health != discovery.Removed && (s.Cell < 0 || s.Cell >= g.deployment.Balancer.Cells) {
		return fmt.Errorf("block %d is out of range, 0 to %d are allowed", s.Cell, g.deployment.Balancer.Cells-1)
	}
	return nil
}

// applyOperatorConfig applies the sections on merging and memory of the operator's file, which need no restart.
func (g *Gatherer) applyOperatorConfig(config Config) {
	g.transport.merging.Store(config.mergingConfig())
	g.setMergeLimits(1)
	g.memory.SetOptions(config.Limits.memoryLimits(config.memoryConfig()))
}

// setMergeLimits sets the limits of all open merges to a share of the configured ones. The share is from 0 to 1.
func (g *Gatherer) setMergeLimits(share float64) {
	if m := g.transport.merging.Load(); m != nil {
		scale := func(n int64) int64 { return int64(float64(n) * share) }
		g.dispatcher.merges.SetLimits(scale(m.MaxBytes), scale(m.MaxRows), scale(m.MaxOpenMerges))
	}
}

// Handler returns the HTTP handler, for a program that has its own HTTP server. It answers requests while Run is running.
func (g *Gatherer) Handler() http.Handler { return g.frontend }

// Run listens and serves until ctx is done, then drains and returns. It returns an error if the listen address, the store
// or the admin socket cannot be opened, or if serving fails.
func (g *Gatherer) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", g.config.Listen)
	if err != nil {
		return err
	}
	d := g.dispatcher
	if store := g.config.storeConfig(); store != nil {
		if d.persistence, err = openPersistence(store); err != nil {
			l.Close()
			return err
		}
		defer d.persistence.close()
		g.knownServers = d.persistence.loadServerList(g.knownServers, g.acceptServer)
	}
	slog.Info("listening", "name", g.config.Name, "addr", l.Addr().String())
	g.startWatcher()
	socket, err := g.listenAdmin()
	if err != nil {
		l.Close()
		return err
	}
	if socket != nil {
		defer socket.Close()
	}
	stop := make(chan struct{})
	if memory := g.config.memoryConfig(); memory != nil && memory.ReportInterval > 0 {
		go reportMemory(g.memory, memory.ReportInterval, stop)
	}
	d.applyServerList(balancer.ListCached, g.knownServers)
	if d.persistence != nil {
		d.restoreServerRecords()
	}
	go d.run(stop)
	clientDescriptors, _ := g.config.Limits.splitDescriptors()
	err = g.frontend.serve(ctx, l, clientDescriptors, duration(g.deployment.MaxClientTimeout))
	close(stop)
	<-d.ended
	g.mu.Lock()
	g.watcher = nil
	g.mu.Unlock()
	d.watcher.Stop()
	return err
}

// startWatcher starts watching the server list of the discovery service.
func (g *Gatherer) startWatcher() {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.dispatcher
	d.watcher = discovery.Start(g.config.Discovery, g.knownServers.Version, duration(g.deployment.ConnectTimeout),
		g.acceptServer, d.mailbox, !g.deployment.Balancer.ListOnRequest)
	g.watcher = d.watcher
}

// listenAdmin opens the admin socket. It returns nil if none is configured.
func (g *Gatherer) listenAdmin() (*admin.Socket, error) {
	levels := g.config.levelsConfig()
	if levels == nil || levels.Socket == "" {
		return nil, nil
	}
	return admin.Listen(levels.Socket, func(r admin.Request) bool { return g.dispatcher.send(operatorRequest{r}) })
}

// Reload applies a configuration that was read again. It may be called at any time. A changed address of the discovery
// service takes effect immediately, and the operator's file applies to all later requests, except for the sections that
// need a restart. Differences that need a restart are logged and not applied; the known servers and the seed are used only
// at the start. If the configuration is invalid Reload returns an error and changes nothing.
func (g *Gatherer) Reload(config Config) error {
	if _, err := config.validate(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	restart := config.restartNeeded(g.config, g.dispatcher.degradation != nil)
	g.config.Operator = config.Operator
	g.applyOperatorConfig(config)
	if levels := config.levelsConfig(); levels != nil && g.dispatcher.degradation != nil {
		if degradationConfig, err := levels.ConfigFor(g.deployment.QueryTypes); err == nil { // validate has checked this
			g.dispatcher.send(levelsReplaced{degradationConfig})
		}
	}
	addressChanged := config.Discovery != g.config.Discovery
	if g.config.Discovery = config.Discovery; addressChanged && g.watcher != nil {
		g.watcher.ChangeAddress(config.Discovery)
	}
	slog.Info("reload", "discovery", config.Discovery, "moved", addressChanged,
		"needs_restart", cmp.Or(strings.Join(restart, ","), "none"))
	return nil
}
