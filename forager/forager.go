// Package forager is the data plane as a library: one gatherer of the system, which takes clients' requests, asks one
// server of each shard as brain decides, and answers. It learns the configuration and the servers from the hives.
//
// One goroutine, the owner, alone calls brain and holds every table of the package; connections hand it commands.
package forager

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

	"oxbowspan/brain"
	"oxbowspan/internal/boot"
	"oxbowspan/internal/ground"
	"oxbowspan/rpc"
)

// Forager is one gatherer's process.
type Forager struct {
	set     *boot.Settings
	net     ground.Network
	log     zerolog.Logger
	life    uint64
	start   time.Time
	cmds    chan func()
	stopped chan struct{}
	killed  chan struct{}
	wg      sync.WaitGroup

	follows  atomic.Pointer[follows] // what is in force; nil = nothing yet
	ready    atomic.Bool
	draining atomic.Bool
	open     atomic.Int64 // requests read and not answered
	clients  crowd

	owner
}

// New makes a forager that does nothing yet.
func New(set *boot.Settings, on ground.Network, log zerolog.Logger) *Forager {
	f := &Forager{set: set, net: on, log: log, life: draw(), start: time.Now(), cmds: make(chan func(), 4096), stopped: make(chan struct{}), killed: make(chan struct{})}
	f.clients.open = map[*client]bool{}
	f.owner.init(f)
	return f
}

func draw() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// now is the steady clock, as brain counts it.
func (f *Forager) now() brain.Time { return brain.Time(time.Since(f.start) / (100 * time.Microsecond)) }

func span(t brain.Time) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

func ticks(d time.Duration) brain.Time { return brain.Time(d / (100 * time.Microsecond)) }

// do hands the owner a command. It tells whether the owner still works.
func (f *Forager) do(c func()) bool {
	select {
	case f.cmds <- c:
		return true
	case <-f.stopped:
		return false
	}
}

// How a forager leaves: the platform needs two misses to send nobody new, so connections are taken for a while yet.
const (
	idleKept  = 2200 * time.Millisecond // idle connections are closed so long after SIGTERM
	leastStay = 2500 * time.Millisecond // and the listener stays for at least so long
	lastWord  = 700 * time.Millisecond  // of the grace period, kept for the end
)

// Run serves until the context is done, then leaves in order.
func (f *Forager) Run(ctx context.Context) error {
	front, err := f.net.Listen(f.set.Listen.Front)
	if err != nil {
		return eris.Errorf("the front address can't be listened on: %v", err)
	}
	readiness, err := f.net.Listen(f.set.Listen.Readiness)
	if err != nil {
		return eris.Errorf("the readiness address can't be listened on: %v", err)
	}
	inner, err := f.net.Listen(f.set.Internal(boot.ForagerPort))
	if err != nil {
		return eris.Errorf("the internal address can't be listened on: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/readiness", f.readiness)
	web := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}
	talk := &rpc.Server{Handle: f.heard, OnClose: func(c *rpc.Conn) { f.do(func() { delete(f.watchers, c) }) }}
	news, quit := context.WithCancel(context.Background())
	f.wg.Go(func() { web.Serve(readiness) })
	f.wg.Go(func() { talk.Serve(inner) })
	f.wg.Go(func() { f.serve(front) })
	f.wg.Go(f.own)
	f.wg.Go(func() { f.follow(news) })
	f.log.Info().Str("node", f.set.NodeName).Msg("forager: started")
	select {
	case <-ctx.Done():
		f.leave()
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
func (f *Forager) Kill() { close(f.killed) }

// InForce is the version of the configuration that requests are served by, 0 = none yet.
func (f *Forager) InForce() uint64 {
	if now := f.follows.Load(); now != nil {
		return now.version
	}
	return 0
}

// leave serves on until what is open is answered and the platform has had time to send others elsewhere.
func (f *Forager) leave() {
	f.log.Info().Msg("forager: leaving")
	f.draining.Store(true)
	grace := max(boot.Seconds(f.set.Bounds.GracePeriodS)-lastWord, leastStay)
	left := time.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	for range tick.C {
		since := time.Since(left)
		if since > idleKept {
			f.clients.closeIdle()
		}
		if since > leastStay && f.open.Load() == 0 || since > grace {
			break
		}
	}
	tick.Stop()
	f.clients.closeIdle()
}

// readiness says whether this gatherer takes new connections.
func (f *Forager) readiness(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || !f.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
