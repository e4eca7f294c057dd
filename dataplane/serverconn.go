package dataplane

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/registry"
)

// Bounds on what passes between this gatherer and servers.
const (
	connectTimeout    = 400 * time.Millisecond
	maxResponseBytes  = 16 << 20 // of one answer's body
	maxIdle           = 14 * time.Second
	smallRequestBytes = 8 << 10 // a request so short is written at once: nothing else is in its connection's buffers
	idleThreshold     = 500 * time.Millisecond
	loopWriteTimeout  = 10 * time.Millisecond // the owner waits for no connection longer
)

// serverConn is one connection to a server. One request at a time goes over it.
type serverConn struct {
	conn         net.Conn
	endpoint     *endpoint
	reader       *bufio.Reader
	mu           sync.Mutex
	exchange     exchange // under the lock
	maxIdle      time.Duration
	usedAt       time.Time // by the owner
	closed       bool      // by the owner
	carriedLarge bool      // by the owner; it has carried a request that was not written at once
}

func (l *serverConn) begin(c *attempt) {
	l.mu.Lock()
	l.exchange.begin(c)
	l.mu.Unlock()
}

func (l *serverConn) written(bytes int) {
	l.mu.Lock()
	l.exchange.written(bytes)
	l.mu.Unlock()
}

// pending is whose answer is due.
func (l *serverConn) pending() *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange.pending
}

func (l *serverConn) responseReceived() {
	l.mu.Lock()
	l.exchange.responseReceived()
	l.mu.Unlock()
}

func (l *serverConn) reusable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange.reusable()
}

func (l *serverConn) connectionLost(outcome balancer.Outcome) (*attempt, balancer.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange.connectionLost(outcome)
}

// dispatch does what brain.Send says.
func (f *Gateway) dispatch(a balancer.Send) {
	p, s := f.shardCalls[a.Call], f.endpointsByID[a.Server]
	if p == nil {
		return
	}
	now := f.loop.now()
	c := &attempt{shardCall: p, number: balancer.AttemptNumber(len(p.attempts)), endpoint: s, sentAt: now, deadline: now + a.Timeout}
	p.attempts = append(p.attempts, c)
	p.inFlight++
	if s == nil || p.request.finished || !s.listed {
		c.ended = true
		p.inFlight--
		p.attempts[c.number] = nil
		f.pendingEvents = append(f.pendingEvents, balancer.AttemptEnded{Call: p.id, Attempt: c.number, Server: a.Server, Outcome: balancer.NotDispatched})
		f.releaseShardCall(p)
		return
	}
	s.addInFlight(now, 1)
	f.acquireConnection(c, now)
	f.loop.schedule(c.deadline, timerEvent{attempt: c})
	f.sendAttempt(c)
}

// sendAttempt sends a sub-request over an idle connection, or a new one where there is none. Over one to which not a byte can be
// handed any more nothing has been sent: the next one is taken.
func (f *Gateway) sendAttempt(c *attempt) {
	for {
		l := f.takeIdleConn(c)
		if l == nil {
			break
		}
		if f.write(l, c) {
			return
		}
	}
	if s := c.endpoint; len(s.idle) > 0 { // none that it may use: one makes room
		f.closeConn(s.idle[0])
		s.idle = slices.Delete(s.idle, 0, 1)
	}
	c.conn = nil
	c.endpoint.connections++
	go f.connect(c.endpoint, c.endpoint.address, c)
}

// takeIdleConn takes the connection to a call's server that was used last, nil = none may be used. A connection never carries the same
// id twice: a late copy of the first answer could not be told from the second one. What bears no id needs one of its own.
func (f *Gateway) takeIdleConn(c *attempt) *serverConn {
	s := c.endpoint
	if c.shardCall.request.attemptID == "" {
		return nil
	}
	for i := len(s.idle) - 1; i >= 0; i-- {
		l := s.idle[i]
		if c.shardCall.usedConn(l) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if l.closed || time.Since(l.usedAt) > l.maxIdle {
			f.closeConn(l)
			continue
		}
		return l
	}
	return nil
}

