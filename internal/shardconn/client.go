// Package shardconn speaks to one shard server. An actor with a mailbox owns its connections, what is out on them
// and the time limits; it decides nothing about where parts go.
package shardconn

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

// Attempt is one sub-request to be sent.
type Attempt struct {
	ID      balancer.ShardCallID
	Number  balancer.AttemptNumber
	WireID  string // its id on the wire
	Shard   balancer.ShardIndex
	Text    []byte
	Options string // what more than the time limit its line lists; "" = nothing
	// Decode, where it is set, reads the value. Its error says that the value cannot be used: the sub-request has errored
	// then, so that another replica may be asked. It runs in the peer's actor and must not wait.
	Decode   func(value string) (any, error)
	SentAt   balancer.Time
	Deadline balancer.Time // its time limit
}

// The orders that a peer takes.
type (
	Dispatch struct{ Attempts []Attempt }
	Cancel   struct {
		ID     balancer.ShardCallID
		Number balancer.AttemptNumber
	}
	// HealthCheck asks for a probe on a connection, a new one where none has room. It is told once, within the connect timeout.
	HealthCheck struct{}
	// CloseIdle closes the connections that carry nothing, so that what is sent next goes on a new one.
	CloseIdle struct{}
	// CloseAll closes all connections, whatever is out on them.
	CloseAll struct{}
	// Drain says that nothing new will be sent: connections end once what is out on them has.
	Drain struct{}
	// AddressChanged says where the server now listens and since when it runs.
	AddressChanged struct {
		Addr      string
		StartedAt balancer.Time
	}
)

// AttemptEnded is how a sub-request ended. It comes exactly once for each part of a Call.
type AttemptEnded struct {
	ID           balancer.ShardCallID
	Number       balancer.AttemptNumber
	Server       balancer.ServerID
	Elapsed      balancer.Time
	Outcome      balancer.Outcome
	Report       *balancer.LoadReport
	Value        string
	Result       any  // what Part.Read made of the value
	DecodeFailed bool // Part.Read found that the value cannot be used
}

// EventHandler takes what a peer has to tell. It may block for a moment.
type EventHandler interface {
	AttemptEnded(AttemptEnded)
	HealthCheckEnded(balancer.HealthCheckEnded)
}

// DescriptorBudget counts descriptors: a connection is opened only for one taken.
type DescriptorBudget interface {
	Acquire() bool
	Release()
}

// Config are the limits of the settings that a peer keeps.
type Config struct {
	ConnectTimeout, IdleTimeout   balancer.Time
	StreamsPerConn, CallsPerFrame int
	LoadHealthChecks              bool // load is told by probes alone
	LoadReports                   bool // servers tell their load
	// Memory is told what connections and the frames on them hold; nil = nobody is. It may be called from any goroutine.
	Memory MemoryAccount
}

// MemoryAccount accounts for bytes that cannot be refused any more.
type MemoryAccount interface {
	ForceAcquire(bytes int64)
	Release(bytes int64)
}

type noopMemory struct{}

func (noopMemory) ForceAcquire(int64) {}
func (noopMemory) Release(int64)      {}

// connBytes is what a connection holds: the stacks of its goroutines, its read buffer, the ids that ended on it.
const connBytes = 24 << 10

// mailboxSize is how many orders may wait; past it an order is refused.
const mailboxSize = 256

// Client is the actor's handle.
type Client struct {
	id      balancer.ServerID
	host    string
	config  Config
	now     func() balancer.Time
	handler EventHandler
	budget  DescriptorBudget
	mailbox chan any
	events  chan any // from its own connections
	done    chan struct{}

	addr          string
	connect       func(addr string, limit time.Duration) (net.Conn, error)
	conns         []*conn  // in order of opening; emptied as they end
	queued        []*batch // calls for which no connection has room; emptied by room, outcomes and failed dials
	dialing       int
	pending       map[attemptKey]*pendingAttempt // emptied by outcomes
	deadlines     deadlineHeap                   // the same, by time limit
	openConns     int                            // connections whose goroutines have not ended
	healthChecks  []*conn                        // connections with a probe out, in order; emptied by answers and ends
	checkDeadline balancer.Time                  // when the probe asked for is given up; 0 = none is
	checkQueued   bool                           // it waits for a connection
}

