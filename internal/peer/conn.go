package peer

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
	endIdle      = "idle"            // ours: unused nearly as long as the server allows
	endUnlisted  = "unlisted"        // ours: the server has left the list
	endStopped   = "stopped"         // ours: the program ends
	endRestarted = "restarted"       // ours: the server started anew, this led to the process before
	endDraining  = "draining"        // ours: the server drains, nothing new is sent there
	endRested    = "rested"          // ours: it carried nothing for a while, and such connections have been found dead
	endSurplus   = "surplus"         // ours: nothing is out on it, and another carries what comes
	endMoved     = "moved"           // ours: the server listens elsewhere
	endSilent    = "silent"          // ours: nothing came on it for long, and others are silent too
	endForm      = "bad_form"        // ours: the server sent what is not the protocol's form
	endFault     = "server_fault"    // the server could not use a frame
	endClosed    = "server_closed"   // the server closed it
	endReset     = "reset"           // it broke
	failRefused  = "refused"         // a connect: nobody listens there
	failTimeout  = "connect_timeout" // a connect: no word in time
	failBudget   = "no_descriptor"   // a connect: the servers' share of descriptors is used up
	failOther    = "connect_failed"
)

// conn is one connection. Its reader and writer are goroutines of their own; the rest is the actor's.
type conn struct {
	p        *Peer
	c        net.Conn
	addr     string
	openedAt balancer.Time

	parts           int // parts out on it
	usedAt, heardAt balancer.Time
	silent          bool   // a part was given up on it without a word since
	leaving         string // why it gets no new parts and is closed when done; "" = it stays
	closed, spoilt  bool
	halfAt          balancer.Time   // since when a frame on it is not whole; 0 = none is
	frames          int             // frames that came
	past            [pastIDs]pastID // the last ids answered or given up on it
	pasts, owed     int             // how many there have been; those given up and not answered since

	mu      sync.Mutex
	ready   sync.Cond
	queue   [][]byte // frames not yet begun; nil = taken back
	begun   int      // frames begun or taken back
	written int      // frames written whole; the actor reads it once both goroutines have ended
	ended   bool
	why     string // why it ended, and in what words
	detail  string
}

type pastID struct {
	id       string
	answered bool
}

// pastIDs is how many ids that have ended a connection remembers, to tell an answer that crossed a give-up, or came
// twice, from one that was never asked for: several times what it carries at once.
const pastIDs = 256

// News from the goroutines to the actor.
type (
	dialed struct {
		c    net.Conn
		addr string
		err  error
	}
	// came is all that one read of a connection brought.
	came struct {
		c      *conn
		at     balancer.Time
		frames []inFrame
		more   bool // bytes of a frame that is not whole yet
		bad    error
	}
	inFrame struct {
		letter            byte
		id, report, value string
		end               frame.Ending
	}
	connEnded struct{ c *conn }
)

// dial opens a connection in the background; false = no descriptor is left.
func (p *Peer) dial() bool {
	if !p.budget.Take() {
		return false
	}
	p.dialing++
	addr, limit := p.addr, time.Duration(p.f.ConnectTimeout)*tick
	go func() {
		c, err := p.connect(addr, limit)
		if err != nil {
			p.budget.Give()
		}
		p.news <- dialed{c, addr, err}
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

func newConn(p *Peer, d dialed) *conn {
	now := p.now()
	c := &conn{p: p, c: d.c, addr: d.addr, openedAt: now, usedAt: now}
	c.ready.L = &c.mu
	p.f.Memory.Force(connHolds)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); c.read() }()
	go func() { defer both.Done(); c.writeAll() }()
	go func() { both.Wait(); p.news <- connEnded{c} }()
	return c
}

// put queues a frame and returns its number.
func (c *conn) put(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, b)
	c.ready.Signal()
	return c.begun + len(c.queue)
}

// takeBack withdraws a frame of which nothing has been written.
func (c *conn) takeBack(no int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if no <= c.begun {
		return false
	}
	c.queue[no-c.begun-1] = nil
	return true
}

