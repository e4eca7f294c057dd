package forager

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/brain"
	"oxbowspan/registry"
)

// Bounds on what passes between this gatherer and servers.
const (
	connectLimit = 400 * time.Millisecond
	answerBytes  = 16 << 20 // of one answer's body
	idleLimit    = 14 * time.Second
	smallRequest = 8 << 10 // a request so short is written at once: nothing else is in its connection's buffers
	rests        = 500 * time.Millisecond
	ownerWrite   = 10 * time.Millisecond // the owner waits for no connection longer
)

// link is one connection to a server. One request at a time goes over it.
type link struct {
	c      net.Conn
	f      *flower
	r      *bufio.Reader
	mu     sync.Mutex
	state  exchange // under the lock
	keep   time.Duration
	usedAt time.Time // by the owner
	dead   bool      // by the owner
	large  bool      // by the owner; it has carried a request that was not written at once
}

func (l *link) begin(c *call) {
	l.mu.Lock()
	l.state.begin(c)
	l.mu.Unlock()
}

func (l *link) handedOver(bytes int) {
	l.mu.Lock()
	l.state.handedOver(bytes)
	l.mu.Unlock()
}

// due is whose answer is due.
func (l *link) due() *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.due
}

func (l *link) answered() {
	l.mu.Lock()
	l.state.answered()
	l.mu.Unlock()
}

func (l *link) reusable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.reusable()
}

func (l *link) broken(outcome brain.Outcome) (*call, brain.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.broken(outcome)
}

// send does what brain.Send says.
func (f *Forager) send(a brain.Send) {
	p, s := f.partsOf[a.Part], f.servers[a.Server]
	if p == nil {
		return
	}
	now := f.now()
	c := &call{p: p, no: brain.SendNo(len(p.calls)), f: s, sentAt: now, until: now + a.Limit}
	p.calls = append(p.calls, c)
	p.out++
	if s == nil || p.s.over || !s.listed {
		c.over = true
		p.out--
		p.calls[c.no] = nil
		f.pending = append(f.pending, brain.SubRequestEnded{Part: p.id, Send: c.no, Server: a.Server, Outcome: brain.Moot})
		f.forget(p)
		return
	}
	s.count(now, 1)
	f.took(c, now)
	f.timers.Push(int64(c.until), due{call: c})
	f.sendOver(c)
}

// sendOver sends a sub-request over an idle connection, or a new one where there is none. Over one to which not a byte can be
// handed any more nothing has been sent: the next one is taken.
func (f *Forager) sendOver(c *call) {
	for {
		l := f.idleLink(c)
		if l == nil {
			break
		}
		if f.write(l, c) {
			return
		}
	}
	if s := c.f; len(s.idle) > 0 { // none that it may use: one makes room
		f.drop(s.idle[0])
		s.idle = slices.Delete(s.idle, 0, 1)
	}
	c.link = nil
	c.f.links++
	go f.connect(c.f, c.f.address, c)
}

// idleLink takes the connection to a call's server that was used last, nil = none may be used. A connection never carries the same
// id twice: a late copy of the first answer could not be told from the second one. What bears no id needs one of its own.
func (f *Forager) idleLink(c *call) *link {
	s := c.f
	if c.p.s.attempt == "" {
		return nil
	}
	for i := len(s.idle) - 1; i >= 0; i-- {
		l := s.idle[i]
		if c.p.carriedBy(l) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if l.dead || time.Since(l.usedAt) > l.keep {
			f.drop(l)
			continue
		}
		return l
	}
	return nil
}

// carriedBy tells whether a connection has carried this part.
func (p *part) carriedBy(l *link) bool { return p.first == l || slices.Contains(p.others, l) }

// carry notes that a connection carries this part.
func (p *part) carry(l *link) {
	if p.first == nil {
		p.first = l
		return
	}
	p.others = append(p.others, l)
}

func (f *Forager) connect(s *flower, address string, c *call) {
	nc, err := f.net.Dial(address, connectLimit)
	if !f.do(func() { f.connected(s, nc, err, c) }) && err == nil {
		nc.Close()
	}
}

func (f *Forager) connected(s *flower, nc net.Conn, err error, c *call) {
	if err != nil {
		s.links--
		if !c.over {
			f.sawEnd(s, brain.ConnectFailed, err)
			f.callEnded(c, brain.ConnectFailed, nil)
		}
		return
	}
	l := &link{c: nc, f: s, r: bufio.NewReaderSize(nc, 4096), keep: idleLimit, usedAt: time.Now()}
	f.wg.Go(func() { f.read(l) })
	switch {
	case !s.listed || s.state != registry.Ready:
		// It left while the connection was made: nothing may reach it any more.
		if !c.over {
			f.callEnded(c, brain.ConnectFailed, nil)
		}
		f.drop(l)
	case c.over:
		s.idle = append(s.idle, l)
	case c.p.s.over || c.p.in != nil: // answered meanwhile
		s.idle = append(s.idle, l)
		f.callEnded(c, brain.Moot, nil)
	case !f.write(l, c):
		f.callEnded(c, brain.ConnectFailed, nil)
	}
}