type attemptKey struct {
	id     balancer.ShardCallID
	number balancer.AttemptNumber
}

type pendingAttempt struct {
	Attempt
	batch     *batch
	heapIndex int // in limits
}

// batch is one frame's worth of parts.
type batch struct {
	attempts    []*pendingAttempt
	conn        *conn // nil = it waits for one
	frameNumber int   // its number among the connection's frames
}

// Start starts a peer's actor. It ends after Stop, once all is settled.
func Start(id balancer.ServerID, host, addr string, f Config, now func() balancer.Time, sink EventHandler, budget DescriptorBudget) *Client {
	return start(id, host, addr, f, now, sink, budget, connect)
}

func start(id balancer.ServerID, host, addr string, f Config, now func() balancer.Time, sink EventHandler, budget DescriptorBudget,
	connect func(string, time.Duration) (net.Conn, error)) *Client {
	p := newClient(id, host, addr, f, now, sink, budget, connect)
	go p.run()
	return p
}

func newClient(id balancer.ServerID, host, addr string, f Config, now func() balancer.Time, sink EventHandler, budget DescriptorBudget,
	connect func(string, time.Duration) (net.Conn, error)) *Client {
	p := &Client{id: id, host: host, config: f, now: now, handler: sink, budget: budget, addr: addr, connect: connect,
		mailbox: make(chan any, mailboxSize), events: make(chan any, mailboxSize), done: make(chan struct{}), pending: map[attemptKey]*pendingAttempt{}}
	p.config.StreamsPerConn, p.config.CallsPerFrame = max(f.StreamsPerConn, 1), max(f.CallsPerFrame, 1)
	if p.config.Memory == nil {
		p.config.Memory = noopMemory{}
	}
	return p
}

// TrySubmit hands an order over without waiting; false = the mailbox is full.
func (p *Client) TrySubmit(order any) bool {
	select {
	case p.mailbox <- order:
		return true
	default:
		return false
	}
}

// Stop lets the actor finish what is out and end. No order may follow.
func (p *Client) Stop() { close(p.mailbox) }

// Done is closed once the actor has ended and no connection is left.
func (p *Client) Done() <-chan struct{} { return p.done }

func (p *Client) run() {
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
				p.execute(order)
			}
		case news := <-p.events:
			p.handleEvent(news)
		case <-timer.C:
		}
		p.expire()
		if mailbox == nil && len(p.pending) == 0 {
			for _, c := range p.conns {
				c.close(endUnlisted)
			}
			if p.openConns+p.dialing == 0 {
				p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
				return
			}
		}
	}
}

// untilNext is how long until a time limit or an idle connection's end.
func (p *Client) untilNext() time.Duration {
	next := p.now() + balancer.Time(time.Hour/tick)
	if len(p.deadlines) > 0 {
		next = p.deadlines[0].Deadline
	}
	if p.checkDeadline != 0 {
		next = min(next, p.checkDeadline)
	}
	for _, c := range p.conns {
		// One that is closed stays until its goroutines have ended. To be due for it would keep the actor awake without a
		// pause, and on one core its goroutines would wait for that to be broken off.
		if c.closed {
			continue
		}
		if c.inFlight == 0 {
			next = min(next, c.usedAt+p.idleTimeout())
		}
		if c.partialSince > 0 {
			next = min(next, c.partialSince+p.config.ConnectTimeout)
		}
	}
	return max(0, time.Duration(next-p.now())*tick)
}

const tick = time.Millisecond / time.Duration(balancer.Millisecond)

// idleTimeout is how long a connection may be idle: a quarter less than the server allows, which cannot be told
// how long our last bytes were on their way.
func (p *Client) idleTimeout() balancer.Time {
	if p.config.IdleTimeout <= 0 {
		return balancer.Time(time.Hour / tick)
	}
	return p.config.IdleTimeout * 3 / 4
}

