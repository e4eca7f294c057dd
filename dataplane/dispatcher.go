package dataplane

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/admission"
	"oxbowspan/balancer"
	"oxbowspan/internal/settings"
)

// Balancer parameters that are not part of the settings.
const (
	maxRetryAfter           = 400 * time.Millisecond // clients honor a Retry-After of up to a third of their timeout
	retryBudgetWindowMargin = 1.0                    // seconds added to the window of the settings
	localZone               = balancer.ZoneIndex(0)
)

// timerLoop is the part of the event loop that the dispatcher uses.
type timerLoop interface {
	commandLoop
	// schedule fires an event at the given time unless its timer is cancelled before.
	schedule(at balancer.Time, event timerEvent) *timer
	// cancel cancels a timer, if it is not nil and has not fired yet.
	cancel(t *timer)
}

// attemptSender sends attempts to servers.
type attemptSender interface {
	send(a *attempt)
}

// tenantAccounting accounts connections and waiting shard calls to tenants.
type tenantAccounting interface {
	// acquire accounts an attempt's connection to its tenant, until release is called.
	acquire(a *attempt, now balancer.Time)
	release(a *attempt, now balancer.Time)
	// startWaiting records the shard calls of a request that wait for a connection.
	startWaiting(r *request, now balancer.Time)
	// stopWaiting records that a shard call no longer waits. It does nothing if the shard call does not wait.
	stopWaiting(call *shardCall, now balancer.Time)
}

// outcomeRecorder records successful responses and failed connects of servers for outlier detection.
type outcomeRecorder interface {
	recordSuccess(e *endpoint)
	recordConnectFailure(e *endpoint, err error)
}

// dispatcher accepts requests, passes events to the balancer and performs the actions that the balancer returns. It is
// owned by the event loop.
type dispatcher struct {
	process   *process
	loop      timerLoop
	balancer  *balancer.Balancer
	endpoints *endpointTable
	ids       *idSequence
	sender    attemptSender
	tenants   tenantAccounting
	outcomes  outcomeRecorder
	rollouts  *rolloutTable

	requests      map[balancer.RequestID]*request     // without a result yet
	shardCalls    map[balancer.ShardCallID]*shardCall // with an unfinished request or an attempt in flight
	pendingEvents []balancer.Event                    // raised while actions are performed
	lastNumber    balancer.RequestNumber
}

// dispatcherOptions are the components that a dispatcher depends on.
type dispatcherOptions struct {
	balancer  *balancer.Balancer
	endpoints *endpointTable
	ids       *idSequence
	sender    attemptSender
	tenants   tenantAccounting
	outcomes  outcomeRecorder
	rollouts  *rolloutTable
}

func newDispatcher(p *process, loop timerLoop, options dispatcherOptions) *dispatcher {
	return &dispatcher{
		process:    p,
		loop:       loop,
		balancer:   options.balancer,
		endpoints:  options.endpoints,
		ids:        options.ids,
		sender:     options.sender,
		tenants:    options.tenants,
		outcomes:   options.outcomes,
		rollouts:   options.rollouts,
		requests:   map[balancer.RequestID]*request{},
		shardCalls: map[balancer.ShardCallID]*shardCall{},
	}
}

// balancerConfig returns the balancer's configuration according to the settings.
func balancerConfig(options *settings.Settings, seed uint64, limiter balancer.CapacityLimiter) balancer.Config {
	bounds := options.Bounds
	retryWindow := bounds.BudgetWindowS + retryBudgetWindowMargin
	return balancer.Config{
		Seed:                seed,
		Instances:           1,
		ClockResolution:     balancer.Millisecond,
		Cells:               1,
		ReplicationFactor:   1,
		MaxAttempts:         defaultAttempts,
		AllowHedging:        true,
		MaxRetryAfter:       ticks(maxRetryAfter),
		RetryBudgetSet:      bounds.HasRetryBudget,
		RetryBudgetPerShard: true,
		RetryBudgetBase:     bounds.BudgetExtraTries,
		RetryBudgetRatio:    bounds.RetryBudgetRatio * bounds.BudgetWindowS / retryWindow, // the setting refers to the shorter window
		RetryBudgetWindow:   ticks(settings.Seconds(retryWindow)),
		RetryBudgetDelayed:  !options.FirstStart,
		InferClientTimeout:  true,
		MeasuredAtClient:    true,
		PreferLocalZone:     true,
		LocalZone:           localZone,
		OverQuotaValue:      1,
		Limiter:             limiter,
	}
}

// submit implements requestSink. It is safe for concurrent use.
func (d *dispatcher) submit(r *request) bool {
	return d.loop.post(func() { d.requestArrived(r) })
}

