package gatherer

import (
	"log/slog"

	"oxbowspan/balancer"
	"oxbowspan/internal/shardconn"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// attemptBatch holds the attempts for one server that result from one call of Balancer.Handle.
type attemptBatch struct {
	server   *server
	attempts []shardconn.Attempt
}

// addToBatch adds an attempt to the batch of its server. An attempt whose server is gone or whose request is finished
// ends at once as never dispatched.
func (d *dispatcher) addToBatch(batches []attemptBatch, send balancer.Send) []attemptBatch {
	call, s := d.calls[send.Call], d.servers[send.Server]
	if call == nil {
		return batches
	}
	number := balancer.AttemptNumber(len(call.attempts))
	call.attempts = append(call.attempts, s)
	call.inFlight++
	if s == nil || s.client == nil || call.request.finished {
		d.endUndispatched(call, number, send.Server)
		return batches
	}
	now := d.clock.now()
	attempt := shardconn.Attempt{ID: call.id, Number: number, WireID: call.wireID, Shard: call.shard,
		Text: call.request.text, SentAt: now, Deadline: now + send.Timeout}
	if query := call.request.query; query != nil {
		segment := merge.Segment(call.shard)
		attempt.Options = query.SegmentItem(segment)
		attempt.Decode = func(value string) (any, error) { return query.ReadResponse(segment, value) }
	}
	for i := range batches {
		if batches[i].server == s {
			batches[i].attempts = append(batches[i].attempts, attempt)
			return batches
		}
	}
	return append(batches, attemptBatch{s, []shardconn.Attempt{attempt}})
}

// dispatchBatches submits each batch to the client of its server. If that client's mailbox is full, the attempts of the
// batch end as never dispatched.
func (d *dispatcher) dispatchBatches(batches []attemptBatch) {
	for _, b := range batches {
		if b.server.client.TrySubmit(shardconn.Dispatch{Attempts: b.attempts}) {
			b.server.inFlight += len(b.attempts)
			continue
		}
		for _, a := range b.attempts {
			d.endUndispatched(d.calls[a.ID], a.Number, b.server.id)
		}
	}
}

// endUndispatched ends an attempt that was never sent, and defers the balancer's event about it.
func (d *dispatcher) endUndispatched(call *shardCall, number balancer.AttemptNumber, server balancer.ServerID) {
	d.releaseAttempt(call, number)
	d.deferred = append(d.deferred, balancer.AttemptEnded{Call: call.id, Attempt: number, Server: server,
		Outcome: balancer.NotDispatched})
}

// releaseAttempt removes an attempt that has ended from its call.
func (d *dispatcher) releaseAttempt(call *shardCall, number balancer.AttemptNumber) {
	call.attempts[number] = nil
	call.inFlight--
	d.removeCallIfDone(call)
}

// removeCallIfDone removes a call once its request is finished and none of its attempts is in flight.
func (d *dispatcher) removeCallIfDone(call *shardCall) {
	if _, known := d.calls[call.id]; !known || !call.request.finished || call.inFlight > 0 {
		return
	}
	delete(d.calls, call.id)
	wireID := call.request.wireID
	if d.callsByWireID[wireID]--; d.callsByWireID[wireID] == 0 {
		delete(d.callsByWireID, wireID)
	}
}

// cancel asks the client of a server to cancel an attempt.
func (d *dispatcher) cancel(c balancer.Cancel) {
	call := d.calls[c.Call]
	if call == nil || int(c.Attempt) >= len(call.attempts) {
		return
	}
	if s := call.attempts[c.Attempt]; s != nil {
		s.client.TrySubmit(shardconn.Cancel{ID: c.Call, Number: c.Attempt}) // if refused, the attempt ends at its deadline
	}
}

// attemptEnded processes the outcome of an attempt. The first value received for a call is its answer.
func (d *dispatcher) attemptEnded(e shardconn.AttemptEnded) {
	call := d.calls[e.ID]
	if call == nil || call.attempts[e.Number] == nil {
		return
	}
	s := call.attempts[e.Number]
	s.inFlight--
	if !call.request.finished && !call.answered {
		if e.Outcome == balancer.Answered {
			call.answered, call.value = true, e.Value
			d.accountValue(call.request, memorybudget.Bytes(len(e.Value)))
			d.mergeValue(call, e.Result)
		} else if e.DecodeFailed {
			call.request.merge.MarkUnusable(merge.Segment(call.shard))
		}
	}
	d.releaseAttempt(call, e.Number)
	d.releaseServer(s)
	d.handle(balancer.AttemptEnded{Call: e.ID, Attempt: e.Number, Server: e.Server, Elapsed: e.Elapsed,
		Outcome: e.Outcome, Report: e.Report})
}

// accountValue charges n bytes of a received value to the reservation of its request. Bytes beyond the reservation are
// reserved regardless of the limit, as the value is already in memory.
func (d *dispatcher) accountValue(req *clientRequest, n memorybudget.Bytes) {
	d.valueSizes.Observe(int(req.queryType), n)
	req.inUse += n
	if excess := req.inUse - req.reserved; excess > 0 {
		d.memory.ForceReserve(memorybudget.Requests, excess)
		req.reserved += excess
	}
}

// mergeValue adds a decoded value to the merge of its request. If that would exceed the memory limit of all merges, the
// request is shed at once. This is safe because only idempotent requests are merged.
func (d *dispatcher) mergeValue(call *shardCall, decoded any) {
	req := call.request
	if req.merge == nil {
		return
	}
	if err := req.merge.Add(decoded.(*merge.SegmentResponse)); err != nil {
		slog.Warn("merge_shed", "search", req.wireID, "error", err)
		d.finish(req.id, result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter})
		d.handle(balancer.RequestCancelled{Request: req.id})
	}
}
