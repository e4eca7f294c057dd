package shardconn

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// connBytes is the memory of a connection: the stacks of its goroutines, its read buffer and finished ids.
const connBytes = 24 << 10

// maxFinishedIDs is how many finished ids a connection remembers, to tell a late or duplicate answer from one to an
// id that was never sent. It is several times what is in flight at once.
const maxFinishedIDs = 256

// endReason is why a connection ended, or could not be opened: the reason code in the log.
type endReason string

const (
	endIdle         endReason = "idle"            // closed here: unused for most of the server's idle timeout
	endUnlisted     endReason = "unlisted"        // closed here: the server was removed from the list
	endStopped      endReason = "stopped"         // closed here: the program ends
	endRestarted    endReason = "restarted"       // closed here: it led to an earlier process of the server
	endDraining     endReason = "draining"        // closed here: the server drains
	endIdleUnsafe   endReason = "rested"          // closed here: idle connections have been found dead
	endSurplus      endReason = "surplus"         // closed here: idle beside another connection
	endMoved        endReason = "moved"           // closed here: the server has another address
	endSilent       endReason = "silent"          // closed here: silent, as are newer ones
	endMalformed    endReason = "bad_form"        // closed here: the server violated the protocol
	endServerFault  endReason = "server_fault"    // the server reported that it could not parse a frame
	endServerClosed endReason = "server_closed"   // the server closed it
	endReset        endReason = "reset"           // it broke
	failRefused     endReason = "refused"         // not opened: connection refused
	failTimeout     endReason = "connect_timeout" // not opened: timeout
	failOther       endReason = "connect_failed"  // not opened: another failure
)

// conn is one connection. Its reader and its writer are goroutines.
type conn struct {
	client   *Client
	netConn  net.Conn
	addr     string
	openedAt balancer.Time

	// The client's goroutine owns these.
	inFlight       int // attempts
	usedAt         balancer.Time
	receivedAt     balancer.Time
	silent         bool      // an attempt was abandoned, and nothing received since it was sent
	drainReason    endReason // why it gets no attempts and is closed when none is in flight; "" = it stays
	closed         bool
	malformed      bool          // closed because of a protocol violation
	partialSince   balancer.Time // since when a frame is incomplete; 0 = none is
	framesReceived int
	finished       [maxFinishedIDs]finishedID // a ring of the ids that were answered or cancelled last
	finishedCount  int                        // of all finished ids so far
	unanswered     int                        // finished ids that were cancelled and not answered since

	mu            sync.Mutex
	ready         sync.Cond // the queue is not empty, or the connection has ended
	queue         [][]byte  // frames to be written; nil = withdrawn
	framesBegun   int       // frames taken from the queue
	framesWritten int       // frames written completely; read only after both goroutines have ended
	ended         bool
	endReason     endReason
	endDetail     string
}

type finishedID struct {
	id       string
	answered bool
}

// event is what the goroutines of connections send to the client's.
type event interface{ event() }

type (
	// dialResult is the end of an attempt to open a connection.
	dialResult struct {
		netConn net.Conn
		addr    string
		err     error
	}
	// received carries all frames that were read at once.
	received struct {
		conn      *conn
		at        balancer.Time
		frames    []inboundFrame
		partial   bool  // the beginning of another frame was read
		formatErr error // of the last frame; nil = it is valid
	}
	// connClosed says that both goroutines of a connection have ended.
	connClosed struct{ conn *conn }
)

func (dialResult) event() {}
func (received) event()   {}
func (connClosed) event() {}

// dial opens a connection in the background. It reports false if no descriptor is available.
func (cl *Client) dial() bool {
	if !cl.budget.Acquire() {
		return false
	}
	cl.dialing++
	addr, timeout := cl.addr, time.Duration(cl.config.ConnectTimeout)*tick
	go func() {
		c, err := cl.connect(addr, timeout)
		if err != nil {
			cl.budget.Release()
		}
		cl.events <- dialResult{c, addr, err}
	}()
	return true
}

