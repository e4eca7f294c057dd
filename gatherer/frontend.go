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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/connadmission"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/memorybudget"
)

// maxBodyBytes is the most that a request's body may have, maxHeaderBytes its head.
const (
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 16 << 10
)

// readTimeout is what a request may take to come whole, the first one from its connection's beginning: whoever has not
// sent one within 3 s is owed an answer or a close.
const readTimeout = 2 * time.Second

// frontend is the HTTP side: it reads requests whole, answers what is no search, and hands searches to the reverse
// proxy, whose transport asks the module.
type frontend struct {
	proxy            *httputil.ReverseProxy
	isKnownType      func(queryType string) bool
	maxClientTimeout time.Duration // client timeout
	retryAfter       balancer.Time // to clients that are shed here; 0 = none
	memory           *memorybudget.Budget
	customer         func(name string) connadmission.CustomerIndex
	quotas           []float64 // the customers' shares of searches
	maxActiveConns   int       // connections that memory lets be awake at once; 0 = no limit
	connections      operatorconfig.Connections
	hasServers       atomic.Bool // a list with a server is held
	draining         atomic.Bool
}

type connKey struct{}

func newFrontend(t *transport, longest time.Duration, held *memorybudget.Budget) *frontend {
	f := &frontend{maxClientTimeout: longest, memory: held, isKnownType: t.isKnownType, customer: t.customerIndex, retryAfter: t.deployment.Balancer.MaxRetryAfter}
	for _, c := range t.deployment.Balancer.Customers {
		f.quotas = append(f.quotas, c.QuotaPerSecond)
	}
	f.proxy = &httputil.ReverseProxy{
		Transport: t,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: r.In.Host}) },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) {
			panic(http.ErrAbortHandler) // the client has left: there is nobody to answer
		},
		ErrorLog: log.New(httpLogWriter{}, "", 0),
		// A drain that begins while a search is open must still tell its client to close, or what the client sends
		// next on the connection finds nobody.
		ModifyResponse: func(res *http.Response) error {
			c, _ := res.Request.Context().Value(connKey{}).(*clientConn)
			if f.draining.Load() || c != nil && c.listener.shouldClose(c) {
				res.Header.Set("Connection", "close")
				if c != nil {
					c.setEndReason(endConnectionClose)
				}
			}
			return nil
		},
		BufferPool: &bufferPool{sync.Pool{New: func() any { return make([]byte, 4<<10) }}},
	}
	return f
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	end := func(why string) {
		w.Header().Set("Connection", "close")
		if c != nil {
			c.setEndReason(why)
		}
	}
	// The limit stands also where an answer goes out before the body is in, which net/http then reads to its end.
	by := time.Now().Add(readTimeout)
	if c != nil {
		by = c.readDeadline()
	}
	if err := http.NewResponseController(w).SetReadDeadline(by); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	if f.draining.Load() {
		end(endConnectionClose)
	} else if r.Close && c != nil {
		c.setEndReason(endConnectionClose)
	}
	switch r.URL.Path {
	case "/-/ready":
		f.serveStatus(w, r, f.hasServers.Load() && !f.draining.Load())
		return
	case "/-/healthy":
		f.serveStatus(w, r, true)
		return
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !f.isKnownType(first) && r.Header.Get("Req-Kind") != first || first == "" {
		http.Error(w, "there is nothing under this path", http.StatusNotFound)
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "a search is a POST", http.StatusMethodNotAllowed)
		return
	}
	size := cmp.Or(max(r.ContentLength, 0), maxBodyBytes)
	switch {
	case c != nil && c.isAmbiguous():
		end(endBadRequest)
		http.Error(w, "the request's length can be read in two ways", http.StatusBadRequest)
		return
	case size > maxBodyBytes:
		f.bodyTooLarge(w, end)
		return
	case c != nil && c.overLimit:
		end(endOverLimit)
		setRetryAfter(w.Header(), f.retryAfter)
		http.Error(w, "too many connections, asking again is harmless", http.StatusServiceUnavailable)
		return
	case !f.memory.Reserve(memorybudget.Bodies, memorybudget.Bytes(bodyCopies*size)):
		end(endOverLimit)
		setRetryAfter(w.Header(), f.retryAfter)
		http.Error(w, "too much is held, asking again is harmless", http.StatusServiceUnavailable)
		return
	}
	defer f.memory.Release(memorybudget.Bodies, memorybudget.Bytes(bodyCopies*size))
	if c != nil {
		c.listener.requestStarted(c, f.customer(r.Header.Get("Req-Owner")))
		c.listener.enterPhase(c, readingBody)
	}
	b, err := readBody(w, r)
	if c != nil {
		c.listener.enterPhase(c, noPhase)
	}
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		f.bodyTooLarge(w, end)
		return
	case err != nil: // not whole in time, broken off or not HTTP: no request was taken
		if c != nil && errors.Is(err, io.ErrUnexpectedEOF) {
			c.setEndReason(endLeft)
		}
		panic(http.ErrAbortHandler)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
	defer func() {
		if r.Context().Err() != nil && c != nil {
			c.setEndReason(endLeft)
		}
	}()
	f.proxy.ServeHTTP(w, r)
}

