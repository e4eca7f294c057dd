package dataplane

import (
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
)

// Requests end without a success when the balancer sheds or fails them, when their client disconnects and when the
// gateway stops.

// abandon ends a request without a success. The result allows the client to retry safely only if no attempt has run and
// none can run later; retryAfter is the delay advised in that case, 0 = none. If a server reported a failure and the
// route is not gathered, that response is forwarded.
func (d *dispatcher) abandon(id balancer.RequestID, retryAfter balancer.Time) {
	r := d.requests[id]
	if r == nil {
		return
	}
	for _, call := range r.shardCalls {
		r.mayHaveRun = r.mayHaveRun || slices.ContainsFunc(call.attempts, (*attempt).mayHaveRun)
	}
	res := result{kind: resultRejected, retryAfter: duration(retryAfter)}
	switch {
	case r.mayHaveRun && r.lastFailure != nil && !r.route.Gathered():
		res = result{kind: resultForward, responses: []*fasthttp.Response{r.lastFailure}}
		r.lastFailure = nil
	case r.mayHaveRun:
		res.kind = resultFailed
	}
	d.finish(r, res)
}

// failOpenRequests ends all open requests. It is called when the gateway is about to stop.
func (d *dispatcher) failOpenRequests() {
	for _, id := range slices.Collect(maps.Keys(d.requests)) {
		d.handleEvent(balancer.RequestCancelled{Request: id})
		d.abandon(id, 0)
	}
}

// clientDisconnected implements requestSink. It is safe for concurrent use.
func (d *dispatcher) clientDisconnected(r *request) {
	d.loop.post(func() { d.cancelRequest(r) })
}

// cancelRequest ends a request whose client has disconnected. No further attempt of it is sent to any server. On a
// retryable route the connections of the attempts in flight are closed, which stops the servers working on them. On any
// other route the attempts in flight run to completion and their responses are discarded; closing their connections would
// leave unknown whether they ran.
func (d *dispatcher) cancelRequest(r *request) {
	if r.finished {
		return
	}
	d.handleEvent(balancer.RequestCancelled{Request: r.id})
	d.process.counters.clientDisconnects.Add(1)
	d.finish(r, result{kind: resultFailed})
	if r.route.RouteKind != config.Retryable {
		return
	}
	for _, call := range r.shardCalls {
		for _, a := range call.attempts {
			if a.mayHaveRun() {
				d.attemptEnded(a, balancer.Cancelled, nil)
			}
		}
	}
}
