package gatherer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/connadmission"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/memorybudget"
)

// Size limits of a request, in bytes.
const (
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 16 << 10
)

// readTimeout is the time within which a request must be read completely. For the first request of a connection it
// counts from the opening of the connection. Clients that have not sent a complete request within 3 s expect a response
// or a close.
const readTimeout = 2 * time.Second

// Durations of a drain.
const (
	drainDelay = 700 * time.Millisecond // after SIGTERM: the time in which the protocol still allows new requests
	drainGrace = 50 * time.Millisecond  // waited for open requests beyond the longest client timeout
)

// copyBufferSize is the size in bytes of the reverse proxy's buffers. Most answers fit in one.
const copyBufferSize = 4 << 10

// Paths of health checks.
const (
	pathReady   = "/-/ready"
	pathHealthy = "/-/healthy"
)

// frontend is the http.Handler for clients. It reads each request completely, responds to health checks and invalid
// requests itself, and passes the others to a reverse proxy, whose transport sends them to the dispatcher.
type frontend struct {
	proxy            *httputil.ReverseProxy
	isKnownType      func(queryType string) bool
	maxClientTimeout time.Duration
	retryAfter       balancer.Time // Retry-After of requests shed here; 0 = none
	memory           *memorybudget.Budget
	customer         func(name string) connadmission.CustomerIndex
	quotas           []float64 // of the customers, in requests per second
	maxActiveConns   int       // 0 = no limit
	connections      operatorconfig.Connections
	hasServers       atomic.Bool // a server list with at least one server was received
	draining         atomic.Bool
}

// connKey is the context key of a request's *clientConn.
type connKey struct{}

// connOf returns the connection of a request; nil if it is not served through a listener of this package.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

func newFrontend(t *transport, maxClientTimeout time.Duration, memory *memorybudget.Budget) *frontend {
	f := &frontend{maxClientTimeout: maxClientTimeout, memory: memory, isKnownType: t.isKnownType,
		customer: t.customerIndex, retryAfter: t.deployment.Balancer.MaxRetryAfter}
	for _, c := range t.deployment.Balancer.Customers {
		f.quotas = append(f.quotas, c.QuotaPerSecond)
	}
	f.proxy = &httputil.ReverseProxy{
		Transport: t,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: r.In.Host}) },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) {
			panic(http.ErrAbortHandler) // the client has disconnected
		},
		ErrorLog:       log.New(httpLogWriter{}, "", 0),
		ModifyResponse: f.closeAfterResponse,
		BufferPool:     newBufferPool(),
	}
	return f
}

// closeAfterResponse sets Connection: close on a response if the connection is to be closed after it. During a drain
// this includes the responses to requests that were open before, or the next request on the connection would be lost.
func (f *frontend) closeAfterResponse(res *http.Response) error {
	c := connOf(res.Request)
	if f.draining.Load() || c != nil && c.listener.shouldClose(c) {
		res.Header.Set("Connection", "close")
		if c != nil {
			c.setEndReason(endConnectionClose)
		}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := exchange{f, w, r, connOf(r)}
	e.setReadDeadline()
	if f.draining.Load() {
		e.closeConnAfterResponse(endConnectionClose)
	} else if r.Close && e.conn != nil {
		e.conn.setEndReason(endConnectionClose)
	}
	switch r.URL.Path {
	case pathReady:
		e.serveHealthCheck(f.hasServers.Load() && !f.draining.Load())
		return
	case pathHealthy:
		e.serveHealthCheck(true)
		return
	}
	queryType := firstSegment(r.URL.Path)
	if !f.isKnownType(queryType) && r.Header.Get(headerQueryType) != queryType || queryType == "" {
		http.Error(w, "there is nothing under this path", http.StatusNotFound)
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "a search is a POST", http.StatusMethodNotAllowed)
		return
	}
	e.serveRequest()
}

// exchange is one request of a client and its response.
type exchange struct {
	*frontend
	w    http.ResponseWriter
	r    *http.Request
	conn *clientConn // nil = not served through a listener of this package
}

// closeConnAfterResponse sets Connection: close on the response and records the reason.
func (e *exchange) closeConnAfterResponse(reason endReason) {
	e.w.Header().Set("Connection", "close")
	if e.conn != nil {
		e.conn.setEndReason(reason)
	}
}

// setReadDeadline sets the deadline for reading the request. It also applies if a response is written before the body
// is read, as net/http then reads the body to its end.
func (e *exchange) setReadDeadline() {
	deadline := time.Now().Add(readTimeout)
	if e.conn != nil {
		deadline = e.conn.readDeadline()
	}
	err := http.NewResponseController(e.w).SetReadDeadline(deadline)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
}