// requestArrived creates the shard calls of a request and reports both to the balancer.
func (d *dispatcher) requestArrived(r *request) {
	r.id = balancer.RequestID(d.ids.next())
	d.requests[r.id] = r
	event := balancer.RequestArrived{
		Request:    r.id,
		Number:     d.nextNumber(),
		Type:       r.route.queryType,
		Timeout:    r.deadline,
		Candidates: d.rollouts.versionCandidates(r.route.alternatives),
	}
	shards := r.route.shards
	if len(shards) == 0 {
		shards = []balancer.ShardIndex{r.route.alternatives[0].Shard}
	}
	for _, shard := range shards {
		call := &shardCall{request: r, id: balancer.ShardCallID(d.ids.next()), shard: shard}
		d.assignCandidateShards(call, event.Candidates)
		shard = call.shard
		r.shardCalls = append(r.shardCalls, call)
		d.shardCalls[call.id] = call
		event.Calls = append(event.Calls, balancer.ShardCall{ID: call.id, Shard: shard, Weight: 1 / float64(len(shards))})
	}
	d.handleEvent(event)
	d.tenants.startWaiting(r, d.loop.now())
	d.scheduleDispatchCheck(r, d.loop.now())
}

// assignCandidateShards determines the shards to whose servers a shard call may be sent, and counts it as open at each of
// them. These are the shards of the candidates, or else the one shard of the server version chosen for the shard call of
// a gathered route.
func (d *dispatcher) assignCandidateShards(call *shardCall, candidates []balancer.WeightedShard) {
	if len(candidates) == 0 {
		call.shard = d.rollouts.selectShard(call.shard)
		call.candidateShards = []balancer.ShardIndex{call.shard}
	}
	for _, candidate := range candidates {
		call.candidateShards = append(call.candidateShards, candidate.Shard)
	}
	for _, shard := range call.candidateShards {
		d.rollouts.callOpened(shard)
	}
}

// nextNumber returns the number of the next request. Numbers start at 1 and wrap around to 1 before the type overflows.
func (d *dispatcher) nextNumber() balancer.RequestNumber {
	d.lastNumber++
	if d.lastNumber >= math.MaxUint32-1 {
		d.lastNumber = 1
	}
	return d.lastNumber
}

// handleEvent passes an event to the balancer and performs the returned actions in order, then processes the events that
// were raised meanwhile.
func (d *dispatcher) handleEvent(event balancer.Event) {
	d.perform(d.balancer.Handle(d.loop.now(), event))
	for len(d.pendingEvents) > 0 {
		next := d.pendingEvents[0]
		d.pendingEvents = d.pendingEvents[1:]
		d.perform(d.balancer.Handle(d.loop.now(), next))
	}
	d.pendingEvents = nil
}

func (d *dispatcher) perform(actions []balancer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case balancer.Send:
			d.dispatch(action)
		case balancer.Answer:
			d.complete(action.Request)
		case balancer.Shed:
			d.abandon(action.Request, action.RetryAfter)
		case balancer.Fail:
			d.abandon(action.Request, 0)
		case balancer.SetTimer:
			d.loop.schedule(action.At, timerEvent{timer: action.Timer})
		case balancer.CloseIdle:
			if e := d.endpoints.byID[action.Server]; e != nil {
				e.closeIdle()
			}
		}
	}
}

// timerFired handles a scheduled event that is due.
func (d *dispatcher) timerFired(event timerEvent, now balancer.Time) {
	switch {
	case event.undispatched != nil:
		d.checkDispatch(event.undispatched, now)
	case event.attempt != nil:
		d.attemptEnded(event.attempt, balancer.TimedOut, nil)
	default:
		d.handleEvent(balancer.TimerFired{Timer: event.timer})
	}
}

// dispatch sends an attempt of a shard call to the server that the balancer selected. If the server cannot be used any
// more or the request has finished, the attempt ends as NotDispatched.
func (d *dispatcher) dispatch(action balancer.Send) {
	call, e := d.shardCalls[action.Call], d.endpoints.byID[action.Server]
	if call == nil {
		return
	}
	now := d.loop.now()
	a := &attempt{
		shardCall: call,
		number:    balancer.AttemptNumber(len(call.attempts)),
		endpoint:  e,
		sentAt:    now,
		deadline:  now + action.Timeout,
	}
	if e == nil || call.request.finished || !e.selectable {
		a.ended = true
		call.attempts = append(call.attempts, nil)
		d.pendingEvents = append(d.pendingEvents, balancer.AttemptEnded{Call: call.id, Attempt: a.number, Server: action.Server, Outcome: balancer.NotDispatched})
		d.removeIfDone(call)
		return
	}
	call.attempts = append(call.attempts, a)
	call.inFlight++
	e.load.add(now, 1)
	d.process.counters.countAttempt(a, action.Reason)
	d.tenants.acquire(a, now)
	a.timeout = d.loop.schedule(a.deadline, timerEvent{attempt: a})
	d.sender.send(a)
}

// connectFailed implements attemptSink.
func (d *dispatcher) connectFailed(e *endpoint, err error) { d.outcomes.recordConnectFailure(e, err) }

// endpointReplaced implements attemptSink.
func (d *dispatcher) endpointReplaced(*endpoint) { d.endpoints.sync() }