func connect(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1} // the protocol gives no meaning to keep-alive probes
	return d.Dial("tcp", addr)
}

// dialFailure returns the reason code of a failed dial.
func dialFailure(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return string(failRefused)
	case errors.As(err, &netErr) && netErr.Timeout():
		return string(failTimeout)
	}
	return string(failOther)
}

func newConn(cl *Client, result dialResult) *conn {
	now := cl.now()
	c := &conn{client: cl, netConn: result.netConn, addr: result.addr, openedAt: now, usedAt: now}
	c.ready.L = &c.mu
	cl.config.Memory.ForceAcquire(connBytes)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); c.readLoop() }()
	go func() { defer both.Done(); c.writeLoop() }()
	go func() { both.Wait(); cl.events <- connClosed{c} }()
	return c
}

// enqueue queues a frame for writing and returns its number.
func (c *conn) enqueue(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, b)
	c.ready.Signal()
	return c.framesBegun + len(c.queue)
}

// withdraw removes a frame from the queue. It reports false if writing may have begun.
func (c *conn) withdraw(frameNumber int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if frameNumber <= c.framesBegun {
		return false
	}
	c.queue[frameNumber-c.framesBegun-1] = nil
	return true
}

func (c *conn) writeLoop() {
	for {
		c.mu.Lock()
		for len(c.queue) == 0 && !c.ended {
			c.ready.Wait()
		}
		if c.ended {
			c.mu.Unlock()
			return
		}
		b := c.queue[0]
		c.queue[0], c.queue = nil, c.queue[1:]
		c.framesBegun++
		c.mu.Unlock()
		if _, err := c.netConn.Write(b); err != nil {
			c.stop(closeReason(err), err.Error())
			return
		}
		c.framesWritten++
	}
}

// recordFinished remembers an id that was answered or cancelled.
func (c *conn) recordFinished(id string, answered bool) {
	c.finished[c.finishedCount%maxFinishedIDs] = finishedID{id, answered}
	c.finishedCount++
	if !answered {
		c.unanswered++
	}
}

// acceptLateAnswer processes an answer to a finished id. It reports false if the id is unknown.
func (c *conn) acceptLateAnswer(id string) bool {
	at := slices.IndexFunc(c.finished[:], func(f finishedID) bool { return f.id == id && id != "" })
	switch {
	case at < 0:
		return false
	case c.finished[at].answered: // a duplicate: what is in flight may still be answered, but nothing new is sent
		c.drainReason = endMalformed
	default: // the answer crossed the cancellation
		c.finished[at].answered = true
		c.unanswered--
	}
	return true
}

// outcomeOfLoss returns the outcome of an attempt that was in flight when the connection ended.
func (c *conn) outcomeOfLoss(frameNumber int) balancer.Outcome {
	switch {
	case frameNumber > c.framesWritten:
		return balancer.ConnectFailed
	case c.malformed:
		return balancer.Cancelled
	}
	return balancer.Reset
}

// closeReason returns why a connection ended by its error.
func closeReason(err error) endReason {
	switch {
	case frame.IsFormatError(err):
		return endMalformed
	case errors.Is(err, io.EOF):
		return endServerClosed
	}
	return endReset
}

// stop ends both goroutines. The first reason is kept.
func (c *conn) stop(reason endReason, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended, c.endReason, c.endDetail = true, reason, detail
		c.netConn.Close()
		c.ready.Broadcast()
	}
}

// close closes the connection for the client's goroutine. The event connClosed follows.
func (c *conn) close(reason endReason) {
	if !c.closed {
		c.closed = true
		c.stop(reason, "")
	}
}

func (c *conn) closeIfDone() {
	if c.drainReason != "" && c.inFlight == 0 {
		c.close(c.drainReason)
	}
}
