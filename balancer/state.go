package balancer

// What a gatherer keeps: tables, records and their bookkeeping. Nothing is decided here.

import (
	"cmp"
	"slices"
)

// Balancer holds all that one gatherer knows.
type Balancer struct {
	types                                 []*typePolicy
	customers                             []customer
	cells, replicationFactor, maxAttempts int  // most: sub-requests for one part
	margin, baseEjection                  Time // what must be done by a moment is done so much earlier; a server's first time out
	maxRetryAfter, maxListBackoff         Time // longest advice to a client, 0 = none; longest pause between calls for the list

	allowCancel, allowHedging, listOnRequest bool // listOnRequest: the list must be asked for
	retriesMarked                            bool // clients mark their repeats
	hedgeProbation                           bool // trials go out beside a part's own sub-request
	checkFirst                               bool // a probe goes before each trial, as a search depends on it

	slowStartDuration, overloadWindow  Time
	slowStartShare, slowStartMultiple  float64
	budgetBase, budgetRatio            float64 // budget of further sub-requests, per search or part
	sharedBudgetBase, recentInstances  float64 // of all gatherers, 0 = free is stated; and the most gatherers of late
	budgetFrom, budgetWindow, shrinkAt Time    // nothing is free before waits; fewer gatherers count at shrinkAt
	networkDelay                       Time
	inferTimeout, preferLocal          bool
	millisPerTick                      float64 // 0, or milliseconds in a Time: sizes of parts are learned by type
	localZone                          ZoneIndex
	limiter                            CapacityLimiter // nil = none
	callCost                           float64         // in each size, as nearly every part is a call of its own

	now              Time
	actions          []Action
	rand             mwc
	servers          map[ServerID]*server       // emptied by the list: gone, nothing out or just sent
	ready            []*server                  // those listed as ready, in order of cells and ids, as in holders
	replicas         [][]*server                // of each shard; both kept by the list
	requests         map[RequestID]*request     // emptied by the final answer or the client's leaving
	requestsByNumber map[RequestNumber]*request // as open
	inFlight         map[ShardCallID]*shardCall // parts in flight; emptied by outcomes: each sub-request gets one
	listBackoff      Time                       // the list timer's next pause, and whether it is set
	listTimerSet     bool
	zones            map[ZoneIndex]*zone // as many as the settings name
	plannedWork      map[*server]float64 // sizes within the plan being drawn; emptied by the next

	meanLatency                               float64        // latency per unit size, over the ready servers heard from; 0 = none
	warmWork                                  float64        // sizes sent to a warm server within overloadWindow, when last there was one
	meanSize, meanQueue, retrySuccess         float64        // smoothed: size of a part, reported queues, further ones that answered
	currentLatency, baseLatency               float64        // median latency per unit size over all answers: of late, shortest; 0 = none
	latencySamples, widestRequest, stuckCalls int            // answers that taught these; most parts of a search; parts at silent servers
	limit, instances                          float64        // limit: of parts in flight
	budgets                                   []*retryBudget // of each shard, or one of all
	deadIdleShare                             float64        // smoothed share of rested connections that were dead
	deadIdleAt                                Time
}

