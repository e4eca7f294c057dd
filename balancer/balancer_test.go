package balancer

import (
	"encoding/json"
	"slices"
	"testing"
)

// harness drives a Balancer with its own clock and request numbers.
type harness struct {
	*Balancer
	at   Time
	next uint64
	last []Action
}

func failIf(t *testing.T, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Errorf(format, args...)
	}
}

// newHarness returns a balancer with n ready replicas of one shard.
func newHarness(n int, change func(*Config)) *harness {
	config := Config{Seed: 7, Instances: 2, ClockResolution: 50, Cells: 1, ReplicationFactor: 1, Shards: 1, MaxAttempts: 3,
		AllowHedging: true, AllowCancel: true, SlowStartShare: 0.2, SlowStartDuration: 100000, OverloadMultiple: 2,
		OverloadWindow: 10000, MaxListAge: 100000, OverQuotaValue: 1,
		QueryTypes: []QueryTypeConfig{{LatencyTarget: 25000, ClientTimeout: 60000,
			LateValue: 0.3, PartialValue: 0.9, MinCoverage: 1, CompleteCoverage: 1}}}
	if change != nil {
		change(&config)
	}
	b := &harness{Balancer: New(config), at: 1000000}
	var list []Server
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready})
	}
	b.do(ServerList{ListCached, list})
	return b
}

func (b *harness) do(e Event) []Action {
	b.last = b.Handle(b.at, e)
	return b.last
}

// arrive lets a request arrive and returns what is sent for it.
func (b *harness) arrive(calls int) []Send {
	b.next++
	e := RequestArrived{Request: RequestID(b.next), Number: RequestNumber(b.next), Timeout: 60000}
	for i := range calls {
		e.Calls = append(e.Calls, ShardCall{ID: ShardCallID(b.next*100 + uint64(i)), Weight: 1 / float64(calls)})
	}
	var out []Send
	for _, a := range b.do(e) {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// finish ends the first attempt of a call.
func (b *harness) finish(s Send, after Time, o Outcome) []Action {
	b.at += after
	return b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: after, Outcome: o})
}

// answer answers n requests of one call each.
func (b *harness) answer(n int, latency Time) {
	for range n {
		b.finish(b.arrive(1)[0], latency, Answered)
	}
}

// sendTo answers requests until one is sent to a server, and leaves that one open.
func (b *harness) sendTo(t *testing.T, id ServerID, latency Time) Send {
	t.Helper()
	for range 200 {
		s := b.arrive(1)
		if len(s) == 1 && s[0].Server == id {
			return s[0]
		}
		if len(s) == 1 {
			b.finish(s[0], latency, Answered)
		}
	}
	t.Fatalf("server %d was never chosen", id)
	return Send{}
}

func TestErrorLatencyDoesNotLowerUnitLatency(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	before := b.servers[1].unitLatency
	b.finish(b.sendTo(t, 1, 1000), 10, Errored)
	failIf(t, b.servers[1].unitLatency < before, "unit latency fell from %v to %v after an error", before, b.servers[1].unitLatency)
	b.finish(b.sendTo(t, 1, 1000), 10, Errored)
	for range 4 {
		s := b.arrive(1)[0]
		failIf(t, s.Server == 1, "a server that returns errors is still chosen")
	}
}

func TestOverdueAttemptRaisesPrediction(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	s := b.sendTo(t, 1, 1000)
	call := &shardCall{req: &request{policy: b.types[0]}, size: 1}
	due := b.predict(b.servers[1], call)
	b.now += 15 * b.inFlight[s.Call].attempts[0].predicted
	late := b.predict(b.servers[1], call)
	failIf(t, late < 4*due || b.isHealthyFor(b.servers[1], call), "predicted %d while the oldest attempt is 15 times overdue, %d before, or still healthy", late, due)
}

