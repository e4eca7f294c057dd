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
	endClient     = "client_closed" // the client closed it between requests, or after its answer
	endLeft       = "client_left"   // the client closed it while its search was open
	endReset      = "client_reset"  // it broke
	endReadLimit  = "read_limit"    // ours: a request did not come whole in time
	endWriteLimit = "write_limit"   // ours: the client did not read its answer
	endToldClose  = "told_close"    // ours: the answer said Connection: close
	endBadRequest = "bad_request"   // ours: what came is not HTTP
	endMadeRoom   = "made_room"     // ours: idle longest when another client came at the limit
	endOverLimit  = "over_limit"    // ours: it came past the limit and was shed
	endIdleLimit  = "idle_limit"    // ours: parked for longer than the operator's file allows
	endSlowHead   = "slow_head"     // ours: its head came at less than the least rate
	endSlowBody   = "slow_body"     // ours: its body came at less than the least rate
	endSlowAnswer = "slow_answer"   // ours: its client read the answer at less than the least rate
	endStopped    = "stopped"       // ours: the program ends
)

// clientConn is a client's connection; it remembers why it ended.
type clientConn struct {
	net.Conn
	l     *listener
	id    connadmission.ID
	over  bool // it came past the limit
	began time.Time
	begun atomic.Bool // a byte has come

	mu       sync.Mutex
	framing  framing
	why      string // set by whoever ends it here
	readErr  error
	aborted  bool // net/http breaks off its own reading by a limit long past
	closed   bool
	parked   bool // its socket has been taken over: this connection is over, the client's is not
	requests int
	resting  bool // it waits for a request
	woken    bool // it was parked, and its next request's head is not whole
	phase    phase
	due      connadmission.Time // in a phase: when the client is too slow if nothing moves until then
	left     connadmission.Time // of the present answer, between two writes: what was left until then; 0 = nothing of it is written
}

func (c *clientConn) Read(b []byte) (int, error) {
	if c.l.set != nil && c.restful() {
		// Between requests: after a while it waits without this goroutine.
		c.Conn.SetReadDeadline(time.Now().Add(c.l.lingers()))
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetReadDeadline(time.Time{})
			return c.came(b, n, err)
		}
		if c.l.park(c) {
			return 0, io.EOF // net/http lets go of it, and Close does nothing
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.Conn.Read(b)
	return c.came(b, n, err)
}

// came notes what a read brought.
func (c *clientConn) came(b []byte, n int, err error) (int, error) {
	if n > 0 && !c.begun.Load() {
		c.begun.Store(true)
	}
	c.mu.Lock()
	c.framing.take(b[:n])
	if err != nil {
		c.readErr = err
	}
	begins, ends := false, false
	if n > 0 && c.l.paces() {
		if c.phase == readsHead || c.phase == readsBody {
			c.moved(n)
		}
		begins = c.phase == noPhase && c.headOpen()
		ends = c.phase == readsHead && !c.framing.inHead()
	}
	c.mu.Unlock()
	switch {
	case begins:
		c.l.enter(c, readsHead)
	case ends:
		c.l.enter(c, noPhase)
	}
	return n, err
}

// headOpen tells whether part of a head has come, and nothing else is being dealt with. Its lock is held.
func (c *clientConn) headOpen() bool {
	return (c.resting || c.woken || c.requests == 0) && c.framing.inHead()
}

// restful tells whether it is between requests, with no byte of the next one read.
func (c *clientConn) restful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resting && !c.over && c.framing.between()
}

// doubtful tells whether the present request, or one before it, can be read in two ways.
func (c *clientConn) doubtful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.doubt > 0 && c.requests >= c.framing.doubt
}

// readBy is when the present request must have come whole. The first counts from the connection's beginning.
func (c *clientConn) readBy() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests <= 1 {
		return c.began.Add(readLimit)
	}
	return time.Now().Add(readLimit)
}

func (c *clientConn) Write(b []byte) (int, error) {
	if !c.l.pace[writes].On() {
		n, err := c.Conn.Write(b)
		c.wrote(err)
		return n, err
	}
	// In pieces, so that what the client reads is seen while it reads. What was left of its grace counts on from one
	// write of an answer to the next: who lets each of them wait is as slow as who lets one wait for long.
	c.l.enter(c, writes)
	defer c.l.enter(c, noPhase)
	all := 0
	for len(b) > 0 {
		n, err := c.Conn.Write(b[:min(len(b), writePiece)])
		all += n
		if err != nil {
			c.wrote(err)
			return all, err
		}
		b = b[n:]
		c.mu.Lock()
		c.moved(n)
		c.mu.Unlock()
	}
	return all, nil
}

// writePiece is how much of an answer is written at a time where its client is held to a least rate.
const writePiece = 4 << 10

// wrote notes how a write ended.
func (c *clientConn) wrote(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.because(endWriteLimit)
	}
}

func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && time.Until(t) < -time.Hour
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// because notes why the connection is about to end. The first reason stands.
func (c *clientConn) because(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why == "" {
		c.why = why
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
	why, requests := c.reason(), c.requests
	c.mu.Unlock()
	// Not under its own lock: the listener's is taken before a connection's everywhere else.
	if first && c.l.gone(c) {
		logClientEnd(c.RemoteAddr().String(), why, requests, c.began)
	}
	return err
}

func (c *clientConn) reason() string {
	switch {
	case c.why != "":
		return c.why
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
