package shardconn

import (
	"oxbowspan/balancer"
	"oxbowspan/internal/deadlineheap"
	"oxbowspan/internal/frame"
)

// maxSilentConns is how many silent connections are kept open, so that a server that hangs costs few descriptors.
const maxSilentConns = 2

type attemptKey struct {
	id     balancer.ShardCallID
	number balancer.AttemptNumber
}

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	Attempt
	batch *batch

	deadlineheap.Position // in Client.deadlines
}

// DueAt implements deadlineheap.Element.
func (a *pendingAttempt) DueAt() int64 { return int64(a.Deadline) }

// batch is the attempts of one frame.
type batch struct {
	attempts    []*pendingAttempt
	conn        *conn // nil = it waits for one
	frameNumber int   // of the frames on the connection
}

func (b *batch) remove(a *pendingAttempt) {
	for i, other := range b.attempts {
		if other == a {
			b.attempts = append(b.attempts[:i], b.attempts[i+1:]...)
			return
		}
	}
}

// dispatch queues attempts in batches and assigns them to connections.
func (p *Client) dispatch(attempts []Attempt) {
	for len(attempts) > 0 {
		n := min(len(attempts), p.config.CallsPerFrame, p.config.StreamsPerConn)
		b := &batch{}
		for _, attempt := range attempts[:n] {
			a := &pendingAttempt{Attempt: attempt, batch: b}
			b.attempts = append(b.attempts, a)
			p.pending[attemptKey{attempt.ID, attempt.Number}] = a
			p.deadlines.Push(a)
		}
		attempts = attempts[n:]
		p.queued = append(p.queued, b)
	}
	p.assignQueued()
}

// assignQueued writes queued batches and a queued health check to connections with capacity, and opens
// connections for the others.
func (p *Client) assignQueued() {
	defer p.sendHealthCheck()
	kept := p.queued[:0]
	for _, b := range p.queued {
		if c := p.availableConn(len(b.attempts)); c != nil {
			p.writeBatch(c, b)
		} else {
			kept = append(kept, b)
		}
	}
	clear(p.queued[len(kept):])
	p.queued = kept
	waiting := 0
	for _, b := range p.queued {
		waiting += len(b.attempts)
	}
	for waiting > p.dialing*p.config.StreamsPerConn {
		if !p.dial() {
			if p.dialing == 0 {
				p.failQueued()
			}
			return
		}
	}
}

// availableConn returns a connection with capacity for n more attempts. A silent connection has none, as its
// server may be partitioned, which only a new connection shows. Nor has one with an incomplete frame, which may
// never be completed.
func (p *Client) availableConn(n int) *conn {
	for _, c := range p.conns {
		if !c.closed && c.drainReason == "" && !c.silent && c.partialSince == 0 &&
			c.inFlight+n <= p.config.StreamsPerConn {
			return c
		}
	}
	return nil
}

func (p *Client) writeBatch(c *conn, b *batch) {
	now := p.now()
	buf := frame.Begin(nil, frame.CallFrame)
	for _, a := range b.attempts {
		millis := max(1, int64((a.Deadline-now+balancer.Millisecond-1)/balancer.Millisecond))
		buf = frame.AppendCall(buf, a.WireID, int(a.Shard), millis, a.Options, a.Text)
	}
	b.conn, b.frameNumber = c, c.enqueue(frame.End(buf, 0))
	c.inFlight += len(b.attempts)
	c.usedAt = now
}

// finish ends an attempt with an outcome.
func (p *Client) finish(a *pendingAttempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	p.report(a, AttemptEnded{Outcome: outcome, Report: report})
}

// report forgets an attempt and reports its end.
func (p *Client) report(a *pendingAttempt, e AttemptEnded) {
	delete(p.pending, attemptKey{a.ID, a.Number})
	p.deadlines.Remove(a)
	if c := a.batch.conn; c != nil {
		c.inFlight--
		c.usedAt = p.now()
	}
	e.ID, e.Number, e.Server, e.Elapsed = a.ID, a.Number, p.id, p.now()-a.SentAt
	p.handler.AttemptEnded(e)
}

// abandon ends an attempt that is cancelled or past its deadline. One that was never written cannot have run, nor
// can one that is withdrawn before its first byte is written.
func (p *Client) abandon(a *pendingAttempt, outcome balancer.Outcome) {
	c := a.batch.conn
	if c == nil {
		a.batch.remove(a)
		if len(a.batch.attempts) == 0 {
			p.dequeue(a.batch)
		}
		if outcome = balancer.NotDispatched; a.Deadline <= p.now() {
			outcome = balancer.ConnectFailed
		}
		p.finish(a, outcome, nil)
		return
	}
	if len(a.batch.attempts) == 1 && c.withdraw(a.batch.frameNumber) {
		outcome = balancer.ConnectFailed
	} else {
		c.enqueue(frame.New(frame.CancelFrame, a.WireID))
		c.recordFinished(a.WireID, false)
		if c.receivedAt <= a.SentAt {
			p.markSilent(c)
		}
	}
	a.batch.remove(a)
	p.finish(a, outcome, nil)
	c.closeIfDone()
}

// markSilent marks a connection on which an attempt was abandoned while nothing was received. It closes the oldest
// silent connections above maxSilentConns.
func (p *Client) markSilent(c *conn) {
	c.silent = true
	n := 0
	for i := len(p.conns) - 1; i >= 0; i-- {
		if other := p.conns[i]; other.silent && !other.closed {
			if n++; n > maxSilentConns {
				other.close(endSilent)
			}
		}
	}
}

func (p *Client) dequeue(b *batch) {
	for i, other := range p.queued {
		if other == b {
			p.queued = append(p.queued[:i], p.queued[i+1:]...)
			return
		}
	}
}

// failQueued fails all attempts that wait for a connection.
func (p *Client) failQueued() {
	for _, b := range p.queued {
		for _, a := range b.attempts {
			p.finish(a, balancer.ConnectFailed, nil)
		}
	}
	p.queued = nil
}
