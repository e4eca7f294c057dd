package balancer

import (
	"cmp"
	"math"
	"slices"
)

// listTimer is the timer of the next server list request. All other timers carry a request number.
const listTimer = TimerID(math.MaxUint32)

// typePolicy is what decisions use of one query type. Its LatencyTarget counts at this instance.
type typePolicy struct {
	QueryTypeConfig
	partialCoverage float64 // that makes a partial answer at the target worthwhile
	partialCounts   bool    // a partial answer in time is worth as much as a late one
	learned
}

// learned is what was learned of a query type; a new configuration keeps it.
type learned struct {
	size           float64 // of a call in milliseconds; 0 = not learned
	longestTimeout Time    // longest client timeout lately seen
	abandonedAt    Time    // when a request was last abandoned
	split          splitSequence
}

// unlearned is what is known of a new query type.
var unlearned = learned{abandonedAt: -Never}

// server is a listed server, or one that was listed and still matters.
type server struct {
	id          ServerID
	local       bool // in the local zone
	maxInFlight int  // 0 = no limit
	cell        CellIndex
	zone        *zone
	state       ServerState
	startedAt   Time // 0 = long ago

	inFlight    []*attempt    // in order of sending
	backlog     float64       // their sizes
	sentWork    windowCounter // sizes sent within overloadWindow
	respondedAt Time

	latency, latencyWork float64 // smoothed latency, and smoothed work that took it
	unitLatency          float64 // the one over the other; 0 = not measured
	measuredAt           Time
	reportedQueue        float64
	reportedAt           Time
	slowdown             float64 // by which all instances predict it slower; 0 = unchanged

	failureRate    float64 // smoothed
	ejectedUntil   Time
	nextEjection   Time // duration
	clusterEjected bool // by all instances together
	probation      bool // gets one call at a time until it answers
	checking       bool // a health check is in flight
	checkedAt      Time // when one last succeeded
	idleLossAt     Time // when an attempt on an idle connection was lost; 0 = an answer came since

	lottery      float64 // drawn for slow start, 0 to 1
	lotteryUntil Time    // when it is drawn anew
}

// request is an open request.
type request struct {
	id            RequestID
	number        RequestNumber
	queryType     QueryType
	policy        *typePolicy
	calls         []*shardCall // of the present phase
	inSecondPhase bool
	firstComplete bool // the answer of the first phase was complete
	targetAt      Time
	deadline      Time
	reviewAt      Time // of the pending timer; 0 = none
}

// shardCall is a call of an open request. It outlives the request while an attempt is in flight.
type shardCall struct {
	req          *request
	id           ShardCallID
	shard        ShardIndex
	weight, size float64
	attempts     []*attempt
	inFlight     int // attempts
	answered     bool
	skipped      bool // given up from the start: its shard is down or overloaded, and the others suffice
}

// firstOr returns the reason of the next attempt: the first one of a call is FirstAttempt, whatever else it is sent for.
func (c *shardCall) firstOr(reason AttemptReason) AttemptReason {
	if len(c.attempts) == 0 {
		return FirstAttempt
	}
	return reason
}

// attempt is one sending of a call to a server.
type attempt struct {
	call         *shardCall
	server       *server
	sentAt       Time
	predicted    Time    // latency
	overdueAfter Time    // latency above which a retry or hedge is due
	queuedWork   float64 // known at the server when it was sent
	ended        bool
	neverRan     bool
	onIdleConn   bool // sent when the connection to the server was idle
	reason       AttemptReason
}

// placement is the place of one call in a plan.
type placement struct {
	call      *shardCall
	server    *server // nil = no replica can be used
	probation *server // to be sent a probation attempt as well; nil = none
	finish    Time    // predicted, from now
}

// compareFinish orders placements by their predicted finish.
func compareFinish(a, b placement) int { return cmp.Compare(a.finish, b.finish) }

// progress sums up the attempts of a call. Numbers are -1 where there is no such attempt.
type progress struct {
	inFlight          int  // attempts, without one on probation
	oldest, probation int  // numbers of the first of these and of the one on probation
	firstDue, lastDue Time // when the first and the last of them are overdue
	retryFrom         Time // before it no retry goes to an unhealthy replica
}

// zone is the failure domain of servers. One that fails takes all of its servers along, and at a low request
// rate they would be found out one by one.
type zone struct {
	failureRate float64 // smoothed share of lost attempts
	failedAt    Time
}

// customer counts the requests of a customer.
type customer struct {
	quota    float64 // of this instance within quotaWindow; 0 = none
	admitted windowCounter
}

