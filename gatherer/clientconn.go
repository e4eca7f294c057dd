package gatherer

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/connadmission"
)

// endReason is the reason why a client connection ended, as it is logged.
type endReason string

const (
	endClientClosed    endReason = "client_closed" // the client closed it between requests or after the answer
	endClientLeft      endReason = "client_left"   // the client closed it while a request was open
	endClientReset     endReason = "client_reset"  // the connection was reset or failed
	endReadLimit       endReason = "read_limit"    // closed locally: a request was not read completely within readTimeout
	endWriteLimit      endReason = "write_limit"   // closed locally: the client did not read the answer in time
	endConnectionClose endReason = "told_close"    // closed locally: the response had Connection: close
	endBadRequest      endReason = "bad_request"   // closed locally: the request was not valid HTTP, or of ambiguous length
	endEvicted         endReason = "made_room"     // closed locally: evicted for a new client, the longest idle connection first
	endOverLimit       endReason = "over_limit"    // closed locally: the request was shed because of a limit
	endIdleLimit       endReason = "idle_limit"    // closed locally: parked for longer than the operator's configuration allows
	endSlowHead        endReason = "slow_head"     // closed locally: the client sent a request head below the minimum rate
	endSlowBody        endReason = "slow_body"     // closed locally: the client sent a request body below the minimum rate
	endSlowAnswer      endReason = "slow_answer"   // closed locally: the client read the answer below the minimum rate
	endStopped         endReason = "stopped"       // closed locally: the gatherer is shutting down
)

// writeChunk is the size in bytes of the chunks in which an answer is written if a minimum rate applies.
const writeChunk = 4 << 10

// clientConn is a client connection. It tracks request boundaries and transfer rates, and records why the connection
// ends.
type clientConn struct {
	net.Conn
	listener  *listener
	id        connadmission.ID
	overLimit bool // opened above the connection or memory limit: its request is shed
	startedAt time.Time
	hasRead   atomic.Bool // at least one byte was read

	mu             sync.Mutex
	framing        requestFramer
	endReason      endReason // why the gatherer closes the connection; "" = it does not
	readErr        error
	aborted        bool // net/http aborted its own read by setting a deadline long past
	closed         bool
	parked         bool // the idle set owns the socket: this object is closed but the connection is open
	requests       int
	idle           bool // waiting for a request, according to net/http
	resumed        bool // was parked, and the head of its next request is incomplete
	phase          ioPhase
	rateDeadline   connadmission.Millis // in a phase: when the client is too slow unless more bytes are transferred
	remainingGrace connadmission.Millis // between writes of an answer: time left until rateDeadline; 0 = no answer is written
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.listener.idleSet != nil && c.isIdle() {
		// A connection that stays idle is parked and then waits without this goroutine.
		c.Conn.SetReadDeadline(time.Now().Add(c.listener.currentParkDelay()))
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetReadDeadline(time.Time{})
			return c.recordRead(b, n, err)
		}
		if c.listener.park(c) {
			return 0, io.EOF // makes net/http call Close, which does nothing for a parked connection
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.Conn.Read(b)
	return c.recordRead(b, n, err)
}

// recordRead records the result of a read, and enters or leaves the phase readingHead. It returns n and err.
func (c *clientConn) recordRead(b []byte, n int, err error) (int, error) {
	if n > 0 && !c.hasRead.Load() {
		c.hasRead.Store(true)
	}
	c.mu.Lock()
	c.framing.feed(b[:n])
	if err != nil {
		c.readErr = err
	}
	begins, ends := false, false
	if n > 0 && c.listener.enforcesMinRate() {
		if c.phase == readingHead || c.phase == readingBody {
			c.recordProgress(n)
		}
		begins = c.phase == noPhase && c.hasPartialHead()
		ends = c.phase == readingHead && !c.framing.inHead()
	}
	c.mu.Unlock()
	switch {
	case begins:
		c.listener.enterPhase(c, readingHead)
	case ends:
		c.listener.enterPhase(c, noPhase)
	}
	return n, err
}

// hasPartialHead reports whether a request head was read partly while no other request is open. The caller holds c.mu.
func (c *clientConn) hasPartialHead() bool {
	return (c.idle || c.resumed || c.requests == 0) && c.framing.inHead()
}

// isIdle reports whether the connection is between requests and no byte of the next one was read.
func (c *clientConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && !c.overLimit && c.framing.atRequestBoundary()
}

// isAmbiguous reports whether the length of the current request, or of an earlier one, is ambiguous.
func (c *clientConn) isAmbiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.firstAmbiguous > 0 && c.requests >= c.framing.firstAmbiguous
}

