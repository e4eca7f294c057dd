package balancer

import (
	"cmp"
	"math"
	"slices"
)

// listTimer is the timer of the next server list request. All other timers carry a request number.
const listTimer = TimerID(math.MaxUint32)

// typePolicy is the policy of one query type. Its LatencyTarget is the one measured at this instance.
type typePolicy struct {
	QueryTypeConfig
	partialCoverage float64 // coverage that makes a partial answer at the target worthwhile
	partialCounts   bool    // a partial answer in time has at least the value of a late one
	typeState
}

// typeState is the run-time state of a query type, which survives a change of its configuration.
type typeState struct {
	size           float64 // estimated size of a call in milliseconds; 0 = not estimated
	longestTimeout Time    // longest recent client timeout
	abandonedAt    Time    // when the last request was abandoned
	split          splitSequence
}

// newTypeState is the state of a new query type.
var newTypeState = typeState{abandonedAt: -Never}

// server is a server of the list, or a removed one with calls in flight or recently sent.
type server struct {
	id          ServerID
	local       bool // in the local zone
	maxInFlight int  // 0 = no limit
	cell        CellIndex
	zone        *zone
	state       ServerState
	startedAt   Time // 0 = long ago

	inFlight    []*attempt    // in order of sending
	backlog     float64       // sum of their sizes
	sentWork    windowCounter // sizes sent within overloadWindow
	respondedAt Time

	latency, latencyWork float64 // smoothed latency, and smoothed work that took this time
	unitLatency          float64 // latency / latencyWork; 0 = not measured
	measuredAt           Time
	reportedQueue        float64
	reportedAt           Time
	slowdown             float64 // factor by which all instances increase its predicted latency; 0 = unchanged

	failureRate    float64 // smoothed
	ejectedUntil   Time
	nextEjection   Time // duration of the next ejection
	clusterEjected bool // ejected by the instances jointly
	probation      bool // receives one call at a time until it answers
	checking       bool // a health check is in flight
	checkedAt      Time // when a health check last succeeded
	idleLossAt     Time // when an attempt on an idle connection was lost; 0 = answered since

	draw     float64 // random number in [0, 1) that decides on a call during slow start
	redrawAt Time    // when draw is renewed
}

// request is an open request.
type request struct {
	id            RequestID
	number        RequestNumber
	queryType     QueryType
	policy        *typePolicy
	calls         []*shardCall // of the current phase
	inSecondPhase bool
	firstComplete bool // the answer of the first phase was complete
	targetAt      Time
	deadline      Time
	evaluateAt    Time // time of the pending timer; 0 = none
}

// shardCall is a call of an open request. It remains while an attempt is in flight, even after the request.
type shardCall struct {
	req          *request
	id           ShardCallID
	shard        ShardIndex
	weight, size float64
	attempts     []*attempt
	inFlight     int // number of attempts in flight
	answered     bool
	skipped      bool // not to be sent: its shard is down or overloaded, and the other calls suffice
}

// nextReason returns the reason of the next attempt: FirstAttempt if the call has none yet, else the given one.
func (c *shardCall) nextReason(reason AttemptReason) AttemptReason {
	if len(c.attempts) == 0 {
		return FirstAttempt
	}
	return reason
}

// attempt is one dispatch of a call to a server.
type attempt struct {
	call         *shardCall
	server       *server
	sentAt       Time
	predicted    Time    // predicted latency
	overdueAfter Time    // latency from which a retry or hedge is due
	queuedWork   float64 // estimated work at the server when it was sent
	ended        bool
	neverRan     bool
	onIdleConn   bool // the connection to the server was idle before
	reason       AttemptReason
}

// placement is the assignment of a call in a plan.
type placement struct {
	call      *shardCall
	server    *server // nil = no replica is available
	probation *server // receives a probation attempt as well; nil = none
	finish    Time    // predicted time from now
}

// compareFinish sorts placements by predicted finish.
func compareFinish(a, b placement) int { return cmp.Compare(a.finish, b.finish) }

// progress summarizes the attempts of a call. Numbers are -1 if there is no such attempt.
type progress struct {
	inFlight          int  // attempts in flight, without a probation attempt
	oldest, probation int  // numbers of the first of these and of the probation attempt
	firstDue, lastDue Time // when the first and the last of these are overdue
	retryFrom         Time // no retry goes to an unhealthy replica before
}

// zone is the failure domain of servers. When it fails, all of its servers fail, and at a low request rate they would
// be detected one by one.
type zone struct {
	failureRate float64 // smoothed share of lost attempts
	failedAt    Time
}

// customer counts the requests of a customer against its quota.
type customer struct {
	quota    float64 // requests at this instance within quotaWindow; 0 = no quota
	admitted windowCounter
}

// retryBudget limits the retries of one shard, or of all shards.
type retryBudget struct {
	retries        windowCounter
	admitted       windowCounter // requests, or calls of the shard
	shortestTarget Time          // shortest latency target of recent requests for the shard
	shortestUntil  Time          // when shortestTarget expires
}

// newRetryBudget returns an unused budget.
func (b *Balancer) newRetryBudget() *retryBudget {
	return &retryBudget{retries: newWindowCounter(b.budgetWindow), admitted: newWindowCounter(b.budgetWindow)}
}

// admit counts a request or call, includes its latency target until a time, and returns the shortest recent target.
func (r *retryBudget) admit(target, now, until Time) Time {
	r.admitted.add(now, 1)
	if target <= r.shortestTarget || now >= r.shortestUntil {
		r.shortestTarget, r.shortestUntil = target, until
	}
	return r.shortestTarget
}

// budgetFor returns the retry budget of a shard: its own, or the one of all shards.
func (b *Balancer) budgetFor(shard ShardIndex) *retryBudget {
	if b.budgetPerShard {
		return b.budgets[shard]
	}
	return b.budgets[0]
}

// readyInCell returns the ready servers of a cell that had no shard yet.
func (b *Balancer) readyInCell(cell int) (servers []*server) {
	for _, s := range b.ready {
		if cell < b.cells && (int(s.cell)%b.cells+b.cells)%b.cells == cell {
			servers = append(servers, s)
		}
	}
	return servers
}

// setState changes the state of a server and updates the lists of ready servers and of replicas.
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

// releaseAttempt records the end of an attempt. It returns nil if the attempt is unknown or has already ended.
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
		s.backlog = 0 // discards rounding errors
	}
	return ended
}

// close removes a request and cancels its attempts.
func (b *Balancer) close(req *request) {
	delete(b.requests, req.id)
	delete(b.requestsByNumber, req.number)
	b.cancel(req.calls...)
}

// scheduleEvaluation sets a timer for the evaluation of a request, unless an earlier one is pending.
func (b *Balancer) scheduleEvaluation(req *request, at Time) {
	if at = max(at, b.now+1); req.evaluateAt != 0 && req.evaluateAt <= at {
		return
	}
	req.evaluateAt = at
	b.emit(SetTimer{at, TimerID(req.number)})
}

// timerFired requests the server list or evaluates the request of the timer.
func (b *Balancer) timerFired(t TimerID) {
	if t == listTimer {
		b.listTimerSet = false
		b.emit(Subscribe{})
	} else if req := b.requestsByNumber[RequestNumber(t)]; req != nil && req.evaluateAt <= b.now {
		req.evaluateAt = 0
		b.evaluate(req)
	}
}
