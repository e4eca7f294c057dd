package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/topk"
)

// Timing of requests.
const (
	defaultDeadline = 30 * time.Second // of a request that states none, and the longest
	minBodyTimeout  = 10 * time.Second
)

// clientConn is one connection of a client.
type clientConn struct {
	conn    net.Conn
	reader  *bufio.Reader
	req     fasthttp.Request // the current request
	buffer  []byte           // for responses
	merger  topk.Selector
	busy    atomic.Bool // a request is being read or answered
	evicted bool        // guarded by the lock of clientConns
	results chan result

	delivering sync.Mutex // held from when a result is sent until the wait for it was interrupted
}

func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{conn: conn, results: make(chan result, 1)}
}

// interruptRead makes the connection's goroutine end if it waits for a request.
func (c *clientConn) interruptRead() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// deliver passes a request's result to the connection's goroutine, which waits in awaitResult. The loop calls it, once a request.
func (c *clientConn) deliver(outcome result) {
	c.delivering.Lock()
	defer c.delivering.Unlock()
	c.results <- outcome
	c.interruptRead()
}

// errClientLeft is returned by awaitResult when the client has closed the connection or its way of sending.
var errClientLeft = errors.New("the client has left")

// errStopped is returned by awaitResult when the gateway stops.
var errStopped = errors.New("the gateway stops")

// awaitResult waits for the result of the current request. It reads on meanwhile, so that a client that leaves is noticed at once;
// bytes of a next request stay in the buffer. It takes no goroutine besides the connection's own: deliver interrupts the read.
func (c *clientConn) awaitResult(stopped <-chan struct{}) (result, error) {
	for {
		// In this order: a result that is sent from here on interrupts the read.
		c.conn.SetReadDeadline(time.Time{})
		select {
		case outcome := <-c.results:
			c.delivering.Lock() // until deliver has interrupted the read, which would otherwise end the next one
			c.delivering.Unlock()
			return outcome, nil
		case <-stopped:
			return result{}, errStopped
		default:
		}
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, bufio.ErrBufferFull):
			return c.awaitFull(stopped)
		default:
			return result{}, errClientLeft
		}
	}
}

// awaitFull waits for the result while no more of what the client sends can be kept.
func (c *clientConn) awaitFull(stopped <-chan struct{}) (result, error) {
	select {
	case outcome := <-c.results:
		c.delivering.Lock()
		c.delivering.Unlock()
		return outcome, nil
	case <-stopped:
		return result{}, errStopped
	}
}

// wantsKeepAlive reports whether the client may send another request over the connection.
func (c *clientConn) wantsKeepAlive() bool {
	return !c.req.Header.ConnectionClose() && c.req.Header.IsHTTP11()
}

// newRequest returns the request that was read for the dispatcher, nil = no route matches.
func (c *clientConn) newRequest(active *activeConfig) *request {
	header := &c.req.Header
	uri := string(header.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	configured := active.table.Find(string(header.Host()), path)
	if configured == nil {
		return nil
	}
	return &request{
		route:     active.routes[configured],
		method:    string(header.Method()),
		uri:       uri,
		header:    forwardedHeaders(&c.req),
		body:      bytes.Clone(c.req.Body()),
		attemptID: string(header.Peek("X-Attempt-Id")),
		deadline:  requestDeadline(header),
		deliver:   c.deliver,
	}
}

// requestDeadline returns the time that a request states for its response, at most the default.
func requestDeadline(header *fasthttp.RequestHeader) balancer.Time {
	deadline := ticks(defaultDeadline)
	ms, err := strconv.ParseFloat(string(header.Peek("X-Deadline-Remaining")), 64)
	if err == nil && ms >= 0 {
		deadline = min(deadline, ticksFromMillis(ms))
	}
	return deadline
}

// readHeader reads the header of a request. Where it reports false, the connection is to be closed, and an error response has been
// written if one can be.
func (c *clientConn) readHeader(limits config.Limits) bool {
	c.req.Reset()
	c.req.Header.DisableNormalizing()
	if !c.checkRequestLine() {
		c.writeError(fasthttp.StatusBadRequest, textRequestLineEnd, 0, false)
		return false
	}
	err := c.req.Header.Read(c.reader)
	if err == nil {
		return true
	}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		c.writeError(fasthttp.StatusRequestHeaderFieldsTooLarge, textHeaderTooLong, 0, false)
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		c.writeError(fasthttp.StatusRequestTimeout, textHeaderTimeout, 0, false)
	case c.reader.Buffered() > 0 || !isConnectionEnd(err):
		c.writeError(fasthttp.StatusBadRequest, textMalformedRequest, 0, false)
	}
	return false
}

// checkRequestLine skips empty lines and reports whether the first line ends in CR LF. A line that is not complete yet is left to the
// header parser.
func (c *clientConn) checkRequestLine() bool {
	for n := 1; ; n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return true
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		switch end := bytes.IndexByte(b, '\n'); {
		case end == 0 || end > 0 && b[end-1] != '\r':
			return false
		case end == 1:
			c.reader.Discard(2)
		case end > 1:
			return true
		}
	}
}

// readBody reads the body of a request whose header was read, once its framing is found unambiguous. Where it reports false, the
// connection is to be closed, and an error response has been written if one can be.
func (c *clientConn) readBody(limits config.Limits) bool {
	if err := checkFraming(&c.req); err != nil {
		c.writeError(fasthttp.StatusBadRequest, err.Error(), 0, false)
		return false
	}
	length := c.req.Header.ContentLength()
	if length > limits.BodyBytes {
		c.writeError(fasthttp.StatusRequestEntityTooLarge, textBodyTooLong, 0, false)
		return false
	}
	if length <= 0 && length != lengthChunked {
		return true // no body
	}
	if !c.continueRequest() {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(max(fromMillis(limits.HeaderTimeoutMS), minBodyTimeout)))
	if err := c.req.ReadBody(c.reader, length, limits.BodyBytes); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			c.writeError(fasthttp.StatusRequestEntityTooLarge, textBodyTooLong, 0, false)
		}
		return false
	}
	if length != lengthChunked {
		return true
	}
	if err := skipTrailer(c.reader); err != nil {
		c.writeError(fasthttp.StatusBadRequest, textMalformedTrailer, 0, false)
		return false
	}
	return true
}

// continueRequest sends an interim response to a client that waits for one before it sends the body. It reports false if the connection
// has ended.
func (c *clientConn) continueRequest() bool {
	if !bytes.EqualFold(c.req.Header.Peek("Expect"), []byte("100-continue")) {
		return true
	}
	_, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err == nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isConnectionEnd reports whether the client has closed the connection. The header parser wraps the cause in text only.
func isConnectionEnd(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "closed")
}
