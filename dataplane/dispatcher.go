package dataplane

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/admission"
	"oxbowspan/balancer"
	"oxbowspan/internal/settings"
)

// Parts of the balancer's configuration that the settings do not state.
const (
	maxRetryAfter           = 400 * time.Millisecond // clients follow a Retry-After of up to a third of their timeout
	retryBudgetWindowMargin = 1.0                    // seconds beyond the window of the settings
	localZone               = balancer.ZoneIndex(0)
)

// timerLoop is what the dispatcher uses of the loop.
type timerLoop interface {
	commandLoop
	// schedule fires an event at the given time.
	schedule(at balancer.Time, event timerEvent)
}

// attemptSender sends attempts to servers.
type attemptSender interface {
	send(a *attempt)
}

// tenantAccounting accounts connections and waiting shard calls to tenants.
type tenantAccounting interface {
	acquire(a *attempt, now balancer.Time)
	release(a *attempt, now balancer.Time)
	startWaiting(r *request, now balancer.Time)
	stopWaiting(call *shardCall, now balancer.Time)
}

// outcomeRecorder records how servers respond.
type outcomeRecorder interface {
	recordSuccess(e *endpoint)
	recordConnectFailure(e *endpoint, err error)
}

// dispatcher takes requests, gives events to the balancer and performs its actions. It is owned by the loop.
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

	requests      map[balancer.RequestID]*request     // until their result
	shardCalls    map[balancer.ShardCallID]*shardCall // until their request has finished and no attempt is in flight
	pendingEvents []balancer.Event                    // raised while actions are performed
	lastNumber    balancer.RequestNumber
}

// dispatcherOptions are the components that a dispatcher uses.
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

// balancerConfig describes the deployment to the balancer.
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
		HasRetryBudget:      bounds.HasRetryBudget,
		RetryBudgetPerShard: true,
		RetryBudgetBase:     bounds.BudgetExtraTries,
		RetryBudgetRatio:    bounds.RetryBudgetRatio * bounds.BudgetWindowS / retryWindow, // of the requests of the shorter window
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

// submit passes a client's request to the loop. It reports false once the loop has stopped. Any goroutine may call it.
func (d *dispatcher) submit(r *request) bool {
	return d.loop.post(func() { d.requestArrived(r) })
}

// requestArrived takes a request.
func (d *dispatcher) requestArrived(r *request) {
	r.id = balancer.RequestID(d.ids.next())
	d.requests[r.id] = r
	event := balancer.RequestArrived{
		Request:    r.id,
		Number:     d.nextNumber(),
		Type:       r.route.queryType,
		Timeout:    r.deadline,
		Candidates: d.rollouts.chooseAmong(r.route.alternatives),
	}
	shards := r.route.shards
	if len(shards) == 0 {
		shards = []balancer.ShardIndex{r.route.alternatives[0].Shard}
	}
	for _, shard := range shards {
		call := &shardCall{request: r, id: balancer.ShardCallID(d.ids.next()), shard: shard}
		d.openCall(call, event.Candidates)
		shard = call.shard
		r.shardCalls = append(r.shardCalls, call)
		d.shardCalls[call.id] = call
		event.Calls = append(event.Calls, balancer.ShardCall{ID: call.id, Shard: shard, Weight: 1 / float64(len(shards))})
	}
	d.handleEvent(event)
	d.tenants.startWaiting(r, d.loop.now())
	d.watchDispatch(r, d.loop.now())
}

// openCall chooses the version of a gathered call's servers, and counts the call at each shard to which it may be sent.
func (d *dispatcher) openCall(call *shardCall, candidates []balancer.WeightedShard) {
	if len(candidates) == 0 {
		call.shard = d.rollouts.choose(call.shard)
		call.mayUse = []balancer.ShardIndex{call.shard}
	}
	for _, candidate := range candidates {
		call.mayUse = append(call.mayUse, candidate.Shard)
	}
	for _, shard := range call.mayUse {
		d.rollouts.opened(shard)
	}
}

// nextNumber numbers requests from 1, and starts again before the type overflows.
func (d *dispatcher) nextNumber() balancer.RequestNumber {
	d.lastNumber++
	if d.lastNumber >= math.MaxUint32-1 {
		d.lastNumber = 1
	}
	return d.lastNumber
}

// handleEvent gives an event to the balancer and performs its actions in order, then those of the events that this raised.
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

// timerFired takes a scheduled event that is due.
func (d *dispatcher) timerFired(event timerEvent, now balancer.Time) {
	switch {
	case event.undispatched != nil:
		d.dispatchOverdue(event.undispatched, now)
	case event.attempt == nil:
		d.handleEvent(balancer.TimerFired{Timer: event.timer})
	case !event.attempt.ended:
		d.attemptEnded(event.attempt, balancer.TimedOut, nil)
	}
}

