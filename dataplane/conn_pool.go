package dataplane

import (
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/registry"
)

// Time limits and sizes of connections to servers.
const (
	connectTimeout         = 400 * time.Millisecond
	maxResponseBytes       = 16 << 20              // limit of a response body
	maxResponseHeaderBytes = 64 << 10              // limit of a response header
	maxIdleTime            = 14 * time.Second      // default and upper limit of a connection's idle time
	smallRequestBytes      = 8 << 10               // requests up to this size fit into an empty socket buffer; the event loop writes them itself
	loopWriteTimeout       = 10 * time.Millisecond // limit of such a write while the socket buffer may still hold a large request
)

// attemptSink is notified when attempts end. All methods are called on the event loop's goroutine.
type attemptSink interface {
	// attemptEnded is called once for each attempt passed to the pool, unless the attempt has already ended, such as by its
	// timeout. The response is nil if none was received.
	attemptEnded(a *attempt, outcome balancer.Outcome, response *fasthttp.Response)
	// connectFailed is called before attemptEnded if dialing failed.
	connectFailed(e *endpoint, err error)
	// endpointReplaced is called when a response shows that another server now has the endpoint's address.
	endpointReplaced(e *endpoint)
}

// connPool sends attempts over connections to servers. It is owned by the event loop; dialing, reading and large writes
// run on separate goroutines.
type connPool struct {
	process *process
	loop    commandLoop
	sink    attemptSink

	writeBuffer []byte // reused to encode requests
}

func newConnPool(p *process, loop commandLoop) *connPool {
	return &connPool{process: p, loop: loop}
}

// send sends an attempt over an idle connection, or over a new one if there is none. If not a single byte can be written
// to an idle connection, the server has received nothing, and the next idle connection is tried.
func (p *connPool) send(a *attempt) {
	for {
		conn := acquireIdleConn(a)
		if conn == nil {
			break
		}
		if p.write(conn, a) {
			return
		}
	}
	e := a.endpoint
	if len(e.idle) > 0 { // this attempt may use none of them: the one idle longest is closed, which keeps the number of connections constant
		e.idle[0].close()
		e.idle = slices.Delete(e.idle, 0, 1)
	}
	a.conn = nil
	e.connections++
	go p.dial(e, e.address, a)
}

// acquireIdleConn removes the most recently used idle connection to the attempt's server from the pool and returns it,
// nil if none may be used. A connection never carries the same request id twice, as a late copy of the first response
// could not be distinguished from the second response. A request without an id needs a connection of its own.
func acquireIdleConn(a *attempt) *serverConn {
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

// dial dials a connection for an attempt. It runs on a separate goroutine.
func (p *connPool) dial(e *endpoint, address string, a *attempt) {
	conn, err := p.process.network.Dial(address, connectTimeout)
	if !p.loop.post(func() { p.handleDialed(e, conn, err, a) }) && err == nil {
		conn.Close()
	}
}

// handleDialed handles the result of dial.
func (p *connPool) handleDialed(e *endpoint, netConn net.Conn, err error, a *attempt) {
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
	case !e.selectable || e.state != registry.Ready:
		// The server became unavailable during the dial: no request may be sent to it.
		if !a.ended {
			p.sink.attemptEnded(a, balancer.ConnectFailed, nil)
		}
		conn.close()
	case a.ended:
		e.idle = append(e.idle, conn)
	case a.shardCall.request.finished || a.shardCall.response != nil: // the request has finished, or another attempt was faster
		e.idle = append(e.idle, conn)
		p.sink.attemptEnded(a, balancer.NotDispatched, nil)
	case !p.write(conn, a):
		p.sink.attemptEnded(a, balancer.ConnectFailed, nil)
	}
}