// New makes a gatherer that knows nothing yet but its facts.
func New(f Config) *Balancer {
	b := &Balancer{cells: f.Cells, replicationFactor: min(f.ReplicationFactor, f.Cells), replicas: make([][]*server, f.Shards),
		maxAttempts: f.MaxAttempts, margin: max(2*f.ClockResolution, 4*Millisecond), maxRetryAfter: f.MaxRetryAfter,
		maxListBackoff: max(f.MaxListAge/2, firstBackoff), allowCancel: f.AllowCancel, allowHedging: f.AllowHedging,
		listOnRequest: f.ListOnRequest, retriesMarked: f.RetriesMarked, slowStartDuration: f.SlowStartDuration, overloadWindow: f.OverloadWindow,
		slowStartShare: f.SlowStartShare, slowStartMultiple: slowStartSafety * max(f.OverloadMultiple, 1), callCost: f.CallCost,
		budgetBase: f.RetryBudgetBase, budgetRatio: f.RetryBudgetRatio,
		rand: newMWC(f.Seed), servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		requestsByNumber: map[RequestNumber]*request{}, inFlight: map[ShardCallID]*shardCall{}, plannedWork: map[*server]float64{},
		zones:       map[ZoneIndex]*zone{},
		listBackoff: firstBackoff, baseEjection: firstBackoff, meanSize: 1, retrySuccess: 1, instances: float64(max(f.Instances, 1))}
	b.preferLocal, b.localZone, b.limiter = f.PreferLocalZone, f.LocalZone, f.Limiter
	b.budgetWindow, b.inferTimeout = f.RetryBudgetWindow, f.InferClientTimeout
	if f.InferClientTimeout {
		b.millisPerTick = 1 / float64(Millisecond)
	}
	if f.MeasuredAtClient {
		b.networkDelay = clientNetworkDelay
	}
	if !f.HasRetryBudget {
		b.budgetBase, b.budgetRatio, b.budgetWindow = float64(b.maxAttempts), defaultRetryRatio, 10*quotaWindow
	}
	if f.RetryBudgetPerShard {
		b.sharedBudgetBase, b.recentInstances = b.budgetBase, b.instances
	} else {
		b.budgets = []*retryBudget{b.newRetryBudget()}
	}
	if f.RetryBudgetDelayed {
		b.budgetFrom = never // until the first event
	}
	for i, t := range f.QueryTypes {
		b.setQueryType(QueryType(i), t)
		b.hedgeProbation = b.hedgeProbation || f.AllowHedging && f.AllowCancel && f.MaxAttempts > 1 && t.Idempotency == Idempotent
	}
	b.hedgeProbation = b.hedgeProbation || f.AllowHedging && f.RetryBudgetPerShard
	b.checkFirst = f.AllowHealthChecks && !b.hedgeProbation
	spans := float64(quotaWindow) / float64(1000*Millisecond) / b.instances
	all := customer{0, newWindowCounter(quotaWindow)} // the last one stands for all of them
	for _, c := range f.Customers {
		if f.OverQuotaValue < 1 {
			b.customers = append(b.customers, customer{c.QuotaPerSecond * spans, newWindowCounter(quotaWindow)})
			all.quota += c.QuotaPerSecond * spans
		}
	}
	b.customers = append(b.customers, all)
	return b
}

// typePolicy are the figures of one query type that decisions use.
type typePolicy struct {
	idempotency                   Idempotency
	target, timeout, dedupWindow  Time
	minCoverage, completeCoverage float64
	lateCounts, partialCounts     bool // a late answer counts; a short one in time counts as much as a late one
	quadratic                     bool // a short answer's value is the square of its share
	twoPhase                      bool // a second step follows the first answer
	maxAttempts                   int
	size                          float64 // what a part of it takes by itself, in milliseconds, as learned; 0 = not learned
	partialCoverage               float64 // share that is worth answering short at the target
	longestTimeout                Time    // the longest of a first try, seen so far
	abandonedAt                   Time    // when one was last given up
}

type server struct {
	id                         ServerID
	local                      bool // it stands in this gatherer's zone
	maxInFlight                int  // 0 = no limit
	cell                       CellIndex
	zone                       *zone
	state                      ServerState
	startedAt                  Time // when it last started, as listed; 0 = long ago
	respondedAt                Time
	latency, latencyWork       float64       // smoothed latency, and the sizes that took it: its own and what stood before
	unitLatency                float64       // the one over the other: small parts must not weigh like large ones
	reportedQueue              float64       // parts it last reported,
	reportedAt, measuredAt     Time          // when it reported, and when the rate was learned
	idleLossAt                 Time          // when what was sent on a rested connection was lost; 0 = answers came since
	inFlight                   []*attempt    // in order of sending; emptied by outcomes
	backlog                    float64       // their sizes
	sentWork                   windowCounter // sizes sent
	failureRate                float64       // smoothed share of failures
	ejectedUntil, nextEjection Time          // taken out until then, and the next time out
	clusterEjected             bool          // all gatherers together keep from it
	slowdown                   float64       // and predict it so many times slower; 0 = as it is
	probation                  bool          // one part at a time until it answers
	checking                   bool          // a probe is out
	checkedAt                  Time          // when one was last answered
	lottery                    float64       // for its cold allowance, from 0 to 1
	lotteryUntil               Time          // then it is drawn anew
}