func (f *frontend) bodyTooLarge(w http.ResponseWriter, end func(string)) {
	end(endConnectionClose)
	http.Error(w, "the body is over 64 KiB", http.StatusRequestEntityTooLarge)
}

// readBody reads a body to its end. From then on net/http watches, without the read limit, for the client's leaving.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return b.Bytes(), err
}

func (f *frontend) serveStatus(w http.ResponseWriter, r *http.Request, good bool) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "ask with GET", http.StatusMethodNotAllowed)
		return
	}
	if !good {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// serve answers clients on l until ctx is done, then drains: not ready, new connections still accepted while
// they keep coming, kept ones told to close, and at last all that is open finished, for at most so long.
func (f *frontend) serve(ctx context.Context, nl net.Listener, share int, longest time.Duration) error {
	l := newListener(nl, listenerConfig{descriptors: share, quotas: f.quotas, maxActiveConns: f.maxActiveConns, memory: f.memory, connections: f.connections})
	if f.connections.Park {
		l.enableParking(f.retryAfter, f.connections.Idle)
	}
	// The write limit covers all three: a request may take the read limit to come, the longest client timeout to be
	// answered, and its answer as long again to be read.
	srv := &http.Server{Handler: f, ReadHeaderTimeout: readTimeout, WriteTimeout: readTimeout + 2*f.maxClientTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: l.connStateChanged, ErrorLog: log.New(httpLogWriter{}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(l) }()
	go func() { failed <- srv.Serve(l.resumed) }()
	select {
	case err := <-failed:
		l.stop() // what is parked, and who waits for it, end with this too
		srv.Close()
		return err
	case <-ctx.Done():
	}
	f.draining.Store(true) // before the log says so
	slog.Info("drain_begin")
	time.Sleep(drainDelay)
	l.stop()
	end, cancel := context.WithTimeout(context.Background(), longest+drainGrace)
	defer cancel()
	err := srv.Shutdown(end)
	if err != nil {
		srv.Close()
	}
	what := ""
	if err != nil {
		what = err.Error()
	}
	slog.Info("drain_end", "error", what)
	return err
}

// drainDelay is how long after SIGTERM requests may still come (the protocol says 0.7 s at the latest);
// drainGrace is what their answers may take beyond the longest client timeout.
const (
	drainDelay = 700 * time.Millisecond
	drainGrace = 50 * time.Millisecond
)

// bufferPool lends the reverse proxy small buffers: an answer is seldom larger.
type bufferPool struct{ p sync.Pool }

func (b *bufferPool) Get() []byte  { return b.p.Get().([]byte) }
func (b *bufferPool) Put(x []byte) { b.p.Put(x) }

// httpLogWriter turns net/http's own messages into key=value lines.
type httpLogWriter struct{}

func (httpLogWriter) Write(b []byte) (int, error) {
	slog.Info("http", "message", string(bytes.TrimSpace(b)))
	return len(b), nil
}
