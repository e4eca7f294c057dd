package gatherer

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
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
	endStopped    = "stopped"       // ours: the program ends
)

// clientConn is a client's connection; it remembers why it ended.
type clientConn struct {
	net.Conn
	l     *listener
	over  bool // it came past the limit
	began time.Time
	begun atomic.Bool // a byte has come

	mu       sync.Mutex
	framing  framing
	why      string // set by whoever ends it here
	readErr  error
	aborted  bool // net/http breaks off its own reading by a limit long past
	closed   bool
	requests int
	idle     time.Time // since when it waits for a request; zero = it does not
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.begun.Load() {
		c.begun.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.take(b[:n])
	if err != nil {
		c.readErr = err
	}
	return n, err
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
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.because(endWriteLimit)
	}
	return n, err
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
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.l.gone(c)
		slog.Info("client_conn_end", "client", c.RemoteAddr().String(), "reason", c.reason(), "requests", c.requests, "age_ms",
			time.Since(c.began).Milliseconds())
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

// listener keeps the clients' share of the descriptors. At the limit one without an open search makes room, see
// victim; where there is none the newcomer is accepted all the same and its request shed, since one that waits in the
// backlog counts as taken. A little beyond that it waits for one to end.
type listener struct {
	net.Listener
	limit, spare int

	mu    sync.Mutex
	room  sync.Cond
	conns map[*clientConn]struct{} // emptied as they end
	over  bool                     // closed
}

func newListener(l net.Listener, share int) *listener {
	spare := max(share/8, 1)
	k := &listener{Listener: l, limit: max(share-spare, 1), spare: spare, conns: map[*clientConn]struct{}{}}
	k.room.L = &k.mu
	return k
}

func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for len(l.conns) >= l.limit+l.spare && !l.over {
		l.room.Wait()
	}
	l.mu.Unlock()
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: raw, l: l, began: time.Now()}
	l.mu.Lock()
	var other *clientConn
	if len(l.conns) >= l.limit {
		other = l.victim()
		c.over = other == nil
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if other != nil {
		other.because(endMadeRoom)
		other.Close()
	}
	return c, nil
}

// victim is the connection that can best be spared: of those idle for idleLong, which may have asked for the last
// time, the one idle longest; else the oldest that has let half the read limit go by without a whole first head; else
// the one idle longest, as its client can ask again on another; else the oldest stranger, so that strangers by the
// hundred push out one another and not who asks at once. nil = all have an open request.
func (l *listener) victim() *clientConn {
	var found *clientConn
	var rank int
	var since time.Time
	now := time.Now()
	for c := range l.conns {
		r, s := 0, c.idleSince()
		switch {
		case !s.IsZero() && now.Sub(s) >= idleLong:
			r = 4
		case !s.IsZero():
			r = 2
		case c.asked():
		case now.Sub(c.began) >= readLimit/2:
			r, s = 3, c.began
		default:
			r, s = 1, c.began
		}
		if r > rank || r == rank && r > 0 && s.Before(since) {
			found, rank, since = c, r, s
		}
	}
	return found
}

// asked tells whether a whole head has come on it.
func (c *clientConn) asked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests > 0
}

// idleLong is how long a connection may be kept without an open request before it may be closed, says the protocol's
// later page.
const idleLong = 2 * time.Second

func (l *listener) Close() error {
	l.mu.Lock()
	l.over = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

func (l *listener) gone(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.room.Signal()
	l.mu.Unlock()
}

func (c *clientConn) idleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// stop closes what waits for a first request in vain, which net/http's shutdown would wait for, and names the
// reason for the idle ones that it will close.
func (l *listener) stop() {
	l.mu.Lock()
	var unused []*clientConn
	for c := range l.conns {
		if !c.begun.Load() {
			unused = append(unused, c)
		}
		if !c.begun.Load() || !c.idleSince().IsZero() {
			c.because(endStopped)
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		c.Close()
	}
}

// state follows a connection through net/http's states.
func (l *listener) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.idle = time.Time{}
		c.requests++
	case http.StateIdle:
		c.idle = time.Now()
	}
}