func TestTimeoutUpdatesUnitLatency(t *testing.T) {
	b := newHarness(1, nil)
	b.finish(b.arrive(1)[0], 1000, Answered)
	before := b.servers[1].unitLatency
	first, second := b.arrive(1)[0], b.arrive(1)[0]
	b.at += 10000
	b.finish(second, 9000, Answered) // a response: the first attempt is slow, not lost
	learned := b.servers[1].unitLatency
	b.finish(first, 10000, TimedOut)
	failIf(t, b.servers[1].unitLatency < learned+before, "unit latency %v after a time-out at ten times %v, %v before it", b.servers[1].unitLatency, before, learned)
}

// Attempts lost with their connections must not make servers look slow, or requests are shed while servers are idle.
func TestSilentTimeoutDoesNotUpdateLatency(t *testing.T) {
	b := newHarness(1, nil)
	b.finish(b.arrive(1)[0], 1000, Answered)
	before := b.servers[1].unitLatency
	b.finish(b.arrive(1)[0], 20000, TimedOut)
	failIf(t, b.servers[1].unitLatency != before, "unit latency %v after a silent loss, %v before", b.servers[1].unitLatency, before)
	failIf(t, b.servers[1].failureRate == 0, "a silent loss is not counted as a failure")
}

func TestRetryDeadlineCountsFromFirstAttempt(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.QueryTypes[0].LateValue, c.RetriesMarked = 0, true })
	calls := []ShardCall{{ID: 1, Weight: 1}}
	b.do(RequestArrived{Request: 1, Number: 1, Timeout: 50000, Calls: calls})
	got := b.do(RequestArrived{Request: 2, Number: 2, Timeout: 30000, Retry: true, Calls: calls})
	failIf(t, len(got) != 1 || got[0] != (Shed{Request: 2}), "a retry 30000 after the first attempt, with a target of 25000: %v", got)
}

func TestSmallCallsDoNotInflateUnitLatency(t *testing.T) {
	b := newHarness(1, nil)
	for i := range 60 {
		call := ShardCall{ID: 1, Weight: 1, Size: []float64{2, 100}[i%2]}
		b.do(RequestArrived{Request: 1, Number: 1, Timeout: 60000, Calls: []ShardCall{call}})
		b.finish(Send{Call: 1, Server: 1}, 1000, Answered)
	}
	latency := b.servers[1].unitLatency
	failIf(t, latency > 30, "unit latency %v where a mean call of 51 takes 1000", latency)
}

func TestSlowReplicaDoesNotCauseShedding(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	b.servers[1].unitLatency = 1e6
	for range 5 {
		got := b.arrive(2)
		failIf(t, len(got) != 2, "%d of 2 calls sent with one healthy replica: %v", len(got), b.last)
		for i, s := range got {
			b.finish(s, []Time{1000, 10}[i], Answered)
		}
	}
}

// An idle server is used however slow it was measured; a server with work pending is not.
func TestIdleServersAreUsedDespiteLatePrediction(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.QueryTypes[0].LateValue = 0 })
	b.answer(20, 1000)
	b.servers[1].unitLatency, b.servers[2].unitLatency = 1e6, 1e6
	first := b.arrive(1)
	failIf(t, len(first) != 1, "idle servers were not used: %v", b.last)
	b.arrive(1)
	got := b.arrive(1)
	failIf(t, len(got) != 0, "a call was sent behind one that takes 100 s: %v", b.last)
}

func TestCallCostIsIncludedInWork(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.CallCost = 44 })
	for i := range 60 {
		call := ShardCall{ID: 1, Weight: 1, Size: []float64{2, 28}[i%2]}
		b.do(RequestArrived{Request: 1, Number: 1, Timeout: 60000, Calls: []ShardCall{call}})
		b.finish(Send{Call: 1, Server: 1}, []Time{460, 720}[i%2], Answered)
	}
	latency := b.servers[1].unitLatency
	failIf(t, latency < 9.9 || latency > 10.1, "unit latency %v where work of 46 and 72 takes 460 and 720", latency)
}

