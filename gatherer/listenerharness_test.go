//go:build linux

package gatherer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"oxbowspan/internal/idleconn"
)

// listenerHarness is a listener with net/http, as frontend.serve sets them up, and a handler that echoes requests.
type listenerHarness struct {
	t        testing.TB
	listener *listener
	srv      *http.Server
	addr     string
	gate     chan struct{} // requests for /wait are answered once it is closed
}

func startHarness(t testing.TB, descriptors, maxActive int, idle time.Duration) *listenerHarness {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startHarnessOn(t, nl, listenerConfig{descriptors: descriptors, maxActiveConns: maxActive}, idle)
}

func startHarnessOn(t testing.TB, nl net.Listener, config listenerConfig, idle time.Duration) *listenerHarness {
	r := &listenerHarness{t: t, listener: newListener(nl, config), addr: nl.Addr().String(), gate: make(chan struct{})}
	r.listener.admission.SetParkDelay(1)
	r.listener.enableParking(5000, idle)
	r.serve()
	return r
}

// startUnparkedHarness starts a listener that parks nothing.
func startUnparkedHarness(t testing.TB, nl net.Listener, config listenerConfig) *listenerHarness {
	r := &listenerHarness{t: t, listener: newListener(nl, config), addr: nl.Addr().String(), gate: make(chan struct{})}
	r.serve()
	return r
}

// last returns the connection of the last slot; nil = it is parked.
func (r *listenerHarness) last() *clientConn {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	return r.listener.conns[len(r.listener.conns)-1].conn
}

func (r *listenerHarness) serve() {
	r.srv = &http.Server{ReadHeaderTimeout: readTimeout, ConnState: r.listener.connStateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		if q.URL.Path == "/wait" {
			<-r.gate
		}
		fmt.Fprintf(w, "%s %s", q.URL, b)
	})}
	go r.srv.Serve(r.listener)
	go r.srv.Serve(r.listener.resumed)
	r.t.Cleanup(func() {
		r.listener.stop()
		r.srv.Close()
	})
}

func (r *listenerHarness) parked() (n int) {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	for _, h := range r.listener.conns {
		if h.fd != 0 {
			n++
		}
	}
	return n
}

// until waits until a condition is true.
func (r *listenerHarness) until(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !is(); runtime.Gosched() {
		if time.Now().After(end) {
			r.t.Fatalf("timeout: not %s", what)
		}
	}
}

func (r *listenerHarness) awaitParked(n int) {
	r.t.Helper()
	r.until(fmt.Sprintf("%d connections parked", n), func() bool { return r.parked() == n })
}

type harnessClient struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func (r *listenerHarness) dial() *harnessClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &harnessClient{c, r.t, bufio.NewReader(c)}
}

func (c *harnessClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *harnessClient) answer() (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func (c *harnessClient) expect(body string) {
	c.t.Helper()
	if status, got, err := c.answer(); err != nil || status != 200 || got != body {
		c.t.Fatalf("got %d %q, %v, want %q", status, got, err, body)
	}
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// hold locks the listener until a request is unread on a parked connection, and then calls a function under the lock.
func (r *listenerHarness) hold(place int, c *harnessClient, request string, done func()) {
	r.t.Helper()
	r.listener.mu.Lock()
	fd := int(r.listener.conns[place].fd)
	c.send(request)
	r.until("bytes waiting", func() bool { waiting, _ := idleconn.Peek(fd); return waiting })
	done()
	r.listener.mu.Unlock()
}
