package experiment

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryDialTimeout is the maximum time for opening a connection.
	memoryDialTimeout = 5 * time.Second
	// memoryClientTimeout is a client's timeout, from the start of its request to the end of the response.
	memoryClientTimeout = 10 * time.Second
	// A long body is sent in pieces with pauses between them.
	longBodyBytes  = 60 << 10
	longBodyPieces = 10
	longBodyPause  = 100 * time.Millisecond
	// Clients that do not read have small receive buffers and hold the connection for unreadDuration.
	unreadBufferBytes = 4 << 10
	unreadTimeout     = 4 * time.Second
	unreadDuration    = 2500 * time.Millisecond
	// holdRetryPause is the delay before a rejected client opens another connection.
	holdRetryPause = 5 * time.Millisecond
)

// Names of the waves.
const (
	waveLongBodies    = "long bodies"
	waveLongResponses = "long responses"
	waveUnread        = "clients that do not read"
	waveWake          = "all wake"
	waveTogether      = "all together"
)

// memoryScenario is the state of one variant of the memory experiment.
type memoryScenario struct {
	env        *Env
	variant    string
	deployment *Deployment
	metrics    runtimeMetrics
	lastID     atomic.Uint64

	mu           sync.Mutex
	statusCounts map[string]map[int]int // responses by wave and status
}

func (s *memoryScenario) count(wave string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statusCounts[wave] == nil {
		s.statusCounts[wave] = map[int]int{}
	}
	s.statusCounts[wave][status]++
}

// request returns the header and body of a request in four segments.
func (s *memoryScenario) request(statement string) (header, body string) {
	r := newLookup(s.lastID.Add(1), 0, 1, 2, 3)
	r.Statement = statement
	return rawRequest(r)
}

func (s *memoryScenario) dial() (net.Conn, error) { return s.dialWithBuffer(0) }

// dialWithBuffer opens a connection with a receive buffer of the given size in bytes; 0 = the system's default.
func (s *memoryScenario) dialWithBuffer(bytes int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: memoryDialTimeout}
	if bytes > 0 {
		dialer.Control = func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
		}
	}
	return dialer.Dial("tcp4", s.deployment.Gatherer.Addr)
}

// send sends a request with its body in pieces and returns the response's status. Like real clients it reads while it sends,
// because a rejection arrives before the body is complete.
func (s *memoryScenario) send(conn net.Conn, statement string, pieces int, pause time.Duration) int {
	conn.SetDeadline(time.Now().Add(memoryClientTimeout))
	header, body := s.request(statement)
	response := make(chan int, 1)
	go func() { response <- readStatus(conn) }()
	if _, err := io.WriteString(conn, header); err != nil {
		return <-response
	}
	tick := time.NewTicker(pause + time.Nanosecond) // NewTicker panics if the interval is 0
	defer tick.Stop()
	for size := max(len(body)/pieces, 1); body != ""; {
		n := min(size, len(body))
		if _, err := io.WriteString(conn, body[:n]); err != nil {
			break
		}
		body = body[n:]
		if body == "" || pieces == 1 {
			continue
		}
		select {
		case status := <-response:
			return status
		case <-tick.C:
		}
	}
	return <-response
}

func readStatus(conn net.Conn) int {
	c := clientConn{conn: conn}
	return c.readStatus()
}

// runWaves runs the waves one after another and then together.
func (s *memoryScenario) runWaves() {
	scale := s.env.Scale(1, 2)
	s.env.Progress("memory "+s.variant, 5)
	idle := s.openIdleConnections(memoryIdleConnections)
	s.env.Step()
	s.sendLongBodies(300 * scale)
	s.recordUsage(waveLongBodies)
	s.requestLongResponses(300 * scale)
	s.recordUsage(waveLongResponses)
	s.requestWithoutReading(150 * scale)
	s.recordUsage(waveUnread)
	s.wakeIdleConnections(idle)
	s.recordUsage(waveWake)
	waves := []func(){
		func() { s.sendLongBodies(200 * scale) },
		func() { s.requestLongResponses(200 * scale) },
		func() { s.requestWithoutReading(100 * scale) },
		func() { s.wakeIdleConnections(s.openIdleConnections(100)) },
	}
	runConcurrently(len(waves), func(i int) { waves[i]() })
	s.recordUsage(waveTogether)
	for _, conn := range idle {
		conn.Close()
	}
}

