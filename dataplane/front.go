package dataplane

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/config"
)

// Default limits for clients. They apply while no configuration is active, and for each limit that the configuration does
// not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 256 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Time limits and sizes of client connections.
const (
	acceptRetryPause        = 20 * time.Millisecond  // after a failed accept, such as for lack of file descriptors
	drainIdleTimeout        = 50 * time.Millisecond  // idle timeout of a connection while the gateway drains
	lastReadTimeout         = time.Millisecond       // for reading what has arrived before an idle connection is closed by a drain
	noConfigRetryAfter      = 200 * time.Millisecond // Retry-After while no configuration is active
	clientDescriptorDivisor = 2                      // clients may use one in this many file descriptors; servers and peers need the rest
)

// activeRoutes provides the active configuration.
type activeRoutes interface {
	load() *activeConfig
}

// requestSink accepts requests of clients. All methods are safe for concurrent use.
type requestSink interface {
	// submit accepts a request; its result will be passed to r.deliver. It reports false once the gateway has stopped.
	submit(r *request) bool
	// clientDisconnected is called when the client of a submitted request has disconnected.
	clientDisconnected(r *request)
}

// frontServer serves clients over HTTP/1.1. Each connection has its own goroutine.
type frontServer struct {
	process  *process
	configs  activeRoutes
	requests requestSink
	stopped  <-chan struct{} // closed when the event loop stops; no results are delivered from then on
	conns    clientConns

	bodies       *bodyMemory
	openRequests atomic.Int64 // requests whose header was read and that are not answered yet
}

func newFrontServer(p *process, configs activeRoutes, requests requestSink, stopped <-chan struct{}) *frontServer {
	return &frontServer{
		process:  p,
		configs:  configs,
		requests: requests,
		stopped:  stopped,
		conns:    newClientConns(),
		bodies:   newBodyMemory(p.settings, p.log),
	}
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
			netConn.Close() // no byte was read, so the client can use another gateway
			continue
		}
		s.process.goroutines.Go(func() {
			s.serveClient(conn)
			netConn.Close()
			s.conns.remove(conn)
		})
	}
}

// maxConns returns the limit of open client connections; 0 = no limit.
func (s *frontServer) maxConns() int {
	return s.process.settings.Limits.FileDescriptors / clientDescriptorDivisor
}

// limits returns the limits currently in effect for clients.
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

// setDefault replaces a value that is not set (zero or negative).
func setDefault[T int | float64](value *T, otherwise T) {
	if *value <= 0 {
		*value = otherwise
	}
}

// serveClient serves the requests of one connection, one at a time and in order, until the connection ends.
func (s *frontServer) serveClient(conn *clientConn) {
	limits := s.limits()
	for first := true; ; first = false {
		conn.busy.Store(false)
		if !s.awaitRequest(conn, limits, first) {
			return
		}
		conn.busy.Store(true)
		conn.configured = s.configs.load() != nil // before the limits are loaded, so that defaults are never taken for limits in force
		limits = s.limits()
		conn.conn.SetReadDeadline(time.Now().Add(fromMillis(limits.HeaderTimeoutMS)))
		if !s.serveRequest(conn, limits) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It reports false if the connection must be closed: it has ended, was idle for as
// long as it may be, or its read was interrupted. limits are those of the last request, by which its client was told the idle timeout. The
// wait is extended if that was raised since, and not shortened if it was lowered.
func (s *frontServer) awaitRequest(conn *clientConn, limits config.Limits, first bool) bool {
	idleSince, timeout := time.Now(), s.idleTimeout(conn, limits, first)
	for {
		conn.conn.SetReadDeadline(idleSince.Add(timeout))
		_, err := conn.reader.Peek(1)
		if err == nil {
			return true
		}
		interrupted := time.Since(idleSince) < timeout
		current := s.idleTimeout(conn, s.limits(), first)
		if !isTimeout(err) || interrupted || current <= timeout {
			return isTimeout(err) && s.process.draining.Load() && s.hasRequest(conn)
		}
		timeout = current
	}
}

// hasRequest reports whether a part of a request has arrived on a connection that would otherwise be closed.
func (s *frontServer) hasRequest(conn *clientConn) bool {
	conn.conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	_, err := conn.reader.Peek(1)
	return err == nil
}

// idleTimeout returns how long a connection may wait for the first byte of a request. The first request of a connection
// must begin within the header timeout.
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

// serveRequest reads one request and answers it. It reports whether the connection can be used for another request.
func (s *frontServer) serveRequest(conn *clientConn, limits config.Limits) bool {
	if !conn.readHeader(limits) {
		return false
	}
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	body, ok := s.bodies.reserve(conn.maxBodyBytes(limits))
	if !ok {
		conn.rejectBody()
		return false
	}
	defer body.release()
	if !conn.readBody(limits) {
		return false
	}
	body.set(conn.takeBody())
	keepAlive := conn.wantsKeepAlive()
	active := s.configs.load()
	if active == nil {
		conn.writeError(fasthttp.StatusServiceUnavailable, textNoConfiguration, noConfigRetryAfter, keepAlive)
		return keepAlive
	}
	r := conn.newRequest(active, body)
	if r == nil {
		return conn.writeError(fasthttp.StatusNotFound, textNoRoute, 0, keepAlive && !s.process.draining.Load()) && keepAlive
	}
	if !s.requests.submit(r) {
		conn.writeError(fasthttp.StatusServiceUnavailable, textDraining, 0, false)
		return false
	}
	res, err := conn.awaitResult(s.stopped)
	if err != nil {
		s.requests.clientDisconnected(r)
		return false
	}
	keepAlive = keepAlive && !s.process.draining.Load()
	written := conn.writeResult(r, res, keepAlive, limits)
	res.release()
	return written && keepAlive
}

// clientConns is the set of open client connections.
type clientConns struct {
	mu   sync.Mutex
	open map[*clientConn]bool
}

func newClientConns() clientConns { return clientConns{open: map[*clientConn]bool{}} }

// add adds a connection. At the limit, an idle connection is evicted first; if there is none, add reports false. Limit 0
// = no limit.
func (s *clientConns) add(conn *clientConn, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && len(s.open) >= limit && !s.evictIdle() {
		return false
	}
	s.open[conn] = true
	return true
}

// evictIdle makes the goroutine of one idle connection close it. It reports false if there is none. The caller holds s.mu.
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

// closeIdle makes the goroutines of all idle connections close them.
func (s *clientConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if !conn.busy.Load() {
			conn.interruptRead()
		}
	}
}

// count returns the number of open connections.
func (s *clientConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// closeAll closes all connections.
func (s *clientConns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.conn.Close()
	}
}