// The ejection time must fit what requests can wait.
func TestBaseEjectionFollowsLatencyTarget(t *testing.T) {
	for target, want := range map[Time]Time{2500: 1250, 25000: firstBackoff} {
		b := newHarness(2, func(c *Config) { c.QueryTypes[0].LatencyTarget = target })
		b.recordFailure(b.servers[1], lossWeight)
		failIf(t, b.servers[1].ejectedUntil != b.now+want, "ejected for %v at a target of %v", b.servers[1].ejectedUntil-b.now, target)
	}
}

func TestOverQuotaCustomerIsShedOnlyUnderPressure(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.OverQuotaValue, c.Customers = 0.1, []CustomerConfig{{4}, {40}} })
	b.answer(20, 1000)
	for i := range 8 {
		got := len(b.arrive(1))
		failIf(t, (got == 1) != (i < 5), "request %d above the quota: %d calls sent with %d in flight of %v", i, got, len(b.inFlight), b.limit)
	}
}

func TestColdClusterRecovers(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(40, 500)
	b.at += 20000
	b.do(ServerList{ListComplete, []Server{{ID: 1, State: Ready, StartedAt: b.at - 40000}, {ID: 2, State: Ready, StartedAt: b.at - 40000}}})
	got := len(b.arrive(4)) + len(b.arrive(4))
	failIf(t, got < 5, "%d of 8 calls sent to a cluster at half its capacity", got)
}

func TestListRequestBackoff(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.ListOnRequest = true })
	longest := Time(0)
	for range 12 {
		timer := b.do(ServerList{Kind: ListFailed})[0].(SetTimer)
		failIf(t, len(b.do(ServerList{Kind: ListFailed})) != 0, "a second failure: %v", b.last)
		longest, b.at = max(longest, timer.At-b.at), timer.At
		failIf(t, !slices.Equal(b.do(TimerFired{timer.Timer}), []Action{Subscribe{}}), "when the timer fires: %v", b.last)
	}
	failIf(t, longest < 20000 || longest > 100000, "longest backoff %d", longest)
}

func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	b := newHarness(3, func(c *Config) { c.QueryTypes[0].MinCoverage = 0.8; c.AllowHedging = false })
	for _, s := range b.arrive(5)[:4] {
		b.finish(s, 100, Answered)
	}
	for b.requests[1] != nil && b.at < 1000000+25000 {
		b.at += 50
		b.do(TimerFired{1})
	}
	failIf(t, !slices.Contains(b.last, Action(Answer{Request: 1})), "no partial answer at the latency target: %v", b.last)
}

func TestNoStateLeaksAfterRequests(t *testing.T) {
	b := newHarness(4, nil)
	for i := range 20000 {
		for _, s := range b.arrive(2) {
			b.finish(s, Time(300+i%7), Answered)
		}
	}
	failIf(t, len(b.requests)+len(b.requestsByNumber)+len(b.inFlight) != 0, "left over: %v, %v, %v", b.requests, b.requestsByNumber, b.inFlight)
}

func TestManyInstancesDoNotOverloadColdServer(t *testing.T) {
	var all []*harness
	for i := range uint64(90) {
		all = append(all, newHarness(2, func(c *Config) { c.Seed, c.Instances = (i+1)*0x9e3779b97f4a7c15, 90 }))
	}
	sent := make([]int, 400) // to the cold server, by tenths of the window
	chance := newMWC(5)
	for step := range Time(2000) { // an instance gets a request in about five windows; together they get 18 a window
		b := all[chance.intN(90)]
		b.at = 1000000 + step*555
		if b.at > 1800000 && b.servers[1].state == Ready {
			b.do(ServerList{ListComplete, []Server{{ID: 2, State: Ready, StartedAt: 1800000}}})
		}
		for _, s := range b.arrive(1) {
			if b.servers[1].state != Ready {
				sent[(b.at-1800000)/1000]++
			}
			b.finish(s, 300, Answered)
		}
	}
	window, most, sum := 0, 0, 0
	for i := range 20 {
		window += sent[i] - append(make([]int, 10), sent...)[i]
		most, sum = max(most, window), sum+sent[i]
	}
	// Seven is twice a fifth of the 18 that a warm server can be sent.
	failIf(t, most > 7 || sum == 0, "%d calls in one window, %d in two", most, sum)
}

