package dataplane

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/config"
)

// Limits for clients that hold while no configuration is active, and where it states none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 256 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Timing and bounds of clients' connections.
const (
	minClientBuffer   = 4096                  // bytes
	acceptRetryPause  = 20 * time.Millisecond // after a failure to accept, such as for lack of descriptors
	drainIdleTimeout  = 50 * time.Millisecond // of an idle connection while the gateway drains
	noConfigRetry     = 200 * time.Millisecond
	descriptorDivisor = 2 // clients may hold one in so many file descriptors; servers and peers need the rest
)

// activeRoutes provides the active configuration.
type activeRoutes interface {
	load() *activeConfig
}

// requestSink takes clients' requests.
type requestSink interface {
	// submit takes a request; its result will be passed to r.deliver. It reports false once the gateway has stopped.
	submit(r *request) bool
	// abandonedByClient takes that the client of a submitted request has left.
	abandonedByClient(r *request)
}

// frontServer serves clients over HTTP/1.1, each connection on a goroutine of its own.
type frontServer struct {
	process  *process
	configs  activeRoutes
	requests requestSink
	stopped  <-chan struct{} // closed when no result comes any more
	conns    clientConns

	openRequests atomic.Int64 // requests read and not answered
}

func newFrontServer(p *process, configs activeRoutes, requests requestSink, stopped <-chan struct{}) *frontServer {
	return &frontServer{process: p, configs: configs, requests: requests, stopped: stopped, conns: newClientConns()}
}

// serve accepts connections until the listener is closed.
func (s *frontServer) serve(listener net.Listener) {
	for {
		netConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		conn := newClientConn(netConn)
		if !s.conns.add(conn, s.maxConns()) {
			netConn.Close() // nothing was read: its client goes elsewhere
			continue
		}
		s.process.goroutines.Go(func() {
			s.serveClient(conn)
			netConn.Close()
			s.conns.remove(conn)
		})
	}
}

// maxConns returns how many connections clients may hold; 0 = no limit.
func (s *frontServer) maxConns() int {
	return s.process.settings.Limits.FileDescriptors / descriptorDivisor
}

// limits returns the limits that apply to clients now.
func (s *frontServer) limits() config.Limits {
	limits := config.Limits{}
	if active := s.configs.load(); active != nil {
		limits = active.table.Limits
	}
	setDefault(&limits.HeaderBytes, defaultHeaderBytes)
	setDefault(&limits.BodyBytes, defaultBodyBytes)
	setDefault(&limits.HeaderTimeoutMS, float64(defaultHeaderTimeout/time.Millisecond))
	setDefault(&limits.IdleTimeoutMS, float64(defaultIdleTimeout/time.Millisecond))
	return limits
}

func setDefault[T int | float64](value *T, otherwise T) {
	if *value <= 0 {
		*value = otherwise
	}
}

// serveClient serves one connection: its requests one after another, answered in their order.
func (s *frontServer) serveClient(conn *clientConn) {
	limits := s.limits()
	conn.reader = bufio.NewReaderSize(conn.conn, max(minClientBuffer, limits.HeaderBytes))
	for first := true; ; first = false {
		conn.busy.Store(false)
		conn.conn.SetReadDeadline(time.Now().Add(s.idleTimeout(conn, limits, first)))
		if _, err := conn.reader.Peek(1); err != nil {
			return
		}
		conn.busy.Store(true)
		limits = s.limits()
		conn.conn.SetReadDeadline(time.Now().Add(fromMillis(limits.HeaderTimeoutMS)))
		if !s.serveRequest(conn, limits) {
			return
		}
	}
}

// idleTimeout returns how long a connection may wait for the first byte of a request.
func (s *frontServer) idleTimeout(conn *clientConn, limits config.Limits, first bool) time.Duration {
	timeout := fromMillis(limits.IdleTimeoutMS)
	if first {
		return min(timeout, fromMillis(limits.HeaderTimeoutMS))
	}
	if s.process.draining.Load() && conn.reader.Buffered() == 0 {
		return min(timeout, drainIdleTimeout)
	}
	return timeout
}

// serveRequest reads one request and answers it. It reports whether the connection may carry another.
func (s *frontServer) serveRequest(conn *clientConn, limits config.Limits) bool {
	if !conn.readHeader(limits) {
		return false
	}
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	if !conn.readBody(limits) {
		return false
	}
	keep := conn.wantsKeepAlive()
	active := s.configs.load()
	if active == nil {
		conn.writeError(fasthttp.StatusServiceUnavailable, textNoConfiguration, noConfigRetry, keep)
		return keep
	}
	r := conn.newRequest(active)
	if r == nil {
		return conn.writeError(fasthttp.StatusNotFound, textNoRoute, 0, keep && !s.process.draining.Load()) && keep
	}
	if !s.requests.submit(r) {
		conn.writeError(fasthttp.StatusServiceUnavailable, textDraining, 0, false)
		return false
	}
	outcome, err := conn.awaitResult(s.stopped)
	if err != nil {
		s.requests.abandonedByClient(r)
		return false
	}
	keep = keep && !s.process.draining.Load()
	written := conn.writeResult(r, outcome, keep, limits)
	outcome.release()
	return written && keep
}

// clientConns is the set of the clients' open connections.
type clientConns struct {
	mu   sync.Mutex
	open map[*clientConn]bool
}

func newClientConns() clientConns { return clientConns{open: map[*clientConn]bool{}} }

// add takes a connection. At the limit an idle connection is evicted for it; where there is none, add reports false. Limit 0 = none.
func (s *clientConns) add(conn *clientConn, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && len(s.open) >= limit && !s.evictIdle() {
		return false
	}
	s.open[conn] = true
	return true
}

// evictIdle makes one idle connection close. The caller holds the lock.
func (s *clientConns) evictIdle() bool {
	for conn := range s.open {
		if !conn.busy.Load() && !conn.evicted {
			conn.evicted = true
			conn.interruptRead()
			return true
		}
	}
	return false
}

func (s *clientConns) remove(conn *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// closeIdle makes the connections close that carry no request.
func (s *clientConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if !conn.busy.Load() {
			conn.interruptRead()
		}
	}
}

// closeAll closes all connections.
func (s *clientConns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.conn.Close()
	}
}
