package dataplane

import (
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/registry"
)

// Bounds on what passes between this gatherer and servers.
const (
	connectTimeout      = 400 * time.Millisecond
	maxResponseBytes    = 16 << 20 // of one answer's body
	maxIdle             = 14 * time.Second
	responseBufferBytes = 4096
	smallRequestBytes   = 8 << 10               // a request so short is written at once: nothing else is in its connection's buffers
	loopWriteTimeout    = 10 * time.Millisecond // the owner waits for no connection longer
)

// dispatch does what brain.Send says.
func (f *Gateway) dispatch(a balancer.Send) {
	p, s := f.shardCalls[a.Call], f.endpoints.byID[a.Server]
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
	s.load.add(now, 1)
	f.quota.acquire(c, now)
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
		s.idle[0].close()
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
			l.close()
			continue
		}
		return l
	}
	return nil
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
			f.outliers.recordConnectFailure(s, err)
			f.attemptEnded(c, balancer.ConnectFailed, nil)
		}
		return
	}
	l := newServerConn(nc, s)
	f.process.goroutines.Go(func() { f.readResponses(l) })
	switch {
	case !s.listed || s.state != registry.Ready:
		// It left while the connection was made: nothing may reach it any more.
		if !c.ended {
			f.attemptEnded(c, balancer.ConnectFailed, nil)
		}
		l.close()
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
	c.shardCall.addConn(l)
	c.conn = l
	left := duration(c.deadline - f.loop.now())
	b := c.appendRequest(f.writeBuffer[:0], left)
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
	l.close()
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
	l.close()
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
			f.endpoints.sync()
		}
	}
	if keep > 0 && s.listed && !l.closed && l.reusable() {
		l.usedAt, l.maxIdle = time.Now(), keep
		s.idle = append(s.idle, l)
	} else {
		l.close()
	}
	if c.ended || c.conn != l {
		fasthttp.ReleaseResponse(resp)
		return
	}
	f.attemptEnded(c, outcome, resp)
}

// attemptEnded tells brain a sub-request's outcome. A connection whose answer is still due is closed: the answer would be
// nobody's.
func (f *Gateway) attemptEnded(c *attempt, outcome balancer.Outcome, resp *fasthttp.Response) {
	p, s := c.shardCall, c.shardCall.request
	c.ended = true
	p.attempts[c.number] = nil
	p.inFlight--
	c.endpoint.load.add(f.loop.now(), -1)
	f.quota.release(c, f.loop.now())
	if c.conn != nil && resp == nil {
		c.conn.close()
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
		f.outliers.recordSuccess(c.endpoint)
	}
	f.endpoints.removeIfGone(c.endpoint)
}
