package shardconn

import (
	"oxbowspan/balancer"
	"oxbowspan/internal/deadlineheap"
	"oxbowspan/internal/frame"
)

// maxSilentConns is the maximum number of silent connections that stay open, which limits the descriptors that an
// unresponsive server uses.
const maxSilentConns = 2

// attemptKey identifies an attempt among those of a client.
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

// batch is the set of attempts that are sent in one frame.
type batch struct {
	attempts    []*pendingAttempt
	conn        *conn // nil while the batch waits for a connection
	frameNumber int   // the frame's sequence number on the connection, as returned by conn.enqueue
}

// remove removes an attempt from the batch.
func (b *batch) remove(a *pendingAttempt) {
	for i, other := range b.attempts {
		if other == a {
			b.attempts = append(b.attempts[:i], b.attempts[i+1:]...)
			return
		}
	}
}

// dispatch groups attempts into batches, queues them and assigns them to connections.
func (cl *Client) dispatch(attempts []Attempt) {
	for len(attempts) > 0 {
		n := min(len(attempts), cl.config.MaxCallsPerFrame, cl.config.MaxStreamsPerConn)
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

// assignQueued sends queued batches and a queued health check on connections with capacity, and opens connections for
// the remaining ones. If no connection is being opened and none can be, the queued batches fail.
func (cl *Client) assignQueued() {
	defer cl.sendHealthCheck()
	remaining := cl.queued[:0]
	for _, b := range cl.queued {
		if c := cl.availableConn(len(b.attempts)); c != nil {
			cl.writeBatch(c, b)
		} else {
			remaining = append(remaining, b)
		}
	}
	clear(cl.queued[len(remaining):])
	cl.queued = remaining
	waiting := 0
	for _, b := range cl.queued {
		waiting += len(b.attempts)
	}
	for waiting > cl.dialing*cl.config.MaxStreamsPerConn {
		if !cl.dial() {
			if cl.dialing == 0 {
				cl.failQueued()
			}
			return
		}
	}
}

// availableConn returns a connection with capacity for n more attempts, or nil. It skips silent connections, as the
// server may be unreachable, which only opening a new connection shows, and connections on which part of a frame was
// received, as the frame may never be completed.
func (cl *Client) availableConn(n int) *conn {
	for _, c := range cl.conns {
		if !c.closed && c.drainReason == "" && !c.silent && c.partialSince == 0 &&
			c.inFlight+n <= cl.config.MaxStreamsPerConn {
			return c
		}
	}
	return nil
}

// writeBatch enqueues the frame of a batch on a connection. Time limits are rounded up to milliseconds, at least 1.
func (cl *Client) writeBatch(c *conn, b *batch) {
	now := cl.now()
	buf := frame.Begin(nil, frame.CallFrame)
	for _, a := range b.attempts {
		millis := max(1, int64((a.Deadline-now+balancer.Millisecond-1)/balancer.Millisecond))
		buf = frame.AppendCall(buf, a.WireID, int(a.Shard), millis, a.Options, a.Text)
	}
	b.conn, b.frameNumber = c, c.enqueue(frame.End(buf, 0))
	c.inFlight += len(b.attempts)
	c.lastUsedAt = now
}

// finish ends an attempt with an outcome and an optional load report.
func (cl *Client) finish(a *pendingAttempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	cl.reportEnd(a, AttemptEnded{Outcome: outcome, Report: report})
}

// reportEnd removes an attempt from the pending ones and reports its end to the handler.
func (cl *Client) reportEnd(a *pendingAttempt, e AttemptEnded) {
	delete(cl.pending, attemptKey{a.ID, a.Number})
	cl.deadlines.Remove(a)
	if c := a.batch.conn; c != nil {
		c.inFlight--
		c.lastUsedAt = cl.now()
	}
	e.ID, e.Number, e.Server, e.Elapsed = a.ID, a.Number, cl.id, cl.now()-a.SentAt
	cl.handler.AttemptEnded(e)
}

// abandon ends an attempt that is cancelled or past its deadline. An attempt that was never assigned to a connection, or
// whose frame is withdrawn before its first byte is written, cannot have run, and its outcome is changed accordingly.
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
		if c.lastReceivedAt <= a.SentAt {
			cl.markSilent(c)
		}
	}
	a.batch.remove(a)
	cl.finish(a, outcome, nil)
	c.closeIfDrained()
}

// markSilent marks a connection as silent: an attempt was abandoned on it while nothing was received, or a health check
// timed out. It closes the oldest silent connections in excess of maxSilentConns.
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

// dequeue removes a batch from the queue.
func (cl *Client) dequeue(b *batch) {
	for i, other := range cl.queued {
		if other == b {
			cl.queued = append(cl.queued[:i], cl.queued[i+1:]...)
			return
		}
	}
}

// failQueued ends all attempts that wait for a connection with ConnectFailed.
func (cl *Client) failQueued() {
	for _, b := range cl.queued {
		for _, a := range b.attempts {
			cl.finish(a, balancer.ConnectFailed, nil)
		}
	}
	cl.queued = nil
}
