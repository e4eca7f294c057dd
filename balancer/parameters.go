package balancer

const (
	// Prediction of completion times, and planning.
	stragglerGap    = 100 * Millisecond   // a call predicted to end this much after the fastest is moved
	initialShare    = 10                  // predicted latency before any answer: target / initialShare
	latencyWeight   = 0.2                 // EWMA weight of unit latency: averages about the last five answers
	slowWeight      = 0.05                // EWMA weight of call sizes, retry success and reported queues
	latencyMaxAge   = 10000 * Millisecond // age at which a unit latency has lost all weight, linearly
	queueMaxAge     = 1000 * Millisecond  // age at which a reported queue has lost all weight, linearly
	idleAfter       = 500 * Millisecond   // time without use after which a connection counts as idle
	deadIdleLimit   = 0.25                // share of idle connections found dead above which none is reused
	deadIdleAge     = 6 * latencyMaxAge   // age at which that share has lost all weight, linearly
	silenceWeight   = 4.0                 // slowdown added per overdue interval without a response
	maxFailRate     = 0.99                // upper bound of the failure rate in predictions
	localPreference = 0.7                 // share of the target within which a local server is preferred

	// Outlier ejection, and backoff of server list requests.
	ejectionThreshold = 0.3               // smoothed failure rate above which a server is ejected
	errorWeight       = 0.2               // EWMA weight of an error response: two in quick succession eject
	lossWeight        = 0.4               // EWMA weight of a lost connection or silent timeout: one ejects
	successWeight     = 0.1               // EWMA weight of an answer
	zoneWeight        = 0.2               // EWMA weight of an answer or a loss in the zone's failure rate
	firstBackoff      = 500 * Millisecond // first list backoff, and the longest base ejection time
	backoffDivisor    = 2                 // base ejection time is at most the shortest target / backoffDivisor
	maxEjectionFactor = 8                 // the ejection time doubles up to this multiple of the base
	slowStartSafety   = 0.6               // share of the overload multiple: other instances send as well
	minCapacity       = 0.01              // lower bound of the capacity share during slow start

	// Retry budget, and re-evaluation of open requests.
	defaultRetryRatio  = 0.2 // retries per request if the configuration sets no budget
	minHedgeShare      = 0.1 // share of the budget for hedges even if none succeeds, to detect recovery
	probationShare     = 0.5 // share of the budget above which probation attempts are not sent as hedges
	sharedBudgetSafety = 0.8 // share of the base: an instance that is partitioned away may still spend its own
	retrySpread        = 4   // a retry at an unhealthy server waits for the time left / retrySpread
	evaluationDivisor  = 25  // overdue calls are re-evaluated every base ejection time / evaluationDivisor

	// Admission: the in-flight limit, customer quotas and deadlines.
	medianStep         = 0.01               // relative step of the running median of unit latency
	warmupSamples      = 100                // answers that are averaged before the median is tracked
	limitWeight        = 0.02               // EWMA weight of the in-flight limit
	minGradient        = 0.5                // lower bound of the factor by which latency reduces the limit
	latencyTolerance   = 1.5                // ratio of current to base latency that does not reduce the limit
	minLimitPerServer  = 9.0                // minimum calls in flight per ready server, over all instances
	minLimitWidest     = 3                  // minimum limit, in requests of the largest size seen
	baseLatencyGrowth  = 1e-4               // relative increase of the base latency with each answer
	overloadPower      = 4                  // exponent by which high latency reduces the pressure threshold
	pressureShare      = 0.5                // share of the limit above which quotas and targets are enforced
	quotaWindow        = 2000 * Millisecond // window over which a customer's requests are counted
	sizeWeight         = 0.01               // EWMA weight of the measured call size of a query type
	timeoutDecay       = 200                // the longest client timeout shrinks by 1 / timeoutDecay per request
	clientNetworkDelay = 10 * Millisecond   // network share of a target that is measured at the client
	retryAfterDivisor  = 8                  // Retry-After of a shed request is its target / retryAfterDivisor
)
