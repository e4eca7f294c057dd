package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"io"
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

// Time limits of client requests.
const (
	defaultDeadline = 30 * time.Second // for requests without X-Deadline-Remaining; also the upper limit
	minBodyTimeout  = 10 * time.Second // lower limit of the timeout for reading a body

	noMemoryRetryAfter  = 300 * time.Millisecond // Retry-After while the bodies of other requests use all memory
	rejectedBodyTimeout = time.Second            // time for which the body of a rejected request is discarded
)

// clientConn is a client's connection. Its requests are served one at a time, by one goroutine.
type clientConn struct {
	conn   net.Conn
	reader *messageReader
	req    fasthttp.Request // the current request
	buffer []byte           // reused to encode responses
	merger topk.Selector
	busy   atomic.Bool // a request is being read or processed

	configured bool // a configuration was active when the current request began; otherwise the limits are defaults

	evicted bool        // closed to stay within the connection limit; guarded by clientConns.mu
	results chan result // the result of the current request; capacity 1

	deliverMu sync.Mutex // held by deliver from sending a result until it has interrupted the pending read
}

func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{conn: conn, reader: newMessageReader(conn, initialReadBufferBytes), results: make(chan result, 1)}
}

// interruptRead makes a pending or later read fail with a timeout until the read deadline is set again.
func (c *clientConn) interruptRead() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// deliver passes a request's result to the connection's goroutine, which waits in awaitResult. The event loop calls it
// once per request.
func (c *clientConn) deliver(res result) {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	c.results <- res
	c.interruptRead()
}

// errClientDisconnected is returned by awaitResult when the client has closed the connection or its sending side.
var errClientDisconnected = errors.New("the client has left")

// errStopped is returned by awaitResult when the gateway has stopped.
var errStopped = errors.New("the gateway stops")

// awaitResult waits for the result of the current request. It reads from the connection meanwhile, so that a disconnect
// is detected at once; bytes of a pipelined request stay in the buffer. No second goroutine is needed, as deliver
// interrupts the read.
func (c *clientConn) awaitResult(stopped <-chan struct{}) (result, error) {
	for {
		// The deadline must be cleared before the results are checked: a result sent after this line interrupts the read.
		c.conn.SetReadDeadline(time.Time{})
		select {
		case res := <-c.results:
			c.deliverMu.Lock() // waits until deliver has interrupted the read; a later interrupt would fail the read of the next request
			c.deliverMu.Unlock()
			return res, nil
		case <-stopped:
			return result{}, errStopped
		default:
		}
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, bufio.ErrBufferFull):
			if c.reader.grow() {
				continue
			}
			return c.awaitResultBufferFull(stopped)
		default:
			return result{}, errClientDisconnected
		}
	}
}

// awaitResultBufferFull waits for the result once the read buffer is full. A disconnect is no longer detected.
func (c *clientConn) awaitResultBufferFull(stopped <-chan struct{}) (result, error) {
	select {
	case res := <-c.results:
		c.deliverMu.Lock()
		c.deliverMu.Unlock()
		return res, nil
	case <-stopped:
		return result{}, errStopped
	}
}

// wantsKeepAlive reports whether the current request allows the connection to stay open after its response.
func (c *clientConn) wantsKeepAlive() bool {
	return !c.req.Header.ConnectionClose() && c.req.Header.IsHTTP11()
}

// takeBody returns the body that was read. The connection does not refer to it any more: it would otherwise keep the body in memory until
// its next request.
func (c *clientConn) takeBody() []byte {
	if len(c.req.Body()) == 0 {
		return nil
	}
	return c.req.SwapBody(nil)
}

