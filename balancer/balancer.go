package balancer

// Handle takes one Event and its moment, in order of arrival, and returns the Actions to perform, in order.
// The design (docs/design.md) places each part: see plan.go. Beside it, six mechanisms, a file each:
//  1. Health: errors and silence take a server out; one trial part at a time brings it back, after a probe
//     where a search depends on it. Rested connections, where many are found dead, are closed before use.
//  2. Cold allowance: a server just started gets its share of what warm ones bear, by its age.
//  3. Further sub-requests: resends and copies follow the recent ones' success, inside the stated budget.
//  4. In-flight limit: follows the shortest over the present answer time; past it searches are shed.
//  5. Moment to answer: whole at once, short at the latency target, given up in time.
//  6. List keeping: a subscription asked for again with growing pauses; unlisted servers are forgotten.

import (
	"cmp"
	"math"
)

const (
	stragglerGap  = 100 * Millisecond   // the design's: a part so far behind the fastest moves once
	initialShare  = 10                  // the design's: before any answer a part takes target / initialShare
	latencyWeight = 0.2                 // smoothing of latency per unit size: about the last five answers
	slowWeight    = 0.05                // smoothing of a part's size, of success and of the reported queue
	latencyMaxAge = 10000 * Millisecond // a server's own rate counts less by its age, up to this
	queueMaxAge   = 1000 * Millisecond  // and so does its reported queue
	idleAfter     = 500 * Millisecond   // a connection that carried nothing for so long is rested
	deadIdleLimit = 0.25                // smoothed share of these found dead, past which none is used
	silenceWeight = 4.0                 // something overdue and no word: so many times slower again

	ejectionThreshold = 0.3               // smoothed share of failures that takes a server out
	errorWeight       = 0.2               // weight of an error: two close together are needed
	lossWeight        = 0.4               // weight of a dead connection or of silence: one is enough
	successWeight     = 0.1               // weight of an answer
	zoneWeight        = 0.2               // of an answer or a hard failure, for all servers of a zone
	firstBackoff      = 500 * Millisecond // the list is unasked so long after a failure; a server is out at first
	backoffDivisor    = 2                 // the shortest target / backoffDivisor, but no longer
	maxEjectionFactor = 8                 // the pause doubles up to so many times the first

	slowStartSafety = 0.6 // of the rule's multiple: others may send more, or this gatherer before a restart

	defaultRetryRatio = 0.2 // further sub-requests per search or part taken, where no budget is stated
	minHedgeShare     = 0.1 // of the budget left to copies when none succeeds, so that success can be seen
	probationShare    = 0.5 // of the budget, past which no trial is made

	medianStep        = 0.01               // how fast the median answer time is learned
	warmupSamples     = 100                // answers that only teach what the median is
	limitWeight       = 0.02               // smoothing of the in-flight limit
	latencyTolerance  = 1.5                // the present answer time may be so many times the shortest
	minLimitPerServer = 9.0                // parts in flight for each ready server, over all gatherers, always allowed
	minLimitWidest    = 3                  // and so many of the widest searches
	baseLatencyGrowth = 1e-4               // the shortest answer time is forgotten so fast, per answer
	overloadPower     = 4                  // past latencyTolerance, how much less than pressed will do
	pressureShare     = 0.5                // of the limit: past it places are short; customers are held to shares
	quotaWindow       = 2000 * Millisecond // over which a customer's searches are held against its share

	clientNetworkDelay = 10 * Millisecond // of a target that counts at the client, what the way takes
	sharedBudgetSafety = 0.8              // of the free budget of all: one that is cut off may still use its part
	retryAfterDivisor  = 8                // a shed client is told to come back after target / retryAfterDivisor
	localPreference    = 0.7              // a near server that ends a part within so much of the target will do
	sizeWeight         = 0.01             // smoothing of what a part of a type takes by itself
	timeoutDecay       = 200              // the longest patience seen is forgotten by a part in so many, per search

	weightTolerance = 5e-5 // sums of weights may fall so short by rounding
	reviewDivisor   = 25   // of the first pause, until a part that waits or is late is looked at again

	never     = Never
	listTimer = TimerID(math.MaxUint32) // the others bear their search's number
)

// Handle takes what happened and returns what is to be done.
func (b *Balancer) Handle(now Time, ev Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	switch e := ev.(type) {
	case ServerList:
		b.applyServerList(e)
	case RequestArrived:
		b.requestArrived(e)
	case RecordsRestored:
		b.restoreRecords(e)
	case SecondPhaseArrived:
		if req := b.requestsByNumber[e.Number]; req != nil && req.inSecondPhase && len(req.calls) == 0 {
			b.fanOut(req, e.Calls)
		}
	case AttemptEnded:
		b.attemptEnded(e)
	case RequestCancelled:
		if req := b.requests[e.Request]; req != nil {
			b.close(req)
		}
	case TimerFired:
		b.timerFired(e.Timer)
	case HealthCheckEnded:
		b.healthCheckEnded(e)
	case QueryTypeChanged:
		b.setQueryType(e.Type, e.Config)
	case ClusterResized:
		b.resize(e)
	case PeerUpdate:
		b.peerUpdate(e)
	}
	return b.actions
}

// setQueryType puts the figures of a query type in force for the searches to come.
func (b *Balancer) setQueryType(at QueryType, config QueryTypeConfig) {
	config.LatencyTarget -= min(b.networkDelay, config.LatencyTarget/2)
	b.baseEjection = min(b.baseEjection, max(config.LatencyTarget/backoffDivisor, Millisecond))
	for len(b.types) <= int(at) {
		b.types = append(b.types, nil)
	}
	policy := &typePolicy{config.Idempotency, config.LatencyTarget, config.ClientTimeout, config.DedupWindow, config.MinCoverage, config.CompleteCoverage,
		config.LateValue > 0, config.PartialValue*config.MinCoverage >= config.LateValue, config.QuadraticPartialValue, config.SecondPhaseCalls > 0,
		cmp.Or(config.MaxAttempts, b.maxAttempts), b.millisPerTick * float64(config.LatencyTarget/initialShare), config.MinCoverage, 0, -never}
	if config.QuadraticPartialValue {
		policy.partialCoverage, policy.partialCounts = max(config.MinCoverage, math.Sqrt(config.LateValue)), true
	}
	if old := b.types[at]; old != nil {
		policy.longestTimeout, policy.abandonedAt, policy.size = old.longestTimeout, old.abandonedAt, old.size
	}
	b.types[at] = policy
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
