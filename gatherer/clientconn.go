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

// endReason is why a connection of a client ended: the reason code in the log.
type endReason string

const (
	endClient          endReason = "client_closed" // the client closed it between requests, or after its answer
	endLeft            endReason = "client_left"   // the client closed it while its request was open
	endReset           endReason = "client_reset"  // it broke
	endReadLimit       endReason = "read_limit"    // closed here: a request was incomplete after readTimeout
	endWriteLimit      endReason = "write_limit"   // closed here: the client did not read its answer
	endConnectionClose endReason = "told_close"    // closed here: the answer said Connection: close
	endBadRequest      endReason = "bad_request"   // closed here: not HTTP
	endMadeRoom        endReason = "made_room"     // closed here: idle longest when another client needed its descriptor
	endOverLimit       endReason = "over_limit"    // closed here: opened above the limit, its request was shed
	endIdleLimit       endReason = "idle_limit"    // closed here: parked for longer than the operator's file allows
	endSlowHead        endReason = "slow_head"     // closed here: the head of a request came below the minimum rate
	endSlowBody        endReason = "slow_body"     // closed here: the body of a request came below the minimum rate
	endSlowAnswer      endReason = "slow_answer"   // closed here: the client read its answer below the minimum rate
	endStopped         endReason = "stopped"       // closed here: the program ends
)

// writeChunk is how much of an answer is written at a time if the client must read it at a minimum rate, in bytes.
const writeChunk = 4 << 10

// clientConn is a connection of a client. It records why it ends.
type clientConn struct {
	net.Conn
	listener  *listener
	id        connadmission.ID
	overLimit bool // it was opened above the limit: its request is shed
	startedAt time.Time
	hasRead   atomic.Bool // a byte was read

	mu        sync.Mutex
	framing   requestFramer
	endReason endReason // why it is closed here; "" = it is not
	readErr   error
	aborted   bool // net/http aborts its own read by a deadline long past
	closed    bool
	parked    bool // its socket belongs to the idle set: this object is closed, the connection is open
	requests  int
	idle      bool // it waits for a request
	resumed   bool // it was parked, and the head of its next request is incomplete
	phase     ioPhase
	slowAt    connadmission.Millis // in a phase, when the client is too slow unless more bytes are transferred
	graceLeft connadmission.Millis // between two writes of an answer: what was left until slowAt; 0 = none is written
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.listener.idleSet != nil && c.isIdle() {
		// Between requests it is parked after a while, and waits without this goroutine.
		c.Conn.SetReadDeadline(time.Now().Add(c.listener.lingerDuration()))
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetReadDeadline(time.Time{})
			return c.recordRead(b, n, err)
		}
		if c.listener.park(c) {
			return 0, io.EOF // net/http closes it, and Close does nothing
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.Conn.Read(b)
	return c.recordRead(b, n, err)
}

// recordRead records the result of a read.
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

// hasPartialHead reports whether the head of a request was read partly, and no other request is open. Its lock is held.
func (c *clientConn) hasPartialHead() bool {
	return (c.idle || c.resumed || c.requests == 0) && c.framing.inHead()
}

// isIdle reports whether it is between requests, with no byte of the next one read.
func (c *clientConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && !c.overLimit && c.framing.atRequestBoundary()
}

// isAmbiguous reports whether the length of the present request, or of one before it, is ambiguous.
func (c *clientConn) isAmbiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ambiguousAt > 0 && c.requests >= c.framing.ambiguousAt
}

// readDeadline returns when the present request must be read completely. For the first one it counts from the opening of
// the connection.
func (c *clientConn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests <= 1 {
		return c.startedAt.Add(readTimeout)
	}
	return time.Now().Add(readTimeout)
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.listener.minRates[writingAnswer].Enabled() {
		n, err := c.Conn.Write(b)
		c.recordWrite(err)
		return n, err
	}
	// Written in chunks, so that progress shows while the client reads. Its grace carries over from one write of an
	// answer to the next, so that a client that delays each of them a little is as slow as one that delays one for long.
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

// recordWrite records the result of a write.
func (c *clientConn) recordWrite(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setEndReason(endWriteLimit)
	}
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && time.Until(t) < -time.Hour
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// setEndReason records why the connection is going to be closed. The first reason is kept.
func (c *clientConn) setEndReason(reason endReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == "" {
		c.endReason = reason
	}
}

// Close implements net.Conn. It does nothing if the connection is parked.
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
	// Without its own lock: everywhere else the listener's lock is taken first.
	if first && c.listener.connClosed(c) {
		logClientEnd(c.RemoteAddr().String(), reason, requests, c.startedAt)
	}
	return err
}

// closeReason returns why the connection ended: the recorded reason, or else that of the last read. Its lock is held.
func (c *clientConn) closeReason() endReason {
	switch {
	case c.endReason != "":
		return c.endReason
	case errors.Is(c.readErr, io.EOF):
		return endClient
	case errors.Is(c.readErr, os.ErrDeadlineExceeded) && !c.aborted:
		return endReadLimit
	case c.readErr != nil && !errors.Is(c.readErr, net.ErrClosed) && !errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return endReset
	}
	return endBadRequest
}

func logClientEnd(client string, reason endReason, requests int, startedAt time.Time) {
	slog.Info("client_conn_end", "client", client, "reason", string(reason), "requests", requests,
		"age_ms", time.Since(startedAt).Milliseconds())
}

func (c *clientConn) isMarkedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}
