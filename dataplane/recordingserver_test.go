package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/internal/settings"
)

// recordedAttempt is a recording server's record of one request.
type recordedAttempt struct {
	service   string
	id        string
	arrived   time.Time
	remaining time.Duration // X-Deadline-Remaining
	ended     time.Time     // when the connection ended or the answer was sent; zero = neither yet
	answered  bool
}

// smallHeaderBytes is the least size of a recording server's read buffer, into which the header of a request must fit.
const smallHeaderBytes = 4096

// recordingServers record the requests that they receive, and answer each after serviceTime unless its connection ends
// before.
type recordingServers struct {
	serviceTime        time.Duration
	unansweredRequests int // this many of the first requests get no answer
	malformedEvery     int // from malformedFrom on, every n-th attempt gets a malformed answer; 0 = none
	malformedFrom      time.Time
	maxHeaderBytes     int   // longest header of a request; 0 = some that suffices for small requests
	failures           []int // statuses of the first answers, each with its own seal; all later answers are successes

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
	reader := bufio.NewReaderSize(conn, max(s.maxHeaderBytes, smallHeaderBytes))
	for {
		if !waitForHeader(reader) {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !s.handleAttempt(conn, reader, s.record(service, req)) {
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

// handleAttempt answers a request after the service time, unless the connection ends before. It reports whether the
// connection stays open.
func (s *recordingServers) handleAttempt(conn net.Conn, reader *bufio.Reader, a *recordedAttempt) bool {
	s.mu.Lock()
	serviceTime := s.serviceTime
	if s.unansweredRequests > 0 {
		s.unansweredRequests--
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
	if status := s.nextFailure(); status != 0 {
		fmt.Fprintf(conn, "HTTP/1.1 %d No\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-of-%d\r\nContent-Length: 0\r\n\r\n", status, a.id, status)
		return true
	}
	body := responseRecords(a.service, a.id)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", a.id, a.service, a.id,
		len(body), body)
	return err == nil
}

// nextFailure removes and returns the status of the next failure; 0 = none is left.
func (s *recordingServers) nextFailure() (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failures) > 0 {
		status, s.failures = s.failures[0], s.failures[1:]
	}
	return status
}

// isBroken reports whether an attempt gets a malformed answer.
func (s *recordingServers) isBroken(a *recordedAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.malformedEvery > 0 && !a.arrived.Before(s.malformedFrom) && slices.Index(s.attempts, a)%s.malformedEvery == 0
}

// attemptsOf returns the attempts of a request that were recorded so far.
func (s *recordingServers) attemptsOf(id string) (attempts []recordedAttempt) {
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

// dialGateway opens a client connection to the gateway.
func (b *testbed) dialGateway(t *testing.T) net.Conn {
	t.Helper()
	conn, err := b.network.Host(clientHost).Dial(frontAddress, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// requestText returns an encoded request without a body.
func requestText(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nContent-Length: 0\r\n\r\n", method, path, id,
		deadline.Milliseconds())
}
