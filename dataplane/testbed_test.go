package dataplane

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/config"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// Rules that a scenario may violate.
const (
	unavailable    = "gateway unavailable" // a client gets no connection
	misrouted      = "misrouted response"  // a client receives data that belongs to another request or to none
	unsolicited    = "unsolicited request" // a server receives data that no client sent
	duplicated     = "duplicate execution" // a request that must not be repeated is executed twice
	falseRejection = "false rejection"     // a client receives a response that its request was not executed, although it was
)

// testbed is the environment of the gateway in one scenario, with a record of the requests and responses.
type testbed struct {
	scenario scenario
	network  *simnet.Network
	bounds   settings.Bounds // in the gateway's settings
	gateway  *Gateway        // the last one started

	mu         sync.Mutex
	steps      int                    // number of server steps used
	writes     int                    // number of write steps used
	dials      int                    // number of dials
	sent       map[string]sentRequest // by id
	runs       map[string]int         // number of executions, by service and id
	statuses   map[string]int         // of responses, by id
	answeredAt map[string]time.Time   // by id
	succeeded  int                    // number of requests that succeeded
	violation  string                 // the first violation; "" = none
}

// sentRequest is a request as a client sent it.
type sentRequest struct {
	method, path string
	body         []byte
}

// recordViolation records a violation of a rule, unless one has been recorded already.
func (b *testbed) recordViolation(rule, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.violation == "" {
		b.violation = rule + ": " + fmt.Sprintf(format, args...)
	}
}

// runScenario runs a scenario with simulated time and returns its testbed.
func runScenario(t *testing.T, s scenario) *testbed {
	t.Helper()
	var b *testbed
	synctest.Test(t, func(t *testing.T) {
		b = newTestbed(s)
		b.run(t)
	})
	return b
}

func newTestbed(s scenario) *testbed {
	return &testbed{
		scenario:   s,
		network:    simnet.New(func(string, string) time.Duration { return 100 * time.Microsecond }),
		sent:       map[string]sentRequest{},
		runs:       map[string]int{},
		statuses:   map[string]int{},
		answeredAt: map[string]time.Time{},
	}
}

const (
	gatewayHost      = "10.0.0.1"
	clientHost       = "10.0.9.9"
	frontAddress     = gatewayHost + ":8000"
	nonRetryablePath = "/once/" // path prefix of requests that must not be repeated
)

var services = []string{"once", "one", "a0", "a1"}

// run runs the gateway, the servers and the clients of the scenario, and checks the executions at the end.
func (b *testbed) run(t *testing.T) {
	t.Helper()
	listeners, reports := b.listenServers(t, b.runServer)
	stop := b.startGateway(t, reports)
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		if b.scenario.KillAfter > 0 {
			time.Sleep(b.scenario.KillAfter)
			stop()
			b.abandonRequests()
			stop = b.startGateway(t, reports)
		}
	}()
	var clients sync.WaitGroup
	for i, steps := range b.scenario.Clients {
		clients.Go(func() { b.runClient(fmt.Sprint(i), steps) })
	}
	clients.Wait()
	<-restarted
	time.Sleep(1500 * time.Millisecond) // late responses arrive
	stop()
	b.stopServers(listeners)
	b.checkExecutions()
}

// stopServers closes the listeners and all connections to the servers, and waits until the servers have ended.
func (b *testbed) stopServers(listeners []net.Listener) {
	for _, l := range listeners {
		l.Close()
		host, _, _ := net.SplitHostPort(l.Addr().String())
		b.network.Kill(host, false)
	}
	time.Sleep(3 * time.Second) // servers that do not respond end
}

// listenServers starts the servers, each of which runs serve, and returns their listeners and the reports of them for the gateway.
func (b *testbed) listenServers(t *testing.T, serve func(l net.Listener, service string)) (listeners []net.Listener, reports []*rpc.ServerReport) {
	t.Helper()
	for i, service := range services {
		for n := range b.scenario.Servers {
			ip := fmt.Sprintf("10.0.%d.%d", i+1, n+1)
			l, err := b.network.Host(ip).Listen(ip + ":80")
			if err != nil {
				t.Fatal(err)
			}
			listeners = append(listeners, l)
			go serve(l, service)
			reports = append(reports, &rpc.ServerReport{
				Instance: "i-" + ip,
				Service:  service,
				Address:  ip + ":80",
				Zone:     "z",
				State:    uint32(registry.Ready),
				Sequence: 1,
			})
		}
	}
	return listeners, reports
}

