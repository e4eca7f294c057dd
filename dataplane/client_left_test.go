package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/internal/settings"
)

// recordedAttempt is what a recording server saw of one request.
type recordedAttempt struct {
	service   string
	id        string
	arrived   time.Time
	remaining time.Duration // X-Deadline-Remaining
	ended     time.Time     // when its connection ended or it was answered; zero = neither yet
	answered  bool
}

// recordingServers record what reaches them and answer each request after a time, unless its connection ends before.
type recordingServers struct {
	serviceTime time.Duration
	silent      int // so many first requests get no answer
	broken      int // each so-many-th attempt is answered by garbage, from brokenFrom on; 0 = none
	brokenFrom  time.Time

	mu       sync.Mutex
	attempts []*recordedAttempt
}

func (s *recordingServers) serve(l net.Listener, service string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn, service)
	}
}

func (s *recordingServers) serveConn(conn net.Conn, service string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if !waitForHeader(reader) {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !s.work(conn, reader, s.record(service, req)) {
			return
		}
	}
}

func (s *recordingServers) record(service string, req *http.Request) *recordedAttempt {
	ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Remaining"))
	a := &recordedAttempt{service: service, id: req.Header.Get("X-Attempt-Id"), arrived: time.Now(), remaining: time.Duration(ms) * time.Millisecond}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	return a
}

// work works on a request until it is done or the connection ends, and reports whether the connection goes on.
func (s *recordingServers) work(conn net.Conn, reader *bufio.Reader, a *recordedAttempt) bool {
	s.mu.Lock()
	serviceTime := s.serviceTime
	if s.silent > 0 {
		s.silent--
		serviceTime = time.Hour
	}
	s.mu.Unlock()
	conn.SetReadDeadline(time.Now().Add(serviceTime))
	_, err := reader.Peek(1)
	timeout, ok := err.(net.Error)
	answered := ok && timeout.Timeout()
	s.mu.Lock()
	a.ended, a.answered = time.Now(), answered
	s.mu.Unlock()
	if !answered {
		return false
	}
	conn.SetReadDeadline(time.Time{})
	if s.isBroken(a) {
		io.WriteString(conn, "no response at all\r\n\r\n")
		return false
	}
	body := recordsOf(a.service, a.id)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", a.id, a.service, a.id,
		len(body), body)
	return err == nil
}

// isBroken reports whether an attempt is to be answered by garbage.
func (s *recordingServers) isBroken(a *recordedAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken > 0 && !a.arrived.Before(s.brokenFrom) && slices.Index(s.attempts, a)%s.broken == 0
}

// seen returns what was recorded of a request so far.
func (s *recordingServers) seen(id string) (attempts []recordedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.id == id {
			attempts = append(attempts, *a)
		}
	}
	return attempts
}

// runWithRecordingServers runs a test against a gateway with two recording servers for each service.
func runWithRecordingServers(t *testing.T, servers *recordingServers, s scenario, bounds settings.Bounds,
	test func(t *testing.T, b *testbed)) {
	t.Helper()
	s.Servers, s.Writes = 2, []writeStep{{}}
	if len(s.Dials) == 0 {
		s.Dials = []time.Duration{0}
	}
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(s)
		b.bounds = bounds
		listeners, reports := b.listenServers(t, servers.serve)
		stop := b.startGateway(t, reports)
		test(t, b)
		stop()
		b.stopServers(listeners)
	})
}

// dialGateway connects as a client.
func (b *testbed) dialGateway(t *testing.T) net.Conn {
	t.Helper()
	conn, err := b.network.Host(clientHost).Dial(frontAddress, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func requestText(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nContent-Length: 0\r\n\r\n", method, path, id,
		deadline.Milliseconds())
}

// stopBound is how long after its client has left a server may still work on a request.
const stopBound = 20 * time.Millisecond

// A client that leaves while its request waits ends it at once: what may be repeated is stopped at all servers, what may not runs
// on, and neither reaches a server again.
func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	const leavesAfter = 30 * time.Millisecond
	for _, test := range []struct {
		name, method, path string
		leave              func(net.Conn)
		stopped            bool
		services           []string
	}{
		{"single", "GET", "/one/x", func(c net.Conn) { c.Close() }, true, []string{"one"}},
		{"gathered", "GET", "/all/x", func(c net.Conn) { c.Close() }, true, []string{"a0", "a1"}},
		{"not repeatable", "POST", oncePath + "x", func(c net.Conn) { c.Close() }, false, []string{"once"}},
		{"behind the bytes of a next request", "GET", "/one/x", func(c net.Conn) {
			io.WriteString(c, requestText("GET", "/one/y", "next", time.Second)[:40])
			c.Close()
		}, true, []string{"one"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: 700 * time.Millisecond}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				conn := b.dialGateway(t)
				io.WriteString(conn, requestText(test.method, test.path, "first", 3*time.Second))
				time.Sleep(leavesAfter)
				test.leave(conn)
				left := time.Now()
				time.Sleep(2 * time.Second)
				attempts := servers.seen("first")
				var reached []string
				for _, a := range attempts {
					reached = append(reached, a.service)
					if a.arrived.After(left) {
						t.Errorf("%s is reached %v after the client left", a.service, a.arrived.Sub(left))
					}
					if stopped := !a.answered && a.ended.Sub(left) < stopBound; stopped != test.stopped {
						t.Errorf("%s: stopped %t %v after the client left, answered %t", a.service, stopped, a.ended.Sub(left), a.answered)
					}
				}
				slices.Sort(reached)
				if !slices.Equal(reached, test.services) {
					t.Errorf("reached %v, want %v", reached, test.services)
				}
			})
		})
	}
}