func (p *Client) execute(order any) {
	switch o := order.(type) {
	case Dispatch:
		for parts := o.Attempts; len(parts) > 0; {
			n := min(len(parts), p.config.CallsPerFrame, p.config.StreamsPerConn)
			c := &batch{}
			for _, part := range parts[:n] {
				s := &pendingAttempt{Attempt: part, batch: c}
				c.attempts = append(c.attempts, s)
				p.pending[attemptKey{part.ID, part.Number}] = s
				heap.Push(&p.deadlines, s)
			}
			parts = parts[n:]
			p.queued = append(p.queued, c)
		}
		p.assignQueued()
	case Cancel:
		if s := p.pending[attemptKey{o.ID, o.Number}]; s != nil {
			p.abandon(s, balancer.Cancelled)
		}
	case HealthCheck:
		p.startHealthCheck()
	case CloseIdle:
		for _, c := range p.conns {
			if c.inFlight == 0 && !slices.Contains(p.healthChecks, c) {
				c.close(endIdleUnsafe)
			}
		}
	case CloseAll:
		for _, c := range p.conns {
			c.close(endStopped)
		}
		p.failQueued()
	case Drain:
		p.drain()
	case AddressChanged:
		p.changeAddress(o)
	}
}

// drain lets a server go that takes nothing new. While a release goes on its connections would hold descriptors that those
// to the servers in its place need, until it ends. Calls that wait for a connection never ran and may go elsewhere.
func (p *Client) drain() {
	p.failQueued()
	for _, c := range p.conns {
		c.drainReason = endDraining
		c.closeIfDone()
	}
}

// changeAddress meets a server that started anew or listens elsewhere. Connections from before its start lead to a
// process that is no more; those to an old address only finish what they carry.
func (p *Client) changeAddress(o AddressChanged) {
	for _, c := range p.conns {
		if o.StartedAt > c.openedAt {
			c.close(endRestarted)
		} else if o.Addr != p.addr {
			c.drainReason = endMoved
			c.closeIfDone()
		}
	}
	p.addr = o.Addr
}

// assignQueued puts waiting calls, and the probe that waits, on connections with room and opens one where none has.
func (p *Client) assignQueued() {
	defer p.sendHealthCheck()
	kept := p.queued[:0]
	for _, w := range p.queued {
		if c := p.availableConn(len(w.attempts)); c != nil {
			p.writeBatch(c, w)
		} else {
			kept = append(kept, w)
		}
	}
	clear(p.queued[len(kept):])
	p.queued = kept
	parts := 0
	for _, w := range p.queued {
		parts += len(w.attempts)
	}
	for parts > p.dialing*p.config.StreamsPerConn {
		if !p.dial() {
			if p.dialing == 0 {
				p.failQueued()
			}
			return
		}
	}
}

// availableConn finds a connection that can carry so many more parts. One that has gone silent gets none: its server
// may be cut off, and only a new connection can tell. Nor does one whose present frame is not whole: it may never be.
func (p *Client) availableConn(n int) *conn {
	for _, c := range p.conns {
		if !c.closed && c.drainReason == "" && !c.silent && c.partialSince == 0 && c.inFlight+n <= p.config.StreamsPerConn {
			return c
		}
	}
	return nil
}

func (p *Client) writeBatch(c *conn, w *batch) {
	now := p.now()
	b := frame.Begin(nil, frame.CallFrame)
	for _, s := range w.attempts {
		millis := max(1, int64((s.Deadline-now+balancer.Millisecond-1)/balancer.Millisecond))
		b = frame.AppendCall(b, s.WireID, int(s.Shard), millis, s.Options, s.Text)
	}
	w.conn, w.frameNumber = c, c.enqueue(frame.End(b, 0))
	c.inFlight += len(w.attempts)
	c.usedAt = now
}

// finish tells a sub-request's outcome and forgets it.
func (p *Client) finish(s *pendingAttempt, o balancer.Outcome, report *balancer.LoadReport) {
	p.report(s, AttemptEnded{Outcome: o, Report: report})
}

