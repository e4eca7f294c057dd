package shardconn

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// Violations of the protocol by a server.
var (
	errIncompleteFrame       = errors.New("a frame is not completed in time")
	errUnexpectedHealthCheck = errors.New("an answer to a health check that was never sent")
	errUnexpectedBytes       = errors.New("bytes while nothing is in flight")
)

// unknownIDError says that an answer names an id that was never sent on its connection.
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

// handleReceived processes the frames of one read.
func (cl *Client) handleReceived(r received) {
	c := r.conn
	c.receivedAt, c.silent = r.at, false
	c.framesReceived += len(r.frames)
	for i, f := range r.frames {
		switch {
		case c.closed:
			return
		case r.formatErr != nil && i == len(r.frames)-1:
			cl.handleMalformed(c, f.id, r.formatErr, i == 0)
		case f.letter == frame.AnswerFrame:
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
	c.closeIfDone()
	cl.assignQueued()
	cl.closeSurplus(c)
}

func (cl *Client) handleHealthCheckAnswer(c *conn, f inboundFrame) {
	at := slices.Index(cl.healthChecks, c)
	if at < 0 {
		cl.handleMalformed(c, "", errUnexpectedHealthCheck, false)
		return
	}
	cl.healthChecks = slices.Delete(cl.healthChecks, at, at+1)
	e := balancer.HealthCheckEnded{Report: cl.parseReport(f.report)}
	if f.status == frame.Failed {
		e.Outcome = balancer.Errored
	}
	cl.finishHealthCheck(e)
}

// closeSurplus closes idle connections beside an active one that has capacity for as much again. More than one are
// opened while a server is silent; kept, they would use up the descriptors for other servers.
func (cl *Client) closeSurplus(active *conn) {
	if active.closed || active.drainReason != "" || 2*active.inFlight > cl.config.StreamsPerConn {
		return
	}
	for _, c := range cl.conns {
		if c != active && c.inFlight == 0 && !slices.Contains(cl.healthChecks, c) {
			c.close(endSurplus)
		}
	}
}

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

// handleServed ends an attempt with a value. One that cannot be decoded is an error of the server, but no reason to
// distrust the connection.
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
	cl.report(a, e)
}

// handleMalformed closes a connection on which the server violated the protocol, as nothing that follows can be
// trusted. The attempt that the bytes name has failed, or else the oldest one, unless a good answer came just
// before. The others count as cancelled: they may have run, but one malformed answer must not count as a failure of
// each attempt beside it.
func (cl *Client) handleMalformed(c *conn, id string, violation error, wasAnswer bool) {
	failed := cl.findAttempt(c, id)
	if failed == nil && wasAnswer {
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

// findAttempt returns the first attempt of a call on a connection.
func (cl *Client) findAttempt(c *conn, wireID string) (found *pendingAttempt) {
	for a := range cl.deadlines.All() {
		if a.batch.conn == c && a.WireID == wireID && (found == nil || a.Number < found.Number) {
			found = a
		}
	}
	return found
}

// handleConnClosed ends what was in flight on a connection. An attempt may have run if its frame was written
// completely, and only then.
func (cl *Client) handleConnClosed(c *conn) {
	cl.openConns--
	cl.config.Memory.Release(connBytes)
	cl.budget.Release()
	for _, a := range slices.Collect(cl.deadlines.All()) {
		if a.batch.conn == c {
			cl.finish(a, c.outcomeOfLoss(a.batch.frameNumber), nil)
		}
	}
	if at := slices.Index(cl.conns, c); at >= 0 {
		cl.conns = append(cl.conns[:at], cl.conns[at+1:]...)
	}
	kept := cl.healthChecks[:0]
	for _, other := range cl.healthChecks {
		if other == c {
			cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.Reset})
		} else {
			kept = append(kept, other)
		}
	}
	cl.healthChecks = kept
	slog.Info("server_conn_end", "server", cl.host, "addr", c.addr, "reason", string(c.endReason),
		"sent", c.framesWritten, "received", c.framesReceived,
		"age_ms", int64((cl.now()-c.openedAt)/balancer.Millisecond), "detail", c.endDetail)
	cl.assignQueued()
}

// maxLoadFigure is above any number of calls that a server could hold. Figures above it are invalid.
const maxLoadFigure = 1e6

// parseReport parses a load report. It returns nil if there is none, or no valid one.
func (cl *Client) parseReport(text string) *balancer.LoadReport {
	if !cl.config.LoadReports || text == "" || text == "-" {
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
