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
func (p *Client) handleEvent(e event) {
	switch e := e.(type) {
	case dialResult:
		p.handleDialResult(e)
	case received:
		p.handleReceived(e)
	case connClosed:
		p.handleConnClosed(e.conn)
	}
}

func (p *Client) handleDialResult(result dialResult) {
	p.dialing--
	if result.err != nil {
		slog.Info("server_connect_failed", "server", p.host, "addr", result.addr,
			"reason", dialFailure(result.err), "error", result.err)
		if p.dialing == 0 {
			p.failQueued()
			if p.checkQueued {
				p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.ConnectFailed})
			}
		}
		return
	}
	c := newConn(p, result)
	p.conns = append(p.conns, c)
	p.openConns++
	if result.addr != p.addr {
		c.drainReason = endMoved
	}
	p.assignQueued()
}

// handleReceived processes the frames of one read.
func (p *Client) handleReceived(r received) {
	c := r.conn
	c.receivedAt, c.silent = r.at, false
	c.framesReceived += len(r.frames)
	for i, f := range r.frames {
		switch {
		case c.closed:
			return
		case r.formatErr != nil && i == len(r.frames)-1:
			p.handleMalformed(c, f.id, r.formatErr, i == 0)
		case f.letter == frame.AnswerFrame:
			p.handleAnswer(c, f, i == 0)
		default:
			p.handleHealthCheckAnswer(c, f)
		}
	}
	if c.partialSince = 0; r.partial {
		c.partialSince = r.at
	}
	if r.partial && c.inFlight+c.unanswered == 0 && !slices.Contains(p.healthChecks, c) {
		p.handleMalformed(c, "", errUnexpectedBytes, false)
	}
	c.closeIfDone()
	p.assignQueued()
	p.closeSurplus(c)
}

func (p *Client) handleHealthCheckAnswer(c *conn, f inboundFrame) {
	at := slices.Index(p.healthChecks, c)
	if at < 0 {
		p.handleMalformed(c, "", errUnexpectedHealthCheck, false)
		return
	}
	p.healthChecks = slices.Delete(p.healthChecks, at, at+1)
	e := balancer.HealthCheckEnded{Report: p.parseReport(f.report)}
	if f.status == frame.Failed {
		e.Outcome = balancer.Errored
	}
	p.finishHealthCheck(e)
}

// closeSurplus closes idle connections beside an active one that has capacity for as much again. More than one are
// opened while a server is silent; kept, they would use up the descriptors for other servers.
func (p *Client) closeSurplus(active *conn) {
	if active.closed || active.drainReason != "" || 2*active.inFlight > p.config.StreamsPerConn {
		return
	}
	for _, c := range p.conns {
		if c != active && c.inFlight == 0 && !slices.Contains(p.healthChecks, c) {
			c.close(endSurplus)
		}
	}
}

func (p *Client) handleAnswer(c *conn, f inboundFrame, first bool) {
	a := p.findAttempt(c, f.id)
	if a == nil {
		if !c.acceptLateAnswer(f.id) {
			p.handleMalformed(c, "", &unknownIDError{f.id}, first)
		}
		return
	}
	a.batch.remove(a)
	c.recordFinished(a.WireID, true)
	switch f.status {
	case frame.Served:
		p.handleServed(a, f)
	case frame.Failed:
		p.finish(a, balancer.Errored, p.parseReport(f.report))
	case frame.Rejected:
		p.finish(a, balancer.Rejected, p.parseReport(f.report))
	}
}

// handleServed ends an attempt with a value. One that cannot be decoded is an error of the server, but no reason to
// distrust the connection.
func (p *Client) handleServed(a *pendingAttempt, f inboundFrame) {
	e := AttemptEnded{Outcome: balancer.Answered, Report: p.parseReport(f.report), Value: f.value}
	if a.Decode != nil {
		var err error
		if e.Result, err = a.Decode(f.value); err != nil {
			e.Outcome, e.DecodeFailed, e.Result = balancer.Errored, true, nil
			slog.Warn("part_unusable", "server", p.host, "part", a.WireID, "error", err)
		}
		e.Value = ""
	}
	p.report(a, e)
}

// handleMalformed closes a connection on which the server violated the protocol, as nothing that follows can be
// trusted. The attempt that the bytes name has failed, or else the oldest one, unless a good answer came just
// before. The others count as cancelled: they may have run, but one malformed answer must not count as a failure of
// each attempt beside it.
func (p *Client) handleMalformed(c *conn, id string, violation error, wasAnswer bool) {
	failed := p.findAttempt(c, id)
	if failed == nil && wasAnswer {
		for _, a := range p.deadlines.Elements() {
			if a.batch.conn == c && (failed == nil || a.SentAt < failed.SentAt) {
				failed = a
			}
		}
	}
	if failed != nil {
		failed.batch.remove(failed)
		p.finish(failed, balancer.Errored, nil)
	}
	if !c.closed {
		c.closed, c.malformed = true, true
		c.stop(endMalformed, violation.Error())
	}
}

// findAttempt returns the first attempt of a call on a connection.
func (p *Client) findAttempt(c *conn, wireID string) (found *pendingAttempt) {
	for _, a := range p.deadlines.Elements() {
		if a.batch.conn == c && a.WireID == wireID && (found == nil || a.Number < found.Number) {
			found = a
		}
	}
	return found
}

// handleConnClosed ends what was in flight on a connection. An attempt may have run if its frame was written
// completely, and only then.
func (p *Client) handleConnClosed(c *conn) {
	p.openConns--
	p.config.Memory.Release(connBytes)
	p.budget.Release()
	for _, a := range append([]*pendingAttempt(nil), p.deadlines.Elements()...) {
		if a.batch.conn == c {
			p.finish(a, c.outcomeOfLoss(a.batch.frameNumber), nil)
		}
	}
	if at := slices.Index(p.conns, c); at >= 0 {
		p.conns = append(p.conns[:at], p.conns[at+1:]...)
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
	slog.Info("server_conn_end", "server", p.host, "addr", c.addr, "reason", string(c.endReason),
		"sent", c.framesWritten, "received", c.framesReceived,
		"age_ms", int64((p.now()-c.openedAt)/balancer.Millisecond), "detail", c.endDetail)
	p.assignQueued()
}

// maxLoadFigure is above any number of calls that a server could hold. Figures above it are invalid.
const maxLoadFigure = 1e6

// parseReport parses a load report. It returns nil if there is none, or no valid one.
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
