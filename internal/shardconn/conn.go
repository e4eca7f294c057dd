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

// connBytes is the approximate memory of a connection in bytes: the stacks of its goroutines, its read buffer and its
// finished ids.
const connBytes = 24 << 10

// maxFinishedIDs is the number of finished ids that a connection retains to distinguish a late or duplicate answer from
// an answer to an id that was never sent. It is several times the number of attempts in flight at once.
const maxFinishedIDs = 256

// endReason is the reason code, in the log, for the end of a connection or the failure to open one.
type endReason string

const (
	endIdle         endReason = "idle"            // closed here: idle for three quarters of the server's idle timeout
	endUnlisted     endReason = "unlisted"        // closed here: the server was removed from the list
	endStopped      endReason = "stopped"         // closed here: the program is ending
	endRestarted    endReason = "restarted"       // closed here: it was opened to an earlier process of the server
	endDraining     endReason = "draining"        // closed here: the server is draining
	endIdleUnsafe   endReason = "rested"          // closed here: idle connections were found to be broken
	endSurplus      endReason = "surplus"         // closed here: idle, and another connection has enough capacity
	endMoved        endReason = "moved"           // closed here: the server has another address
	endSilent       endReason = "silent"          // closed here: silent, and newer connections are silent as well
	endMalformed    endReason = "bad_form"        // closed here: the server violated the protocol
	endServerFault  endReason = "server_fault"    // the server reported that it could not parse a frame
	endServerClosed endReason = "server_closed"   // the server closed it
	endReset        endReason = "reset"           // the connection broke
	failRefused     endReason = "refused"         // not opened: connection refused
	failTimeout     endReason = "connect_timeout" // not opened: timeout
	failOther       endReason = "connect_failed"  // not opened: another failure
)

// conn is one connection. It has a goroutine that reads and one that writes.
type conn struct {
	client   *Client
	netConn  net.Conn
	addr     string
	openedAt balancer.Time

	// The following fields belong to the client's goroutine.
	inFlight       int // number of attempts in flight
	lastUsedAt     balancer.Time
	lastReceivedAt balancer.Time
	silent         bool      // an attempt was abandoned, and nothing was received since it was sent
	drainReason    endReason // why no attempts are sent and the connection is closed once idle; "" if it is not draining
	closed         bool
	malformed      bool          // closed because of a protocol violation
	partialSince   balancer.Time // when the first bytes of an incomplete frame were received; 0 if there are none
	framesReceived int
	finished       [maxFinishedIDs]finishedID // ring buffer of the ids that were answered or cancelled last
	finishedCount  int                        // total number of finished ids
	unanswered     int                        // number of cancelled ids that have not been answered since

	mu            sync.Mutex
	ready         sync.Cond // signals that the queue is not empty or the connection has ended
	queue         [][]byte  // frames to be written; nil for a withdrawn frame
	framesBegun   int       // number of frames removed from the queue for writing
	framesWritten int       // number of frames written completely; read only after both goroutines have ended
	ended         bool
	endReason     endReason
	endDetail     string
}

// finishedID is the id of an attempt that was answered or cancelled.
type finishedID struct {
	id       string
	answered bool
}

// event is a message from a connection's goroutines, or from a dial, to the client's goroutine.
type event interface{ event() }

type (
	// dialResult is the result of opening a connection.
	dialResult struct {
		netConn net.Conn
		addr    string
		err     error
	}
	// received contains all frames that were read at once.
	received struct {
		conn      *conn
		at        balancer.Time
		frames    []inboundFrame
		partial   bool  // the first bytes of another frame were read
		formatErr error // the format error of the last frame; nil if it is valid
	}
	// connClosed means that both goroutines of a connection have ended.
	connClosed struct{ conn *conn }
)

func (dialResult) event() {}
func (received) event()   {}
func (connClosed) event() {}

