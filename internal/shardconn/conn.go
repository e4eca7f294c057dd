package shardconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// Why a connection to a server ended: the reason codes of its log line.
const (
	endIdle         = "idle"            // ours: unused nearly as long as the server allows
	endUnlisted     = "unlisted"        // ours: the server has left the list
	endStopped      = "stopped"         // ours: the program ends
	endRestarted    = "restarted"       // ours: the server started anew, this led to the process before
	endDraining     = "draining"        // ours: the server drains, nothing new is sent there
	endIdleUnsafe   = "rested"          // ours: it carried nothing for a while, and such connections have been found dead
	endSurplus      = "surplus"         // ours: nothing is out on it, and another carries what comes
	endMoved        = "moved"           // ours: the server listens elsewhere
	endSilent       = "silent"          // ours: nothing came on it for long, and others are silent too
	endMalformed    = "bad_form"        // ours: the server sent what is not the protocol's form
	endServerFault  = "server_fault"    // the server could not use a frame
	endServerClosed = "server_closed"   // the server closed it
	endReset        = "reset"           // it broke
	failRefused     = "refused"         // a connect: nobody listens there
	failTimeout     = "connect_timeout" // a connect: no word in time
	failBudget      = "no_descriptor"   // a connect: the servers' share of descriptors is used up
	failOther       = "connect_failed"
)

// conn is one connection. Its reader and writer are goroutines of their own; the rest is the actor's.
type conn struct {
	client   *Client
	netConn  net.Conn
	addr     string
	openedAt balancer.Time

	inFlight                  int // parts out on it
	usedAt, receivedAt        balancer.Time
	silent                    bool   // a part was given up on it without a word since
	drainReason               string // why it gets no new parts and is closed when done; "" = it stays
	closed, malformed         bool
	partialSince              balancer.Time              // since when a frame on it is not whole; 0 = none is
	framesReceived            int                        // frames that came
	finished                  [maxFinishedIDs]finishedID // the last ids answered or given up on it
	finishedCount, unanswered int                        // how many there have been; those given up and not answered since

	mu            sync.Mutex
	ready         sync.Cond
	queue         [][]byte // frames not yet begun; nil = taken back
	framesBegun   int      // frames begun or taken back
	framesWritten int      // frames written whole; the actor reads it once both goroutines have ended
	ended         bool
	endReason     string // why it ended, and in what words
	endDetail     string
}

type finishedID struct {
	id       string
	answered bool
}

// maxFinishedIDs is how many ids that have ended a connection remembers, to tell an answer that crossed a give-up, or came
// twice, from one that was never asked for: several times what it carries at once.
const maxFinishedIDs = 256

// News from the goroutines to the actor.
type (
	dialResult struct {
		c    net.Conn
		addr string
		err  error
	}
	// received is all that one read of a connection brought.
	received struct {
		c         *conn
		at        balancer.Time
		frames    []inboundFrame
		partial   bool // bytes of a frame that is not whole yet
		formatErr error
	}
	inboundFrame struct {
		letter            byte
		id, report, value string
		status            frame.Status
	}
	connClosed struct{ c *conn }
)

// dial opens a connection in the background; false = no descriptor is left.
func (p *Client) dial() bool {
	if !p.budget.Acquire() {
		return false
	}
	p.dialing++
	addr, limit := p.addr, time.Duration(p.config.ConnectTimeout)*tick
	go func() {
		c, err := p.connect(addr, limit)
		if err != nil {
			p.budget.Release()
		}
		p.events <- dialResult{c, addr, err}
	}()
	return true
}

func connect(addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit, KeepAlive: -1} // the protocol says that keep-alive tells nothing
	return d.Dial("tcp", addr)
}

func dialReason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return failRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return failTimeout
	}
	return failOther
}

func newConn(p *Client, d dialResult) *conn {
	now := p.now()
	c := &conn{client: p, netConn: d.c, addr: d.addr, openedAt: now, usedAt: now}
	c.ready.L = &c.mu
	p.config.Memory.ForceAcquire(connBytes)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); c.readLoop() }()
	go func() { defer both.Done(); c.writeLoop() }()
	go func() { both.Wait(); p.events <- connClosed{c} }()
	return c
}

// enqueue queues a frame and returns its number.
func (c *conn) enqueue(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, b)
	c.ready.Signal()
	return c.framesBegun + len(c.queue)
}