// attemptEnded implements attemptSink: it reports an attempt's outcome to the balancer. If no response was received, the
// attempt's connection is closed, as a response that arrives later would belong to no attempt.
func (d *dispatcher) attemptEnded(a *attempt, outcome balancer.Outcome, resp *fasthttp.Response) {
	call, e := a.shardCall, a.endpoint
	a.ended = true
	d.loop.cancel(a.timeout)
	d.rollouts.recordOutcome(a, outcome, d.loop.now()-a.sentAt)
	call.attempts[a.number] = nil
	call.inFlight--
	e.load.add(d.loop.now(), -1)
	d.tenants.release(a, d.loop.now())
	if a.conn != nil && resp == nil {
		a.conn.close()
	}
	if !outcome.NeverRan() && a.conn != nil { // without a connection nothing was written
		call.request.mayHaveRun = true
	}
	if resp != nil {
		storeResponse(call, outcome, resp)
	}
	d.removeIfDone(call)
	d.handleEvent(balancer.AttemptEnded{Call: call.id, Attempt: a.number, Server: e.id, Elapsed: d.loop.now() - a.sentAt, Outcome: outcome})
	if outcome == balancer.Answered {
		d.outcomes.recordSuccess(e)
	}
	d.endpoints.removeIfRetired(e)
}

// storeResponse stores a response that may be passed to the client, and releases any other.
func storeResponse(call *shardCall, outcome balancer.Outcome, resp *fasthttp.Response) {
	r := call.request
	switch {
	case r.finished:
		fasthttp.ReleaseResponse(resp)
	case outcome == balancer.Answered && call.response == nil:
		call.response = resp
	case isServerFailure(outcome, resp.StatusCode()):
		r.releaseLastFailure()
		r.lastFailure = resp
	default:
		fasthttp.ReleaseResponse(resp)
	}
}

// isServerFailure reports whether a response is a server error (5xx) of an attempt that may have run.
func isServerFailure(outcome balancer.Outcome, status int) bool {
	return !outcome.NeverRan() && outcome != balancer.Answered && status >= fasthttp.StatusInternalServerError && !promisesNotExecuted(status)
}

// complete ends a request with the responses received so far.
func (d *dispatcher) complete(id balancer.RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	res := result{kind: resultMerge, missing: len(r.shardCalls)}
	for _, call := range r.shardCalls {
		if call.response != nil {
			res.responses = append(res.responses, call.response)
			res.missing--
			call.response = nil
		}
	}
	if !r.route.Gathered() {
		res.kind = resultForward
	}
	d.finish(r, res)
}

// finish passes a request's result to its client and releases what the request holds. Attempts in flight continue.
func (d *dispatcher) finish(r *request, res result) {
	r.finished = true
	r.releaseMessage()
	d.loop.cancel(r.dispatchCheck)
	delete(d.requests, r.id)
	for _, call := range r.shardCalls {
		call.releaseResponse()
		d.tenants.stopWaiting(call, d.loop.now())
		d.removeIfDone(call)
	}
	r.releaseLastFailure()
	d.process.counters.results[res.kind].Add(1)
	r.deliver(res)
}

// removeIfDone removes a shard call once its request has finished and no attempt is in flight.
func (d *dispatcher) removeIfDone(call *shardCall) {
	if call.request.finished && call.inFlight == 0 && d.shardCalls[call.id] != nil {
		delete(d.shardCalls, call.id)
		for _, shard := range call.candidateShards {
			d.rollouts.callClosed(shard)
		}
	}
}

// scheduleDispatchCheck schedules a check of a request after its hold limit, unless the request has been dispatched or
// finished or its route has no hold limit.
func (d *dispatcher) scheduleDispatchCheck(r *request, now balancer.Time) {
	if r.finished || r.dispatchState().Dispatched {
		return
	}
	if limit, ok := admission.HoldLimit(fromMillis(r.route.TargetMS)); ok {
		r.dispatchCheck = d.loop.schedule(now+ticks(limit), timerEvent{undispatched: r})
	}
}

// checkDispatch handles a request that has reached its hold limit. The request is rejected if no server can take it and
// the balancer merely waits for one to return.
func (d *dispatcher) checkDispatch(r *request, now balancer.Time) {
	state := r.dispatchState()
	state.WarmingUp = admission.WarmingUp(duration(now), d.process.settings.HeartbeatInterval())
	switch state.Decide() {
	case admission.ExtendHold:
		d.scheduleDispatchCheck(r, now)
	case admission.Reject:
		d.handleEvent(balancer.RequestCancelled{Request: r.id})
		d.abandon(r.id, ticks(maxRetryAfter))
	case admission.AwaitResponse:
	}
}

// closeConns closes the connections that carry attempts, so that the goroutines that use them end.
func (d *dispatcher) closeConns() {
	for _, call := range d.shardCalls {
		for _, a := range call.attempts {
			if a != nil && a.conn != nil {
				a.conn.conn.Close()
			}
		}
	}
}
