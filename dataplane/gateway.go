// Package dataplane is the data plane as a library: one gatherer of the system, which takes clients' requests, asks one
// server of each shard as brain decides, and answers. It learns the configuration and the servers from the hives.
//
// One goroutine, the owner, alone calls brain and holds every table of the package; connections hand it commands.
package dataplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"oxbowspan/balancer"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// Gateway is one gatherer's process.
type Gateway struct {
	settings    *settings.Settings
	network     network.Network
	log         zerolog.Logger
	incarnation uint64
	startedAt   time.Time
	commands    chan func()
	stopped     chan struct{}
	killed      chan struct{}
	wg          sync.WaitGroup

	active       atomic.Pointer[activeConfig] // what is in force; nil = nothing yet
	ready        atomic.Bool
	draining     atomic.Bool
	openRequests atomic.Int64 // requests read and not answered
	clients      clientConns

	loopState
}

// New makes a forager that does nothing yet.
func New(set *settings.Settings, on network.Network, log zerolog.Logger) *Gateway {
	f := &Gateway{settings: set, network: on, log: log, incarnation: newIncarnation(), startedAt: time.Now(), commands: make(chan func(), 4096), stopped: make(chan struct{}), killed: make(chan struct{})}
	f.clients.open = map[*clientConn]bool{}
	f.loopState.init(f)
	return f
}

func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// now is the steady clock, as brain counts it.
func (f *Gateway) now() balancer.Time {
	return balancer.Time(time.Since(f.startedAt) / (100 * time.Microsecond))
}

func duration(t balancer.Time) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

func ticks(d time.Duration) balancer.Time { return balancer.Time(d / (100 * time.Microsecond)) }

// post hands the owner a command. It tells whether the owner still works.
func (f *Gateway) post(c func()) bool {
	select {
	case f.commands <- c:
		return true
	case <-f.stopped:
		return false
	}
}

// How a forager leaves: the platform needs two misses to send nobody new, so connections are taken for a while yet.
const (
	drainIdleClose  = 2200 * time.Millisecond // idle connections are closed so long after SIGTERM
	minDrain        = 2500 * time.Millisecond // and the listener stays for at least so long
	shutdownReserve = 700 * time.Millisecond  // of the grace period, kept for the end
)

// Run serves until the context is done, then leaves in order.
func (f *Gateway) Run(ctx context.Context) error {
	front, err := f.network.Listen(f.settings.Listen.Front)
	if err != nil {
		return eris.Errorf("the front address can't be listened on: %v", err)
	}
	readiness, err := f.network.Listen(f.settings.Listen.Readiness)
	if err != nil {
		return eris.Errorf("the readiness address can't be listened on: %v", err)
	}
	inner, err := f.network.Listen(f.settings.InternalAddress(settings.GatewayPort))
	if err != nil {
		return eris.Errorf("the internal address can't be listened on: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/readiness", f.handleReadiness)
	web := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}
	talk := &rpc.Server{Handle: f.handleFrame, OnClose: func(c *rpc.Conn) { f.post(func() { delete(f.subscribers, c) }) }}
	news, quit := context.WithCancel(context.Background())
	f.wg.Go(func() { web.Serve(readiness) })
	f.wg.Go(func() { talk.Serve(inner) })
	f.wg.Go(func() { f.acceptClients(front) })
	f.wg.Go(f.runLoop)
	f.wg.Go(func() { f.followConfig(news) })
	f.log.Info().Str("node", f.settings.NodeName).Msg("forager: started")
	select {
	case <-ctx.Done():
		f.drain()
	case <-f.killed:
	}
	front.Close()
	readiness.Close()
	quit()
	f.clients.closeAll()
	web.Close()
	inner.Close()
	close(f.stopped)
	f.wg.Wait()
	f.log.Info().Msg("forager: left")
	return nil
}

// Kill has Run return at once, in no order, as a kill of the process would. It must be called once at most.
func (f *Gateway) Kill() { close(f.killed) }

// ActiveVersion is the version of the configuration that requests are served by, 0 = none yet.
func (f *Gateway) ActiveVersion() uint64 {
	if now := f.active.Load(); now != nil {
		return now.version
	}
	return 0
}

// drain serves on until what is open is answered and the platform has had time to send others elsewhere.
func (f *Gateway) drain() {
	f.log.Info().Msg("forager: leaving")
	f.draining.Store(true)
	grace := max(settings.Seconds(f.settings.Bounds.GracePeriodS)-shutdownReserve, minDrain)
	left := time.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	for range tick.C {
		since := time.Since(left)
		if since > drainIdleClose {
			f.clients.closeIdle()
		}
		if since > minDrain && f.openRequests.Load() == 0 || since > grace {
			break
		}
	}
	tick.Stop()
	f.clients.closeIdle()
}

// handleReadiness says whether this gatherer takes new connections.
func (f *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || !f.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
