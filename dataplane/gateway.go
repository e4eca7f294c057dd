// Package dataplane implements the data plane: a gateway accepts requests of clients, sends each to one server of every shard that its
// route selects, as package balancer decides, and responds. It receives the configuration and the list of servers from the controllers.
//
// A Gateway consists of components, each with its own state:
//
//   - frontServer reads the requests of clients and writes the responses
//   - dispatcher tracks the open requests and performs the balancer's actions
//   - connPool sends attempts to servers over pooled connections
//   - endpointTable holds the servers, membership the live gateways
//   - configFollower polls the controllers, configStore holds the active configuration
//   - quotaClient and quotaAllocator divide the connections to servers among tenants
//   - outlierClient detects outliers among the servers together with the other gateways
//   - loadExchange exchanges numbers of attempts in flight with other gateways
//   - rolloutTable shifts traffic to servers of new versions, as the controllers decided
//   - healthChecker checks the health of servers whose heartbeats reach no controller
//
// All components except frontServer and configFollower are owned by the goroutine of eventLoop; other goroutines post commands to it.
package dataplane

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"oxbowspan/balancer"
	"oxbowspan/internal/metrics"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// Timeouts of the readiness endpoint.
const (
	readinessHeaderTimeout = 3 * time.Second
	readinessIdleTimeout   = 10 * time.Second
)

// Gateway serves the requests of clients. New returns a gateway, Run starts it.
type Gateway struct {
	process *process
	loop    *eventLoop
	killed  chan struct{}

	members    *membership
	endpoints  *endpointTable
	configs    *configStore
	quota      *quotaClient
	outliers   *outlierClient
	dispatcher *dispatcher
	loads      *loadExchange
	health     *healthChecker
	rollouts   *rolloutTable
	follower   *configFollower
	front      *frontServer
}

// New returns a gateway that does nothing until Run is called. The options must be valid; they are not modified.
func New(options *settings.Settings, transport network.Network, log zerolog.Logger) *Gateway {
	g := &Gateway{
		process: newProcess(options, transport, log),
		loop:    newEventLoop(),
		killed:  make(chan struct{}),
	}
	ids := &idSequence{}
	g.members = newMembership(g.process)
	g.endpoints = newEndpointTable(g.process, g.members, ids)
	g.configs = newConfigStore(log, g.endpoints)
	g.quota = newQuotaClient(g.process, g.loop, g.members, g.endpoints, g.configs)
	decisions := balancer.New(balancerConfig(options, g.process.incarnation, g.quota))
	g.outliers = newOutlierClient(g.process, g.loop, g.members, g.endpoints, decisions)
	g.rollouts = newRolloutTable(g.process, g.loop, g.endpoints)
	conns := newConnPool(g.process, g.loop)
	g.dispatcher = newDispatcher(g.process, g.loop, dispatcherOptions{
		balancer:  decisions,
		endpoints: g.endpoints,
		ids:       ids,
		sender:    conns,
		tenants:   g.quota,
		outcomes:  g.outliers,
		rollouts:  g.rollouts,
	})
	g.loads = newLoadExchange(g.process, g.loop, g.members, g.endpoints, g.outliers, g.dispatcher)
	g.health = newHealthChecker(g.process, g.loop, g.members, g.endpoints, g.configs)
	g.follower = newConfigFollower(g.process, g.loop, g.loop.stopped, g)
	g.front = newFrontServer(g.process, g.configs, g.dispatcher, g.loop.stopped)

	// The components below depend on each other cyclically.
	g.endpoints.balancer, g.endpoints.quota, g.endpoints.outliers = g.dispatcher, g.quota, g.outliers
	g.endpoints.rollouts = g.rollouts
	g.configs.balancer, g.configs.tenants = g.dispatcher, g.quota
	g.rollouts.events = g.dispatcher
	g.outliers.balancer = g.dispatcher
	conns.sink = g.dispatcher
	return g
}

// listeners are the three addresses that a gateway listens on.
type listeners struct {
	front, readiness, internal net.Listener
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.front, l.readiness, l.internal} {
		if listener != nil {
			listener.Close()
		}
	}
}

