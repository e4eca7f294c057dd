package gatherer

import (
	"strconv"

	"oxbowspan/balancer"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// maxRequestNumber is the highest number of a request. The balancer's own timers use the numbers above it.
const maxRequestNumber = 1<<32 - 3

// valueOverhead is the size in bytes accounted for the encoding around a value in an answer.
const valueOverhead = 64

// requestArrived admits a request, or sends its result if it is rejected. For a request whose intent must be durable
// first, it is called again once the intent is durable.
func (d *dispatcher) requestArrived(req *clientRequest) {
	if d.degradation != nil && !req.intentDurable && !d.degradation.admit(req) {
		return
	}
	if !d.ensureIntentDurable(req) {
		return
	}
	calls := len(req.callSpecs)
	if d.deployment.MaxPending > 0 && d.pending+1+calls > d.deployment.MaxPending {
		d.shedBeforeDispatch(req)
		return
	}
	if d.callsByWireID[req.wireID] > 0 { // the answers to their calls could not be distinguished
		d.rejectBeforeDispatch(req, result{kind: resultDuplicateID})
		return
	}
	if !d.reserveMemory(req) {
		d.shedBeforeDispatch(req)
		return
	}
	if req.query != nil {
		var err error
		if req.merge, err = merge.New(req.query, d.merges); err != nil {
			req.finished = true
			d.memory.Release(memorybudget.Requests, req.reserved)
			req.result <- result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter}
			return
		}
	}
	d.callsByWireID[req.wireID] = calls
	d.pending += 1 + calls
	d.handle(d.openRequest(req))
}

// reserveMemory reserves the memory of a request and of the values expected for its calls, while rejecting the request
// is still safe: values cannot be refused once they are received. The frame of each call contains another copy of the
// text.
func (d *dispatcher) reserveMemory(req *clientRequest) bool {
	calls := memorybudget.Bytes(len(req.callSpecs))
	req.inUse = requestMemory + calls*(callMemory+memorybudget.Bytes(len(req.text)))
	req.reserved = req.inUse + calls*d.valueSizes.Estimate(int(req.queryType))
	return d.memory.Reserve(memorybudget.Requests, req.reserved)
}

// rejectBeforeDispatch sends the result of a request none of whose calls was dispatched.
func (d *dispatcher) rejectBeforeDispatch(req *clientRequest, r result) {
	req.finished = true
	d.discardIntent(req)
	req.result <- r
}

// shedBeforeDispatch sheds a request none of whose calls was dispatched.
func (d *dispatcher) shedBeforeDispatch(req *clientRequest) {
	d.rejectBeforeDispatch(req, result{kind: resultShed, retryAfter: d.deployment.Balancer.MaxRetryAfter})
}

// openRequest registers a request and its calls under new ids. It returns the balancer's event of the request's
// arrival.
func (d *dispatcher) openRequest(req *clientRequest) balancer.RequestArrived {
	d.lastID++
	req.id = balancer.RequestID(d.lastID)
	if d.lastNumber++; d.lastNumber > maxRequestNumber {
		d.lastNumber = 1
	}
	d.requests[req.id] = req
	event := balancer.RequestArrived{Request: req.id, Number: d.lastNumber, Type: req.queryType,
		Customer: req.customer, Timeout: req.timeout, Retry: req.retry, MayHaveRun: req.mayHaveRun}
	for _, spec := range req.callSpecs {
		d.lastID++
		call := &shardCall{request: req, id: balancer.ShardCallID(d.lastID), shard: spec.shard,
			wireID: req.wireID + "." + strconv.Itoa(int(spec.shard))}
		req.calls = append(req.calls, call)
		d.calls[call.id] = call
		event.Calls = append(event.Calls,
			balancer.ShardCall{ID: call.id, Shard: spec.shard, Weight: spec.weight, Size: spec.size})
	}
	return event
}

// clientDisconnected cancels the request of a client that has disconnected.
func (d *dispatcher) clientDisconnected(req *clientRequest) {
	if req.clientDisconnected = true; d.requests[req.id] == req {
		d.closeRequest(req)
		d.recordAbandoned(req)
		d.handle(balancer.RequestCancelled{Request: req.id})
	}
	if req.merge != nil {
		req.merge.Close() // it may be closed already
	}
	select {
	case r := <-req.result: // the transport no longer receives it
		d.memory.Release(memorybudget.Answers, r.reserved)
	default:
	}
}

// answer finishes a request with the values received, or with their merge.
func (d *dispatcher) answer(a balancer.Answer) {
	r := result{kind: resultAnswer, complete: a.Complete}
	if req := d.requests[a.Request]; req != nil && req.merge != nil {
		r.kind, r.merge = resultMerged, req.merge
	} else if req != nil {
		for _, call := range req.calls {
			if call.answered {
				r.values = append(r.values, shardValue{call.shard, call.value})
				// The value as received, and its copy in the encoded answer.
				r.reserved += 2*memorybudget.Bytes(len(call.value)) + valueOverhead
			}
		}
		d.memory.ForceReserve(memorybudget.Answers, r.reserved)
	}
	d.finish(a.Request, r)
}

// finish closes an open request, sends its result and records the outcome.
func (d *dispatcher) finish(id balancer.RequestID, r result) {
	req := d.requests[id]
	if req == nil {
		return
	}
	d.closeRequest(req)
	d.recordOutcome(req, &r)
	d.counters.add(r.kind)
	if d.degradation != nil {
		d.degradation.requestEnded(req, r.kind)
	}
	if req.merge != nil && r.merge == nil {
		req.merge.Close()
	}
	req.result <- r
}

// closeRequest removes an open request and releases its reserved memory. Its calls stay while attempts are in flight.
func (d *dispatcher) closeRequest(req *clientRequest) {
	req.finished = true
	d.memory.Release(memorybudget.Requests, req.reserved)
	req.reserved = 0
	d.pending -= 1 + len(req.calls)
	delete(d.requests, req.id)
	for _, call := range req.calls {
		d.removeCallIfDone(call)
	}
}
