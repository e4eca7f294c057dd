package gatherer

import (
	"errors"
	"log/slog"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
)

// Reasons for shedding a request because its intent is not durable. They appear only in logs.
var (
	errDiskSlow      = errors.New("intents are not written in time, the disk is slow")
	errIntentExpired = errors.New("the intent was written, but the idempotency table no longer waits for it")
)

// ensureIntentDurable checks a request that must not run twice, before any of its calls is sent. Its intent must be
// durable first: otherwise the knowledge that it was sent could be lost in a crash, and a retry would run it again. It
// reports whether the request can proceed now. If not, either its result has been sent or its intent is being written.
func (d *dispatcher) ensureIntentDurable(req *clientRequest) bool {
	p := d.persistence
	if p == nil || req.key == "" || req.intentDurable {
		return true
	}
	now := unixNow()
	if !p.diskGuard.Available(now) {
		d.rejectIntent(req, errDiskSlow)
		return false
	}
	timeout := idempotency.Time(req.timeout / balancer.Millisecond)
	verdict, answer, changes := p.table.Admit(now, req.key, req.digest, timeout)
	switch verdict {
	case idempotency.WriteIntent:
		d.writeIntent(req, now, timeout, changes)
		return false
	case idempotency.OutcomeUnknown:
		p.write(changes)
		req.intentDurable, req.mayHaveRun = true, true // the balancer decides how to treat it
		return true
	}
	p.write(changes)
	req.finished = true
	switch verdict {
	case idempotency.Replay:
		req.result <- result{kind: resultStored, text: answer}
	case idempotency.InProgress:
		req.result <- result{kind: resultKeyInProgress}
	case idempotency.KeyReused:
		req.result <- result{kind: resultKeyMismatch}
	default:
		req.result <- result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter}
	}
	return false
}

// writeIntent starts writing the intent of a request. The dispatcher receives intentWritten when the write has ended, and
// intentTimeout if that takes too long.
func (d *dispatcher) writeIntent(req *clientRequest, now, timeout idempotency.Time, changes []idempotency.Change) {
	p := d.persistence
	req.intentPending, req.intentAt = true, d.clock.now()
	p.diskGuard.Begin(now)
	wait := time.Duration(p.diskGuard.Timeout(timeout)) * time.Millisecond
	req.intentTimer = time.AfterFunc(wait, func() { d.send(intentTimeout{req}) })
	p.store.CommitAsync(func(err error) { d.send(intentWritten{req, err}) }, storeOps(changes)...)
}

// rejectIntent sheds a request whose intent is not durable, which is safe as none of its calls was sent. The reason is
// logged only for the first request until an intent is written again.
func (d *dispatcher) rejectIntent(req *clientRequest, reason error) {
	if p := d.persistence; !p.failing {
		p.failing = true
		slog.Warn("store_refuses", "error", reason)
	}
	req.finished = true
	req.result <- result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter}
}

// intentWritten handles the end of an intent's write. The request proceeds if its intent is durable and it still waits,
// and otherwise its key is released.
func (d *dispatcher) intentWritten(m intentWritten) {
	p, req := d.persistence, m.request
	p.diskGuard.End()
	req.intentTimer.Stop()
	stillWaiting := req.intentPending && !req.clientDisconnected
	req.intentPending = false
	switch {
	case m.err != nil:
		p.table.Discard(req.key)
		if stillWaiting {
			d.rejectIntent(req, m.err)
		}
		return
	case !stillWaiting: // its client has disconnected or it was shed: no call of it was or will be sent
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

// intentTimedOut sheds a request whose intent is still being written after the timeout, unless its client has disconnected.
func (d *dispatcher) intentTimedOut(req *clientRequest) {
	if req.intentPending && !req.clientDisconnected {
		req.intentPending = false
		d.rejectIntent(req, errDiskSlow)
	}
}

// ownsIntent reports whether this request has written the intent under its key, so that its outcome is to be recorded.
// That is not so if an earlier request with the key may have run.
func (d *dispatcher) ownsIntent(req *clientRequest) bool {
	return d.persistence != nil && req.intentDurable && !req.mayHaveRun
}

// discardIntent records that no call of a request was sent, which releases its key.
func (d *dispatcher) discardIntent(req *clientRequest) {
	if d.ownsIntent(req) {
		d.persistence.write(d.persistence.table.Discard(req.key))
	}
}

// recordOutcome records the result of a request that must not run twice. An answer is stored in encoded form, for retries.
// A shed request is discarded, as the balancer sheds one only if none of its attempts can have run. Any other result is
// recorded as unknown.
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

// recordAbandoned records the outcome of a request whose client has disconnected: unknown if an attempt was sent, otherwise
// the request is discarded.
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