type request struct {
	id                           RequestID
	number                       RequestNumber
	queryType                    QueryType
	policy                       *typePolicy
	calls                        []*shardCall // of the present step
	inSecondPhase, firstComplete bool         // the second step is on; the first step's answer was whole
	targetAt, deadline           Time         // when it should be answered, and when it is given up
	reviewAt                     Time         // of the pending timer; 0 = none
}

type shardCall struct {
	req          *request
	id           ShardCallID
	shard        ShardIndex
	weight, size float64
	attempts     []*attempt
	inFlight     int  // tries that have not ended
	answered     bool // its answer is in
	skipped      bool // given up from the start: its shard is down or overrun, and the others are enough
}

type attempt struct {
	call                            *shardCall
	server                          *server
	sentAt, predicted, overdueAfter Time    // due: the age at which it is overdue
	queuedWork                      float64 // sizes unfinished there, as known, when it was sent
	retry, ended, neverRan          bool
	onIdleConn                      bool // on a connection that had carried nothing for a while
	probation                       bool // beside the part's own, to see whether its server answers
}

type placement struct { // one part's place in a plan and its predicted finish, from now
	call      *shardCall
	server    *server // nil = no replica can be used
	probation *server // on trial, to be sent the part too; nil = none
	finish    Time
}

// zone is what the servers of one zone show together: one that is lost or cut off takes them all along, and a
// gatherer that sees a search a second would find them out one by one.
type zone struct {
	failureRate float64 // smoothed share of hard failures
	failedAt    Time
}

type customer struct {
	quota    float64       // this gatherer's part of the customer's share in quotaWindow; 0 = no limit
	admitted windowCounter // its searches that were not shed
}

// retryBudget is what a shard's further sub-requests are paid from. It is emptied by time.
type retryBudget struct {
	retries, admitted windowCounter // further sub-requests; searches and parts
	shortestTarget    Time          // the shortest latency target of those that were for this shard,
	shortestUntil     Time          // until then
}

func (b *Balancer) newRetryBudget() *retryBudget {
	return &retryBudget{retries: newWindowCounter(b.budgetWindow), admitted: newWindowCounter(b.budgetWindow)}
}

// admit notes a search or part with its latency target and returns the shortest of those noted of late.
func (b *retryBudget) admit(target, now, until Time) Time {
	b.admitted.add(now, 1)
	if target <= b.shortestTarget || now >= b.shortestUntil {
		b.shortestTarget, b.shortestUntil = target, until
	}
	return b.shortestTarget
}

func (b *Balancer) budgetFor(at ShardIndex) *retryBudget {
	if b.sharedBudgetBase == 0 {
		return b.budgets[0]
	}
	return b.budgets[at]
}

// ServerRecords tells what a later run may recall.
func (b *Balancer) ServerRecords() (out []ServerRecord) {
	for _, s := range b.ready {
		if s.unitLatency > 0 || s.failureRate > 0 {
			out = append(out, ServerRecord{s.id, s.startedAt, s.latency, s.latencyWork, s.measuredAt, s.ejectedUntil, s.failureRate})
		}
	}
	return out
}

// Utilization is the parts in flight over their limit.
func (b *Balancer) Utilization() float64 { return b.activeCalls() / max(b.limit, 1) }

