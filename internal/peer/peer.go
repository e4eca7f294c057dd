// Package peer speaks to one shard server. An actor with a mailbox owns its connections, what is out on them
// and the time limits; it decides nothing about where parts go.
package peer

import (
	"container/heap"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// Part is one sub-request to be sent.
type Part struct {
	ID    balancer.ShardCallID
	Send  balancer.AttemptNumber
	Wire  string // its id on the wire
	Shard balancer.ShardIndex
	Text  []byte
	List  string // what more than the time limit its line lists; "" = nothing
	// Read, where it is set, reads the value. Its error says that the value cannot be used: the sub-request has errored
	// then, so that another replica may be asked. It runs in the peer's actor and must not wait.
	Read   func(value string) (any, error)
	SentAt balancer.Time
	Until  balancer.Time // its time limit
}

// The orders that a peer takes.
type (
	Call   struct{ Parts []Part }
	Cancel struct {
		ID   balancer.ShardCallID
		Send balancer.AttemptNumber
	}
	// Probe asks for a probe on a connection, a new one where none has room. It is told once, within the connect timeout.
	Probe struct{}
	// CloseIdle closes the connections that carry nothing, so that what is sent next goes on a new one.
	CloseIdle struct{}
	// Quit closes all connections, whatever is out on them.
	Quit struct{}
	// Drain says that nothing new will be sent: connections end once what is out on them has.
	Drain struct{}
	// Moved says where the server now listens and since when it runs.
	Moved struct {
		Addr  string
		Since balancer.Time
	}
)

// Ended is how a sub-request ended. It comes exactly once for each part of a Call.
type Ended struct {
	ID      balancer.ShardCallID
	Send    balancer.AttemptNumber
	Server  balancer.ServerID
	Elapsed balancer.Time
	Outcome balancer.Outcome
	Report  *balancer.LoadReport
	Value   string
	Result  any  // what Part.Read made of the value
	Unfit   bool // Part.Read found that the value cannot be used
}

// Sink takes what a peer has to tell. It may block for a moment.
type Sink interface {
	Ended(Ended)
	Probed(balancer.HealthCheckEnded)
}

// Budget counts descriptors: a connection is opened only for one taken.
type Budget interface {
	Take() bool
	Give()
}

// Figures are the limits of the settings that a peer keeps.
type Figures struct {
	ConnectTimeout, IdleClose balancer.Time
	Streams, PartsPerCall     int
	LoadProbes                bool // load is told by probes alone
	Reports                   bool // servers tell their load
	// Memory is told what connections and the frames on them hold; nil = nobody is. It may be called from any goroutine.
	Memory Memory
}

// Memory accounts for bytes that cannot be refused any more.
type Memory interface {
	Force(bytes int64)
	Give(bytes int64)
}

type noMemory struct{}

func (noMemory) Force(int64) {}
func (noMemory) Give(int64)  {}

// connHolds is what a connection holds: the stacks of its goroutines, its read buffer, the ids that ended on it.
const connHolds = 24 << 10

// mailboxSize is how many orders may wait; past it an order is refused.
const mailboxSize = 256

// Peer is the actor's handle.
type Peer struct {
	id      balancer.ServerID
	host    string
	f       Figures
	now     func() balancer.Time
	sink    Sink
	budget  Budget
	mailbox chan any
	news    chan any // from its own connections
	done    chan struct{}

	addr    string
	connect func(addr string, limit time.Duration) (net.Conn, error)
	conns   []*conn // in order of opening; emptied as they end
	waiting []*call // calls for which no connection has room; emptied by room, outcomes and failed dials
	dialing int
	out     map[subKey]*sub // emptied by outcomes
	limits  limitHeap       // the same, by time limit
	running int             // connections whose goroutines have not ended
	probes  []*conn         // connections with a probe out, in order; emptied by answers and ends
	probing balancer.Time   // when the probe asked for is given up; 0 = none is
	unsent  bool            // it waits for a connection
}

type subKey struct {
	id   balancer.ShardCallID
	send balancer.AttemptNumber
}

type sub struct {
	Part
	call *call
	at   int // in limits
}

// call is one frame's worth of parts.
type call struct {
	subs []*sub
	conn *conn // nil = it waits for one
	no   int   // its number among the connection's frames
}

// Start starts a peer's actor. It ends after Stop, once all is settled.
func Start(id balancer.ServerID, host, addr string, f Figures, now func() balancer.Time, sink Sink, budget Budget) *Peer {
	return start(id, host, addr, f, now, sink, budget, connect)
}

func start(id balancer.ServerID, host, addr string, f Figures, now func() balancer.Time, sink Sink, budget Budget,
	connect func(string, time.Duration) (net.Conn, error)) *Peer {
	p := newPeer(id, host, addr, f, now, sink, budget, connect)
	go p.run()
	return p
}

func newPeer(id balancer.ServerID, host, addr string, f Figures, now func() balancer.Time, sink Sink, budget Budget,
	connect func(string, time.Duration) (net.Conn, error)) *Peer {
	p := &Peer{id: id, host: host, f: f, now: now, sink: sink, budget: budget, addr: addr, connect: connect,
		mailbox: make(chan any, mailboxSize), news: make(chan any, mailboxSize), done: make(chan struct{}), out: map[subKey]*sub{}}
	p.f.Streams, p.f.PartsPerCall = max(f.Streams, 1), max(f.PartsPerCall, 1)
	if p.f.Memory == nil {
		p.f.Memory = noMemory{}
	}
	return p
}

// Offer hands an order over without waiting; false = the mailbox is full.
func (p *Peer) Offer(order any) bool {
	select {
	case p.mailbox <- order:
		return true
	default:
		return false
	}
}

// Stop lets the actor finish what is out and end. No order may follow.
func (p *Peer) Stop() { close(p.mailbox) }

// Done is closed once the actor has ended and no connection is left.
func (p *Peer) Done() <-chan struct{} { return p.done }

func (p *Peer) run() {
	defer close(p.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	mailbox := p.mailbox
	for {
		timer.Reset(p.untilNext())
		select {
		case order, ok := <-mailbox:
			if !ok {
				mailbox = nil
			} else {
				p.order(order)
			}
		case news := <-p.news:
			p.hear(news)
		case <-timer.C:
		}
		p.expire()
		if mailbox == nil && len(p.out) == 0 {
			for _, c := range p.conns {
				c.close(endUnlisted)
			}
			if p.running+p.dialing == 0 {
				p.probed(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
				return
			}
		}
	}
}

// untilNext is how long until a time limit or an idle connection's end.
func (p *Peer) untilNext() time.Duration {
	next := p.now() + balancer.Time(time.Hour/tick)
	if len(p.limits) > 0 {
		next = p.limits[0].Until
	}
	if p.probing != 0 {
		next = min(next, p.probing)
	}
	for _, c := range p.conns {
		// One that is closed stays until its goroutines have ended. To be due for it would keep the actor awake without a
		// pause, and on one core its goroutines would wait for that to be broken off.
		if c.closed {
			continue
		}
		if c.parts == 0 {
			next = min(next, c.usedAt+p.idleFor())
		}
		if c.halfAt > 0 {
			next = min(next, c.halfAt+p.f.ConnectTimeout)
		}
	}
	return max(0, time.Duration(next-p.now())*tick)
}

const tick = time.Millisecond / time.Duration(balancer.Millisecond)

// idleFor is how long a connection may be idle: a quarter less than the server allows, which cannot be told
// how long our last bytes were on their way.
func (p *Peer) idleFor() balancer.Time {
	if p.f.IdleClose <= 0 {
		return balancer.Time(time.Hour / tick)
	}
	return p.f.IdleClose * 3 / 4
}

func (p *Peer) order(order any) {
	switch o := order.(type) {
	case Call:
		for parts := o.Parts; len(parts) > 0; {
			n := min(len(parts), p.f.PartsPerCall, p.f.Streams)
			c := &call{}
			for _, part := range parts[:n] {
				s := &sub{Part: part, call: c}
				c.subs = append(c.subs, s)
				p.out[subKey{part.ID, part.Send}] = s
				heap.Push(&p.limits, s)
			}
			parts = parts[n:]
			p.waiting = append(p.waiting, c)
		}
		p.place()
	case Cancel:
		if s := p.out[subKey{o.ID, o.Send}]; s != nil {
			p.giveUp(s, balancer.Cancelled)
		}
	case Probe:
		p.probe()
	case CloseIdle:
		for _, c := range p.conns {
			if c.parts == 0 && !slices.Contains(p.probes, c) {
				c.close(endRested)
			}
		}
	case Quit:
		for _, c := range p.conns {
			c.close(endStopped)
		}
		p.failWaiting()
	case Drain:
		p.drain()
	case Moved:
		p.moved(o)
	}
}

// drain lets a server go that takes nothing new. While a release goes on its connections would hold descriptors that those
// to the servers in its place need, until it ends. Calls that wait for a connection never ran and may go elsewhere.
func (p *Peer) drain() {
	p.failWaiting()
	for _, c := range p.conns {
		c.leaving = endDraining
		c.closeIfDone()
	}
}

// moved meets a server that started anew or listens elsewhere. Connections from before its start lead to a
// process that is no more; those to an old address only finish what they carry.
func (p *Peer) moved(o Moved) {
	for _, c := range p.conns {
		if o.Since > c.openedAt {
			c.close(endRestarted)
		} else if o.Addr != p.addr {
			c.leaving = endMoved
			c.closeIfDone()
		}
	}
	p.addr = o.Addr
}

// place puts waiting calls, and the probe that waits, on connections with room and opens one where none has.
func (p *Peer) place() {
	defer p.placeProbe()
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if c := p.room(len(w.subs)); c != nil {
			p.write(c, w)
		} else {
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	parts := 0
	for _, w := range p.waiting {
		parts += len(w.subs)
	}
	for parts > p.dialing*p.f.Streams {
		if !p.dial() {
			if p.dialing == 0 {
				p.failWaiting()
			}
			return
		}
	}
}

// room finds a connection that can carry so many more parts. One that has gone silent gets none: its server
// may be cut off, and only a new connection can tell. Nor does one whose present frame is not whole: it may never be.
func (p *Peer) room(n int) *conn {
	for _, c := range p.conns {
		if !c.closed && c.leaving == "" && !c.silent && c.halfAt == 0 && c.parts+n <= p.f.Streams {
			return c
		}
	}
	return nil
}

func (p *Peer) write(c *conn, w *call) {
	now := p.now()
	b := frame.Begin(nil, frame.Call)
	for _, s := range w.subs {
		millis := max(1, int64((s.Until-now+balancer.Millisecond-1)/balancer.Millisecond))
		b = frame.Part(b, s.Wire, int(s.Shard), millis, s.List, s.Text)
	}
	w.conn, w.no = c, c.put(frame.End(b, 0))
	c.parts += len(w.subs)
	c.usedAt = now
}

// end tells a sub-request's outcome and forgets it.
func (p *Peer) end(s *sub, o balancer.Outcome, report *balancer.LoadReport) {
	p.tell(s, Ended{Outcome: o, Report: report})
}

func (p *Peer) tell(s *sub, e Ended) {
	delete(p.out, subKey{s.ID, s.Send})
	heap.Remove(&p.limits, s.at)
	if c := s.call.conn; c != nil {
		c.parts--
		c.usedAt = p.now()
	}
	e.ID, e.Send, e.Server, e.Elapsed = s.ID, s.Send, p.id, p.now()-s.SentAt
	p.sink.Ended(e)
}

// giveUp ends a sub-request that is called off or whose time is up. What was never put on a connection cannot
// have run, nor can what is taken back before its first byte.
func (p *Peer) giveUp(s *sub, o balancer.Outcome) {
	c := s.call.conn
	if c == nil {
		s.call.drop(s)
		if len(s.call.subs) == 0 {
			p.unwait(s.call)
		}
		if o = balancer.NotDispatched; s.Until <= p.now() {
			o = balancer.ConnectFailed
		}
		p.end(s, o, nil)
		return
	}
	if len(s.call.subs) == 1 && c.takeBack(s.call.no) {
		o = balancer.ConnectFailed
	} else {
		c.put(frame.Whole(frame.GiveUp, s.Wire))
		c.over(s.Wire, false)
		if c.heardAt <= s.SentAt {
			p.silent(c)
		}
	}
	s.call.drop(s)
	p.end(s, o, nil)
	c.closeIfDone()
}

// silent marks a connection on which a part was given up without a word since it was sent. Past
// two such the oldest is closed, so that a server that hangs costs few descriptors.
func (p *Peer) silent(c *conn) {
	c.silent = true
	n := 0
	for i := len(p.conns) - 1; i >= 0; i-- {
		if other := p.conns[i]; other.silent && !other.closed {
			if n++; n > 2 {
				other.close(endSilent)
			}
		}
	}
}

func (c *call) drop(s *sub) {
	for i, other := range c.subs {
		if other == s {
			c.subs = append(c.subs[:i], c.subs[i+1:]...)
			return
		}
	}
}

func (p *Peer) unwait(w *call) {
	for i, other := range p.waiting {
		if other == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (p *Peer) failWaiting() {
	for _, w := range p.waiting {
		for _, s := range w.subs {
			p.end(s, balancer.ConnectFailed, nil)
		}
	}
	p.waiting = nil
}

// expire ends what is past its time limit and closes connections that have been idle long enough.
func (p *Peer) expire() {
	now := p.now()
	for len(p.limits) > 0 && p.limits[0].Until <= now {
		p.giveUp(p.limits[0], balancer.TimedOut)
	}
	if p.probing != 0 && now >= p.probing {
		for _, c := range p.probes {
			p.silent(c) // what comes next goes on another, which shows whether the machine is there
		}
		p.probed(balancer.HealthCheckEnded{Outcome: balancer.TimedOut})
	}
	for _, c := range p.conns {
		if c.parts == 0 && now >= c.usedAt+p.idleFor() {
			c.close(endIdle)
		}
		if c.halfAt > 0 && !c.closed && now >= c.halfAt+p.f.ConnectTimeout {
			p.spoilt(c, "", "a frame that does not end", true)
		}
	}
}

// probe sends a probe on a connection that carries more, or opens one. A server that says nothing is told of as timed
// out; its answer, should it come after all, is taken and says nothing any more.
func (p *Peer) probe() {
	if p.probing == 0 {
		limit := p.f.ConnectTimeout
		if limit <= 0 {
			limit = balancer.Time(time.Hour / tick) // none is stated, so the connection tells
		}
		p.probing, p.unsent = p.now()+limit, true
	}
	p.place()
}

// placeProbe puts the probe that waits on a connection with room.
func (p *Peer) placeProbe() {
	c := p.room(0)
	if !p.unsent || c == nil && (p.dialing > 0 || p.dial()) {
		return
	}
	if c == nil { // no descriptor is left
		p.probed(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
		return
	}
	letter := byte(frame.Probe)
	if p.f.LoadProbes {
		letter = frame.Load
	}
	c.put(frame.Whole(letter, ""))
	c.usedAt = p.now()
	p.probes = append(p.probes, c)
	p.unsent = false
}

// probed tells how the probe asked for ended; later news of it says nothing.
func (p *Peer) probed(e balancer.HealthCheckEnded) {
	if p.probing != 0 {
		p.probing, p.unsent = 0, false
		e.Server = p.id
		p.sink.Probed(e)
	}
}

func (p *Peer) hear(news any) {
	switch n := news.(type) {
	case dialed:
		p.dialing--
		if n.err != nil {
			slog.Info("server_connect_failed", "server", p.host, "addr", n.addr, "reason", dialReason(n.err), "error", n.err)
			if p.dialing == 0 {
				p.failWaiting()
				if p.unsent {
					p.probed(balancer.HealthCheckEnded{Outcome: balancer.ConnectFailed})
				}
			}
			return
		}
		c := newConn(p, n)
		p.conns = append(p.conns, c)
		p.running++
		if n.addr != p.addr {
			c.leaving = endMoved
		}
		p.place()
	case came:
		p.came(n)
	case connEnded:
		p.connEnded(n.c)
	}
}

// came takes what a server sent.
func (p *Peer) came(n came) {
	c := n.c
	c.heardAt, c.silent = n.at, false
	c.frames += len(n.frames)
	for i, f := range n.frames {
		switch {
		case c.closed:
			return
		case n.bad != nil && i == len(n.frames)-1:
			p.spoilt(c, f.id, n.bad.Error(), i == 0)
		case f.letter == frame.Answer:
			p.answered(c, f, i == 0)
		case len(p.probes) > 0 && slices.Contains(p.probes, c):
			at := slices.Index(p.probes, c)
			p.probes = slices.Delete(p.probes, at, at+1)
			probed := balancer.HealthCheckEnded{Report: p.report(f.report)}
			if f.end == frame.Broke {
				probed.Outcome = balancer.Errored
			}
			p.probed(probed)
		default:
			p.spoilt(c, "", "an answer to a probe that was never sent", false)
		}
	}
	if c.halfAt = 0; n.more {
		c.halfAt = n.at
	}
	if n.more && c.parts+c.owed == 0 && !slices.Contains(p.probes, c) {
		p.spoilt(c, "", "bytes that answer nothing", false)
	}
	c.closeIfDone()
	p.place()
	p.thin(c)
}

// thin closes what carries nothing beside a connection that was just heard on and has room for as much again: second
// ones are opened while a server is silent, and kept they would use up what the connections to a fleet's other servers need.
func (p *Peer) thin(heard *conn) {
	if heard.closed || heard.leaving != "" || 2*heard.parts > p.f.Streams {
		return
	}
	for _, c := range p.conns {
		if c != heard && c.parts == 0 && !slices.Contains(p.probes, c) {
			c.close(endSurplus)
		}
	}
}

func (p *Peer) answered(c *conn, f inFrame, first bool) {
	s := p.find(c, f.id)
	if s == nil {
		if !c.again(f.id) {
			p.spoilt(c, "", "an answer to an id that was never asked for: "+strconv.Quote(f.id[:min(len(f.id), 40)]), first)
		}
		return
	}
	s.call.drop(s)
	c.over(s.Wire, true)
	switch f.end {
	case frame.Served:
		p.served(s, f)
	case frame.Broke:
		p.end(s, balancer.Errored, p.report(f.report))
	case frame.Skipped:
		p.end(s, balancer.Rejected, p.report(f.report))
	}
}

// served takes a value. One that cannot be used is an error of its server's, and no more: the connection is sound.
func (p *Peer) served(s *sub, f inFrame) {
	e := Ended{Outcome: balancer.Answered, Report: p.report(f.report), Value: f.value}
	if s.Read != nil {
		var err error
		if e.Result, err = s.Read(f.value); err != nil {
			e.Outcome, e.Unfit, e.Result = balancer.Errored, true, nil
			slog.Warn("part_unusable", "server", p.host, "part", s.Wire, "error", err)
		}
		e.Value = ""
	}
	p.tell(s, e)
}

// spoilt ends a connection on which came what cannot be an answer: whatever follows cannot be told apart. The part
// named, or else the oldest unless a good answer came just before, was answered by it and has failed. The others are
// given up: they may have run, but their loss says nothing of the server's health, as one spoilt answer would
// otherwise count for as many failures as there were parts beside it.
func (p *Peer) spoilt(c *conn, id, detail string, answer bool) {
	hit := p.find(c, id)
	if hit == nil && answer {
		for _, s := range p.limits {
			if s.call.conn == c && (hit == nil || s.SentAt < hit.SentAt) {
				hit = s
			}
		}
	}
	if hit != nil {
		hit.call.drop(hit)
		p.end(hit, balancer.Errored, nil)
	}
	if !c.closed {
		c.closed, c.spoilt = true, true
		c.stop(endForm, detail)
	}
}

func (p *Peer) find(c *conn, wire string) (found *sub) {
	for _, s := range p.limits {
		if s.call.conn == c && s.Wire == wire && (found == nil || s.Send < found.Send) {
			found = s
		}
	}
	return found
}

// mostLoad is beyond any count of parts that a server could hold: a figure past it is not one.
const mostLoad = 1e6

// report reads a load report; nil where none came, or none that can be read: the older one just ages.
func (p *Peer) report(text string) *balancer.LoadReport {
	if !p.f.Reports || text == "" || text == "-" {
		return nil
	}
	r := &balancer.LoadReport{Queued: -1, InFlight: -1}
	if v, ok := frame.Figure([]byte(text), "queue"); ok && 0 <= v && v < mostLoad {
		r.Queued = v
	}
	if v, ok := frame.Figure([]byte(text), "inflight"); ok && 0 <= v && v < mostLoad {
		r.InFlight = v
	}
	if r.Queued < 0 && r.InFlight < 0 {
		return nil
	}
	return r
}

// connEnded settles what was out on a connection: a frame written whole may have run, another never did.
func (p *Peer) connEnded(c *conn) {
	p.running--
	p.f.Memory.Give(connHolds)
	p.budget.Give()
	written := c.written
	for _, s := range append([]*sub(nil), p.limits...) {
		if s.call.conn == c {
			o := balancer.ConnectFailed
			if s.call.no <= written {
				if o = balancer.Reset; c.spoilt {
					o = balancer.Cancelled
				}
			}
			p.end(s, o, nil)
		}
	}
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	kept := p.probes[:0]
	for _, other := range p.probes {
		if other == c {
			p.probed(balancer.HealthCheckEnded{Outcome: balancer.Reset})
		} else {
			kept = append(kept, other)
		}
	}
	p.probes = kept
	slog.Info("server_conn_end", "server", p.host, "addr", c.addr, "reason", c.why, "sent", written, "heard", c.frames,
		"age_ms", int64((p.now()-c.openedAt)/balancer.Millisecond), "detail", c.detail)
	p.place()
}

// limitHeap orders what is out by time limit.
type limitHeap []*sub

func (h limitHeap) Len() int           { return len(h) }
func (h limitHeap) Less(i, j int) bool { return h[i].Until < h[j].Until }
func (h limitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *limitHeap) Push(x any) {
	s := x.(*sub)
	s.at = len(*h)
	*h = append(*h, s)
}
func (h *limitHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}