func (p *Client) report(s *pendingAttempt, e AttemptEnded) {
	delete(p.pending, attemptKey{s.ID, s.Number})
	heap.Remove(&p.deadlines, s.heapIndex)
	if c := s.batch.conn; c != nil {
		c.inFlight--
		c.usedAt = p.now()
	}
	e.ID, e.Number, e.Server, e.Elapsed = s.ID, s.Number, p.id, p.now()-s.SentAt
	p.handler.AttemptEnded(e)
}

// abandon ends a sub-request that is called off or whose time is up. What was never put on a connection cannot
// have run, nor can what is taken back before its first byte.
func (p *Client) abandon(s *pendingAttempt, o balancer.Outcome) {
	c := s.batch.conn
	if c == nil {
		s.batch.remove(s)
		if len(s.batch.attempts) == 0 {
			p.dequeue(s.batch)
		}
		if o = balancer.NotDispatched; s.Deadline <= p.now() {
			o = balancer.ConnectFailed
		}
		p.finish(s, o, nil)
		return
	}
	if len(s.batch.attempts) == 1 && c.withdraw(s.batch.frameNumber) {
		o = balancer.ConnectFailed
	} else {
		c.enqueue(frame.New(frame.CancelFrame, s.WireID))
		c.recordFinished(s.WireID, false)
		if c.receivedAt <= s.SentAt {
			p.markSilent(c)
		}
	}
	s.batch.remove(s)
	p.finish(s, o, nil)
	c.closeIfDone()
}

// markSilent marks a connection on which a part was given up without a word since it was sent. Past
// two such the oldest is closed, so that a server that hangs costs few descriptors.
func (p *Client) markSilent(c *conn) {
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

func (c *batch) remove(s *pendingAttempt) {
	for i, other := range c.attempts {
		if other == s {
			c.attempts = append(c.attempts[:i], c.attempts[i+1:]...)
			return
		}
	}
}

func (p *Client) dequeue(w *batch) {
	for i, other := range p.queued {
		if other == w {
			p.queued = append(p.queued[:i], p.queued[i+1:]...)
			return
		}
	}
}

func (p *Client) failQueued() {
	for _, w := range p.queued {
		for _, s := range w.attempts {
			p.finish(s, balancer.ConnectFailed, nil)
		}
	}
	p.queued = nil
}

// expire ends what is past its time limit and closes connections that have been idle long enough.
func (p *Client) expire() {
	now := p.now()
	for len(p.deadlines) > 0 && p.deadlines[0].Deadline <= now {
		p.abandon(p.deadlines[0], balancer.TimedOut)
	}
	if p.checkDeadline != 0 && now >= p.checkDeadline {
		for _, c := range p.healthChecks {
			p.markSilent(c) // what comes next goes on another, which shows whether the machine is there
		}
		p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.TimedOut})
	}
	for _, c := range p.conns {
		if c.inFlight == 0 && now >= c.usedAt+p.idleTimeout() {
			c.close(endIdle)
		}
		if c.partialSince > 0 && !c.closed && now >= c.partialSince+p.config.ConnectTimeout {
			p.handleMalformed(c, "", "a frame that does not end", true)
		}
	}
}

// startHealthCheck sends a probe on a connection that carries more, or opens one. A server that says nothing is told of as timed
// out; its answer, should it come after all, is taken and says nothing any more.
func (p *Client) startHealthCheck() {
	if p.checkDeadline == 0 {
		limit := p.config.ConnectTimeout
		if limit <= 0 {
			limit = balancer.Time(time.Hour / tick) // none is stated, so the connection tells
		}
		p.checkDeadline, p.checkQueued = p.now()+limit, true
	}
	p.assignQueued()
}

