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

// Limits of a request, in bytes.
const (
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 16 << 10
)

// readTimeout is the time in which a request must be read completely, from the opening of its connection if it is the
// first. Clients expect an answer or a close if they have not sent one within 3 s.
const readTimeout = 2 * time.Second

// Times of a drain.
const (
	drainDelay = 700 * time.Millisecond // after SIGTERM, in which the protocol allows new requests
	drainGrace = 50 * time.Millisecond  // beyond the longest client timeout
)

// copyBufferSize is the size of the reverse proxy's buffers: most answers fit.
const copyBufferSize = 4 << 10

// Paths of health checks.
const (
	pathReady   = "/-/ready"
	pathHealthy = "/-/healthy"
)

// frontend is the HTTP side. It reads requests completely, answers those that are not for the shards, and hands the
// others to a reverse proxy, whose transport sends them to the dispatcher.
type frontend struct {
	proxy            *httputil.ReverseProxy
	isKnownType      func(queryType string) bool
	maxClientTimeout time.Duration
	retryAfter       balancer.Time // of requests shed here; 0 = none
	memory           *memorybudget.Budget
	customer         func(name string) connadmission.CustomerIndex
	quotas           []float64 // of the customers, in requests per second
	maxActiveConns   int       // 0 = no limit
	connections      operatorconfig.Connections
	hasServers       atomic.Bool // the server list has a server
	draining         atomic.Bool
}

type connKey struct{}

// connOf returns the connection of a request; nil if the server is not this package's.
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

// closeAfterResponse tells the client to close its connection where it is to be closed. During a drain that also holds
// for requests that were open before, or the next one on the connection would be lost.
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
		e.closeConn(endConnectionClose)
	} else if r.Close && e.conn != nil {
		e.conn.setEndReason(endConnectionClose)
	}
	switch r.URL.Path {
	case pathReady:
		e.serveStatus(f.hasServers.Load() && !f.draining.Load())
		return
	case pathHealthy:
		e.serveStatus(true)
		return
	}
	queryType := firstSegment(r.URL.Path)
	if !f.isKnownType(queryType) && r.Header.Get(headerType) != queryType || queryType == "" {
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
	conn *clientConn // nil = the server is not this package's
}

// closeConn lets the response close the connection.
func (e *exchange) closeConn(reason endReason) {
	e.w.Header().Set("Connection", "close")
	if e.conn != nil {
		e.conn.setEndReason(reason)
	}
}

// setReadDeadline limits the reading of the request. The limit also holds where a response is written before the body is
// read, which net/http then reads to its end.
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

// serveStatus answers a health check.
func (e *exchange) serveStatus(ok bool) {
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

// serveRequest admits a request, reads its body and hands it to the reverse proxy.
func (e *exchange) serveRequest() {
	size := cmp.Or(max(e.r.ContentLength, 0), maxBodyBytes)
	reserved := memorybudget.Bytes(bodyCopies * size)
	switch {
	case e.conn != nil && e.conn.isAmbiguous():
		e.closeConn(endBadRequest)
		http.Error(e.w, "the request's length can be read in two ways", http.StatusBadRequest)
		return
	case size > maxBodyBytes:
		e.bodyTooLarge()
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
			e.conn.setEndReason(endLeft)
		}
	}()
	e.proxy.ServeHTTP(e.w, e.r)
}

func (e *exchange) shed(text string) {
	e.closeConn(endOverLimit)
	setRetryAfter(e.w.Header(), e.retryAfter)
	http.Error(e.w, text, http.StatusServiceUnavailable)
}

func (e *exchange) bodyTooLarge() {
	e.closeConn(endConnectionClose)
	http.Error(e.w, "the body is over 64 KiB", http.StatusRequestEntityTooLarge)
}

// readBody reads the body. It reports false if that failed and the request is answered. A request that is incomplete or
// not HTTP is aborted.
func (e *exchange) readBody() ([]byte, bool) {
	if e.conn != nil {
		e.conn.listener.requestStarted(e.conn, e.customer(e.r.Header.Get(headerOwner)))
		e.conn.listener.enterPhase(e.conn, readingBody)
	}
	body, err := readBody(e.w, e.r)
	if e.conn != nil {
		e.conn.listener.enterPhase(e.conn, noPhase)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e.bodyTooLarge()
		return nil, false
	case err != nil:
		if e.conn != nil && errors.Is(err, io.ErrUnexpectedEOF) {
			e.conn.setEndReason(endLeft)
		}
		panic(http.ErrAbortHandler)
	}
	return body, true
}

// readBody reads a body to its end. From then on net/http detects, without the read deadline, when the client
// disconnects.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return b.Bytes(), err
}

// serve serves clients on a listener until ctx is done, then drains: it is not ready, still accepts connections for
// drainDelay, tells clients to close theirs, and waits for open requests up to the longest client timeout.
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
		l.stop() // parked connections end as well
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

// newServer returns the HTTP server of a listener. Its write timeout covers the reading of a request, the longest client
// timeout, and as long again for the writing of the answer.
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

// httpLogWriter logs the messages of net/http.
type httpLogWriter struct{}

func (httpLogWriter) Write(b []byte) (int, error) {
	slog.Info("http", "message", string(bytes.TrimSpace(b)))
	return len(b), nil
}