func TestReportsAgeAndLatencyIsSmoothed(t *testing.T) {
	b := newHarness(2, nil)
	b.finish(b.sendTo(t, 1, 1000), 1000, Answered)
	b.arrive(1)
	b.finish(Send{Call: ShardCallID(b.next * 100), Server: 2}, 20000, Answered)
	s, call := b.servers[2], &shardCall{req: &request{policy: b.types[0]}, size: 1}
	failIf(t, b.meanLatency != 1000 || s.unitLatency > 6000, "unit latency %v after a first answer at 20000, the mean is %v", s.unitLatency, b.meanLatency)
	b.arrive(1)
	failIf(t, b.meanLatency < 1000 || b.meanLatency > 2000, "mean %v with one server at 1000 and one at %v", b.meanLatency, s.unitLatency)
	s.unitLatency, s.measuredAt, s.reportedQueue, s.reportedAt = 1e5, b.now, 9, b.now
	slow := b.predict(s, call)
	b.now += latencyMaxAge
	got := b.predict(s, call)
	failIf(t, slow < 500000 || got > 2000, "predicted %d on a bad report, %d when that is old", slow, got)
}

func TestAttemptIsOverdueAtHalfTheRemainingTime(t *testing.T) {
	b := newHarness(3, func(c *Config) { c.HasRetryBudget, c.RetryBudgetBase, c.RetryBudgetWindow = true, 10, 50000 })
	b.arrive(1)
	for start := b.at; b.at < start+20000; b.at += 200 {
		b.do(TimerFired{1})
		attempts := b.requestsByNumber[1].calls[0].attempts
		failIf(t, (len(attempts) > 1) != (b.at-start > 12400), "%v after %d, the target is 25000", attempts, b.at-start)
	}
}

func TestRetriesAreSpreadWhenServersReject(t *testing.T) {
	b := newHarness(2, nil)
	b.arrive(1)
	attempts := func() []*attempt { return b.requestsByNumber[1].calls[0].attempts }
	for start := b.at; b.at < start+10000; b.at += 200 {
		b.do(TimerFired{1})
		for number, a := range attempts() {
			b.do(AttemptEnded{Call: 100, Attempt: AttemptNumber(number), Server: a.server.id, Elapsed: 30, Outcome: Rejected})
		}
	}
	n := len(attempts())
	failIf(t, n != 2, "%d of 3 attempts used in the first sixth of the time", n)
}

func TestStuckCallsDoNotFillInFlightLimit(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.Instances = 90 })
	full := len(b.arrive(1))+len(b.arrive(1))+len(b.arrive(1)) == 3 && len(b.arrive(1)) == 0
	b.at += 15000
	b.servers[1].unitLatency, b.servers[1].measuredAt = 100, b.at
	failIf(t, !full || len(b.arrive(1)) != 1, "full: %v; later shed with %d in flight, %d stuck", full, len(b.inFlight), b.stuckCalls)
}

// A request whose calls may have run under the same idempotency key is neither sent nor shed, unless it is idempotent.
func TestRequestThatMayHaveRunFailsImmediately(t *testing.T) {
	for idempotency, want := range map[Idempotency]string{NonIdempotent: "fail", Deduplicated: "fail", Idempotent: "send"} {
		b := newHarness(3, func(c *Config) { c.QueryTypes[0].Idempotency = idempotency })
		got := ""
		for _, a := range b.do(RequestArrived{Request: 9, Number: 9, Timeout: 60000, MayHaveRun: true, Calls: []ShardCall{{ID: 900, Weight: 1}}}) {
			switch a.(type) {
			case Send:
				got += "send"
			case Fail:
				got += "fail"
			case Shed:
				got += "shed"
			}
		}
		failIf(t, got != want, "idempotency %d: %q, want %q", idempotency, got, want)
		failIf(t, idempotency != Idempotent && (len(b.requests) > 0 || len(b.requestsByNumber) > 0), "idempotency %d: the request is still open", idempotency)
	}
}

