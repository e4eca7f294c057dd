package forager

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/brain"
	"oxbowspan/waggle"
)

// Bounds on what passes between this gatherer and servers.
const (
	connectLimit = 400 * time.Millisecond
	answerBytes  = 16 << 20 // of one answer's body
	idleLimit    = 14 * time.Second
	smallRequest = 8 << 10 // a request so short is written at once: nothing else is in its connection's buffers
	rests        = 500 * time.Millisecond
)

// link is one connection to a server. One request at a time goes over it.
type link struct {
	c      net.Conn
	f      *flower
	r      *bufio.Reader
	mu     sync.Mutex
	call   *call // whose answer is due; nil = none
	keep   time.Duration
	usedAt time.Time // by the owner
	dead   bool      // by the owner
}

// take has the reader know whose answer is due.
func (l *link) take(c *call) {
	l.mu.Lock()
	l.call = c
	l.mu.Unlock()
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
	for len(s.idle) > 0 {
		l := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if l.dead || time.Since(l.usedAt) > l.keep {
			f.drop(l)
			continue
		}
		f.write(l, c)
		return
	}
	s.links++
	go f.connect(s, s.address, c)
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
	case !s.listed || s.state != waggle.Ready:
		// It left while the connection was made: nothing may reach it any more.
		if !c.over {
			f.callEnded(c, brain.ConnectFailed, nil)
		}
		f.drop(l)
	case c.over:
		s.idle = append(s.idle, l)
	default:
		f.write(l, c)
	}
}

// write sends a sub-request over a connection.
func (f *Forager) write(l *link, c *call) {
	s := c.p.s
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
	l.take(c)
	if len(b) <= smallRequest {
		l.c.SetWriteDeadline(time.Time{})
		if _, err := l.c.Write(b); err != nil {
			l.c.Close() // the reader finds it out
		}
		return
	}
	f.room = nil
	go func() {
		l.c.SetWriteDeadline(time.Now().Add(left))
		if _, err := l.c.Write(b); err != nil {
			l.c.Close()
		}
	}()
}

// read takes answers until the connection ends. What comes while no answer is due, or beyond one, belongs to no request:
// the connection is closed.
func (f *Forager) read(l *link) {
	for {
		_, err := l.r.Peek(1)
		l.mu.Lock()
		c := l.call
		l.mu.Unlock()
		if err != nil || c == nil {
			l.c.Close()
			f.do(func() { f.lost(l, brain.Reset) })
			return
		}
		resp := fasthttp.AcquireResponse()
		outcome, keep, err := readAnswer(l.r, c.p.s, resp)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			l.c.Close()
			f.do(func() { f.lost(l, outcome) })
			return
		}
		if l.r.Buffered() > 0 {
			keep = 0
		}
		l.take(nil)
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
	l.mu.Lock()
	c := l.call
	l.call = nil
	l.mu.Unlock()
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
	if keep > 0 && s.listed && !l.dead {
		l.usedAt, l.keep = time.Now(), keep
		s.idle = append(s.idle, l)
	} else {
		f.drop(l)
	}
	if c.over {
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
	if !outcome.NeverRan() {
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
	if s.state == waggle.Gone && s.out == 0 && s.links == 0 && f.flowers[s.instance] == s {
		delete(f.flowers, s.instance)
		delete(f.servers, s.id)
		f.left(s)
	}
}