// sendHealthCheck puts the probe that waits on a connection with room.
func (p *Client) sendHealthCheck() {
	c := p.availableConn(0)
	if !p.checkQueued || c == nil && (p.dialing > 0 || p.dial()) {
		return
	}
	if c == nil { // no descriptor is left
		p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
		return
	}
	letter := byte(frame.HealthCheckFrame)
	if p.config.LoadHealthChecks {
		letter = frame.LoadCheckFrame
	}
	c.enqueue(frame.New(letter, ""))
	c.usedAt = p.now()
	p.healthChecks = append(p.healthChecks, c)
	p.checkQueued = false
}

// finishHealthCheck tells how the probe asked for ended; later news of it says nothing.
func (p *Client) finishHealthCheck(e balancer.HealthCheckEnded) {
	if p.checkDeadline != 0 {
		p.checkDeadline, p.checkQueued = 0, false
		e.Server = p.id
		p.handler.HealthCheckEnded(e)
	}
}

func (p *Client) handleEvent(news any) {
	switch n := news.(type) {
	case dialResult:
		p.dialing--
		if n.err != nil {
			slog.Info("server_connect_failed", "server", p.host, "addr", n.addr, "reason", dialReason(n.err), "error", n.err)
			if p.dialing == 0 {
				p.failQueued()
				if p.checkQueued {
					p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.ConnectFailed})
				}
			}
			return
		}
		c := newConn(p, n)
		p.conns = append(p.conns, c)
		p.openConns++
		if n.addr != p.addr {
			c.drainReason = endMoved
		}
		p.assignQueued()
	case received:
		p.framesReceived(n)
	case connClosed:
		p.handleConnClosed(n.c)
	}
}

// framesReceived takes what a server sent.
func (p *Client) framesReceived(n received) {
	c := n.c
	c.receivedAt, c.silent = n.at, false
	c.framesReceived += len(n.frames)
	for i, f := range n.frames {
		switch {
		case c.closed:
			return
		case n.formatErr != nil && i == len(n.frames)-1:
			p.handleMalformed(c, f.id, n.formatErr.Error(), i == 0)
		case f.letter == frame.AnswerFrame:
			p.handleAnswer(c, f, i == 0)
		case len(p.healthChecks) > 0 && slices.Contains(p.healthChecks, c):
			at := slices.Index(p.healthChecks, c)
			p.healthChecks = slices.Delete(p.healthChecks, at, at+1)
			probed := balancer.HealthCheckEnded{Report: p.parseReport(f.report)}
			if f.status == frame.Failed {
				probed.Outcome = balancer.Errored
			}
			p.finishHealthCheck(probed)
		default:
			p.handleMalformed(c, "", "an answer to a probe that was never sent", false)
		}
	}
	if c.partialSince = 0; n.partial {
		c.partialSince = n.at
	}
	if n.partial && c.inFlight+c.unanswered == 0 && !slices.Contains(p.healthChecks, c) {
		p.handleMalformed(c, "", "bytes that answer nothing", false)
	}
	c.closeIfDone()
	p.assignQueued()
	p.closeSurplus(c)
}

// closeSurplus closes what carries nothing beside a connection that was just heard on and has room for as much again: second
// ones are opened while a server is silent, and kept they would use up what the connections to a fleet's other servers need.
func (p *Client) closeSurplus(heard *conn) {
	if heard.closed || heard.drainReason != "" || 2*heard.inFlight > p.config.StreamsPerConn {
		return
	}
	for _, c := range p.conns {
		if c != heard && c.inFlight == 0 && !slices.Contains(p.healthChecks, c) {
			c.close(endSurplus)
		}
	}
}

func (p *Client) handleAnswer(c *conn, f inboundFrame, first bool) {
	s := p.findAttempt(c, f.id)
	if s == nil {
		if !c.acceptLateAnswer(f.id) {
			p.handleMalformed(c, "", "an answer to an id that was never asked for: "+strconv.Quote(f.id[:min(len(f.id), 40)]), first)
		}
		return
	}
	s.batch.remove(s)
	c.recordFinished(s.WireID, true)
	switch f.status {
	case frame.Served:
		p.handleServed(s, f)
	case frame.Failed:
		p.finish(s, balancer.Errored, p.parseReport(f.report))
	case frame.Rejected:
		p.finish(s, balancer.Rejected, p.parseReport(f.report))
	}
}