// retryBudget limits the retries of one shard, or of all.
type retryBudget struct {
	retries        windowCounter
	admitted       windowCounter // requests, or calls of one shard
	shortestTarget Time          // shortest latency target of recent requests for the shard
	shortestUntil  Time          // when it is forgotten
}

// newRetryBudget returns an empty budget.
func (b *Balancer) newRetryBudget() *retryBudget {
	return &retryBudget{retries: newWindowCounter(b.budgetWindow), admitted: newWindowCounter(b.budgetWindow)}
}

// admit counts a request or call and returns the shortest of the recent latency targets, which counts until
// a moment.
func (r *retryBudget) admit(target, now, until Time) Time {
	r.admitted.add(now, 1)
	if target <= r.shortestTarget || now >= r.shortestUntil {
		r.shortestTarget, r.shortestUntil = target, until
	}
	return r.shortestTarget
}

// budgetFor returns the retry budget of a shard.
func (b *Balancer) budgetFor(shard ShardIndex) *retryBudget {
	if b.sharedBudgetBase == 0 {
		return b.budgets[0]
	}
	return b.budgets[shard]
}

// readyInCell returns the ready servers of a cell that no shard was in before.
func (b *Balancer) readyInCell(cell int) (servers []*server) {
	for _, s := range b.ready {
		if cell < b.cells && (int(s.cell)%b.cells+b.cells)%b.cells == cell {
			servers = append(servers, s)
		}
	}
	return servers
}

// setState changes the state of a server and its membership among the ready servers and the replicas.
func (b *Balancer) setState(s *server, state ServerState) {
	if (s.state == Ready) != (state == Ready) {
		lists := []*[]*server{&b.ready}
		for j := range b.replicationFactor {
			shard := ((int(s.cell)-j)%b.cells + b.cells) % b.cells
			for ; shard < len(b.replicas); shard += b.cells {
				lists = append(lists, &b.replicas[shard])
			}
		}
		for _, list := range lists {
			at, _ := slices.BinarySearchFunc(*list, s, func(a, b *server) int {
				return cmp.Or(cmp.Compare(a.cell, b.cell), cmp.Compare(a.id, b.id))
			})
			if state == Ready {
				*list = slices.Insert(*list, at, s)
			} else {
				*list = slices.Delete(*list, at, at+1)
			}
		}
	}
	s.state = state
}

// trackAttempt records an attempt that is being sent.
func (b *Balancer) trackAttempt(sent *attempt) {
	call, s := sent.call, sent.server
	b.inFlight[call.id] = call
	call.attempts = append(call.attempts, sent)
	call.inFlight++
	s.inFlight = append(s.inFlight, sent)
	s.backlog += call.size
	s.sentWork.add(b.now, call.size)
	if sent.reason != FirstAttempt {
		b.budgetFor(call.shard).retries.add(b.now, 1)
	}
}

// releaseAttempt records that an attempt has ended. It returns nil if it is unknown or has ended before.
func (b *Balancer) releaseAttempt(e AttemptEnded) *attempt {
	call := b.inFlight[e.Call]
	if call == nil || int(e.Attempt) >= len(call.attempts) || call.attempts[e.Attempt].ended {
		return nil
	}
	ended := call.attempts[e.Attempt]
	s := ended.server
	ended.ended, ended.neverRan = true, e.Outcome.NeverRan()
	if call.inFlight--; call.inFlight == 0 {
		delete(b.inFlight, call.id)
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(a *attempt) bool { return a == ended })
	if s.backlog -= call.size; len(s.inFlight) == 0 {
		s.backlog = 0 // without rounding errors
	}
	return ended
}

// close forgets a request and cancels its attempts.
func (b *Balancer) close(req *request) {
	delete(b.requests, req.id)
	delete(b.requestsByNumber, req.number)
	b.cancel(req.calls...)
}

// scheduleReview sets a timer for the review of a request, unless an earlier one is pending.
func (b *Balancer) scheduleReview(req *request, at Time) {
	if at = max(at, b.now+1); req.reviewAt != 0 && req.reviewAt <= at {
		return
	}
	req.reviewAt = at
	b.emit(SetTimer{at, TimerID(req.number)})
}

// timerFired requests the server list or reviews the request that the timer was set for.
func (b *Balancer) timerFired(t TimerID) {
	if t == listTimer {
		b.listTimerSet = false
		b.emit(Subscribe{})
	} else if req := b.requestsByNumber[RequestNumber(t)]; req != nil && req.reviewAt <= b.now {
		req.reviewAt = 0
		b.review(req)
	}
}