// listen opens all three listeners, or none and returns an error.
func (g *Gateway) listen() (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	addresses := g.process.settings.Listen
	if l.front, err = g.process.network.Listen(addresses.Front); err != nil {
		return l, eris.Wrap(err, "listen on the front address")
	}
	if l.readiness, err = g.process.network.Listen(addresses.Readiness); err != nil {
		return l, eris.Wrap(err, "listen on the readiness address")
	}
	if l.internal, err = g.process.network.Listen(string(g.process.name)); err != nil {
		return l, eris.Wrap(err, "listen on the internal address")
	}
	return l, nil
}

// Run serves until the context is done, then shuts down gracefully. It returns an error if it cannot listen on one of its addresses.
func (g *Gateway) Run(ctx context.Context) error {
	l, err := g.listen()
	if err != nil {
		return err
	}
	stopMetrics := g.serveMetrics()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/readiness", g.handleReadiness)
	readinessServer := &http.Server{Handler: mux, ReadHeaderTimeout: readinessHeaderTimeout, IdleTimeout: readinessIdleTimeout}
	internalServer := &rpc.Server{
		Handle:  g.handleFrame,
		OnClose: func(conn *rpc.Conn) { g.loop.post(func() { g.loads.removeSubscriber(conn) }) },
	}
	followerCtx, stopFollower := context.WithCancel(context.Background())
	goroutines := &g.process.goroutines
	goroutines.Go(func() { readinessServer.Serve(l.readiness) })
	goroutines.Go(func() { internalServer.Serve(l.internal) })
	goroutines.Go(func() { g.front.serve(l.front) })
	goroutines.Go(func() { g.loop.run(g) })
	goroutines.Go(func() { g.follower.run(followerCtx) })
	g.process.log.Info().Str("node", g.process.settings.NodeName).Msg("gateway: started")
	select {
	case <-ctx.Done():
		g.drain(l.front)
	case <-g.killed:
	}
	l.front.Close()
	l.readiness.Close()
	stopFollower()
	g.front.conns.closeAll()
	readinessServer.Close()
	stopMetrics()
	l.internal.Close()
	g.loop.stop()
	goroutines.Wait()
	g.process.log.Info().Msg("gateway: stopped")
	return nil
}

// serveMetrics serves the metrics if an address is configured. If it cannot listen there, the gateway runs without metrics.
func (g *Gateway) serveMetrics() (stop func()) {
	address := g.process.settings.MetricsAddress()
	if address == "" {
		return func() {}
	}
	listener, err := g.process.network.Listen(address)
	if err != nil {
		g.process.log.Warn().Err(err).Str("address", address).Msg("metrics: not served")
		return func() {}
	}
	server := metrics.NewServer(g.collectMetrics)
	g.process.goroutines.Go(func() { server.Serve(listener) })
	return func() { server.Close() }
}

// Kill makes Run return immediately without a graceful shutdown, as if the process was killed. It must not be called twice.
func (g *Gateway) Kill() { close(g.killed) }

// SetSeeds replaces the internal addresses of the controllers that are polled in addition to those that controllers announce. It is safe for
// concurrent use.
func (g *Gateway) SetSeeds(addresses []string) { g.follower.controllers.setSeeds(addresses) }

// ActiveVersion returns the version of the active configuration, 0 = none yet.
func (g *Gateway) ActiveVersion() uint64 {
	if active := g.configs.load(); active != nil {
		return active.version
	}
	return 0
}

// handleReadiness handles readiness checks: it responds 200 if this gateway accepts new connections, else 503.
func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.process.draining.Load() || !g.process.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// maintain implements loopHandler.
func (g *Gateway) maintain(now balancer.Time) {
	g.outliers.evaluate(now)
	g.loads.exchange(now)
	g.health.run(now)
	g.quota.maintain(now)
}

// timerFired implements loopHandler.
func (g *Gateway) timerFired(event timerEvent, now balancer.Time) {
	g.dispatcher.timerFired(event, now)
}

// loopStopped implements loopHandler. It closes the connections that goroutines are blocked on, so that they end.
func (g *Gateway) loopStopped() {
	g.loads.close()
	g.endpoints.closeConns()
	g.quota.close()
	g.dispatcher.closeConns()
}