func (s *memoryScenario) sendLongBodies(count int) {
	s.runWave(waveLongBodies, count, func(conn net.Conn) int {
		return s.send(conn, strings.Repeat("b", longBodyBytes), longBodyPieces, longBodyPause)
	})
}

func (s *memoryScenario) requestLongResponses(count int) {
	s.runWave(waveLongResponses, count, func(conn net.Conn) int { return s.send(conn, longStatement, 1, 0) })
}

// runWave calls send count times concurrently, each time with a new connection, and counts the returned statuses.
func (s *memoryScenario) runWave(wave string, count int, send func(conn net.Conn) int) {
	runConcurrently(count, func(int) {
		conn, err := s.dial()
		if err != nil {
			s.count(wave, noResponse)
			return
		}
		defer conn.Close()
		s.count(wave, send(conn))
	})
}

// requestWithoutReading requests long responses and does not read them.
func (s *memoryScenario) requestWithoutReading(count int) {
	runConcurrently(count, func(int) {
		conn, err := s.dialWithBuffer(unreadBufferBytes)
		if err != nil {
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(unreadTimeout))
		header, body := s.request(longStatement)
		io.WriteString(conn, header+body)
		time.Sleep(unreadDuration)
	})
}

// openIdleConnections opens connections, sends a request on each and leaves them idle. A client that is rejected because too
// many connections are active retries with a new connection.
func (s *memoryScenario) openIdleConnections(count int) []net.Conn {
	var conns []net.Conn
	for attempt := 0; len(conns) < count && attempt < 3*count; attempt++ {
		conn, err := s.dial()
		if err != nil {
			continue
		}
		if s.send(conn, shortStatement, 1, 0) == http.StatusOK {
			conns = append(conns, conn)
			continue
		}
		conn.Close()
		time.Sleep(holdRetryPause)
	}
	return conns
}

// wakeIdleConnections requests a long response on all connections at once.
func (s *memoryScenario) wakeIdleConnections(conns []net.Conn) {
	runConcurrently(len(conns), func(i int) { s.count(waveWake, s.send(conns[i], longStatement, 1, 0)) })
}

// recordUsage records the gatherer's memory after a wave.
func (s *memoryScenario) recordUsage(wave string) {
	if usage, err := ReadUsage(s.deployment.Gatherer.PID()); err == nil {
		s.env.Record.AddRow("Resident memory by wave", []string{"variant", "wave", "now MiB", "peak MiB"},
			s.variant, wave, formatMiB(usage.RSS), formatMiB(usage.Peak))
	}
	s.env.Step()
}

// recordWaves records the responses by wave and returns the number of requests without a response.
func (s *memoryScenario) recordWaves() (unanswered int) {
	for _, wave := range []string{waveLongBodies, waveLongResponses, waveWake} {
		counts := s.statusCounts[wave]
		sent := 0
		for _, count := range counts {
			sent += count
		}
		s.env.Record.AddRow("Responses by wave", []string{"variant", "wave", "sent", "200", "503", "504", "none"},
			s.variant, wave, fmt.Sprint(sent), fmt.Sprint(counts[http.StatusOK]), fmt.Sprint(counts[http.StatusServiceUnavailable]),
			fmt.Sprint(counts[http.StatusGatewayTimeout]), fmt.Sprint(counts[noResponse]))
		unanswered += counts[noResponse]
	}
	return unanswered
}