// dispatch sends a shard call to a server, as the balancer decided.
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
	if e == nil || call.request.finished || !e.listed {
		a.ended = true
		call.attempts = append(call.attempts, nil)
		d.pendingEvents = append(d.pendingEvents, balancer.AttemptEnded{Call: call.id, Attempt: a.number, Server: action.Server, Outcome: balancer.NotDispatched})
		d.forgetIfDone(call)
		return
	}
	call.attempts = append(call.attempts, a)
	call.inFlight++
	e.load.add(now, 1)
	d.process.counters.countAttempt(a, action.Reason)
	d.tenants.acquire(a, now)
	d.loop.schedule(a.deadline, timerEvent{attempt: a})
	d.sender.send(a)
}

// connectFailed implements attemptSink.
func (d *dispatcher) connectFailed(e *endpoint, err error) { d.outcomes.recordConnectFailure(e, err) }

// endpointReplaced implements attemptSink.
func (d *dispatcher) endpointReplaced(*endpoint) { d.endpoints.sync() }

// attemptEnded implements attemptSink: it reports an attempt's outcome to the balancer. A connection on which the response is
// still expected is closed: when it arrives, no attempt is left to which it belongs.
func (d *dispatcher) attemptEnded(a *attempt, outcome balancer.Outcome, resp *fasthttp.Response) {
	call, e := a.shardCall, a.endpoint
	a.ended = true
	d.rollouts.observe(a, outcome, d.loop.now()-a.sentAt)
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
		keepResponse(call, outcome, resp)
	}
	d.forgetIfDone(call)
	d.handleEvent(balancer.AttemptEnded{Call: call.id, Attempt: a.number, Server: e.id, Elapsed: d.loop.now() - a.sentAt, Outcome: outcome})
	if outcome == balancer.Answered {
		d.outcomes.recordSuccess(e)
	}
	d.endpoints.removeIfGone(e)
}

// keepResponse keeps a response that may be passed to the client, and releases any other.
func keepResponse(call *shardCall, outcome balancer.Outcome, resp *fasthttp.Response) {
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

// isServerFailure reports whether a response is a failure that the request may have caused by running.
func isServerFailure(outcome balancer.Outcome, status int) bool {
	return !outcome.NeverRan() && outcome != balancer.Answered && status >= fasthttp.StatusInternalServerError && !promisesNotExecuted(status)
}

// complete ends a request with the responses that have come.
func (d *dispatcher) complete(id balancer.RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	outcome := result{kind: resultMerge, missing: len(r.shardCalls)}
	for _, call := range r.shardCalls {
		if call.response != nil {
			outcome.responses = append(outcome.responses, call.response)
			outcome.missing--
			call.response = nil
		}
	}
	if !r.route.Gathered() {
		outcome.kind = resultForward
	}
	d.finish(r, outcome)
}

// finish passes a request's result to its client.
func (d *dispatcher) finish(r *request, outcome result) {
	r.finished = true
	delete(d.requests, r.id)
	for _, call := range r.shardCalls {
		call.releaseResponse()
		d.tenants.stopWaiting(call, d.loop.now())
		d.forgetIfDone(call)
	}
	r.releaseLastFailure()
	d.process.counters.results[outcome.kind].Add(1)
	r.deliver(outcome)
}

// forgetIfDone forgets a shard call once its request has finished and no attempt is in flight.
func (d *dispatcher) forgetIfDone(call *shardCall) {
	if call.request.finished && call.inFlight == 0 && d.shardCalls[call.id] != nil {
		delete(d.shardCalls, call.id)
		for _, shard := range call.mayUse {
			d.rollouts.closed(shard)
		}
	}
}

// watchDispatch schedules a check of a request that was not dispatched yet, for when its hold limit has passed.
func (d *dispatcher) watchDispatch(r *request, now balancer.Time) {
	if r.finished || r.dispatchState().Dispatched {
		return
	}
	if limit, ok := admission.HoldLimit(fromMillis(r.route.TargetMS)); ok {
		d.loop.schedule(now+ticks(limit), timerEvent{undispatched: r})
	}
}

// dispatchOverdue rejects a request whose hold limit has passed, where no server can take it and the balancer only waits for one to
// come back.
func (d *dispatcher) dispatchOverdue(r *request, now balancer.Time) {
	if r.finished {
		return
	}
	state := r.dispatchState()
	state.WarmingUp = admission.WarmingUp(duration(now), d.process.settings.HeartbeatInterval())
	switch state.Decide() {
	case admission.Recheck:
		d.watchDispatch(r, now)
	case admission.Reject:
		d.handleEvent(balancer.RequestCancelled{Request: r.id})
		d.abandon(r.id, ticks(maxRetryAfter))
	case admission.AwaitResponse:
	}
}

// closeConns closes the connections that carry attempts.
func (d *dispatcher) closeConns() {
	for _, call := range d.shardCalls {
		for _, a := range call.attempts {
			if a != nil && a.conn != nil {
				a.conn.conn.Close()
			}
		}
	}
}