// readDeadline returns the time by which the current request must be read completely. For the first request the timeout
// counts from the opening of the connection.
func (c *clientConn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests <= 1 {
		return c.startedAt.Add(readTimeout)
	}
	return time.Now().Add(readTimeout)
}

// Write implements net.Conn. If a minimum rate applies to answers, it writes in chunks.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.listener.minRates[writingAnswer].Enabled() {
		n, err := c.Conn.Write(b)
		c.recordWrite(err)
		return n, err
	}
	// Chunks make progress visible while the client reads. The remaining grace carries over from one write of an answer
	// to the next, so that a client that delays each write a little counts as slow like one that delays a single write
	// for long.
	c.listener.enterPhase(c, writingAnswer)
	defer c.listener.enterPhase(c, noPhase)
	written := 0
	for len(b) > 0 {
		n, err := c.Conn.Write(b[:min(len(b), writeChunk)])
		written += n
		if err != nil {
			c.recordWrite(err)
			return written, err
		}
		b = b[n:]
		c.mu.Lock()
		c.recordProgress(n)
		c.mu.Unlock()
	}
	return written, nil
}

// recordWrite records the end reason if a write failed at its deadline.
func (c *clientConn) recordWrite(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setEndReason(endWriteLimit)
	}
}

// SetReadDeadline implements net.Conn. A deadline more than an hour ago means that net/http aborts its read.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && time.Until(t) < -time.Hour
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// setEndReason records why the connection will be closed. Only the first reason is recorded.
func (c *clientConn) setEndReason(reason endReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == "" {
		c.endReason = reason
	}
}

// Close implements net.Conn. It does nothing if the connection is parked, and logs the end of the connection otherwise.
func (c *clientConn) Close() error {
	c.mu.Lock()
	parked := c.parked
	c.mu.Unlock()
	if parked {
		return nil
	}
	err := c.Conn.Close()
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	reason, requests := c.closeReason(), c.requests
	c.mu.Unlock()
	// c.mu is not held here because connClosed locks the listener, whose lock is always taken before that of a
	// connection.
	if first && c.listener.connClosed(c) {
		logClientEnd(c.RemoteAddr().String(), reason, requests, c.startedAt)
	}
	return err
}

// closeReason returns why the connection ended: the recorded reason if there is one, or else one derived from the error
// of the last read. The caller holds c.mu.
func (c *clientConn) closeReason() endReason {
	switch {
	case c.endReason != "":
		return c.endReason
	case errors.Is(c.readErr, io.EOF):
		return endClientClosed
	case errors.Is(c.readErr, os.ErrDeadlineExceeded) && !c.aborted:
		return endReadLimit
	case c.readErr != nil && !errors.Is(c.readErr, net.ErrClosed) && !errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return endClientReset
	}
	return endBadRequest
}

// logClientEnd logs the end of a client connection.
func logClientEnd(client string, reason endReason, requests int, startedAt time.Time) {
	slog.Info("client_conn_end", "client", client, "reason", string(reason), "requests", requests,
		"age_ms", time.Since(startedAt).Milliseconds())
}

// isMarkedIdle reports whether net/http regards the connection as idle, possibly with part of the next request read.
func (c *clientConn) isMarkedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}