// write sends a sub-request over a connection. It tells false where the connection has ended without taking a byte.
func (f *Forager) write(l *link, c *call) bool {
	s := c.p.s
	c.p.carry(l)
	c.link, c.rested = l, time.Since(l.usedAt) > rests
	left := span(c.until - f.now())
	b := append(f.room[:0], s.method...)
	b = append(b, ' ')
	b = append(b, s.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, s.head...)
	b = append(b, "X-Deadline-Remaining: "...)
	b = strconv.AppendInt(b, max(left.Milliseconds(), 1), 10)
	b = append(b, "\r\nX-Expected-Instance: "...)
	b = append(b, l.f.instance...)
	if len(s.body) > 0 || s.method != "GET" && s.method != "HEAD" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(s.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	b = append(b, s.body...)
	f.room = b[:0]
	l.begin(c)
	if len(b) <= smallRequest {
		return f.writeAtOnce(l, b)
	}
	f.room, l.large = nil, true
	go func() {
		l.c.SetWriteDeadline(time.Now().Add(left))
		n, err := l.c.Write(b)
		l.handedOver(n)
		if err != nil {
			l.c.Close() // the reader finds it out
		}
	}()
	return true
}

// writeAtOnce writes a small request. What a large one before it may have left in the connection's buffers holds the owner up for
// a moment only.
func (f *Forager) writeAtOnce(l *link, b []byte) bool {
	limit := time.Time{}
	if l.large {
		limit = time.Now().Add(ownerWrite)
	}
	l.c.SetWriteDeadline(limit)
	n, err := l.c.Write(b)
	l.handedOver(n)
	if err == nil {
		return true
	}
	if n > 0 {
		l.c.Close() // the reader finds it out
		return true
	}
	l.answered() // nothing is due: nothing was sent
	f.drop(l)
	return false
}

// read takes answers until the connection ends. What comes while no answer is due, or beyond one, belongs to no request:
// the connection is closed.
func (f *Forager) read(l *link) {
	for first := true; ; first = false {
		_, err := l.r.Peek(1)
		c := l.due()
		if err != nil || c == nil {
			l.c.Close()
			f.do(func() { f.lost(l, brain.Reset) })
			return
		}
		resp := fasthttp.AcquireResponse()
		outcome, keep, err := readAnswer(l.r, c.p.s, first, resp)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			l.c.Close()
			f.do(func() { f.lost(l, outcome) })
			return
		}
		if l.r.Buffered() > 0 {
			keep = 0
		}
		l.answered()
		if !f.do(func() { f.answered(l, c, outcome, resp, keep) }) {
			l.c.Close()
			return
		}
		if keep == 0 {
			l.c.Close()
			return
		}
	}
}

// lost takes the end of a connection.
func (f *Forager) lost(l *link, outcome brain.Outcome) {
	c, outcome := l.broken(outcome)
	f.drop(l)
	if c != nil && !c.over {
		f.callEnded(c, outcome, nil)
	}
}

// answered takes a whole answer, and puts its connection back.
func (f *Forager) answered(l *link, c *call, outcome brain.Outcome, resp *fasthttp.Response, keep time.Duration) {
	s := l.f
	if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		if other := resp.Header.Peek("X-Instance-Id"); len(other) > 0 && string(other) != s.instance && !s.replaced {
			f.log.Info().Str("instance", s.instance).Str("now", string(other)).Msg("servers: another server has the address")
			s.replaced, keep = true, 0
			f.relist()
		}
	}
	if keep > 0 && s.listed && !l.dead && l.reusable() {
		l.usedAt, l.keep = time.Now(), keep
		s.idle = append(s.idle, l)
	} else {
		f.drop(l)
	}
	if c.over || c.link != l {
		fasthttp.ReleaseResponse(resp)
		return
	}
	f.callEnded(c, outcome, resp)
}

// drop lets a connection go.
func (f *Forager) drop(l *link) {
	if !l.dead {
		l.dead = true
		l.f.links--
		l.c.Close()
	}
}

func (f *Forager) closeIdle(s *flower) {
	for _, l := range s.idle {
		f.drop(l)
	}
	s.idle = nil
}

// callEnded tells brain a sub-request's outcome. A connection whose answer is still due is closed: the answer would be
// nobody's.
func (f *Forager) callEnded(c *call, outcome brain.Outcome, resp *fasthttp.Response) {
	p, s := c.p, c.p.s
	c.over = true
	p.calls[c.no] = nil
	p.out--
	c.f.count(f.now(), -1)
	f.gave(c, f.now())
	if c.link != nil && resp == nil {
		f.drop(c.link)
	}
	if !outcome.NeverRan() && c.link != nil { // on none, nothing was handed over
		s.mayRun = true
	}
	switch {
	case resp == nil:
	case outcome == brain.Answered && !s.over && p.in == nil:
		p.in = resp
	case !s.over && !outcome.NeverRan() && outcome != brain.Answered && resp.StatusCode() >= 500 && !promises(resp.StatusCode()):
		if s.last != nil {
			fasthttp.ReleaseResponse(s.last)
		}
		s.last = resp
	default:
		fasthttp.ReleaseResponse(resp)
	}
	f.forget(p)
	f.handle(brain.SubRequestEnded{Part: p.id, Send: c.no, Server: c.f.id, Elapsed: f.now() - c.sentAt, Outcome: outcome})
	if outcome == brain.Answered {
		f.sawEnd(c.f, outcome, nil)
	}
	f.gone(c.f)
}

// gone forgets a server that has left once nothing is out there.
func (f *Forager) gone(s *flower) {
	if s.state == registry.Deregistered && s.out == 0 && s.links == 0 && f.flowers[s.instance] == s {
		delete(f.flowers, s.instance)
		delete(f.servers, s.id)
		f.left(s)
	}
}
