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
func (cl *Client) dispatch(attempts []Attempt) {
	for len(attempts) > 0 {
		n := min(len(attempts), cl.config.CallsPerFrame, cl.config.StreamsPerConn)
		b := &batch{}
		for _, attempt := range attempts[:n] {
			a := &pendingAttempt{Attempt: attempt, batch: b}
			b.attempts = append(b.attempts, a)
			cl.pending[attemptKey{attempt.ID, attempt.Number}] = a
			cl.deadlines.Push(int64(a.Deadline), a)
		}
		attempts = attempts[n:]
		cl.queued = append(cl.queued, b)
	}
	cl.assignQueued()
}

// assignQueued writes queued batches and a queued health check to connections with capacity, and opens
// connections for the others.
func (cl *Client) assignQueued() {
	defer cl.sendHealthCheck()
	kept := cl.queued[:0]
	for _, b := range cl.queued {
		if c := cl.availableConn(len(b.attempts)); c != nil {
			cl.writeBatch(c, b)
		} else {
			kept = append(kept, b)
		}
	}
	clear(cl.queued[len(kept):])
	cl.queued = kept
	waiting := 0
	for _, b := range cl.queued {
		waiting += len(b.attempts)
	}
	for waiting > cl.dialing*cl.config.StreamsPerConn {
		if !cl.dial() {
			if cl.dialing == 0 {
				cl.failQueued()
			}
			return
		}
	}
}

// availableConn returns a connection with capacity for n more attempts. A silent connection has none, as its
// server may be partitioned, which only a new connection shows. Nor has one with an incomplete frame, which may
// never be completed.
func (cl *Client) availableConn(n int) *conn {
	for _, c := range cl.conns {
		if !c.closed && c.drainReason == "" && !c.silent && c.partialSince == 0 &&
			c.inFlight+n <= cl.config.StreamsPerConn {
			return c
		}
	}
	return nil
}

func (cl *Client) writeBatch(c *conn, b *batch) {
	now := cl.now()
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
func (cl *Client) finish(a *pendingAttempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	cl.report(a, AttemptEnded{Outcome: outcome, Report: report})
}

// report forgets an attempt and reports its end.
func (cl *Client) report(a *pendingAttempt, e AttemptEnded) {
	delete(cl.pending, attemptKey{a.ID, a.Number})
	cl.deadlines.Remove(a)
	if c := a.batch.conn; c != nil {
		c.inFlight--
		c.usedAt = cl.now()
	}
	e.ID, e.Number, e.Server, e.Elapsed = a.ID, a.Number, cl.id, cl.now()-a.SentAt
	cl.handler.AttemptEnded(e)
}

// abandon ends an attempt that is cancelled or past its deadline. One that was never written cannot have run, nor
// can one that is withdrawn before its first byte is written.
func (cl *Client) abandon(a *pendingAttempt, outcome balancer.Outcome) {
	c := a.batch.conn
	if c == nil {
		a.batch.remove(a)
		if len(a.batch.attempts) == 0 {
			cl.dequeue(a.batch)
		}
		if outcome = balancer.NotDispatched; a.Deadline <= cl.now() {
			outcome = balancer.ConnectFailed
		}
		cl.finish(a, outcome, nil)
		return
	}
	if len(a.batch.attempts) == 1 && c.withdraw(a.batch.frameNumber) {
		outcome = balancer.ConnectFailed
	} else {
		c.enqueue(frame.New(frame.CancelFrame, a.WireID))
		c.recordFinished(a.WireID, false)
		if c.receivedAt <= a.SentAt {
			cl.markSilent(c)
		}
	}
	a.batch.remove(a)
	cl.finish(a, outcome, nil)
	c.closeIfDone()
}

// markSilent marks a connection on which an attempt was abandoned while nothing was received. It closes the oldest
// silent connections above maxSilentConns.
func (cl *Client) markSilent(c *conn) {
	c.silent = true
	n := 0
	for i := len(cl.conns) - 1; i >= 0; i-- {
		if other := cl.conns[i]; other.silent && !other.closed {
			if n++; n > maxSilentConns {
				other.close(endSilent)
			}
		}
	}
}

func (cl *Client) dequeue(b *batch) {
	for i, other := range cl.queued {
		if other == b {
			cl.queued = append(cl.queued[:i], cl.queued[i+1:]...)
			return
		}
	}
}

// failQueued fails all attempts that wait for a connection.
func (cl *Client) failQueued() {
	for _, b := range cl.queued {
		for _, a := range b.attempts {
			cl.finish(a, balancer.ConnectFailed, nil)
		}
	}
	cl.queued = nil
}