// Records of an earlier run lose weight with age, and are ignored when they are too old, from the future, or of another
// incarnation of their server.
func TestRestoredRecordsAge(t *testing.T) {
	before := newHarness(2, nil)
	for range 40 { // server 1 is fast, server 2 slow
		s := before.arrive(1)[0]
		before.finish(s, Time(100*s.Server*s.Server*s.Server), Answered)
	}
	records := before.ServerRecords()
	failIf(t, len(records) != 2, "records of %d servers", len(records))
	start := func(later Time, change func(*ServerRecord)) *harness {
		b := newHarness(2, nil)
		b.at = before.at + later
		b.Handle(b.at, TimerFired{})
		all := slices.Clone(records)
		for i := range all {
			if change != nil {
				change(&all[i])
			}
		}
		b.do(RecordsRestored{all})
		return b
	}
	ratio := func(b *harness) float64 {
		call := &shardCall{req: &request{policy: b.types[0]}, size: 1}
		b.surveyServers()
		return float64(b.predict(b.servers[2], call)) / float64(b.predict(b.servers[1], call))
	}
	now, soon, old := ratio(start(0, nil)), ratio(start(latencyMaxAge/2, nil)), ratio(start(2*latencyMaxAge, nil))
	failIf(t, now < 4 || soon >= now || soon <= 1 || old != 1, "slow over fast: %.2f at once, %.2f later, %.2f when old", now, soon, old)
	for what, change := range map[string]func(*ServerRecord){
		"from the future":     func(r *ServerRecord) { r.MeasuredAt += 1000 },
		"another incarnation": func(r *ServerRecord) { r.StartedAt = 77 },
		"invalid":             func(r *ServerRecord) { r.Work = 0 },
	} {
		if got := ratio(start(0, change)); got != 1 {
			t.Errorf("%s: %.2f", what, got)
		}
	}
	b := start(0, func(r *ServerRecord) {
		if r.ID == 1 {
			r.EjectedUntil = before.at + 1<<40
		}
	})
	failIf(t, b.servers[1].ejectedUntil > b.now+maxEjectionFactor*b.baseEjection, "ejected for longer than any failure ejects it")
}

