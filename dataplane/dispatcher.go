package dataplane

import (
	"math"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/balancer"
	"oxbowspan/internal/settings"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// loopState is the state of requests and loads, owned by the loop.
type loopState struct {
	balancer      *balancer.Balancer
	ids           *idSequence
	requests      map[balancer.RequestID]*request     // until their result
	shardCalls    map[balancer.ShardCallID]*shardCall // until their request has finished and no attempt is in flight
	pendingEvents []balancer.Event
	lastNumber    balancer.RequestNumber
	subscribers   map[*rpc.Conn]bool
	subscriptions map[rendezvous.Name]*loadSubscription
	observedPeers int // others that those observed stand for
	writeBuffer   []byte
	sentLoads     bool
}

// What the settings leave open for the balancer.
const (
	maxRetryAfter           = 400 * time.Millisecond // clients follow a Retry-After of up to a third of their timeout
	retryBudgetWindowMargin = 1.0                    // seconds beyond the window of the settings
	localZone               = balancer.ZoneIndex(0)
)

// balancerConfig describes the deployment to the balancer.
func balancerConfig(options *settings.Settings, seed uint64, limiter balancer.CapacityLimiter) balancer.Config {
	bounds := options.Bounds
	retryWindow := time.Duration((bounds.BudgetWindowS + retryBudgetWindowMargin) * float64(time.Second))
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
		RetryBudgetRatio:    bounds.RetryBudgetRatio,
		RetryBudgetWindow:   ticks(retryWindow),
		RetryBudgetDelayed:  !options.FirstStart,
		InferClientTimeout:  true,
		MeasuredAtClient:    true,
		PreferLocalZone:     true,
		LocalZone:           localZone,
		OverQuotaValue:      1,
		Limiter:             limiter,
	}
}

// maintain implements loopHandler.
func (f *Gateway) maintain(now balancer.Time) {
	f.outliers.evaluate(now)
	f.exchangeLoads(now)
	f.runHealthChecks(now)
	f.quota.maintain(now)
}

// loopStopped implements loopHandler: it closes the connections that goroutines wait on.
func (f *Gateway) loopStopped() {
	for _, w := range f.subscriptions {
		w.cancel()
		w.caller.Close()
	}
	f.endpoints.closeConns()
	f.quota.close()
	for _, p := range f.shardCalls {
		for _, c := range p.attempts {
			if c != nil && c.conn != nil {
				c.conn.conn.Close()
			}
		}
	}
}

// timerFired implements loopHandler.
func (f *Gateway) timerFired(event timerEvent, now balancer.Time) {
	switch {
	case event.undispatched != nil:
		f.dispatchOverdue(event.undispatched, now)
	case event.attempt == nil:
		f.handleEvent(balancer.TimerFired{Timer: event.timer})
	case !event.attempt.ended:
		f.attemptEnded(event.attempt, balancer.TimedOut, nil)
	}
}

// handleEvent gives an event to brain and performs its actions, in order.
func (f *Gateway) handleEvent(ev balancer.Event) {
	f.performActions(f.balancer.Handle(f.loop.now(), ev))
	for len(f.pendingEvents) > 0 {
		next := f.pendingEvents[0]
		f.pendingEvents = f.pendingEvents[1:]
		f.performActions(f.balancer.Handle(f.loop.now(), next))
	}
	f.pendingEvents = nil
}

func (f *Gateway) performActions(acts []balancer.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case balancer.Send:
			f.dispatch(a)
		case balancer.Answer:
			f.answerRequest(a)
		case balancer.Shed:
			f.failRequest(a.Request, a.RetryAfter)
		case balancer.Fail:
			f.failRequest(a.Request, 0)
		case balancer.SetTimer:
			f.loop.schedule(a.At, timerEvent{timer: a.Timer})
		case balancer.CloseIdle:
			if s := f.endpoints.byID[a.Server]; s != nil {
				s.closeIdle()
			}
		}
	}
}

// submit passes a client's request to the loop. It reports false once the loop has stopped. Any goroutine may call it.
func (f *Gateway) submit(r *request) bool {
	return f.loop.post(func() { f.requestArrived(r) })
}

// requestArrived takes a request.
func (f *Gateway) requestArrived(s *request) {
	s.id = balancer.RequestID(f.ids.next())
	if f.lastNumber++; f.lastNumber >= math.MaxUint32-1 {
		f.lastNumber = 1
	}
	f.requests[s.id] = s
	ev := balancer.RequestArrived{Request: s.id, Number: f.lastNumber, Type: s.route.queryType, Timeout: s.deadline, Candidates: s.route.alternatives}
	shards := s.route.shards
	if len(shards) == 0 {
		shards = []balancer.ShardIndex{s.route.alternatives[0].Shard}
	}
	for _, at := range shards {
		p := &shardCall{request: s, id: balancer.ShardCallID(f.ids.next()), shard: at}
		s.shardCalls = append(s.shardCalls, p)
		f.shardCalls[p.id] = p
		ev.Calls = append(ev.Calls, balancer.ShardCall{ID: p.id, Shard: at, Weight: 1 / float64(len(shards))})
	}
	f.handleEvent(ev)
	f.quota.startWaiting(s, f.loop.now())
	f.watchDispatch(s, f.loop.now())
}

// answerRequest gives a search what is in.
func (f *Gateway) answerRequest(a balancer.Answer) {
	s := f.requests[a.Request]
	if s == nil {
		return
	}
	r := result{kind: resultMerge, missing: len(s.shardCalls)}
	for _, p := range s.shardCalls {
		if p.response != nil {
			r.responses = append(r.responses, p.response)
			r.missing--
			p.response = nil
		}
	}
	if !s.route.Gathered() {
		r.kind = resultForward
	}
	f.finishRequest(s, r)
}

// failRequest ends a search without an answer. Only where nothing has run nor can yet, it is told that coming back is harmless.
func (f *Gateway) failRequest(id balancer.RequestID, advice balancer.Time) {
	s := f.requests[id]
	if s == nil {
		return
	}
	r := result{kind: resultRejected, retryAfter: duration(advice)}
	for _, p := range s.shardCalls {
		s.mayHaveRun = s.mayHaveRun || slices.ContainsFunc(p.attempts, (*attempt).mayHaveRun)
	}
	switch {
	case s.mayHaveRun && s.lastFailure != nil && !s.route.Gathered():
		r = result{kind: resultForward, responses: []*fasthttp.Response{s.lastFailure}}
		s.lastFailure = nil
	case s.mayHaveRun:
		r.kind = resultFailed
	}
	f.finishRequest(s, r)
}

func (f *Gateway) finishRequest(s *request, r result) {
	s.finished = true
	delete(f.requests, s.id)
	for _, p := range s.shardCalls {
		if p.response != nil {
			fasthttp.ReleaseResponse(p.response)
			p.response = nil
		}
		f.quota.stopWaiting(p, f.loop.now())
		f.releaseShardCall(p)
	}
	if s.lastFailure != nil {
		fasthttp.ReleaseResponse(s.lastFailure)
		s.lastFailure = nil
	}
	s.results <- r
}

func (f *Gateway) releaseShardCall(p *shardCall) {
	if p.request.finished && p.inFlight == 0 {
		delete(f.shardCalls, p.id)
	}
}