// dial opens a connection in the background. It returns false if no descriptor is available.
func (cl *Client) dial() bool {
	if !cl.budget.Acquire() {
		return false
	}
	cl.dialing++
	addr, timeout := cl.addr, time.Duration(cl.config.ConnectTimeout)*timeUnit
	go func() {
		c, err := cl.connect(addr, timeout)
		if err != nil {
			cl.budget.Release()
		}
		cl.events <- dialResult{c, addr, err}
	}()
	return true
}

// connect opens a TCP connection to a server.
func connect(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1} // the protocol defines no use for keep-alive probes
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

// newConn returns a conn for a successful dial and starts its goroutines.
func newConn(cl *Client, result dialResult) *conn {
	now := cl.now()
	c := &conn{client: cl, netConn: result.netConn, addr: result.addr, openedAt: now, lastUsedAt: now}
	c.ready.L = &c.mu
	cl.config.Memory.ForceAcquire(connBytes)
	var loops sync.WaitGroup
	loops.Add(2)
	go func() { defer loops.Done(); c.readLoop() }()
	go func() { defer loops.Done(); c.writeLoop() }()
	go func() { loops.Wait(); cl.events <- connClosed{c} }()
	return c
}

// enqueue queues a frame for writing and returns its sequence number on the connection, from 1.
func (c *conn) enqueue(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, b)
	c.ready.Signal()
	return c.framesBegun + len(c.queue)
}

// withdraw removes a frame from the queue. It returns false if the write may have begun.
func (c *conn) withdraw(frameNumber int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if frameNumber <= c.framesBegun {
		return false
	}
	c.queue[frameNumber-c.framesBegun-1] = nil
	return true
}

// writeLoop writes queued frames until the connection ends.
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

// recordFinished records an id that was answered or cancelled. It overwrites the oldest one.
func (c *conn) recordFinished(id string, answered bool) {
	c.finished[c.finishedCount%maxFinishedIDs] = finishedID{id, answered}
	c.finishedCount++
	if !answered {
		c.unanswered++
	}
}

// acceptLateAnswer processes an answer to a finished id. It returns false if the id is not among the recorded ones.
func (c *conn) acceptLateAnswer(id string) bool {
	index := slices.IndexFunc(c.finished[:], func(f finishedID) bool { return f.id == id && id != "" })
	switch {
	case index < 0:
		return false
	case c.finished[index].answered: // a duplicate: attempts in flight may still be answered, but no new ones are sent
		c.drainReason = endMalformed
	default: // the answer was sent before the cancellation arrived
		c.finished[index].answered = true
		c.unanswered--
	}
	return true
}

// outcomeAfterClose returns the outcome of an attempt that was in flight when the connection ended: it never ran if its
// frame was not written completely.
func (c *conn) outcomeAfterClose(frameNumber int) balancer.Outcome {
	switch {
	case frameNumber > c.framesWritten:
		return balancer.ConnectFailed
	case c.malformed:
		return balancer.Cancelled
	}
	return balancer.Reset
}

// closeReason returns the reason code for a read or write error.
func closeReason(err error) endReason {
	switch {
	case frame.IsFormatError(err):
		return endMalformed
	case errors.Is(err, io.EOF):
		return endServerClosed
	}
	return endReset
}

// stop closes the network connection and ends both goroutines. Only the reason of the first call is recorded.
func (c *conn) stop(reason endReason, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended, c.endReason, c.endDetail = true, reason, detail
		c.netConn.Close()
		c.ready.Broadcast()
	}
}

// close closes the connection. It must be called from the client's goroutine; the event connClosed follows.
func (c *conn) close(reason endReason) {
	if !c.closed {
		c.closed = true
		c.stop(reason, "")
	}
}

// closeIfDrained closes the connection if it is draining and no attempt is in flight.
func (c *conn) closeIfDrained() {
	if c.drainReason != "" && c.inFlight == 0 {
		c.close(c.drainReason)
	}
}
