package gatherer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/testing/standin"
	"oxbowspan/memorybudget"
)

// Connections that send nothing, or only part of a request line, must not delay other clients and must be closed within
// 3 s.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := startProgram(t, startDiscovery(t, a), func(s *Config) { s.Limits.Descriptors = 64 })
	began := time.Now()
	var silent []net.Conn
	for i := range 100 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if silent = append(silent, c); i%2 == 0 {
			io.WriteString(c, "POST /lookup HTT")
		}
	}
	for range 10 {
		if status, body, _ := p.sendRequest("lookup", 0); status != 200 || body != completeAnswer(0) {
			t.Errorf("a client beside silent connections got %d %s", status, body)
		}
	}
	if took := time.Since(began); took > readTimeout/2 {
		t.Errorf("a client waited %v", took)
	}
	for _, c := range silent {
		c.SetReadDeadline(began.Add(3 * time.Second))
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a silent connection is still open after 3 s")
		}
	}
}

func TestConnectionLimit(t *testing.T) {
	p := startProgram(t, startDiscovery(t, startShard(t, "s-a", nil)), func(s *Config) {
		s.Limits.Descriptors = 64
	})
	clients, servers := Limits{Descriptors: 64}.splitDescriptors()
	var conns []net.Conn
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		return c
	}
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	// Incomplete requests use up the descriptors for clients. Another client is shed at once, and the descriptors for
	// servers are not used.
	for range clients - max(clients/8, 1) {
		c := dial()
		fmt.Fprintf(c, "POST /lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nExpect: 100-continue\r\n\r\n")
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusContinue {
			t.Fatalf("got %v, %v", res, err)
		}
	}
	for range 3 {
		c := dial()
		r, _ := newRequest(context.Background(), p.addr, "lookup", 0)
		if err := r.Write(c); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(c), r)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusServiceUnavailable || !res.Close ||
			!strings.Contains(string(b), "too many connections") {
			t.Errorf("above the limit a client got %d %s, close %v", res.StatusCode, b, res.Close)
		}
	}
	p.awaitLogLine("event=client_conn_end", "reason=over_limit")
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil || len(open) > 64-servers {
		t.Errorf("%d descriptors in use, of 64 with %d for servers; %v", len(open), servers, err)
	}
	// Clients that disconnect free descriptors, and an idle connection is evicted for a new one.
	for _, c := range conns {
		c.Close()
	}
	conns = nil
	var idle net.Conn
	for range clients + 3 {
		c := dial()
		fmt.Fprintf(c, "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n")
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != 200 &&
			res.StatusCode != 503 {
			t.Fatalf("got %v, %v", res, err)
		}
		if idle == nil {
			idle = c
		}
	}
	p.awaitLogLine("event=client_conn_end", "reason=made_room")
}