func (c *conn) writeAll() {
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
		c.begun++
		c.mu.Unlock()
		if _, err := c.c.Write(b); err != nil {
			c.stop(brokenBy(err), err.Error())
			return
		}
		c.written++
	}
}

// keptFrame is how large a connection's buffer for frames may stay between them.
const keptFrame = 8 << 10

// read passes on what comes. All that came at once is told at once, so that nothing new is sent on a connection
// whose last answer brought noise with it.
func (c *conn) read() {
	r := bufio.NewReaderSize(c.c, 4<<10)
	var buf []byte
	held := 0 // bytes of buf accounted for
	account := func() {
		if grown := cap(buf) - held; grown > 0 {
			c.p.f.Memory.Force(int64(grown))
		} else if grown < 0 {
			c.p.f.Memory.Give(int64(-grown))
		}
		held = cap(buf)
	}
	defer func() { buf = nil; account() }()
	n := came{c: c}
	for {
		if !frame.Buffered(r) {
			if n.more = r.Buffered() > 0; n.more || len(n.frames) > 0 {
				n.at = c.p.now()
				c.p.news <- n
				n = came{c: c}
			}
			if r.Buffered() == 0 {
				// One long value must not stay on each connection for as long as that lasts.
				if cap(buf) > keptFrame {
					buf = nil
					account()
				}
				if _, err := r.Peek(1); err != nil {
					c.stop(brokenBy(err), err.Error())
					return
				}
				continue
			}
		}
		letter, rest, grown, err := frame.Read(r, buf)
		buf = grown
		account()
		f, badForm := inFrame{letter: letter}, frame.BadForm(err)
		if err == nil {
			f, err = parse(letter, rest)
			badForm = frame.BadForm(err)
		}
		switch {
		case badForm: // the actor ends it, with what the answer was for
			n.at, n.bad = c.p.now(), err
			n.frames = append(n.frames, f)
			c.p.news <- n
			return
		case err != nil:
			if len(n.frames) > 0 {
				n.at = c.p.now()
				c.p.news <- n
			}
			why := brokenBy(err)
			if letter == frame.Fault {
				why = endFault
			}
			c.stop(why, err.Error())
			return
		}
		n.frames = append(n.frames, f)
	}
}

// parse reads one frame. With an error of the form it gives the id that the frame names, if any.
func parse(letter byte, rest []byte) (f inFrame, err error) {
	f.letter = letter
	switch letter {
	case frame.Answer:
		var a frame.Answered
		a, err = frame.ParseAnswer(rest)
		f.id, f.report, f.value, f.end = string(a.ID), string(a.Report), string(a.Value), a.End
	case frame.Probe, frame.Load:
		f.report = string(rest)
		if f.report == "broke" {
			f.end = frame.Broke
		}
		if letter == frame.Probe {
			f.report = ""
		}
	case frame.Fault:
		err = errors.New(string(rest[:min(len(rest), 100)]))
	default:
		err = &frame.FormError{What: "unknown letter " + strconv.QuoteRune(rune(letter))}
	}
	return f, err
}

// over notes that an id has ended on this connection.
func (c *conn) over(id string, answered bool) {
	c.past[c.pasts%pastIDs] = pastID{id, answered}
	c.pasts++
	if !answered {
		c.owed++
	}
}

// again takes an answer for an id that has ended here of late; false = there was none.
func (c *conn) again(id string) bool {
	at := slices.IndexFunc(c.past[:], func(p pastID) bool { return p.id == id && id != "" })
	switch {
	case at < 0:
		return false
	case c.past[at].answered: // it came twice: what is out may still be answered, but nothing new is trusted to it
		c.leaving = endForm
	default: // it was given up, an ordinary race
		c.past[at].answered = true
		c.owed--
	}
	return true
}

func brokenBy(err error) string {
	switch {
	case frame.BadForm(err):
		return endForm
	case errors.Is(err, io.EOF):
		return endClosed
	}
	return endReset
}

// stop ends both goroutines. The first reason stands.
func (c *conn) stop(why, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended, c.why, c.detail = true, why, detail
		c.c.Close()
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
	if c.leaving != "" && c.parts == 0 {
		c.close(c.leaving)
	}
}