// newRequest converts the request that was read for the dispatcher. It returns nil if no route matches.
func (c *clientConn) newRequest(active *activeConfig, body *requestBody) *request {
	header := &c.req.Header
	uri := string(header.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	configured := active.table.Find(string(header.Host()), path)
	if configured == nil {
		return nil
	}
	fields := readFields(header)
	return &request{
		route:     active.routes[configured],
		method:    string(header.Method()),
		uri:       uri,
		header:    fields.forwarded,
		body:      body,
		attemptID: fields.attemptID,
		deadline:  requestDeadline(fields.deadline),
		deliver:   c.deliver,
	}
}

// requestDeadline returns the time allowed for the response: the value of X-Deadline-Remaining in milliseconds, but at most
// defaultDeadline, which also applies if the field is missing or invalid.
func requestDeadline(value []byte) balancer.Time {
	deadline := ticks(defaultDeadline)
	ms, err := strconv.ParseFloat(string(value), 64)
	if err == nil && ms >= 0 {
		deadline = min(deadline, ticksFromMillis(ms))
	}
	return deadline
}

// readHeader reads the header of a request. If it reports false, the connection must be closed; an error response has
// been written where that was possible.
func (c *clientConn) readHeader(limits config.Limits) bool {
	c.req.Reset()
	c.req.Header.DisableNormalizing()
	c.reader.setHeaderLimit(limits.HeaderBytes)
	if !c.checkRequestLine() {
		c.writeError(fasthttp.StatusBadRequest, textRequestLineEnd, 0, false)
		return false
	}
	err := c.reader.readHeader(c.req.Header.Read)
	switch {
	case err == nil:
		return true
	case isSmallBuffer(err):
		c.rejectLimitExceeded(fasthttp.StatusRequestHeaderFieldsTooLarge, textHeaderTooLong)
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		c.writeError(fasthttp.StatusRequestTimeout, textHeaderTimeout, 0, false)
	case c.reader.Buffered() > 0 || !isConnectionEnd(err):
		c.writeError(fasthttp.StatusBadRequest, textMalformedRequest, 0, false)
	}
	return false
}

// rejectLimitExceeded rejects a request that exceeds a limit. While no configuration is active, the request may be within the limits of
// the configuration that this gateway does not know yet: the response then states that it can be retried.
func (c *clientConn) rejectLimitExceeded(status int, text string) {
	if c.configured {
		c.writeError(status, text, 0, false)
		return
	}
	c.writeError(fasthttp.StatusServiceUnavailable, textNoConfiguration, noConfigRetryAfter, false)
}

// checkRequestLine skips empty lines and reports whether the request line ends in CR LF. It also reports true if the
// connection fails or the buffer is full before the end of the line; the header parser then detects the fault.
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

// maxBodyBytes returns the greatest size of the body of the request whose header was read; 0 if it has none or will be rejected for
// its size.
func (c *clientConn) maxBodyBytes(limits config.Limits) int {
	switch length := c.req.Header.ContentLength(); {
	case length == lengthChunked:
		return limits.BodyBytes
	case length < 0 || length > limits.BodyBytes:
		return 0
	default:
		return length
	}
}

// rejectBody rejects a request before its body is read. What the client has sent meanwhile is discarded, as closing a connection with unread
// bytes would reset it, and the client might lose the response.
func (c *clientConn) rejectBody() {
	if !c.writeError(fasthttp.StatusServiceUnavailable, textNoMemory, noMemoryRetryAfter, false) {
		return
	}
	if conn, ok := c.conn.(interface{ CloseWrite() error }); ok {
		conn.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(rejectedBodyTimeout))
	io.Copy(io.Discard, c.reader)
}

// readBody checks that the framing of the request is unambiguous and reads its body. The header must have been read. If
// it reports false, the connection must be closed; an error response has been written where that was possible.
func (c *clientConn) readBody(limits config.Limits) bool {
	if err := checkFraming(&c.req); err != nil {
		c.writeError(fasthttp.StatusBadRequest, err.Error(), 0, false)
		return false
	}
	length := c.req.Header.ContentLength()
	if length > limits.BodyBytes {
		c.rejectLimitExceeded(fasthttp.StatusRequestEntityTooLarge, textBodyTooLong)
		return false
	}
	if length <= 0 && length != lengthChunked {
		return true // no body
	}
	if !c.continueRequest() {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(max(fromMillis(limits.HeaderTimeoutMS), minBodyTimeout)))
	if length > 0 {
		c.req.SwapBody(make([]byte, 0, length)) // of the exact size: the parser would round it up to a power of 2
	}
	if err := c.req.ReadBody(c.reader.Reader, length, limits.BodyBytes); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			c.rejectLimitExceeded(fasthttp.StatusRequestEntityTooLarge, textBodyTooLong)
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

// continueRequest sends the interim response 100 to a client that expects it before sending the body. It reports false if
// the write failed.
func (c *clientConn) continueRequest() bool {
	if !expectsContinue(&c.req.Header) {
		return true
	}
	_, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err == nil
}

// isTimeout reports whether an error in the chain of err is a timeout.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isConnectionEnd reports whether the connection was closed or reset. The header parser includes the cause only in its
// error text, so that errors.Is cannot detect it.
func isConnectionEnd(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "closed")
}
