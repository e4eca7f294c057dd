package dataplane

import (
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/config"
)

// Ends of requests without a success: as the balancer decides, as their client has left, and as the gateway stops.

// abandon ends a request without a success. Its client is advised to retry only where no attempt has run nor can yet.
func (d *dispatcher) abandon(id balancer.RequestID, retryAfter balancer.Time) {
	r := d.requests[id]
	if r == nil {
		return
	}
	for _, call := range r.shardCalls {
		r.mayHaveRun = r.mayHaveRun || slices.ContainsFunc(call.attempts, (*attempt).mayHaveRun)
	}
	outcome := result{kind: resultRejected, retryAfter: duration(retryAfter)}
	switch {
	case r.mayHaveRun && r.lastFailure != nil && !r.route.Gathered():
		outcome = result{kind: resultForward, responses: []*fasthttp.Response{r.lastFailure}}
		r.lastFailure = nil
	case r.mayHaveRun:
		outcome.kind = resultFailed
	}
	d.finish(r, outcome)
}

// abandonAll ends all open requests, as the gateway is about to stop.
func (d *dispatcher) abandonAll() {
	for _, id := range slices.Collect(maps.Keys(d.requests)) {
		d.handleEvent(balancer.RequestCancelled{Request: id})
		d.abandon(id, 0)
	}
}

// abandonedByClient implements requestSink. Any goroutine may call it.
func (d *dispatcher) abandonedByClient(r *request) {
	d.loop.post(func() { d.clientLeft(r) })
}

// clientLeft ends a request whose client has left: nothing of it is sent to any server from now on. Servers that work on a request
// which may be repeated are stopped by the ends of their connections. Any other that was sent runs on, and its response is dropped:
// whether it has run would else be open.
func (d *dispatcher) clientLeft(r *request) {
	if r.finished {
		return
	}
	d.handleEvent(balancer.RequestCancelled{Request: r.id})
	d.process.counters.clientsLeft.Add(1)
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
