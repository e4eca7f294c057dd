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

// listenerHarness runs a listener and an http.Server as frontend.serve does, with a handler that echoes requests.
type listenerHarness struct {
	t        testing.TB
	listener *listener
	srv      *http.Server
	addr     string
	gate     chan struct{} // closed to let the requests for /wait be answered
}

// startHarness starts a harness with parking on a new TCP listener.
func startHarness(t testing.TB, descriptors, maxActive int, idle time.Duration) *listenerHarness {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startHarnessOn(t, nl, listenerConfig{descriptors: descriptors, maxActiveConns: maxActive}, idle)
}

// startHarnessOn starts a harness with parking. Connections are parked after 1 ms.
func startHarnessOn(t testing.TB, nl net.Listener, config listenerConfig, idle time.Duration) *listenerHarness {
	r := &listenerHarness{t: t, listener: newListener(nl, config), addr: nl.Addr().String(), gate: make(chan struct{})}
	r.listener.admission.SetParkDelay(1)
	r.listener.enableParking(5000, idle)
	r.serve()
	return r
}

// startUnparkedHarness starts a harness without parking.
func startUnparkedHarness(t testing.TB, nl net.Listener, config listenerConfig) *listenerHarness {
	r := &listenerHarness{t: t, listener: newListener(nl, config), addr: nl.Addr().String(), gate: make(chan struct{})}
	r.serve()
	return r
}

// lastConn returns the connection in the last slot; nil = it is parked or the slot is free.
func (r *listenerHarness) lastConn() *clientConn {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	return r.listener.conns[len(r.listener.conns)-1].conn
}

// serve starts an http.Server on the listener until the test ends.
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

// parked returns the number of parked connections.
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

// until polls a condition until it is true, and fails the test after testTimeout.
func (r *listenerHarness) until(condition string, met func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !met(); runtime.Gosched() {
		if time.Now().After(end) {
			r.t.Fatalf("timeout: not %s", condition)
		}
	}
}

// awaitParked waits until exactly n connections are parked.
func (r *listenerHarness) awaitParked(n int) {
	r.t.Helper()
	r.until(fmt.Sprintf("%d connections parked", n), func() bool { return r.parked() == n })
}

// harnessClient is a client connection to a listenerHarness.
type harnessClient struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

// dial opens a connection, which is closed at the end of the test.
func (r *listenerHarness) dial() *harnessClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &harnessClient{c, r.t, bufio.NewReader(c)}
}

// send writes text to the connection.
func (c *harnessClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads a response within testTimeout.
func (c *harnessClient) readResponse() (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// expect reads a response and checks that it is 200 with a body.
func (c *harnessClient) expect(body string) {
	c.t.Helper()
	if status, got, err := c.readResponse(); err != nil || status != 200 || got != body {
		c.t.Fatalf("got %d %q, %v, want %q", status, got, err, body)
	}
}

// post returns the text of a POST request.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// withPendingRequest sends a request on the parked connection in a slot, and calls f once the request is readable. The
// listener is locked all the time, so that it cannot resume the connection before.
func (r *listenerHarness) withPendingRequest(slot int, c *harnessClient, request string, f func()) {
	r.t.Helper()
	r.listener.mu.Lock()
	fd := int(r.listener.conns[slot].fd)
	c.send(request)
	r.until("request readable", func() bool { readable, _ := idleconn.Peek(fd); return readable })
	f()
	r.listener.mu.Unlock()
}
