package gatherer

import (
	"errors"
	"log/slog"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
)

// Reasons why the intent of a request is not durable.
var (
	errDiskSlow      = errors.New("the disk is slow")
	errIntentExpired = errors.New("its intent is not expected any more")
)

// checkIntent deals with a request that must not run twice before anything of it is sent: its intent must be durable
// first, or a crash could hide that it was sent and a retry would run it again. It reports false if the request has its
// result or waits for its intent.
func (d *dispatcher) checkIntent(req *clientRequest) bool {
	p := d.persistence
	if p == nil || req.key == "" || req.intentDurable {
		return true
	}
	now := unixNow()
	if !p.disk.Available(now) {
		d.rejectIntent(req, errDiskSlow)
		return false
	}
	timeout := idempotency.Time(req.timeout / balancer.Millisecond)
	verdict, answer, changes := p.table.Arrive(now, req.key, req.digest, timeout)
	switch verdict {
	case idempotency.WriteIntent:
		d.writeIntent(req, now, timeout, changes)
		return false
	case idempotency.OutcomeUnknown:
		p.write(changes)
		req.intentDurable, req.mayHaveRun = true, true // the balancer decides
		return true
	}
	p.write(changes)
	req.finished = true
	switch verdict {
	case idempotency.Replay:
		req.result <- result{kind: resultStored, text: answer}
	case idempotency.InProgress:
		req.result <- result{kind: resultKeyOpen}
	case idempotency.KeyReused:
		req.result <- result{kind: resultKeyMismatch}
	default:
		req.result <- result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter}
	}
	return false
}

// writeIntent writes the intent of a request. A message follows when it is durable, and another if that takes too long.
func (d *dispatcher) writeIntent(req *clientRequest, now, timeout idempotency.Time, changes []idempotency.Change) {
	p := d.persistence
	req.intentPending, req.intentAt = true, d.clock.now()
	p.disk.Begin(now)
	wait := time.Duration(p.disk.Timeout(timeout)) * time.Millisecond
	req.intentTimer = time.AfterFunc(wait, func() { d.send(intentTimeout{req}) })
	p.store.CommitAsync(func(err error) { d.send(intentWritten{req, err}) }, storeOps(changes)...)
}

// rejectIntent sheds a request whose intent is not durable: nothing of it was sent.
func (d *dispatcher) rejectIntent(req *clientRequest, reason error) {
	if p := d.persistence; !p.failing {
		p.failing = true
		slog.Warn("store_refuses", "error", reason)
	}
	req.finished = true
	req.result <- result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter}
}

// intentWritten continues with a request whose intent is durable.
func (d *dispatcher) intentWritten(m intentWritten) {
	p, req := d.persistence, m.request
	p.disk.End()
	req.intentTimer.Stop()
	wanted := req.intentPending && !req.clientGone
	req.intentPending = false
	switch {
	case m.err != nil:
		p.table.Discard(req.key)
		if wanted {
			d.rejectIntent(req, m.err)
		}
		return
	case !wanted: // the client is gone, or the request was shed: nothing of it was or will be sent
		p.write(p.table.Discard(req.key))
		return
	}
	if p.failing {
		p.failing = false
		slog.Info("store_takes_again")
	}
	if !p.table.ConfirmIntent(req.key) {
		d.rejectIntent(req, errIntentExpired)
		return
	}
	req.intentDurable = true
	req.timeout -= d.clock.now() - req.intentAt
	d.requestArrived(req)
}

// intentTimedOut sheds a request whose intent takes too long to be written, while its client still waits.
func (d *dispatcher) intentTimedOut(req *clientRequest) {
	if req.intentPending && !req.clientGone {
		req.intentPending = false
		d.rejectIntent(req, errDiskSlow)
	}
}

// ownsIntent reports whether the outcome of a request is to be recorded under its key.
func (d *dispatcher) ownsIntent(req *clientRequest) bool {
	return d.persistence != nil && req.intentDurable && !req.mayHaveRun
}

// intentUnused records that nothing of a request was sent.
func (d *dispatcher) intentUnused(req *clientRequest) {
	if d.ownsIntent(req) {
		d.persistence.write(d.persistence.table.Discard(req.key))
	}
}

// recordOutcome records the result of a request that must not run twice, and encodes its answer for retries. The
// balancer sheds a request only if none of its attempts can have run.
func (d *dispatcher) recordOutcome(req *clientRequest, r *result) {
	if !d.ownsIntent(req) {
		return
	}
	table := d.persistence.table
	switch r.kind {
	case resultAnswer:
		r.text = encodeAnswer(r.complete, r.values)
		d.persistence.write(table.RecordAnswer(req.key, r.text))
	case resultShed:
		d.persistence.write(table.Discard(req.key))
	default:
		d.persistence.write(table.RecordUnknown(req.key))
	}
}

// recordAbandoned records the outcome of a request whose client is gone.
func (d *dispatcher) recordAbandoned(req *clientRequest) {
	if !d.ownsIntent(req) {
		return
	}
	for _, call := range req.calls {
		if len(call.attempts) > 0 {
			d.persistence.write(d.persistence.table.RecordUnknown(req.key))
			return
		}
	}
	d.persistence.write(d.persistence.table.Discard(req.key))
}