// A client that leaves before its request is sent, as no connection is there yet, has it sent to nobody.
func TestClientThatLeavesBeforeDispatch(t *testing.T) {
	servers := &recordingServers{serviceTime: time.Millisecond}
	slowDials := scenario{Dials: []time.Duration{200 * time.Millisecond}}
	runWithRecordingServers(t, servers, slowDials, settings.Bounds{}, func(t *testing.T, b *testbed) {
		for i, path := range []string{"/one/x", "/all/x", oncePath + "x"} {
			conn := b.dialGateway(t)
			id := fmt.Sprint("request-", i)
			io.WriteString(conn, requestText("POST", path, id, 3*time.Second))
			time.Sleep(50 * time.Millisecond)
			conn.Close()
			time.Sleep(2 * time.Second)
			if attempts := servers.seen(id); len(attempts) > 0 {
				t.Errorf("%s reaches %d servers though its client left before", path, len(attempts))
			}
		}
	})
}

// Requests that come while one waits are kept, and answered in their order; more than the buffer holds is read later.
func TestRequestsBehindOneThatWaits(t *testing.T) {
	servers := &recordingServers{serviceTime: 40 * time.Millisecond}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		const requests = 300
		conn := b.dialGateway(t)
		defer conn.Close()
		go func() {
			for i := range requests {
				io.WriteString(conn, requestText("GET", "/one/x", strconv.Itoa(i), 30*time.Second))
				if i%7 == 0 {
					time.Sleep(3 * time.Millisecond)
				}
			}
		}()
		reader := bufio.NewReader(conn)
		for i := range requests {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("response %d: %v", i, err)
			}
			io.Copy(io.Discard, resp.Body)
			if id := resp.Header.Get("X-Attempt-Id"); resp.StatusCode != http.StatusOK || id != strconv.Itoa(i) {
				t.Fatalf("response %d: status %d, id %q", i, resp.StatusCode, id)
			}
		}
	})
}

// Connections whose requests are answered at the moment at which the wait for them begins go on; the interrupted wait of one request
// never ends the next.
func TestKeptConnectionOutlivesManyRequests(t *testing.T) {
	servers := &recordingServers{serviceTime: time.Millisecond}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		var clients sync.WaitGroup
		for client := range 8 {
			clients.Go(func() {
				conn := b.dialGateway(t)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for i := range 200 {
					path := []string{"/one/x", "/nowhere", "/all/x"}[i%3]
					io.WriteString(conn, requestText("GET", path, fmt.Sprint(client, "-", i), 3*time.Second))
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Errorf("client %d, request %d: %v", client, i, err)
						return
					}
					io.Copy(io.Discard, resp.Body)
				}
			})
		}
		clients.Wait()
	})
}

// No attempt is told more time than is left of the client's and the route's, neither the first nor a further one; and what nobody
// answers is answered by then, a quarter of a second later at most.
func TestTimeLeftOnTheWire(t *testing.T) {
	const routeTimeout, answerBound = 900 * time.Millisecond, 250 * time.Millisecond
	for _, test := range []struct {
		path   string
		client time.Duration
		silent int // first attempts without an answer
	}{
		{"/one/x", 600 * time.Millisecond, 1},
		{"/one/x", 3 * time.Second, 1},
		{"/one/x", 3 * time.Second, 9},
		{"/all/x", 500 * time.Millisecond, 2},
		{"/all/x", 3 * time.Second, 9},
		{oncePath + "x", 400 * time.Millisecond, 9},
		{oncePath + "x", 3 * time.Second, 9},
	} {
		name := fmt.Sprintf("%s %v, %d silent", strings.ReplaceAll(test.path, "/", " "), test.client, test.silent)
		t.Run(name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: 5 * time.Millisecond, silent: test.silent}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				conn := b.dialGateway(t)
				defer conn.Close()
				sent := time.Now()
				limit := min(test.client, routeTimeout)
				io.WriteString(conn, requestText("POST", test.path, "q", test.client))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(sent); took > limit+answerBound {
					t.Errorf("answered with %d after %v, the limit is %v", resp.StatusCode, took, limit)
				}
				attempts := servers.seen("q")
				if len(attempts) == 0 {
					t.Error("no server was reached")
				}
				for i, a := range attempts {
					left := limit - a.arrived.Sub(sent)
					if a.remaining <= 0 || a.remaining > left+5*time.Millisecond {
						t.Errorf("attempt %d is told %v, %v are left", i, a.remaining, left)
					}
				}
			})
		})
	}
}
