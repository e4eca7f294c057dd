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

// Why a client's connection ended: the reason codes of its log line.
const (
	endClient          = "client_closed" // the client closed it between requests, or after its answer
	endLeft            = "client_left"   // the client closed it while its search was open
	endReset           = "client_reset"  // it broke
	endReadLimit       = "read_limit"    // ours: a request did not come whole in time
	endWriteLimit      = "write_limit"   // ours: the client did not read its answer
	endConnectionClose = "told_close"    // ours: the answer said Connection: close
	endBadRequest      = "bad_request"   // ours: what came is not HTTP
	endMadeRoom        = "made_room"     // ours: idle longest when another client came at the limit
	endOverLimit       = "over_limit"    // ours: it came past the limit and was shed
	endIdleLimit       = "idle_limit"    // ours: parked for longer than the operator's file allows
	endSlowHead        = "slow_head"     // ours: its head came at less than the least rate
	endSlowBody        = "slow_body"     // ours: its body came at less than the least rate
	endSlowAnswer      = "slow_answer"   // ours: its client read the answer at less than the least rate
	endStopped         = "stopped"       // ours: the program ends
)

// clientConn is a client's connection; it remembers why it ended.
type clientConn struct {
	net.Conn
	listener  *listener
	id        connadmission.ID
	overLimit bool // it came past the limit
	startedAt time.Time
	hasRead   atomic.Bool // a byte has come

	mu        sync.Mutex
	framing   requestFramer
	endReason string // set by whoever ends it here
	readErr   error
	aborted   bool // net/http breaks off its own reading by a limit long past
	closed    bool
	parked    bool // its socket has been taken over: this connection is over, the client's is not
	requests  int
	idle      bool // it waits for a request
	resumed   bool // it was parked, and its next request's head is not whole
	phase     ioPhase
	slowAt    connadmission.Millis // in a phase: when the client is too slow if nothing moves until then
	graceLeft connadmission.Millis // of the present answer, between two writes: what was left until then; 0 = nothing of it is written
}

func (c *clientConn) Read(b []byte) (int, error) {
	if c.listener.idleSet != nil && c.isIdle() {
		// Between requests: after a while it waits without this goroutine.
		c.Conn.SetReadDeadline(time.Now().Add(c.listener.lingerDuration()))
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetReadDeadline(time.Time{})
			return c.recordRead(b, n, err)
		}
		if c.listener.park(c) {
			return 0, io.EOF // net/http lets go of it, and Close does nothing
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.Conn.Read(b)
	return c.recordRead(b, n, err)
}

// recordRead notes what a read brought.
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

// hasPartialHead tells whether part of a head has come, and nothing else is being dealt with. Its lock is held.
func (c *clientConn) hasPartialHead() bool {
	return (c.idle || c.resumed || c.requests == 0) && c.framing.inHead()
}

// isIdle tells whether it is between requests, with no byte of the next one read.
func (c *clientConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && !c.overLimit && c.framing.atRequestBoundary()
}

// isAmbiguous tells whether the present request, or one before it, can be read in two ways.
func (c *clientConn) isAmbiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ambiguousAt > 0 && c.requests >= c.framing.ambiguousAt
}

// readDeadline is when the present request must have come whole. The first counts from the connection's beginning.
func (c *clientConn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests <= 1 {
		return c.startedAt.Add(readTimeout)
	}
	return time.Now().Add(readTimeout)
}

func (c *clientConn) Write(b []byte) (int, error) {
	if !c.listener.minRates[writingAnswer].Enabled() {
		n, err := c.Conn.Write(b)
		c.recordWrite(err)
		return n, err
	}
	// In pieces, so that what the client reads is seen while it reads. What was left of its grace counts on from one
	// write of an answer to the next: who lets each of them wait is as slow as who lets one wait for long.
	c.listener.enterPhase(c, writingAnswer)
	defer c.listener.enterPhase(c, noPhase)
	all := 0
	for len(b) > 0 {
		n, err := c.Conn.Write(b[:min(len(b), writeChunk)])
		all += n
		if err != nil {
			c.recordWrite(err)
			return all, err
		}
		b = b[n:]
		c.mu.Lock()
		c.recordProgress(n)
		c.mu.Unlock()
	}
	return all, nil
}

// writeChunk is how much of an answer is written at a time where its client is held to a least rate.
const writeChunk = 4 << 10

// recordWrite notes how a write ended.
func (c *clientConn) recordWrite(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setEndReason(endWriteLimit)
	}
}

func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && time.Until(t) < -time.Hour
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// setEndReason notes why the connection is about to end. The first reason stands.
func (c *clientConn) setEndReason(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == "" {
		c.endReason = why
	}
}

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
	why, requests := c.closeReason(), c.requests
	c.mu.Unlock()
	// Not under its own lock: the listener's is taken before a connection's everywhere else.
	if first && c.listener.connClosed(c) {
		logClientEnd(c.RemoteAddr().String(), why, requests, c.startedAt)
	}
	return err
}

func (c *clientConn) closeReason() string {
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

func logClientEnd(client, why string, requests int, began time.Time) {
	slog.Info("client_conn_end", "client", client, "reason", why, "requests", requests, "age_ms", time.Since(began).Milliseconds())
}