// withdraw withdraws a frame of which nothing has been written.
func (c *conn) withdraw(no int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if no <= c.framesBegun {
		return false
	}
	c.queue[no-c.framesBegun-1] = nil
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

// maxKeptBuffer is how large a connection's buffer for frames may stay between them.
const maxKeptBuffer = 8 << 10

// readLoop passes on what comes. All that came at once is told at once, so that nothing new is sent on a connection
// whose last answer brought noise with it.
func (c *conn) readLoop() {
	r := bufio.NewReaderSize(c.netConn, 4<<10)
	var buf []byte
	held := 0 // bytes of buf accounted for
	account := func() {
		if grown := cap(buf) - held; grown > 0 {
			c.client.config.Memory.ForceAcquire(int64(grown))
		} else if grown < 0 {
			c.client.config.Memory.Release(int64(-grown))
		}
		held = cap(buf)
	}
	defer func() { buf = nil; account() }()
	n := received{c: c}
	for {
		if !frame.HasFrame(r) {
			if n.partial = r.Buffered() > 0; n.partial || len(n.frames) > 0 {
				n.at = c.client.now()
				c.client.events <- n
				n = received{c: c}
			}
			if r.Buffered() == 0 {
				// One long value must not stay on each connection for as long as that lasts.
				if cap(buf) > maxKeptBuffer {
					buf = nil
					account()
				}
				if _, err := r.Peek(1); err != nil {
					c.stop(closeReason(err), err.Error())
					return
				}
				continue
			}
		}
		letter, rest, grown, err := frame.Read(r, buf)
		buf = grown
		account()
		f, badForm := inboundFrame{letter: letter}, frame.IsFormatError(err)
		if err == nil {
			f, err = parseFrame(letter, rest)
			badForm = frame.IsFormatError(err)
		}
		switch {
		case badForm: // the actor ends it, with what the answer was for
			n.at, n.formatErr = c.client.now(), err
			n.frames = append(n.frames, f)
			c.client.events <- n
			return
		case err != nil:
			if len(n.frames) > 0 {
				n.at = c.client.now()
				c.client.events <- n
			}
			why := closeReason(err)
			if letter == frame.ErrorFrame {
				why = endServerFault
			}
			c.stop(why, err.Error())
			return
		}
		n.frames = append(n.frames, f)
	}
}

// parseFrame reads one frame. With an error of the form it gives the id that the frame names, if any.
func parseFrame(letter byte, rest []byte) (f inboundFrame, err error) {
	f.letter = letter
	switch letter {
	case frame.AnswerFrame:
		var a frame.AnswerBody
		a, err = frame.ParseAnswer(rest)
		f.id, f.report, f.value, f.status = string(a.ID), string(a.Report), string(a.Value), a.Status
	case frame.HealthCheckFrame, frame.LoadCheckFrame:
		f.report = string(rest)
		if f.report == "broke" {
			f.status = frame.Failed
		}
		if letter == frame.HealthCheckFrame {
			f.report = ""
		}
	case frame.ErrorFrame:
		err = errors.New(string(rest[:min(len(rest), 100)]))
	default:
		err = &frame.FormatError{Reason: "unknown letter " + strconv.QuoteRune(rune(letter))}
	}
	return f, err
}

// recordFinished notes that an id has ended on this connection.
func (c *conn) recordFinished(id string, answered bool) {
	c.finished[c.finishedCount%maxFinishedIDs] = finishedID{id, answered}
	c.finishedCount++
	if !answered {
		c.unanswered++
	}
}

// acceptLateAnswer takes an answer for an id that has ended here of late; false = there was none.
func (c *conn) acceptLateAnswer(id string) bool {
	at := slices.IndexFunc(c.finished[:], func(p finishedID) bool { return p.id == id && id != "" })
	switch {
	case at < 0:
		return false
	case c.finished[at].answered: // it came twice: what is out may still be answered, but nothing new is trusted to it
		c.drainReason = endMalformed
	default: // it was given up, an ordinary race
		c.finished[at].answered = true
		c.unanswered--
	}
	return true
}

func closeReason(err error) string {
	switch {
	case frame.IsFormatError(err):
		return endMalformed
	case errors.Is(err, io.EOF):
		return endServerClosed
	}
	return endReset
}

// stop ends both goroutines. The first reason stands.
func (c *conn) stop(why, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended, c.endReason, c.endDetail = true, why, detail
		c.netConn.Close()
		c.ready.Broadcast()
	}
}

// close is the actor's stop: its goroutines' end is heard as news.
func (c *conn) close(why string) {
	if !c.closed {
		c.closed = true
		c.stop(why, "")
	}
}

func (c *conn) closeIfDone() {
	if c.drainReason != "" && c.inFlight == 0 {
		c.close(c.drainReason)
	}
}
