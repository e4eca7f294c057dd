package dataplane

import (
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/registry"
)

// Timing and bounds of connections to servers.
const (
	connectTimeout      = 400 * time.Millisecond
	maxResponseBytes    = 16 << 20 // of one response's body
	responseBufferBytes = 4096
	maxIdle             = 14 * time.Second
	smallRequestBytes   = 8 << 10               // a request so short is written by the loop: the socket's buffer has room for it
	loopWriteTimeout    = 10 * time.Millisecond // where the buffer may not be empty, the loop waits no longer
)

// attemptSink is notified of the ends of attempts. All methods are called on the loop's goroutine.
type attemptSink interface {
	// attemptEnded is called once for each attempt passed to the pool; response is nil where none came.
	attemptEnded(a *attempt, outcome balancer.Outcome, response *fasthttp.Response)
	// connectFailed is called before attemptEnded where no connection could be made.
	connectFailed(e *endpoint, err error)
	// endpointReplaced is called when another server turns out to have an endpoint's address.
	endpointReplaced(e *endpoint)
}

// connPool sends attempts over connections to servers. It is owned by the loop; dialling, reading and large writes run on goroutines
// of their own.
type connPool struct {
	process *process
	loop    commandLoop
	sink    attemptSink

	writeBuffer []byte
}

func newConnPool(p *process, loop commandLoop) *connPool {
	return &connPool{process: p, loop: loop}
}

// send sends an attempt over an idle connection, or over a new one where there is none. A connection that takes no byte any more has
// sent nothing: the next one is tried.
func (p *connPool) send(a *attempt) {
	for {
		conn := takeIdleConn(a)
		if conn == nil {
			break
		}
		if p.write(conn, a) {
			return
		}
	}
	e := a.endpoint
	if len(e.idle) > 0 { // none that this attempt may use: one makes room
		e.idle[0].close()
		e.idle = slices.Delete(e.idle, 0, 1)
	}
	a.conn = nil
	e.connections++
	go p.connect(e, e.address, a)
}