// setState changes a server's state and its place among the ready ones and the holders, at the cost of its entry.
func (b *Balancer) setState(s *server, state ServerState) {
	if (s.state == Ready) != (state == Ready) {
		lists := []*[]*server{&b.ready}
		for j := range b.replicationFactor {
			shard := ((int(s.cell)-j)%b.cells + b.cells) % b.cells
			for ; shard < len(b.replicas); shard += b.cells {
				lists = append(lists, &b.replicas[shard])
			}
		}
		for _, all := range lists {
			at, _ := slices.BinarySearchFunc(*all, s, func(a, other *server) int {
				return cmp.Or(cmp.Compare(a.cell, other.cell), cmp.Compare(a.id, other.id))
			})
			if state == Ready {
				*all = slices.Insert(*all, at, s)
			} else {
				*all = slices.Delete(*all, at, at+1)
			}
		}
	}
	s.state = state
}

// applyVerdicts takes what all gatherers together hold of servers.
func (b *Balancer) applyVerdicts(all []OutlierVerdict) {
	for _, j := range all {
		if s := b.servers[j.ID]; s != nil {
			if s.clusterEjected, s.slowdown = j.Ejected, j.SlowdownFactor; j.Recovered { // another's trial was this one's
				s.probation, s.ejectedUntil = false, min(s.ejectedUntil, b.now)
			}
		}
	}
}

// CompareLatency is a server's time per unit of size, as learned, and that of the others of its shard; 0 = not known.
func (b *Balancer) CompareLatency(id ServerID) (unit, peers float64) {
	s := b.servers[id]
	if s == nil || s.unitLatency == 0 || int(s.cell) >= len(b.replicas) {
		return 0, 0
	}
	speed, n := 0.0, 0.0
	for _, o := range b.replicas[s.cell] {
		if o != s && o.unitLatency > 0 {
			speed, n = speed+1/o.unitLatency, n+1
		}
	}
	if n == 0 {
		return s.unitLatency, 0
	}
	return s.unitLatency, n / speed
}

// unresponsiveFactor is how many times overdue what is out must be, beside the design's gap, before a server is told to be silent: behind others it
// waits for its turn.
const unresponsiveFactor = 3

// Unresponsive tells whether a server has been silent for long.
func (b *Balancer) Unresponsive(id ServerID) bool {
	s := b.servers[id]
	return s != nil && len(s.inFlight) > 0 && b.now-max(s.inFlight[0].sentAt, s.respondedAt) > unresponsiveFactor*s.inFlight[0].overdueAfter+stragglerGap
}

// hasCapacity tells whether what bounds the parts at a server leaves room for one more.
func (b *Balancer) hasCapacity(s *server, call *shardCall) bool {
	room := b.limiter == nil || b.limiter.CanAcquire(s.id, call.req.queryType, b.now) // asked in any case: who is refused is remembered there
	return room && (s.maxInFlight == 0 || len(s.inFlight) < s.maxInFlight)
}

// limitShare is how much of the in-flight limit a search may fill.
func (b *Balancer) limitShare(req *request) float64 {
	if b.limiter == nil {
		return 1
	}
	return b.limiter.LimitShare(req.queryType, b.now)
}

// expectedWait is what is told of the wait of a part that no server has room for; never = nothing is.
func (b *Balancer) expectedWait(call *shardCall) Time {
	if b.limiter == nil || len(b.replicas[call.shard]) == 0 {
		return never
	}
	return b.limiter.ExpectedWait(call.shard, call.req.queryType, b.now)
}

func (b *Balancer) close(req *request) {
	delete(b.requests, req.id)
	delete(b.requestsByNumber, req.number)
	b.cancel(req.calls...)
}

func (b *Balancer) scheduleReview(req *request, at Time) {
	if at = max(at, b.now+1); req.reviewAt != 0 && req.reviewAt <= at {
		return
	}
	req.reviewAt = at
	b.emit(SetTimer{at, TimerID(req.number)})
}

func (b *Balancer) timerFired(t TimerID) {
	if t == listTimer {
		b.listTimerSet = false
		b.emit(Subscribe{})
	} else if req := b.requestsByNumber[RequestNumber(t)]; req != nil && req.reviewAt <= b.now {
		req.reviewAt = 0
		b.review(req)
	}
}
