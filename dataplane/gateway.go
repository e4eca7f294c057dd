// Package dataplane is the data plane as a library: one gatherer of the system, which takes clients' requests, asks one
// server of each shard as brain decides, and answers. It learns the configuration and the servers from the hives.
//
// One goroutine, the owner, alone calls brain and holds every table of the package; connections hand it commands.
package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"oxbowspan/balancer"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Gateway is one gateway's process.
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
	front      *frontServer

	exchangeState
}

// New makes a gateway that does nothing until Run.
func New(options *settings.Settings, transport network.Network, log zerolog.Logger) *Gateway {
	f := &Gateway{process: newProcess(options, transport, log), loop: newEventLoop(), killed: make(chan struct{})}
	ids := &idSequence{}
	f.members = newMembership(f.process)
	f.endpoints = newEndpointTable(f.process, f.members, ids)
	f.configs = newConfigStore(log, f.endpoints)
	f.quota = newQuotaClient(f.process, f.loop, f.members, f.endpoints, f.configs)
	decisions := balancer.New(balancerConfig(options, f.process.incarnation, f.quota))
	f.outliers = newOutlierClient(f.process, f.loop, f.members, f.endpoints, decisions)
	conns := newConnPool(f.process, f.loop)
	f.dispatcher = newDispatcher(f.process, f.loop, dispatcherOptions{
		balancer:  decisions,
		endpoints: f.endpoints,
		ids:       ids,
		sender:    conns,
		tenants:   f.quota,
		outcomes:  f.outliers,
	})
	f.subscribers, f.subscriptions = map[*rpc.Conn]bool{}, map[rendezvous.Name]*loadSubscription{}
	f.front = newFrontServer(f.process, f.configs, f.dispatcher, f.loop.stopped)

	// The components below depend on each other in a circle.
	f.endpoints.balancer, f.endpoints.quota, f.endpoints.outliers = f.dispatcher, f.quota, f.outliers
	f.configs.balancer, f.configs.tenants = f.dispatcher, f.quota
	f.outliers.balancer = f.dispatcher
	conns.sink = f.dispatcher
	return f
}

// How a forager leaves: the platform needs two misses to send nobody new, so connections are taken for a while yet.
const (
	drainIdleClose  = 2200 * time.Millisecond // idle connections are closed so long after SIGTERM
	minDrain        = 2500 * time.Millisecond // and the listener stays for at least so long
	shutdownReserve = 700 * time.Millisecond  // of the grace period, kept for the end
)

// Run serves until the context is done, then leaves in order.
func (f *Gateway) Run(ctx context.Context) error {
	front, err := f.process.network.Listen(f.process.settings.Listen.Front)
	if err != nil {
		return eris.Errorf("the front address can't be listened on: %v", err)
	}
	readiness, err := f.process.network.Listen(f.process.settings.Listen.Readiness)
	if err != nil {
		return eris.Errorf("the readiness address can't be listened on: %v", err)
	}
	inner, err := f.process.network.Listen(string(f.members.self))
	if err != nil {
		return eris.Errorf("the internal address can't be listened on: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/readiness", f.handleReadiness)
	web := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}
	talk := &rpc.Server{Handle: f.handleFrame, OnClose: func(c *rpc.Conn) { f.loop.post(func() { delete(f.subscribers, c) }) }}
	news, quit := context.WithCancel(context.Background())
	f.process.goroutines.Go(func() { web.Serve(readiness) })
	f.process.goroutines.Go(func() { talk.Serve(inner) })
	f.process.goroutines.Go(func() { f.front.serve(front) })
	f.process.goroutines.Go(func() { f.loop.run(f) })
	f.process.goroutines.Go(func() { f.followConfig(news) })
	f.process.log.Info().Str("node", f.process.settings.NodeName).Msg("forager: started")
	select {
	case <-ctx.Done():
		f.drain()
	case <-f.killed:
	}
	front.Close()
	readiness.Close()
	quit()
	f.front.conns.closeAll()
	web.Close()
	inner.Close()
	f.loop.stop()
	f.process.goroutines.Wait()
	f.process.log.Info().Msg("forager: left")
	return nil
}

// Kill has Run return at once, in no order, as a kill of the process would. It must be called once at most.
func (f *Gateway) Kill() { close(f.killed) }

// ActiveVersion is the version of the configuration that requests are served by, 0 = none yet.
func (f *Gateway) ActiveVersion() uint64 {
	if now := f.configs.load(); now != nil {
		return now.version
	}
	return 0
}

// drain serves on until what is open is answered and the platform has had time to send others elsewhere.
func (f *Gateway) drain() {
	f.process.log.Info().Msg("forager: leaving")
	f.process.draining.Store(true)
	grace := max(settings.Seconds(f.process.settings.Bounds.GracePeriodS)-shutdownReserve, minDrain)
	left := time.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	for range tick.C {
		since := time.Since(left)
		if since > drainIdleClose {
			f.front.conns.closeIdle()
		}
		if since > minDrain && f.front.openRequests.Load() == 0 || since > grace {
			break
		}
	}
	tick.Stop()
	f.front.conns.closeIdle()
}

// handleReadiness says whether this gatherer takes new connections.
func (f *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if f.process.draining.Load() || !f.process.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// maintain implements loopHandler.
func (f *Gateway) maintain(now balancer.Time) {
	f.outliers.evaluate(now)
	f.exchangeLoads(now)
	f.runHealthChecks(now)
	f.quota.maintain(now)
}

// timerFired implements loopHandler.
func (f *Gateway) timerFired(event timerEvent, now balancer.Time) {
	f.dispatcher.timerFired(event, now)
}

// loopStopped implements loopHandler: it closes the connections that goroutines wait on.
func (f *Gateway) loopStopped() {
	for _, w := range f.subscriptions {
		w.cancel()
		w.caller.Close()
	}
	f.endpoints.closeConns()
	f.quota.close()
	f.dispatcher.closeConns()
}