// takeIdleConn takes the connection to an attempt's server that was used last, nil = none may be used. A connection never carries the
// same request id twice: a late copy of the first response could not be distinguished from the second. A request without an id needs a
// connection of its own.
func takeIdleConn(a *attempt) *serverConn {
	e := a.endpoint
	if a.shardCall.request.attemptID == "" {
		return nil
	}
	for i := len(e.idle) - 1; i >= 0; i-- {
		conn := e.idle[i]
		if a.shardCall.usedConn(conn) {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if conn.expired() {
			conn.close()
			continue
		}
		return conn
	}
	return nil
}

// connect makes a connection for an attempt. It runs on a goroutine of its own.
func (p *connPool) connect(e *endpoint, address string, a *attempt) {
	conn, err := p.process.network.Dial(address, connectTimeout)
	if !p.loop.post(func() { p.connected(e, conn, err, a) }) && err == nil {
		conn.Close()
	}
}

// connected takes the result of connect.
func (p *connPool) connected(e *endpoint, netConn net.Conn, err error, a *attempt) {
	if err != nil {
		e.connections--
		if !a.ended {
			p.sink.connectFailed(e, err)
			p.sink.attemptEnded(a, balancer.ConnectFailed, nil)
		}
		return
	}
	conn := newServerConn(netConn, e)
	p.process.goroutines.Go(func() { p.readResponses(conn) })
	switch {
	case !e.listed || e.state != registry.Ready:
		// The server left while the connection was made: nothing may reach it any more.
		if !a.ended {
			p.sink.attemptEnded(a, balancer.ConnectFailed, nil)
		}
		conn.close()
	case a.ended:
		e.idle = append(e.idle, conn)
	case a.shardCall.request.finished || a.shardCall.response != nil: // another attempt was faster
		e.idle = append(e.idle, conn)
		p.sink.attemptEnded(a, balancer.NotDispatched, nil)
	case !p.write(conn, a):
		p.sink.attemptEnded(a, balancer.ConnectFailed, nil)
	}
}

// write sends an attempt over a connection. It reports false where the connection has ended without taking a byte.
func (p *connPool) write(conn *serverConn, a *attempt) bool {
	a.shardCall.addConn(conn)
	a.conn = conn
	remaining := duration(a.deadline - p.loop.now())
	text := a.appendRequest(p.writeBuffer[:0], remaining)
	conn.begin(a)
	if len(text) <= smallRequestBytes {
		p.writeBuffer = text[:0]
		return writeSmall(conn, text)
	}
	p.writeBuffer = nil // the writing goroutine keeps it
	conn.carriedLarge = true
	go writeLarge(conn, text, remaining)
	return true
}

// writeLarge writes a large request. It runs on a goroutine of its own.
func writeLarge(conn *serverConn, text []byte, timeout time.Duration) {
	conn.conn.SetWriteDeadline(time.Now().Add(timeout))
	n, err := conn.conn.Write(text)
	conn.written(n)
	if err != nil {
		conn.conn.Close() // the reading goroutine sees it
	}
}

// writeSmall writes a small request on the loop's goroutine. What a large one before it may have left in the socket's buffer delays
// the loop for a moment only. It reports false where the connection has ended without taking a byte.
func writeSmall(conn *serverConn, text []byte) bool {
	deadline := time.Time{}
	if conn.carriedLarge {
		deadline = time.Now().Add(loopWriteTimeout)
	}
	conn.conn.SetWriteDeadline(deadline)
	n, err := conn.conn.Write(text)
	conn.written(n)
	if err == nil {
		return true
	}
	if n > 0 {
		conn.conn.Close() // the reading goroutine sees it
		return true
	}
	conn.responseReceived() // nothing was sent, and no response is expected
	conn.close()
	return false
}

// readResponses reads responses until the connection ends. It is closed where something comes while no response is expected, or
// beyond one: that belongs to no request. It runs on a goroutine of its own.
func (p *connPool) readResponses(conn *serverConn) {
	for first := true; ; first = false {
		_, err := conn.reader.Peek(1)
		a := conn.pending()
		if err != nil || a == nil {
			conn.conn.Close()
			p.loop.post(func() { p.connectionLost(conn, balancer.Reset) })
			return
		}
		resp := fasthttp.AcquireResponse()
		outcome, keep, err := readResponse(conn.reader, a.shardCall.request, first, resp)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			conn.conn.Close()
			p.loop.post(func() { p.connectionLost(conn, outcome) })
			return
		}
		if conn.reader.Buffered() > 0 {
			keep = 0
		}
		conn.responseReceived()
		if !p.loop.post(func() { p.responseReceived(conn, a, outcome, resp, keep) }) || keep == 0 {
			conn.conn.Close()
			return
		}
	}
}

// connectionLost takes the end of a connection.
func (p *connPool) connectionLost(conn *serverConn, outcome balancer.Outcome) {
	a, outcome := conn.connectionLost(outcome)
	conn.close()
	if a != nil && !a.ended {
		p.sink.attemptEnded(a, outcome, nil)
	}
}

// responseReceived takes a complete response, after which its connection may stay idle for the time of keep.
func (p *connPool) responseReceived(conn *serverConn, a *attempt, outcome balancer.Outcome, resp *fasthttp.Response, keep time.Duration) {
	e := conn.endpoint
	if other := misdirectedTo(resp); other != "" && other != e.instance && !e.replaced {
		p.process.log.Info().Str("instance", e.instance).Str("found", other).Msg("endpoints: another server has the address")
		e.replaced, keep = true, 0
		p.sink.endpointReplaced(e)
	}
	if keep > 0 && e.listed && !conn.closed && conn.reusable() {
		conn.usedAt, conn.maxIdle = time.Now(), keep
		e.idle = append(e.idle, conn)
	} else {
		conn.close()
	}
	if a.ended || a.conn != conn {
		fasthttp.ReleaseResponse(resp)
		return
	}
	p.sink.attemptEnded(a, outcome, resp)
}

// misdirectedTo returns the instance that answered in place of the one addressed, "" = the right one or an unknown one.
func misdirectedTo(resp *fasthttp.Response) string {
	if resp.StatusCode() != fasthttp.StatusMisdirectedRequest {
		return ""
	}
	return string(resp.Header.Peek("X-Instance-Id"))
}