// Clients that send one request and keep their connection open would use up all descriptors (incident r776d5d). Above a
// threshold of idle connections, the first response therefore closes its connection. A connection with more requests
// stays.
func TestIdleConnectionsPastThresholdAreClosed(t *testing.T) {
	p := startProgram(t, startDiscovery(t, startShard(t, "s-a", nil)), func(s *Config) { s.Limits.Descriptors = 256 })
	clients, _ := Limits{Descriptors: 256}.splitDescriptors()
	ask := func(c net.Conn) bool {
		t.Helper()
		r, _ := newRequest(context.Background(), p.addr, "lookup", 0)
		if err := r.Write(c); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(c), r)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("got %v, %v", res, err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		return res.Close
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	steady := dial()
	for range 2 {
		if ask(steady) {
			t.Error("the only connection is closed")
		}
	}
	released, kept := 0, 0
	for range clients {
		if ask(dial()) {
			released++
		} else {
			kept++
		}
	}
	if kept > clients/idleOneShotDivisor+1 || released == 0 {
		t.Errorf("%d connections with one request are kept, %d closed, %d may be idle",
			kept, released, clients/idleOneShotDivisor)
	}
	if ask(steady) {
		t.Error("a connection with many requests is closed")
	}
	p.awaitLogLine("event=client_conn_end", "reason=told_close", "requests=1")
}

// newBodyBudget returns a memory budget that limits bodies only, in bytes; 0 = no limit.
func newBodyBudget(bodies memorybudget.Bytes) *memorybudget.Budget {
	var f memorybudget.Options
	f.Limits[memorybudget.Bodies].Max = bodies
	return memorybudget.New(f, nil)
}

// The descriptors must suffice for a third of all for clients and for a connection to each server of a cluster.
func TestServerDescriptorShare(t *testing.T) {
	for _, c := range []struct{ sockets, hosts int }{{512, 200}, {640, 200}, {256, 100}, {1024, 400}} {
		clients, servers := Limits{Descriptors: float64(c.sockets)}.splitDescriptors()
		if servers < c.hosts || clients < c.sockets/3 || clients+servers > c.sockets-reservedDescriptors {
			t.Errorf("of %d descriptors %d are for clients and %d for servers, want at least a third and %d",
				c.sockets, clients, servers, c.hosts)
		}
	}
}

// serverDescriptors returns the descriptors for servers.
func serverDescriptors(l Limits) int {
	_, servers := l.splitDescriptors()
	return servers
}

// The response to a shed request has a Retry-After, even if it comes after the read timeout.
func TestShedSetsRetryAfter(t *testing.T) {
	d, err := balancerconfig.FromJSON([]byte(testSettings), 0)
	if err != nil {
		t.Fatal(err)
	}
	inbox := mailbox{make(chan message, 1), make(chan struct{})}
	srv := httptest.NewServer(newFrontend(newTransport(d, inbox, newBodyBudget(0)), time.Second, newBodyBudget(0)))
	defer srv.Close()
	go func() {
		s := (<-inbox.messages).(requestArrived).request
		time.AfterFunc(readTimeout+readTimeout/8, func() { s.result <- result{kind: resultShed, retryAfter: 2500} })
	}()
	r, _ := newRequest(context.Background(), srv.Listener.Addr().String(), "lookup", 0)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") != "0.25" {
		t.Errorf("got %s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
	}
}

func TestMaxPending(t *testing.T) {
	a := startShard(t, "s-a", func(*standin.ShardConn, standin.ShardCall) {})
	p := startProgram(t, startDiscovery(t, a), func(s *Config) {
		s.Settings = json.RawMessage(strings.Replace(testSettings, `"limits":{`, `"limits":{"mostHeld":5,`, 1))
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := newRequest(ctx, p.addr, "lookup", 0, 1)
	clientReturned := make(chan struct{})
	go func() {
		http.DefaultClient.Do(r)
		close(clientReturned)
	}()
	await(t, a.Received, func(string) bool { return true })
	if status, _, id := p.sendRequest("lookup", 2, 3); status != http.StatusServiceUnavailable || len(a.Received) > 1 {
		t.Errorf("request %s above the limit got %d", id, status)
	}
	cancel()
	<-clientReturned
	p.awaitLogLine("event=client_conn_end", "reason=client_left")
	p.sendRequest("lookup", 4) // the open calls are below the limit again
	await(t, a.Received, func(part string) bool { return strings.HasSuffix(part, ".4") && !strings.HasPrefix(part, "c") })
}

// pipeListener is a net.Listener that accepts the connections sent to the channel.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) { return <-l, nil }

func (l pipeListener) Close() error { return nil }

func (l pipeListener) Addr() net.Addr { return nil }

// A client that does not read its response must not keep its connection open forever.
func TestWriteTimeout(t *testing.T) {
	ours, theirs := net.Pipe() // unbuffered: a write blocks until it is read
	l := make(pipeListener, 1)
	l <- theirs
	f := newFrontend(newTransport(balancerconfig.Deployment{}, mailbox{}, newBodyBudget(0)), 50*time.Millisecond, newBodyBudget(0))
	go f.serve(context.Background(), l, 8, time.Second)
	if _, err := io.WriteString(ours, "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ours.SetWriteDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(ours, strings.Repeat("x", 1<<16)); err != io.ErrClosedPipe {
		t.Errorf("writing to the connection gives %v, want it closed", err)
	}
}

// Requests whose bodies exceed the memory limit are shed at once, with a Retry-After.
func TestBodyMemoryLimit(t *testing.T) {
	d, err := balancerconfig.FromJSON([]byte(testSettings), 0)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(newFrontend(newTransport(d, mailbox{}, newBodyBudget(10)), time.Second, newBodyBudget(10)))
	defer srv.Close()
	for range 3 {
		r, _ := newRequest(context.Background(), srv.Listener.Addr().String(), "lookup", 0)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") != "1" {
			t.Errorf("got %s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
		}
	}
}