// usedConn tells whether a connection has carried this part.
func (p *shardCall) usedConn(l *serverConn) bool {
	return p.firstConn == l || slices.Contains(p.otherConns, l)
}

// addConn notes that a connection carries this part.
func (p *shardCall) addConn(l *serverConn) {
	if p.firstConn == nil {
		p.firstConn = l
		return
	}
	p.otherConns = append(p.otherConns, l)
}

func (f *Gateway) connect(s *endpoint, address string, c *attempt) {
	nc, err := f.process.network.Dial(address, connectTimeout)
	if !f.loop.post(func() { f.connected(s, nc, err, c) }) && err == nil {
		nc.Close()
	}
}

func (f *Gateway) connected(s *endpoint, nc net.Conn, err error, c *attempt) {
	if err != nil {
		s.connections--
		if !c.ended {
			f.recordOutcome(s, balancer.ConnectFailed, err)
			f.attemptEnded(c, balancer.ConnectFailed, nil)
		}
		return
	}
	l := &serverConn{conn: nc, endpoint: s, reader: bufio.NewReaderSize(nc, 4096), maxIdle: maxIdle, usedAt: time.Now()}
	f.process.goroutines.Go(func() { f.readResponses(l) })
	switch {
	case !s.listed || s.state != registry.Ready:
		// It left while the connection was made: nothing may reach it any more.
		if !c.ended {
			f.attemptEnded(c, balancer.ConnectFailed, nil)
		}
		f.closeConn(l)
	case c.ended:
		s.idle = append(s.idle, l)
	case c.shardCall.request.finished || c.shardCall.response != nil: // answered meanwhile
		s.idle = append(s.idle, l)
		f.attemptEnded(c, balancer.NotDispatched, nil)
	case !f.write(l, c):
		f.attemptEnded(c, balancer.ConnectFailed, nil)
	}
}

// write sends a sub-request over a connection. It tells false where the connection has ended without taking a byte.
func (f *Gateway) write(l *serverConn, c *attempt) bool {
	s := c.shardCall.request
	c.shardCall.addConn(l)
	c.conn, c.afterIdle = l, time.Since(l.usedAt) > idleThreshold
	left := duration(c.deadline - f.loop.now())
	b := append(f.writeBuffer[:0], s.method...)
	b = append(b, ' ')
	b = append(b, s.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, s.header...)
	b = append(b, "X-Deadline-Remaining: "...)
	b = strconv.AppendInt(b, max(left.Milliseconds(), 1), 10)
	b = append(b, "\r\nX-Expected-Instance: "...)
	b = append(b, l.endpoint.instance...)
	if len(s.body) > 0 || s.method != "GET" && s.method != "HEAD" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(s.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	b = append(b, s.body...)
	f.writeBuffer = b[:0]
	l.begin(c)
	if len(b) <= smallRequestBytes {
		return f.writeSmall(l, b)
	}
	f.writeBuffer, l.carriedLarge = nil, true
	go func() {
		l.conn.SetWriteDeadline(time.Now().Add(left))
		n, err := l.conn.Write(b)
		l.written(n)
		if err != nil {
			l.conn.Close() // the reader finds it out
		}
	}()
	return true
}

// writeSmall writes a small request. What a large one before it may have left in the connection's buffers holds the owner up for
// a moment only.
func (f *Gateway) writeSmall(l *serverConn, b []byte) bool {
	limit := time.Time{}
	if l.carriedLarge {
		limit = time.Now().Add(loopWriteTimeout)
	}
	l.conn.SetWriteDeadline(limit)
	n, err := l.conn.Write(b)
	l.written(n)
	if err == nil {
		return true
	}
	if n > 0 {
		l.conn.Close() // the reader finds it out
		return true
	}
	l.responseReceived() // nothing is due: nothing was sent
	f.closeConn(l)
	return false
}

// readResponses takes answers until the connection ends. What comes while no answer is due, or beyond one, belongs to no request:
// the connection is closed.
func (f *Gateway) readResponses(l *serverConn) {
	for first := true; ; first = false {
		_, err := l.reader.Peek(1)
		c := l.pending()
		if err != nil || c == nil {
			l.conn.Close()
			f.loop.post(func() { f.connectionLost(l, balancer.Reset) })
			return
		}
		resp := fasthttp.AcquireResponse()
		outcome, keep, err := readResponse(l.reader, c.shardCall.request, first, resp)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			l.conn.Close()
			f.loop.post(func() { f.connectionLost(l, outcome) })
			return
		}
		if l.reader.Buffered() > 0 {
			keep = 0
		}
		l.responseReceived()
		if !f.loop.post(func() { f.responseReceived(l, c, outcome, resp, keep) }) {
			l.conn.Close()
			return
		}
		if keep == 0 {
			l.conn.Close()
			return
		}
	}
}