// sends returns the Send actions among the last ones.
func (b *harness) sends() (out []Send) {
	for _, a := range b.last {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// advance lets time pass and fires the timer of the last request.
func (b *harness) advance(after Time) []Action {
	b.at += after
	return b.do(TimerFired{TimerID(b.next)})
}

// A request must not depend on a probation attempt: with a third of the servers partitioned, many would fail.
func TestProbationAttemptIsHedged(t *testing.T) {
	b := newHarness(4, nil)
	b.answer(60, 100)
	bad := b.sendTo(t, 1, 100)
	b.finish(bad, 100, ConnectFailed)
	s := b.servers[1]
	for _, again := range b.sends() {
		b.finish(again, 100, Answered)
	}
	b.at = max(b.at, s.ejectedUntil) + 1
	for range 100 {
		out := b.arrive(1)
		if len(out) == 0 || out[0].Server == 1 {
			t.Fatalf("a request depends on the server on probation: %v", out)
		}
		if len(out) == 2 {
			failIf(t, out[1].Server != 1, "the hedge went to server %d", out[1].Server)
			b.finish(out[0], 100, Answered)
			failIf(t, slices.ContainsFunc(b.last, func(a Action) bool { _, ok := a.(Cancel); return ok }), "the probation attempt was cancelled")
			b.at += 100
			b.do(AttemptEnded{Call: out[1].Call, Attempt: 1, Server: 1, Elapsed: 200, Outcome: Answered})
			failIf(t, s.probation, "its answer did not end the probation")
			return
		}
		b.finish(out[0], 100, Answered)
	}
	t.Error("no probation attempt was made")
}

// Probation attempts leave half of the budget for calls that failed.
func TestProbationUsesAtMostHalfOfRetryBudget(t *testing.T) {
	b := newHarness(8, nil)
	b.answer(100, 100)
	most := 0.0
	for range 400 {
		b.at += 100
		for id := range 4 {
			s := b.servers[ServerID(id+1)]
			s.probation, s.ejectedUntil = true, b.at-1
		}
		for i, s := range b.arrive(1) {
			b.do(AttemptEnded{Call: s.Call, Attempt: AttemptNumber(i), Server: s.Server, Elapsed: 50, Outcome: Answered})
		}
		most = max(most, b.budgetFor(0).retries.upper(b.now)/(b.budgetBase+b.budgetRatio*b.budgetFor(0).admitted.lower(b.now)))
	}
	failIf(t, most < 0.2 || most > probationShare+0.01, "probation attempts used %.2f of the budget", most)
}

// At a quarter of the default budget, requests of 20 calls waited for a single call beside three idle replicas.
func TestHedgesMayUseWholeRetryBudget(t *testing.T) {
	b := newHarness(3, nil)
	b.answer(200, 100)
	budget := b.budgetBase + b.budgetRatio*b.budgetFor(0).admitted.lower(b.now)
	b.budgetFor(0).retries.add(b.now, budget/2)
	first := b.arrive(1)[0]
	due := b.inFlight[first.Call].attempts[0].overdueAfter
	b.advance(due)
	if got := b.sends(); len(got) != 1 || got[0].Server == first.Server {
		t.Errorf("an overdue call with half of the budget left: %v", got)
	}
}

// Both attempts of a call may have gone to partitioned servers. As only two may be in flight, the first is cancelled.
func TestThirdReplicaIsUsedWhenTwoAreSilent(t *testing.T) {
	b := newHarness(4, func(c *Config) { c.MaxAttempts = 4 })
	b.answer(200, 100)
	first := b.arrive(1)[0]
	call := b.inFlight[first.Call]
	b.advance(call.attempts[0].overdueAfter)
	second := b.sends()
	if len(second) != 1 {
		t.Fatalf("an overdue call: %v", b.last)
	}
	for range 200 {
		if b.advance(100); len(b.last) > 0 && b.at >= call.attempts[1].sentAt+call.attempts[1].overdueAfter {
			break
		}
	}
	failIf(t, !slices.Contains(b.last, Action(Cancel{first.Call, 0})), "with both silent: %v", b.last)
	b.do(AttemptEnded{Call: first.Call, Attempt: 0, Server: first.Server, Elapsed: 1, Outcome: Cancelled})
	third := b.sends()
	if len(third) != 1 || third[0].Server == first.Server || third[0].Server == second[0].Server {
		t.Errorf("want a third replica: %v", b.last)
	}
	failIf(t, call.inFlight != 2, "%d attempts in flight", call.inFlight)
}

// Losses at some servers of a zone raise the predictions of the others, until those respond or the losses are old.
func TestZoneFailureRateAffectsItsServers(t *testing.T) {
	b := newHarness(0, func(c *Config) { c.MaxAttempts = 1 })
	var list []Server
	for id := range 12 {
		list = append(list, Server{ID: ServerID(id + 1), State: Ready, Zone: ZoneIndex(id % 2)})
	}
	b.do(ServerList{ListComplete, list})
	b.answer(300, 1000)
	predicted := func(id ServerID) Time {
		return b.predict(b.servers[id], &shardCall{req: &request{policy: b.types[0]}, size: 1})
	}
	before, other := predicted(8), predicted(7)
	for left := []ServerID{2, 4, 6}; len(left) > 0; {
		s := b.arrive(1)[0]
		at := slices.Index(left, s.Server)
		switch {
		case at >= 0:
			b.finish(s, 100, ConnectFailed)
			left = slices.Delete(left, at, at+1)
		case s.Server%2 == 0: // no response from the rest of the zone
			b.finish(s, 0, NotDispatched)
		default:
			b.finish(s, 1000, Answered)
		}
	}
	b.servers[8].respondedAt = 0 // no response since
	if now := predicted(8); now < 3*before/2 {
		t.Errorf("predicted %d after three servers of its zone were lost, %d before", now, before)
	}
	if now := predicted(7); now > 3*other/2 {
		t.Errorf("predicted %d for a server of the other zone, %d before", now, other)
	}
	b.servers[8].respondedAt = b.at + 1
	if now := predicted(8); now > 3*before/2 {
		t.Errorf("predicted %d for one that has responded since, %d before", now, before)
	}
	b.servers[8].respondedAt = 0
	b.at += latencyMaxAge
	b.do(TimerFired{})
	if now := predicted(8); now > 3*before/2 {
		t.Errorf("predicted %d long after the losses, %d before", now, before)
	}
}

// Where a call has one attempt only, that attempt is the probation attempt.
func TestNoHedgedProbationWithSingleAttempt(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.MaxAttempts = 1 })
	b.answer(20, 100)
	b.servers[1].probation, b.servers[1].ejectedUntil = true, b.at-1
	used := false
	for range 50 {
		out := b.arrive(1)
		if len(out) != 1 {
			t.Fatalf("%d attempts of a call that may have one", len(out))
		}
		used = used || out[0].Server == 1
		b.finish(out[0], 100, Answered)
	}
	failIf(t, !used, "the server on probation was never used")
}

