package dataplane

import (
	"sync/atomic"

	"oxbowspan/balancer"
	"oxbowspan/internal/metrics"
)

// counters are the gateway's event counters since its start. The loop increments them; any goroutine may read them.
type counters struct {
	attempts          [balancer.NumAttemptReasons]atomic.Uint64 // passed to an open connection or one being made
	attemptsOverLimit [balancer.NumAttemptReasons]atomic.Uint64 // of these, beyond the maximum of the request's route: always 0
	results           [resultKinds]atomic.Uint64                // passed to clients
	clientDisconnects atomic.Uint64                             // requests whose client closed its connection before the result
}

// countAttempt counts an attempt that is being sent, and whether it exceeds the maximum of its route.
func (c *counters) countAttempt(a *attempt, reason balancer.AttemptReason) {
	c.attempts[reason].Add(1)
	if int(a.number) >= a.shardCall.request.route.maxAttempts() {
		c.attemptsOverLimit[reason].Add(1)
	}
}

// collectMetrics returns the gateway's metrics. Any goroutine may call it.
func (g *Gateway) collectMetrics() []metrics.Metric {
	c := &g.process.counters
	var attempts, overLimit, results []metrics.Sample
	for reason := range balancer.NumAttemptReasons {
		attempts = append(attempts, metrics.Sample{LabelValue: reason.String(), Value: float64(c.attempts[reason].Load())})
		overLimit = append(overLimit, metrics.Sample{LabelValue: reason.String(), Value: float64(c.attemptsOverLimit[reason].Load())})
	}
	for kind := range resultKinds {
		results = append(results, metrics.Sample{LabelValue: kind.String(), Value: float64(c.results[kind].Load())})
	}
	return []metrics.Metric{
		{
			Name: "oxbowspan_gateway_attempts_total", Type: metrics.Counter, Label: "reason", Samples: attempts,
			Help: "Attempts of shard calls sent to servers.",
		},
		{
			Name: "oxbowspan_gateway_attempts_over_limit_total", Type: metrics.Counter, Label: "reason", Samples: overLimit,
			Help: "Attempts sent beyond the attempts of the request's route. Anything but 0 is a fault of the gateway.",
		},
		{
			Name: "oxbowspan_gateway_results_total", Type: metrics.Counter, Label: "result", Samples: results,
			Help: "Results of requests passed to clients.",
		},
		{
			Name: "oxbowspan_gateway_clients_left_total", Type: metrics.Counter, Samples: metrics.Single(float64(c.clientDisconnects.Load())),
			Help: "Requests whose client left before their result.",
		},
		{
			Name: "oxbowspan_gateway_open_requests", Type: metrics.Gauge, Samples: metrics.Single(float64(g.front.openRequests.Load())),
			Help: "Requests read and not answered.",
		},
		{
			Name: "oxbowspan_gateway_body_bytes", Type: metrics.Gauge, Samples: metrics.Single(float64(g.front.bodies.budget.Snapshot().Total)),
			Help: "Memory in use by the bodies of requests.",
		},
		{
			Name: "oxbowspan_gateway_bodies_rejected_total", Type: metrics.Counter, Samples: metrics.Single(float64(g.front.bodies.rejections.Load())),
			Help: "Requests rejected because the bodies of others used all memory for bodies.",
		},
		{
			Name: "oxbowspan_gateway_active_version", Type: metrics.Gauge, Samples: metrics.Single(float64(g.ActiveVersion())),
			Help: "Version of the configuration that requests are served by, 0 = none.",
		},
		{
			Name: "oxbowspan_gateway_ready", Type: metrics.Gauge, Samples: metrics.Single(boolMetric(g.process.ready.Load())),
			Help: "1 = a configuration and servers are known.",
		},
	}
}

// boolMetric returns the value of a gauge for a condition: 1 for true, 0 for false.
func boolMetric(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