// write sends an attempt over a connection. It reports false if the connection failed before a byte was written. A large
// request is written in the background; its write errors are reported through the reading goroutine.
func (p *connPool) write(conn *serverConn, a *attempt) bool {
	a.shardCall.addConn(conn)
	a.conn = conn
	remaining := duration(a.deadline - p.loop.now())
	header, body := a.appendHeader(p.writeBuffer[:0], remaining), a.shardCall.request.body
	conn.begin(a)
	if len(header)+len(body.bytes()) <= smallRequestBytes {
		text := append(header, body.bytes()...)
		p.writeBuffer = text[:0]
		return writeSmall(conn, text)
	}
	p.writeBuffer = nil // the writing goroutine uses this buffer from now on
	conn.carriedLargeRequest = true
	body.retain()
	go writeLarge(conn, header, body, remaining)
	return true
}

// writeLarge writes a large request. The body is not copied, as all attempts of a request share it. It runs on a separate goroutine.
func writeLarge(conn *serverConn, header []byte, body *requestBody, timeout time.Duration) {
	defer body.release()
	conn.conn.SetWriteDeadline(time.Now().Add(timeout))
	n, err := conn.conn.Write(header)
	if err == nil {
		var bodyBytes int
		bodyBytes, err = conn.conn.Write(body.bytes())
		n += bodyBytes
	}
	conn.written(n)
	if err != nil {
		conn.conn.Close() // makes the reading goroutine report the failure
	}
}

// writeSmall writes a small request on the event loop's goroutine. If a preceding large request may still occupy the
// socket buffer, the write is limited to loopWriteTimeout. It reports false if the connection failed before a byte was
// written.
func writeSmall(conn *serverConn, text []byte) bool {
	deadline := time.Time{}
	if conn.carriedLargeRequest {
		deadline = time.Now().Add(loopWriteTimeout)
	}
	conn.conn.SetWriteDeadline(deadline)
	n, err := conn.conn.Write(text)
	conn.written(n)
	if err == nil {
		return true
	}
	if n > 0 {
		conn.conn.Close() // makes the reading goroutine report the failure
		return true
	}
	conn.responseReceived() // nothing was sent, and no response is expected
	conn.close()
	return false
}

// readResponses reads responses until the connection ends. It closes the connection if bytes arrive while no response is
// expected or follow a complete response, as they belong to no request. It runs on a separate goroutine.
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
		outcome, idleTimeout, err := readResponse(conn.reader, a.shardCall.request, first, resp)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			conn.conn.Close()
			p.loop.post(func() { p.connectionLost(conn, outcome) })
			return
		}
		if conn.reader.Buffered() > 0 {
			idleTimeout = 0
		}
		conn.responseReceived()
		if !p.loop.post(func() { p.responseReceived(conn, a, outcome, resp, idleTimeout) }) || idleTimeout == 0 {
			conn.conn.Close()
			return
		}
	}
}

// connectionLost handles the end of a connection and ends the attempt whose response was pending.
func (p *connPool) connectionLost(conn *serverConn, outcome balancer.Outcome) {
	a, outcome := conn.connectionLost(outcome)
	conn.close()
	if a != nil && !a.ended {
		p.sink.attemptEnded(a, outcome, nil)
	}
}

// responseReceived handles a complete response. The connection is put back into the pool for at most idleTimeout, 0 = it
// is closed.
func (p *connPool) responseReceived(conn *serverConn, a *attempt, outcome balancer.Outcome, resp *fasthttp.Response, idleTimeout time.Duration) {
	e := conn.endpoint
	if other := misdirectedInstance(resp); other != "" && other != e.instance && !e.replaced {
		p.process.log.Info().Str("instance", e.instance).Str("found", other).Msg("endpoints: another server has the address")
		e.replaced, idleTimeout = true, 0
		p.sink.endpointReplaced(e)
	}
	if idleTimeout > 0 && e.selectable && !conn.closed && conn.reusable() {
		conn.idleSince, conn.maxIdleTime = time.Now(), idleTimeout
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

// misdirectedInstance returns the instance that a 421 response names as its sender, "" if the response is not a 421 or
// names none.
func misdirectedInstance(resp *fasthttp.Response) string {
	if resp.StatusCode() != fasthttp.StatusMisdirectedRequest {
		return ""
	}
	return string(resp.Header.Peek("X-Instance-Id"))
}
