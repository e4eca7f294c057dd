package shardconn

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// Protocol violations by a server.
var (
	errIncompleteFrame       = errors.New("a frame was not completed within the connect timeout")
	errUnexpectedHealthCheck = errors.New("an answer to a health check that was never sent")
	errUnexpectedBytes       = errors.New("received bytes while nothing is in flight")
)

// unknownIDError reports an answer with an id that was never sent on its connection.
type unknownIDError struct{ id string }

func (e *unknownIDError) Error() string {
	return fmt.Sprintf("an answer to an id that was never sent: %.40q", e.id)
}

// handleEvent processes an event of a connection.
func (cl *Client) handleEvent(e event) {
	switch e := e.(type) {
	case dialResult:
		cl.handleDialResult(e)
	case received:
		cl.handleReceived(e)
	case connClosed:
		cl.handleConnClosed(e.conn)
	}
}

// handleDialResult adds a new connection to the client. If the dial failed and no other is in progress, the queued
// attempts and the queued health check fail.
func (cl *Client) handleDialResult(result dialResult) {
	cl.dialing--
	if result.err != nil {
		slog.Info("server_connect_failed", "server", cl.host, "addr", result.addr,
			"reason", dialFailure(result.err), "error", result.err)
		if cl.dialing == 0 {
			cl.failQueued()
			if cl.checkQueued {
				cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.ConnectFailed})
			}
		}
		return
	}
	c := newConn(cl, result)
	cl.conns = append(cl.conns, c)
	cl.openConns++
	if result.addr != cl.addr {
		c.drainReason = endMoved
	}
	cl.assignQueued()
}

// handleReceived processes the frames of one event in order, until one of them closes the connection.
func (cl *Client) handleReceived(r received) {
	c := r.conn
	c.lastReceivedAt, c.silent = r.at, false
	c.framesReceived += len(r.frames)
	for i, f := range r.frames {
		switch {
		case c.closed:
			return
		case r.formatErr != nil && i == len(r.frames)-1:
			cl.handleMalformed(c, f.id, r.formatErr, i == 0)
		case f.letter == frame.ResponseFrame:
			cl.handleAnswer(c, f, i == 0)
		default:
			cl.handleHealthCheckAnswer(c, f)
		}
	}
	if c.partialSince = 0; r.partial {
		c.partialSince = r.at
	}
	if r.partial && c.inFlight+c.unanswered == 0 && !slices.Contains(cl.healthChecks, c) {
		cl.handleMalformed(c, "", errUnexpectedBytes, false)
	}
	c.closeIfDrained()
	cl.assignQueued()
	cl.closeSurplus(c)
}

// handleHealthCheckAnswer processes the answer to a health check.
func (cl *Client) handleHealthCheckAnswer(c *conn, f inboundFrame) {
	index := slices.Index(cl.healthChecks, c)
	if index < 0 {
		cl.handleMalformed(c, "", errUnexpectedHealthCheck, false)
		return
	}
	cl.healthChecks = slices.Delete(cl.healthChecks, index, index+1)
	e := balancer.HealthCheckEnded{Report: cl.parseReport(f.report)}
	if f.status == frame.Failed {
		e.Outcome = balancer.Errored
	}
	cl.finishHealthCheck(e)
}

// closeSurplus closes the other, idle connections if the active one is used to at most half of its capacity. Several
// connections are opened while a server is silent; if they stayed open, they would use up the descriptors for other
// servers.
func (cl *Client) closeSurplus(active *conn) {
	if active.closed || active.drainReason != "" || 2*active.inFlight > cl.config.MaxStreamsPerConn {
		return
	}
	for _, c := range cl.conns {
		if c != active && c.inFlight == 0 && !slices.Contains(cl.healthChecks, c) {
			c.close(endSurplus)
		}
	}
}

// handleAnswer processes the answer to an attempt. first states whether it is the first frame of its event.
func (cl *Client) handleAnswer(c *conn, f inboundFrame, first bool) {
	a := cl.findAttempt(c, f.id)
	if a == nil {
		if !c.acceptLateAnswer(f.id) {
			cl.handleMalformed(c, "", &unknownIDError{f.id}, first)
		}
		return
	}
	a.batch.remove(a)
	c.recordFinished(a.WireID, true)
	switch f.status {
	case frame.Served:
		cl.handleServed(a, f)
	case frame.Failed:
		cl.finish(a, balancer.Errored, cl.parseReport(f.report))
	case frame.Rejected:
		cl.finish(a, balancer.Rejected, cl.parseReport(f.report))
	}
}