// Without hedging an overdue call must not stay at a silent server until the deadline.
func TestOverdueAttemptIsCancelledWithoutHedging(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.AllowHedging = false })
	b.answer(4, 1000)
	s := b.arrive(1)[0]
	first := b.inFlight[s.Call].attempts[0]
	b.at = first.sentAt + first.overdueAfter
	actions := b.do(TimerFired{TimerID(b.next)})
	failIf(t, !slices.Contains(actions, Action(Cancel{s.Call, 0})), "overdue without hedging: got %v, want it cancelled", actions)
	for _, a := range actions {
		_, sent := a.(Send)
		failIf(t, sent, "retried before the first attempt has ended: %v", actions)
	}
	actions = b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: first.overdueAfter, Outcome: Cancelled})
	failIf(t, len(actions) == 0, "no retry once the first attempt has ended")
	for _, a := range actions {
		retry, sent := a.(Send)
		failIf(t, sent && retry.Server == s.Server, "retried at the same server")
	}
}

// Clients that do not mark their retries would retry a request shed at the target as a whole.
func TestRequestRunsPastTargetWhenRetriesAreUnmarked(t *testing.T) {
	for _, marked := range []bool{false, true} {
		b := newHarness(1, func(c *Config) { c.QueryTypes[0].LateValue, c.RetriesMarked = 0, marked })
		b.answer(4, 1000)
		b.arrive(1)
		b.at += 26000 // past the target of 25000, before the timeout of 60000
		shed := slices.ContainsFunc(b.do(TimerFired{TimerID(b.next)}), func(a Action) bool { _, is := a.(Shed); return is })
		failIf(t, shed != marked, "marked %v: shed %v at the target", marked, shed)
	}
}

