package balancer

const (
	// Prediction of finish times, and plans.
	stragglerGap    = 100 * Millisecond   // a call predicted this far behind the fastest is placed once more
	initialShare    = 10                  // before any answer a call is predicted to take target / initialShare
	latencyWeight   = 0.2                 // smoothing of unit latency: about the last five answers
	slowWeight      = 0.05                // smoothing of call sizes, retry success and reported queues
	latencyMaxAge   = 10000 * Millisecond // a server's unit latency loses weight linearly over this age
	queueMaxAge     = 1000 * Millisecond  // and its reported queue over this one
	idleAfter       = 500 * Millisecond   // a connection unused for this long counts as idle
	deadIdleLimit   = 0.25                // share of idle connections found dead above which none is reused
	deadIdleAge     = 6 * latencyMaxAge   // over which that share loses weight
	silenceWeight   = 4.0                 // slowdown added per overdue interval without a response
	maxFailRate     = 0.99                // bound of the failure rate in predictions
	localPreference = 0.7                 // a local server is good enough within this share of the target
	weightTolerance = 5e-5                // rounding error allowed in sums of weights

	// Outlier ejection, and backoff of server list requests.
	ejectionThreshold = 0.3               // smoothed failure rate that ejects a server
	errorWeight       = 0.2               // of an error response: two close together eject
	lossWeight        = 0.4               // of a lost connection or a silent timeout: one ejects
	successWeight     = 0.1               // of an answer
	zoneWeight        = 0.2               // of an answer or a loss, in the failure rate of the zone
	firstBackoff      = 500 * Millisecond // first list backoff, and the longest base ejection time
	backoffDivisor    = 2                 // base ejection time: at most the shortest target / backoffDivisor
	maxEjectionFactor = 8                 // ejection time doubles up to this multiple of the base
	slowStartSafety   = 0.6               // of the overload multiple: other instances send as well
	minCapacity       = 0.01              // bound of the capacity share during slow start

	// Retry budget and reviews.
	defaultRetryRatio  = 0.2 // retries per request, where the configuration states no budget
	minHedgeShare      = 0.1 // of the budget kept for hedges even when none succeeds, to notice recovery
	probationShare     = 0.5 // of the budget, above which no probation attempt is hedged
	sharedBudgetSafety = 0.8 // of the shared base: a partitioned instance may still spend its part
	retrySpread        = 4   // a retry at unhealthy servers waits for the time left / retrySpread
	reviewDivisor      = 25  // late calls are reviewed every base ejection time / reviewDivisor

	// Admission: the in-flight limit, customer quotas and deadlines.
	medianStep         = 0.01               // relative step of the running median of unit latency
	warmupSamples      = 100                // answers averaged before the median is tracked
	limitWeight        = 0.02               // smoothing of the in-flight limit
	minGradient        = 0.5                // bound of the factor by which latency lowers the limit
	latencyTolerance   = 1.5                // current over base latency that does not lower the limit
	minLimitPerServer  = 9.0                // calls in flight per ready server, over all instances
	minLimitWidest     = 3                  // minimum limit, in requests as wide as the widest
	baseLatencyGrowth  = 1e-4               // the base latency rises by this share with each answer
	overloadPower      = 4                  // how sharply high latency lowers the pressure threshold
	pressureShare      = 0.5                // of the limit: above it quotas and targets are enforced
	quotaWindow        = 2000 * Millisecond // over which a customer's requests are counted
	sizeWeight         = 0.01               // smoothing of the learned size of a query type's calls
	timeoutDecay       = 200                // the longest client timeout shrinks by 1 / timeoutDecay per request
	clientNetworkDelay = 10 * Millisecond   // network part of a target that is measured at the client
	retryAfterDivisor  = 8                  // Retry-After of a shed request: target / retryAfterDivisor
)