// serveHealthCheck responds to a health check with 200 if ok, or else with 503.
func (e *exchange) serveHealthCheck(ok bool) {
	if e.r.Method != http.MethodGet && e.r.Method != http.MethodHead {
		e.w.Header().Set("Allow", "GET, HEAD")
		http.Error(e.w, "ask with GET", http.StatusMethodNotAllowed)
		return
	}
	if !ok {
		http.Error(e.w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(e.w, "ok\n")
}

// serveRequest checks a request against the limits, reads its body and passes it to the reverse proxy.
func (e *exchange) serveRequest() {
	size := cmp.Or(max(e.r.ContentLength, 0), maxBodyBytes)
	reserved := memorybudget.Bytes(bodyCopies * size)
	switch {
	case e.conn != nil && e.conn.isAmbiguous():
		e.closeConnAfterResponse(endBadRequest)
		http.Error(e.w, "the request's length can be read in two ways", http.StatusBadRequest)
		return
	case size > maxBodyBytes:
		e.rejectLargeBody()
		return
	case e.conn != nil && e.conn.overLimit:
		e.shed("too many connections, asking again is harmless")
		return
	case !e.memory.Reserve(memorybudget.Bodies, reserved):
		e.shed("too much is held, asking again is harmless")
		return
	}
	defer e.memory.Release(memorybudget.Bodies, reserved)
	body, ok := e.readBody()
	if !ok {
		return
	}
	e.r.Body, e.r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	defer func() {
		if e.r.Context().Err() != nil && e.conn != nil {
			e.conn.setEndReason(endClientLeft)
		}
	}()
	e.proxy.ServeHTTP(e.w, e.r)
}

// shed responds with 503 and a Retry-After, and closes the connection.
func (e *exchange) shed(text string) {
	e.closeConnAfterResponse(endOverLimit)
	setRetryAfter(e.w.Header(), e.retryAfter)
	http.Error(e.w, text, http.StatusServiceUnavailable)
}

// rejectLargeBody responds with 413 and closes the connection.
func (e *exchange) rejectLargeBody() {
	e.closeConnAfterResponse(endConnectionClose)
	http.Error(e.w, "the body is over 64 KiB", http.StatusRequestEntityTooLarge)
}

// readBody reads the body. It reports false if the body was too large, after the response to that is written. If the
// body is incomplete or invalid, it aborts the request by a panic with http.ErrAbortHandler.
func (e *exchange) readBody() ([]byte, bool) {
	if e.conn != nil {
		e.conn.listener.requestStarted(e.conn, e.customer(e.r.Header.Get(headerCustomer)))
		e.conn.listener.enterPhase(e.conn, readingBody)
	}
	body, err := readBody(e.w, e.r)
	if e.conn != nil {
		e.conn.listener.enterPhase(e.conn, noPhase)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e.rejectLargeBody()
		return nil, false
	case err != nil:
		if e.conn != nil && errors.Is(err, io.ErrUnexpectedEOF) {
			e.conn.setEndReason(endClientLeft)
		}
		panic(http.ErrAbortHandler)
	}
	return body, true
}

// readBody reads a body of at most maxBodyBytes to its end. From then on net/http detects a disconnect of the client,
// and the read deadline no longer applies.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return b.Bytes(), err
}

// serve serves clients on a listener until ctx is done and then drains. During a drain the readiness check fails,
// connections are accepted for drainDelay, responses ask clients to close their connections, and open requests are
// waited for up to the longest client timeout and drainGrace.
func (f *frontend) serve(ctx context.Context, nl net.Listener, descriptors int, maxClientTimeout time.Duration) error {
	l := newListener(nl, listenerConfig{descriptors: descriptors, quotas: f.quotas, maxActiveConns: f.maxActiveConns,
		memory: f.memory, connections: f.connections})
	if f.connections.ReleaseIdle {
		l.enableParking(f.retryAfter, f.connections.IdleTimeout)
	}
	srv := f.newServer(l)
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(l) }()
	go func() { failed <- srv.Serve(l.resumed) }()
	select {
	case err := <-failed:
		l.stop() // closes the parked connections as well
		srv.Close()
		return err
	case <-ctx.Done():
	}
	f.draining.Store(true) // before it is logged
	slog.Info("drain_begin")
	time.Sleep(drainDelay)
	l.stop()
	deadline, cancel := context.WithTimeout(context.Background(), maxClientTimeout+drainGrace)
	defer cancel()
	err := srv.Shutdown(deadline)
	detail := ""
	if err != nil {
		srv.Close()
		detail = err.Error()
	}
	slog.Info("drain_end", "error", detail)
	return err
}

// newServer returns the HTTP server of a listener. Its write timeout covers reading a request, the longest client
// timeout, and the same time again for writing the answer.
func (f *frontend) newServer(l *listener) *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      readTimeout + 2*f.maxClientTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.connStateChanged,
		ErrorLog:          log.New(httpLogWriter{}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// bufferPool is the httputil.BufferPool of the reverse proxy.
type bufferPool struct{ pool sync.Pool }

func newBufferPool() *bufferPool {
	return &bufferPool{sync.Pool{New: func() any {
		b := make([]byte, copyBufferSize)
		return &b
	}}}
}

// Get implements httputil.BufferPool.
func (p *bufferPool) Get() []byte { return *p.pool.Get().(*[]byte) }

// Put implements httputil.BufferPool.
func (p *bufferPool) Put(b []byte) { p.pool.Put(&b) }

// httpLogWriter is an io.Writer that logs the error messages of net/http.
type httpLogWriter struct{}

func (httpLogWriter) Write(b []byte) (int, error) {
	slog.Info("http", "message", string(bytes.TrimSpace(b)))
	return len(b), nil
}