// connectionLost takes the end of a connection.
func (f *Gateway) connectionLost(l *serverConn, outcome balancer.Outcome) {
	c, outcome := l.connectionLost(outcome)
	f.closeConn(l)
	if c != nil && !c.ended {
		f.attemptEnded(c, outcome, nil)
	}
}

// responseReceived takes a whole answer, and puts its connection back.
func (f *Gateway) responseReceived(l *serverConn, c *attempt, outcome balancer.Outcome, resp *fasthttp.Response, keep time.Duration) {
	s := l.endpoint
	if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		if other := resp.Header.Peek("X-Instance-Id"); len(other) > 0 && string(other) != s.instance && !s.replaced {
			f.process.log.Info().Str("instance", s.instance).Str("now", string(other)).Msg("servers: another server has the address")
			s.replaced, keep = true, 0
			f.syncEndpoints()
		}
	}
	if keep > 0 && s.listed && !l.closed && l.reusable() {
		l.usedAt, l.maxIdle = time.Now(), keep
		s.idle = append(s.idle, l)
	} else {
		f.closeConn(l)
	}
	if c.ended || c.conn != l {
		fasthttp.ReleaseResponse(resp)
		return
	}
	f.attemptEnded(c, outcome, resp)
}

// closeConn lets a connection go.
func (f *Gateway) closeConn(l *serverConn) {
	if !l.closed {
		l.closed = true
		l.endpoint.connections--
		l.conn.Close()
	}
}

func (f *Gateway) closeIdleConns(s *endpoint) {
	for _, l := range s.idle {
		f.closeConn(l)
	}
	s.idle = nil
}

// attemptEnded tells brain a sub-request's outcome. A connection whose answer is still due is closed: the answer would be
// nobody's.
func (f *Gateway) attemptEnded(c *attempt, outcome balancer.Outcome, resp *fasthttp.Response) {
	p, s := c.shardCall, c.shardCall.request
	c.ended = true
	p.attempts[c.number] = nil
	p.inFlight--
	c.endpoint.addInFlight(f.loop.now(), -1)
	f.releaseConnection(c, f.loop.now())
	if c.conn != nil && resp == nil {
		f.closeConn(c.conn)
	}
	if !outcome.NeverRan() && c.conn != nil { // on none, nothing was handed over
		s.mayHaveRun = true
	}
	switch {
	case resp == nil:
	case outcome == balancer.Answered && !s.finished && p.response == nil:
		p.response = resp
	case !s.finished && !outcome.NeverRan() && outcome != balancer.Answered && resp.StatusCode() >= 500 && !promisesNotExecuted(resp.StatusCode()):
		if s.lastFailure != nil {
			fasthttp.ReleaseResponse(s.lastFailure)
		}
		s.lastFailure = resp
	default:
		fasthttp.ReleaseResponse(resp)
	}
	f.releaseShardCall(p)
	f.handleEvent(balancer.AttemptEnded{Call: p.id, Attempt: c.number, Server: c.endpoint.id, Elapsed: f.loop.now() - c.sentAt, Outcome: outcome})
	if outcome == balancer.Answered {
		f.recordOutcome(c.endpoint, outcome, nil)
	}
	f.removeIfGone(c.endpoint)
}

// removeIfGone forgets a server that has left once nothing is out there.
func (f *Gateway) removeIfGone(s *endpoint) {
	if s.state == registry.Deregistered && s.inFlight == 0 && s.connections == 0 && f.endpoints[s.instance] == s {
		delete(f.endpoints, s.instance)
		delete(f.endpointsByID, s.id)
		f.endpointRemoved(s)
	}
}