// handleServed ends an attempt with a value. A value that cannot be decoded counts as an error of the server, but the
// connection stays in use.
func (cl *Client) handleServed(a *pendingAttempt, f inboundFrame) {
	e := AttemptEnded{Outcome: balancer.Answered, Report: cl.parseReport(f.report), Value: f.value}
	if a.Decode != nil {
		var err error
		if e.Result, err = a.Decode(f.value); err != nil {
			e.Outcome, e.DecodeFailed, e.Result = balancer.Errored, true, nil
			slog.Warn("part_unusable", "server", cl.host, "part", a.WireID, "error", err)
		}
		e.Value = ""
	}
	cl.reportEnd(a, e)
}

// handleMalformed closes a connection on which the server violated the protocol, as nothing that follows can be
// trusted. The attempt with the given id ends with Errored; if there is none and failOldest is set, the oldest attempt
// does. Callers do not set failOldest if a valid answer was read just before. The other attempts count as cancelled: they
// may have run, but one malformed answer must not count as a failure of every attempt in flight on the connection.
func (cl *Client) handleMalformed(c *conn, id string, violation error, failOldest bool) {
	failed := cl.findAttempt(c, id)
	if failed == nil && failOldest {
		for a := range cl.deadlines.All() {
			if a.batch.conn == c && (failed == nil || a.SentAt < failed.SentAt) {
				failed = a
			}
		}
	}
	if failed != nil {
		failed.batch.remove(failed)
		cl.finish(failed, balancer.Errored, nil)
	}
	if !c.closed {
		c.closed, c.malformed = true, true
		c.stop(endMalformed, violation.Error())
	}
}

// findAttempt returns the pending attempt of a call on a connection, the one with the lowest number if there are several;
// nil if there is none.
func (cl *Client) findAttempt(c *conn, wireID string) (found *pendingAttempt) {
	for a := range cl.deadlines.All() {
		if a.batch.conn == c && a.WireID == wireID && (found == nil || a.Number < found.Number) {
			found = a
		}
	}
	return found
}

// handleConnClosed ends the attempts and health checks that were in flight on a connection. An attempt may have run only
// if its frame was written completely.
func (cl *Client) handleConnClosed(c *conn) {
	cl.openConns--
	cl.config.Memory.Release(connBytes)
	cl.budget.Release()
	for _, a := range slices.Collect(cl.deadlines.All()) {
		if a.batch.conn == c {
			cl.finish(a, c.outcomeAfterClose(a.batch.frameNumber), nil)
		}
	}
	if index := slices.Index(cl.conns, c); index >= 0 {
		cl.conns = append(cl.conns[:index], cl.conns[index+1:]...)
	}
	remaining := cl.healthChecks[:0]
	for _, other := range cl.healthChecks {
		if other == c {
			cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.Reset})
		} else {
			remaining = append(remaining, other)
		}
	}
	cl.healthChecks = remaining
	slog.Info("server_conn_end", "server", cl.host, "addr", c.addr, "reason", string(c.endReason),
		"sent", c.framesWritten, "received", c.framesReceived,
		"age_ms", int64((cl.now()-c.openedAt)/balancer.Millisecond), "detail", c.endDetail)
	cl.assignQueued()
}

// maxReportedLoad is more than the number of calls that any server can hold. Reported numbers that are not below it are
// invalid.
const maxReportedLoad = 1e6

// parseReport parses a load report. It returns nil if load reports are disabled, or the report is missing or contains no
// valid number.
func (cl *Client) parseReport(text string) *balancer.LoadReport {
	if !cl.config.LoadReports || text == "" || text == "-" {
		return nil
	}
	r := &balancer.LoadReport{Queued: -1, InFlight: -1}
	if v, ok := frame.LoadReportValue([]byte(text), "queue"); ok && 0 <= v && v < maxReportedLoad {
		r.Queued = v
	}
	if v, ok := frame.LoadReportValue([]byte(text), "inflight"); ok && 0 <= v && v < maxReportedLoad {
		r.InFlight = v
	}
	if r.Queued < 0 && r.InFlight < 0 {
		return nil
	}
	return r
}
