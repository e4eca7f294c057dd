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

// mostBody is the most that a request's body may have, mostHead its head.
const (
	mostBody = 64 << 10
	mostHead = 16 << 10
)

// readLimit is what a request may take to come whole, the first one from its connection's beginning: whoever has not
// sent one within 3 s is owed an answer or a close.
const readLimit = 2 * time.Second

// front is the HTTP side: it reads requests whole, answers what is no search, and hands searches to the reverse
// proxy, whose transport asks the module.
type front struct {
	proxy    *httputil.ReverseProxy
	known    func(queryType string) bool
	longest  time.Duration // client timeout
	advice   balancer.Time // to clients that are shed here; 0 = none
	held     *memorybudget.Ledger
	customer func(name string) connadmission.Customer
	shares   []float64 // the customers' shares of searches
	awake    int       // connections that memory lets be awake at once; 0 = no limit
	doors    operatorconfig.Connections
	listed   atomic.Bool // a list with a server is held
	draining atomic.Bool
}

type connKey struct{}

func newFront(t *transport, longest time.Duration, held *memorybudget.Ledger) *front {
	f := &front{longest: longest, held: held, known: t.known, customer: t.customer, advice: t.d.Balancer.MaxRetryAfter}
	for _, c := range t.d.Balancer.Customers {
		f.shares = append(f.shares, c.QuotaPerSecond)
	}
	f.proxy = &httputil.ReverseProxy{
		Transport: t,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: r.In.Host}) },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) {
			panic(http.ErrAbortHandler) // the client has left: there is nobody to answer
		},
		ErrorLog: log.New(httpLog{}, "", 0),
		// A drain that begins while a search is open must still tell its client to close, or what the client sends
		// next on the connection finds nobody.
		ModifyResponse: func(res *http.Response) error {
			c, _ := res.Request.Context().Value(connKey{}).(*clientConn)
			if f.draining.Load() || c != nil && c.l.releases(c) {
				res.Header.Set("Connection", "close")
				if c != nil {
					c.because(endToldClose)
				}
			}
			return nil
		},
		BufferPool: &buffers{sync.Pool{New: func() any { return make([]byte, 4<<10) }}},
	}
	return f
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	end := func(why string) {
		w.Header().Set("Connection", "close")
		if c != nil {
			c.because(why)
		}
	}
	// The limit stands also where an answer goes out before the body is in, which net/http then reads to its end.
	by := time.Now().Add(readLimit)
	if c != nil {
		by = c.readBy()
	}
	if err := http.NewResponseController(w).SetReadDeadline(by); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	if f.draining.Load() {
		end(endToldClose)
	} else if r.Close && c != nil {
		c.because(endToldClose)
	}
	switch r.URL.Path {
	case "/-/ready":
		f.state(w, r, f.listed.Load() && !f.draining.Load())
		return
	case "/-/healthy":
		f.state(w, r, true)
		return
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !f.known(first) && r.Header.Get("Req-Kind") != first || first == "" {
		http.Error(w, "there is nothing under this path", http.StatusNotFound)
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "a search is a POST", http.StatusMethodNotAllowed)
		return
	}
	size := cmp.Or(max(r.ContentLength, 0), mostBody)
	switch {
	case c != nil && c.doubtful():
		end(endBadRequest)
		http.Error(w, "the request's length can be read in two ways", http.StatusBadRequest)
		return
	case size > mostBody:
		f.tooLong(w, end)
		return
	case c != nil && c.over:
		end(endOverLimit)
		advise(w.Header(), f.advice)
		http.Error(w, "too many connections, asking again is harmless", http.StatusServiceUnavailable)
		return
	case !f.held.Take(memorybudget.Bodies, memorybudget.Bytes(bodyTimes*size)):
		end(endOverLimit)
		advise(w.Header(), f.advice)
		http.Error(w, "too much is held, asking again is harmless", http.StatusServiceUnavailable)
		return
	}
	defer f.held.Give(memorybudget.Bodies, memorybudget.Bytes(bodyTimes*size))
	if c != nil {
		c.l.searches(c, f.customer(r.Header.Get("Req-Owner")))
		c.l.enter(c, readsBody)
	}
	b, err := read(w, r)
	if c != nil {
		c.l.enter(c, noPhase)
	}
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		f.tooLong(w, end)
		return
	case err != nil: // not whole in time, broken off or not HTTP: no request was taken
		if c != nil && errors.Is(err, io.ErrUnexpectedEOF) {
			c.because(endLeft)
		}
		panic(http.ErrAbortHandler)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
	defer func() {
		if r.Context().Err() != nil && c != nil {
			c.because(endLeft)
		}
	}()
	f.proxy.ServeHTTP(w, r)
}

func (f *front) tooLong(w http.ResponseWriter, end func(string)) {
	end(endToldClose)
	http.Error(w, "the body is over 64 KiB", http.StatusRequestEntityTooLarge)
}

// read reads a body to its end. From then on net/http watches, without the read limit, for the client's leaving.
func read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, mostBody))
	return b.Bytes(), err
}

func (f *front) state(w http.ResponseWriter, r *http.Request, good bool) {
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
func (f *front) serve(ctx context.Context, nl net.Listener, share int, longest time.Duration) error {
	l := newListener(nl, terms{share: share, customers: f.shares, awake: f.awake, held: f.held, doors: f.doors})
	if f.doors.Park {
		l.parks(f.advice, f.doors.Idle)
	}
	// The write limit covers all three: a request may take the read limit to come, the longest client timeout to be
	// answered, and its answer as long again to be read.
	srv := &http.Server{Handler: f, ReadHeaderTimeout: readLimit, WriteTimeout: readLimit + 2*f.longest, MaxHeaderBytes: mostHead,
		ConnState: l.state, ErrorLog: log.New(httpLog{}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(l) }()
	go func() { failed <- srv.Serve(l.woken) }()
	select {
	case err := <-failed:
		l.stop() // what is parked, and who waits for it, end with this too
		srv.Close()
		return err
	case <-ctx.Done():
	}
	f.draining.Store(true) // before the log says so
	slog.Info("drain_begin")
	time.Sleep(stillComing)
	l.stop()
	end, cancel := context.WithTimeout(context.Background(), longest+lastGrace)
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

// stillComing is how long after SIGTERM requests may still come (the protocol says 0.7 s at the latest);
// lastGrace is what their answers may take beyond the longest client timeout.
const (
	stillComing = 700 * time.Millisecond
	lastGrace   = 50 * time.Millisecond
)

// buffers lends the reverse proxy small buffers: an answer is seldom larger.
type buffers struct{ p sync.Pool }

func (b *buffers) Get() []byte  { return b.p.Get().([]byte) }
func (b *buffers) Put(x []byte) { b.p.Put(x) }

// httpLog turns net/http's own messages into key=value lines.
type httpLog struct{}

func (httpLog) Write(b []byte) (int, error) {
	slog.Info("http", "message", string(bytes.TrimSpace(b)))
	return len(b), nil
}