// handleServed takes a value. One that cannot be used is an error of its server's, and no more: the connection is sound.
func (p *Client) handleServed(s *pendingAttempt, f inboundFrame) {
	e := AttemptEnded{Outcome: balancer.Answered, Report: p.parseReport(f.report), Value: f.value}
	if s.Decode != nil {
		var err error
		if e.Result, err = s.Decode(f.value); err != nil {
			e.Outcome, e.DecodeFailed, e.Result = balancer.Errored, true, nil
			slog.Warn("part_unusable", "server", p.host, "part", s.WireID, "error", err)
		}
		e.Value = ""
	}
	p.report(s, e)
}

// handleMalformed ends a connection on which came what cannot be an answer: whatever follows cannot be told apart. The part
// named, or else the oldest unless a good answer came just before, was answered by it and has failed. The others are
// given up: they may have run, but their loss says nothing of the server's health, as one spoilt answer would
// otherwise count for as many failures as there were parts beside it.
func (p *Client) handleMalformed(c *conn, id, detail string, answer bool) {
	hit := p.findAttempt(c, id)
	if hit == nil && answer {
		for _, s := range p.deadlines {
			if s.batch.conn == c && (hit == nil || s.SentAt < hit.SentAt) {
				hit = s
			}
		}
	}
	if hit != nil {
		hit.batch.remove(hit)
		p.finish(hit, balancer.Errored, nil)
	}
	if !c.closed {
		c.closed, c.malformed = true, true
		c.stop(endMalformed, detail)
	}
}

func (p *Client) findAttempt(c *conn, wire string) (found *pendingAttempt) {
	for _, s := range p.deadlines {
		if s.batch.conn == c && s.WireID == wire && (found == nil || s.Number < found.Number) {
			found = s
		}
	}
	return found
}

// maxLoadFigure is beyond any count of parts that a server could hold: a figure past it is not one.
const maxLoadFigure = 1e6

// parseReport reads a load report; nil where none came, or none that can be read: the older one just ages.
func (p *Client) parseReport(text string) *balancer.LoadReport {
	if !p.config.LoadReports || text == "" || text == "-" {
		return nil
	}
	r := &balancer.LoadReport{Queued: -1, InFlight: -1}
	if v, ok := frame.ReportValue([]byte(text), "queue"); ok && 0 <= v && v < maxLoadFigure {
		r.Queued = v
	}
	if v, ok := frame.ReportValue([]byte(text), "inflight"); ok && 0 <= v && v < maxLoadFigure {
		r.InFlight = v
	}
	if r.Queued < 0 && r.InFlight < 0 {
		return nil
	}
	return r
}

// handleConnClosed settles what was out on a connection: a frame written whole may have run, another never did.
func (p *Client) handleConnClosed(c *conn) {
	p.openConns--
	p.config.Memory.Release(connBytes)
	p.budget.Release()
	written := c.framesWritten
	for _, s := range append([]*pendingAttempt(nil), p.deadlines...) {
		if s.batch.conn == c {
			o := balancer.ConnectFailed
			if s.batch.frameNumber <= written {
				if o = balancer.Reset; c.malformed {
					o = balancer.Cancelled
				}
			}
			p.finish(s, o, nil)
		}
	}
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	kept := p.healthChecks[:0]
	for _, other := range p.healthChecks {
		if other == c {
			p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.Reset})
		} else {
			kept = append(kept, other)
		}
	}
	p.healthChecks = kept
	slog.Info("server_conn_end", "server", p.host, "addr", c.addr, "reason", c.endReason, "sent", written, "heard", c.framesReceived,
		"age_ms", int64((p.now()-c.openedAt)/balancer.Millisecond), "detail", c.endDetail)
	p.assignQueued()
}

// deadlineHeap orders what is out by time limit.
type deadlineHeap []*pendingAttempt

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline < h[j].Deadline }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	s := x.(*pendingAttempt)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}