func TestRetryIsInferredFromTimeout(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.QueryTypes[0].LateValue = 0 })
	b.answer(4, 1000) // client timeout 60000
	target := func(timeout Time) Time {
		b.next++
		b.do(RequestArrived{Request: RequestID(b.next), Number: RequestNumber(b.next), Timeout: timeout,
			Calls: []ShardCall{{ID: ShardCallID(b.next * 100), Weight: 1}}})
		return b.requests[RequestID(b.next)].targetAt - b.at
	}
	failIf(t, target(45000) < 24000, "a first attempt with a shorter timeout is taken for a retry though no request was abandoned")
	b.at += 40000
	b.types[0].abandonedAt = b.at - 1000
	failIf(t, target(45000) > 10000, "a request with 15000 less time after one was abandoned is taken for a first attempt")
	b.types[0].abandonedAt = b.at - 16000
	failIf(t, target(45000) < 24000, "a retry of what was abandoned before its first attempt came")
}

// A middlebox drops idle connections: the first attempt on each is lost in silence, the next one is answered.
func TestDeadIdleConnectionsAreClosedBeforeUse(t *testing.T) {
	b := newHarness(1, nil)
	b.answer(4, 1000)
	closed := func() bool {
		return slices.ContainsFunc(b.last, func(a Action) bool { _, is := a.(CloseIdle); return is })
	}
	for range 12 {
		b.at += 20000
		s := b.arrive(1)[0]
		failIf(t, closed() && !b.idleConnsUnsafe(), "idle connections are closed though few were found dead")
		if closed() {
			return
		}
		b.finish(s, 12600, Cancelled)
		failIf(t, b.servers[s.Server].idleLossAt == 0, "a silent loss on an idle connection is not recorded")
		b.at += 6000
		b.finish(b.arrive(1)[0], 1000, Answered)
	}
	t.Errorf("twelve idle connections were dead and none is closed, share %v", b.deadIdleShare)
}

// A failed health check saves the request that would have been the probation attempt.
func TestHealthCheckPrecedesProbation(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.AllowHedging, c.AllowHealthChecks = false, true })
	b.answer(4, 1000)
	b.finish(b.sendTo(t, 1, 1000), 10, ConnectFailed)
	b.at = b.servers[1].ejectedUntil
	s := b.arrive(1)[0]
	failIf(t, s.Server == 1, "a call was sent to an ejected server without a health check")
	failIf(t, !slices.Contains(b.last, Action(HealthCheck{1})), "no health check: %v", b.last)
	b.do(HealthCheckEnded{Server: 1, Outcome: TimedOut})
	failIf(t, b.servers[1].ejectedUntil <= b.at, "a failed health check does not extend the ejection")
	b.at = b.servers[1].ejectedUntil
	b.arrive(1)
	b.do(HealthCheckEnded{Server: 1, Outcome: Answered})
	failIf(t, b.sendTo(t, 1, 1000).Server != 1, "the server that answered its health check gets no probation attempt")
}

// One of many instances sees an overload as high latency, long before it reaches its own limit.
func TestOverloadShedsByLatencyTarget(t *testing.T) {
	b := newHarness(1, nil)
	b.answer(120, 1000)
	b.arrive(4)
	b.servers[1].unitLatency, b.meanLatency = 7000, 7000 // four calls behind four: past the target, before the deadline
	sent := len(b.arrive(1))
	b.currentLatency = 4 * b.baseLatency
	shed := len(b.arrive(1))
	failIf(t, sent != 1 || shed != 0, "sent %d at low latency, %d at high latency", sent, shed)
}

// Records that earlier versions stored must stay readable: their keys are older than the names of the fields.
func TestServerRecordJSON(t *testing.T) {
	const stored = `{"ID":3,"UpSince":10,"Took":2.5,"Size":40,"TaughtAt":20,"OutUntil":30,"Failing":0.25}`
	want := ServerRecord{ID: 3, StartedAt: 10, Latency: 2.5, Work: 40, MeasuredAt: 20, EjectedUntil: 30, FailureRate: 0.25}
	var record ServerRecord
	if err := json.Unmarshal([]byte(stored), &record); err != nil || record != want {
		t.Errorf("read %+v, %v, want %+v", record, err, want)
	}
	if raw, err := json.Marshal(want); err != nil || string(raw) != stored {
		t.Errorf("wrote %s, %v, want %s", raw, err, stored)
	}
}