// testRoutes returns a route whose requests must not be repeated, one whose requests may be, and a gathered one.
func testRoutes() []config.Route {
	return []config.Route{
		{Hostname: "h", PathPrefix: nonRetryablePath, RouteKind: config.NonRetryable, TimeoutMS: 900, TargetMS: 90, Service: "once", Attempts: 3},
		{Hostname: "h", PathPrefix: "/one/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, Service: "one", Attempts: 3},
		{Hostname: "h", PathPrefix: "/all/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, GatheredServices: []string{"a0", "a1"},
			Attempts: 3, TopRecords: 6, MinimumShare: 0.5},
	}
}

func testConfiguration(version uint64) *config.Configuration {
	c := &config.Configuration{Version: version, Routes: testRoutes()}
	for _, service := range services {
		c.Services = append(c.Services, config.Service{Name: service, ConnectionLimit: 40})
	}
	return c
}

// startGateway starts a gateway and returns a function that stops it as a kill would.
func (b *testbed) startGateway(t *testing.T, reports []*rpc.ServerReport) (stop func()) {
	t.Helper()
	options := &settings.Settings{IPAddress: gatewayHost, Zone: "z", InternalPorts: []int{7000, 7010}, FirstStart: true}
	options.Listen.Front = frontAddress
	options.Bounds = b.bounds
	options.Limits.MemoryMB = b.scenario.MemoryMB
	g := New(options, &faultyNetwork{b.network.Host(gatewayHost), b}, zerolog.Nop())
	b.gateway = g
	c := testConfiguration(1)
	g.process.goroutines.Go(func() { g.loop.run(g) })
	g.loop.post(func() {
		g.activateConfig(c, nil, 1)
		g.applyReports(&rpc.Update{Full: true, HasQuorum: true, Warm: true, Reports: reports})
	})
	synctest.Wait()
	l, err := b.network.Host(gatewayHost).Listen(frontAddress)
	if err != nil {
		t.Fatal(err)
	}
	g.process.goroutines.Go(func() { g.front.serve(l) })
	return func() {
		l.Close()
		g.front.conns.closeAll()
		g.loop.stop()
		g.process.goroutines.Wait()
		b.network.Kill(gatewayHost, false)
	}
}

// abandonRequests marks the requests to a killed gateway as answered, as they must no longer be sent to a server.
func (b *testbed) abandonRequests() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.sent {
		if b.answeredAt[id].IsZero() {
			b.answeredAt[id] = time.Now()
		}
	}
}

// faultyNetwork is a network whose dials and writes follow the scenario.
type faultyNetwork struct {
	simnet.Host
	testbed *testbed
}

var _ network.Network = &faultyNetwork{}

func (n *faultyNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	n.testbed.mu.Lock()
	dials := n.testbed.scenario.Dials
	delay := dials[n.testbed.dials%len(dials)]
	n.testbed.dials++
	n.testbed.mu.Unlock()
	time.Sleep(delay)
	conn, err := n.Host.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, testbed: n.testbed}, nil
}

// faultyConn is a connection whose writes follow the scenario.
type faultyConn struct {
	net.Conn
	testbed *testbed
	writing atomic.Bool // a write is in progress
}

// Write fails or writes in two parts as the next write step says, like a socket whose buffer is full. Only writes larger than a small request
// are delayed.
func (c *faultyConn) Write(text []byte) (int, error) {
	step := c.testbed.nextWrite()
	if c.writing.Swap(true) {
		c.testbed.recordViolation(unsolicited, "a request is written while another write to the connection is in progress")
	}
	defer c.writing.Store(false)
	at := step.At
	if at < 0 {
		at += len(text)
	}
	if step.Fails && at < len(text) {
		n, _ := c.Conn.Write(text[:at])
		if at > smallRequestBytes {
			time.Sleep(step.Slow)
		}
		c.Conn.Close()
		return n, syscall.ECONNRESET
	}
	if len(text) <= smallRequestBytes || step.Slow == 0 {
		return c.Conn.Write(text)
	}
	half := len(text) / 2
	n, err := c.Conn.Write(text[:half])
	if err != nil {
		return n, err
	}
	time.Sleep(step.Slow)
	rest, err := c.Conn.Write(text[half:])
	return n + rest, err
}

// nextWrite returns the scenario's next write step.
func (b *testbed) nextWrite() writeStep {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.scenario.Writes[b.writes%len(b.scenario.Writes)]
	b.writes++
	return step
}

// checkForwarded compares a request that a server received with the one that a client sent.
func (b *testbed) checkForwarded(service, id string, req *http.Request, body []byte, bodyRead bool) {
	b.mu.Lock()
	sent, known := b.sent[id]
	b.mu.Unlock()
	if !known || sent.method != req.Method || sent.path != req.RequestURI || bodyRead && string(sent.body) != string(body) {
		b.recordViolation(unsolicited, "%s received %s %s with id %q and a body of %d bytes, which differs from any request sent", service, req.Method, req.RequestURI, id, len(body))
	}
}

// checkNotLate checks that a request is not sent to a server after it was answered. Large requests are exempt, as they may take longer to
// arrive.
func (b *testbed) checkNotLate(service, id string) {
	b.mu.Lock()
	answeredAt, large := b.answeredAt[id], len(b.sent[id].body) > smallRequestBytes
	b.mu.Unlock()
	if late := time.Since(answeredAt); !answeredAt.IsZero() && late > 5*time.Millisecond && !large {
		b.recordViolation(unsolicited, "%s received %s %v after it was answered", service, id, late)
	}
}

// checkExecutions checks, after the run, how often requests that must not be repeated were executed.
func (b *testbed) checkExecutions() {
	for id, sent := range b.sent {
		if !strings.HasPrefix(sent.path, nonRetryablePath) {
			continue
		}
		runs := b.runs["once "+id]
		switch status := b.statuses[id]; {
		case runs > 1:
			b.recordViolation(duplicated, "%s was executed %d times", id, runs)
		case runs > 0 && promisesNotExecuted(status):
			b.recordViolation(falseRejection, "%s was executed and answered with status %d", id, status)
		}
	}
}
