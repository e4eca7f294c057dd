package balancer

import (
	"slices"
	"testing"
)

type harness struct {
	*Balancer
	at   Time
	next uint64
	last []Action
}

func failIf(t *testing.T, broken bool, format string, args ...any) {
	if broken {
		t.Errorf(format, args...)
	}
}

func newHarness(n int, change func(*Config)) *harness {
	f := Config{Seed: 7, Instances: 2, ClockResolution: 50, Cells: 1, ReplicationFactor: 1, Shards: 1, MaxAttempts: 3, AllowHedging: true,
		AllowCancel: true, SlowStartShare: 0.2, SlowStartDuration: 100000, OverloadMultiple: 2, OverloadWindow: 10000, MaxListAge: 100000,
		OverQuotaValue: 1, QueryTypes: []QueryTypeConfig{{LatencyTarget: 25000, ClientTimeout: 60000,
			LateValue: 0.3, PartialValue: 0.9, MinCoverage: 1, CompleteCoverage: 1}}}
	if change != nil {
		change(&f)
	}
	b := &harness{Balancer: New(f), at: 1000000}
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

func (b *harness) finish(s Send, after Time, o Outcome) []Action {
	b.at += after
	return b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: after, Outcome: o})
}

func (b *harness) answer(n int, latency Time) {
	for range n {
		b.finish(b.arrive(1)[0], latency, Answered)
	}
}

func (b *harness) sendTo(t *testing.T, id ServerID, latency Time) Send {
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
	failIf(t, b.servers[1].unitLatency < before, "rate fell from %v to %v after an error", before, b.servers[1].unitLatency)
	b.finish(b.sendTo(t, 1, 1000), 10, Errored)
	for range 4 {
		s := b.arrive(1)[0]
		failIf(t, s.Server == 1, "a server that errs goes on being chosen")
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
	failIf(t, late < 4*due || b.isHealthyChoice(b.servers[1], call), "predicted %d while the oldest is fifteen times over, %d before, or still usable", late, due)
}

func TestTimeoutUpdatesUnitLatency(t *testing.T) {
	b := newHarness(1, nil)
	b.finish(b.arrive(1)[0], 1000, Answered)
	before := b.servers[1].unitLatency
	first, second := b.arrive(1)[0], b.arrive(1)[0]
	b.at += 10000
	b.finish(second, 9000, Answered) // the server speaks: the first is slow, not lost
	learned := b.servers[1].unitLatency
	b.finish(first, 10000, TimedOut)
	failIf(t, b.servers[1].unitLatency < learned+before, "rate %v after a time-out at twenty times %v, %v before it", b.servers[1].unitLatency, before, learned)
}

// A hundred parts lost with their connections made every server look slow, and searches were shed though the servers were idle.
func TestSilentTimeoutDoesNotUpdateLatency(t *testing.T) {
	b := newHarness(1, nil)
	b.finish(b.arrive(1)[0], 1000, Answered)
	before := b.servers[1].unitLatency
	b.finish(b.arrive(1)[0], 20000, TimedOut)
	failIf(t, b.servers[1].unitLatency != before, "rate %v after a silent loss, %v before", b.servers[1].unitLatency, before)
	failIf(t, b.servers[1].failureRate == 0, "a silent loss counts as no failure")
}

func TestRetryDeadlineCountsFromFirstAttempt(t *testing.T) {
	b := newHarness(1, func(f *Config) { f.QueryTypes[0].LateValue, f.RetriesMarked = 0, true })
	calls := []ShardCall{{ID: 1, Weight: 1}}
	b.do(RequestArrived{Request: 1, Number: 1, Timeout: 50000, Calls: calls})
	got := b.do(RequestArrived{Request: 2, Number: 2, Timeout: 30000, Retry: true, Calls: calls})
	failIf(t, len(got) != 1 || got[0] != (Shed{Request: 2}), "a try 30000 after the first, with a target of 25000, brought %v", got)
}

func TestSmallCallsDoNotInflateUnitLatency(t *testing.T) {
	b := newHarness(1, nil)
	for i := range 60 {
		part := ShardCall{ID: 1, Weight: 1, Size: []float64{2, 100}[i%2]}
		b.do(RequestArrived{Request: 1, Number: 1, Timeout: 60000, Calls: []ShardCall{part}})
		b.finish(Send{Call: 1, Server: 1}, 1000, Answered)
	}
	r := b.servers[1].unitLatency
	failIf(t, r > 30, "rate %v where a mean part of 51 takes 1000", r)
}

func TestSlowReplicaDoesNotCauseShedding(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	b.servers[1].unitLatency = 1e6
	for range 5 {
		got := b.arrive(2)
		failIf(t, len(got) != 2, "%d of 2 parts sent with one sound replica: %v", len(got), b.last)
		for i, s := range got {
			b.finish(s, []Time{1000, 10}[i], Answered)
		}
	}
}

// A record of a pause, or failures, must not shed searches from servers that stand idle; what waits there does.
func TestIdleServersAreUsedDespiteLatePrediction(t *testing.T) {
	b := newHarness(2, func(f *Config) { f.QueryTypes[0].LateValue = 0 })
	b.answer(20, 1000)
	b.servers[1].unitLatency, b.servers[2].unitLatency = 1e6, 1e6
	first := b.arrive(1)
	failIf(t, len(first) != 1, "idle servers were not asked: %v", b.last)
	b.arrive(1)
	got := b.arrive(1)
	failIf(t, len(got) != 0, "a part was sent behind what ends in a hundred seconds: %v", b.last)
}

func TestCallCostIsIncludedInWork(t *testing.T) {
	b := newHarness(1, func(f *Config) { f.CallCost = 44 })
	for i := range 60 {
		part := ShardCall{ID: 1, Weight: 1, Size: []float64{2, 28}[i%2]}
		b.do(RequestArrived{Request: 1, Number: 1, Timeout: 60000, Calls: []ShardCall{part}})
		b.finish(Send{Call: 1, Server: 1}, []Time{460, 720}[i%2], Answered)
	}
	r := b.servers[1].unitLatency
	failIf(t, r < 9.9 || r > 10.1, "rate %v where 46 and 72 of work take 460 and 720", r)
}

// A server is out for a time that fits what its searches can wait.
func TestBaseEjectionFollowsLatencyTarget(t *testing.T) {
	for target, want := range map[Time]Time{2500: 1250, 25000: firstBackoff} {
		b := newHarness(2, func(f *Config) { f.QueryTypes[0].LatencyTarget = target })
		b.recordFailure(b.servers[1], lossWeight)
		failIf(t, b.servers[1].ejectedUntil != b.now+want, "out for %v at a target of %v", b.servers[1].ejectedUntil-b.now, target)
	}
}

func TestOverQuotaCustomerIsShedOnlyUnderPressure(t *testing.T) {
	b := newHarness(2, func(f *Config) { f.OverQuotaValue = 0.1; f.Customers = []CustomerConfig{{4}, {40}} })
	b.answer(20, 1000)
	for i := range 8 {
		got := len(b.arrive(1))
		failIf(t, (got == 1) != (i < 5), "search %d over the share: %d parts sent with %d in flight of %v", i, got, len(b.inFlight), b.limit)
	}
}

func TestColdClusterRecovers(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(40, 500)
	b.at += 20000
	b.do(ServerList{ListComplete, []Server{{ID: 1, State: Ready, StartedAt: b.at - 40000}, {ID: 2, State: Ready, StartedAt: b.at - 40000}}})
	got := len(b.arrive(4)) + len(b.arrive(4))
	failIf(t, got < 5, "%d of 8 parts sent to a fleet at half its capacity", got)
}

func TestListRequestBackoff(t *testing.T) {
	b := newHarness(1, func(f *Config) { f.ListOnRequest = true })
	longest := Time(0)
	for range 12 {
		wake := b.do(ServerList{Kind: ListFailed})[0].(SetTimer)
		failIf(t, len(b.do(ServerList{Kind: ListFailed})) != 0, "a second failure brought %v", b.last)
		longest, b.at = max(longest, wake.At-b.at), wake.At
		failIf(t, !slices.Equal(b.do(TimerFired{wake.Timer}), []Action{Subscribe{}}), "at the timer: %v", b.last)
	}
	failIf(t, longest < 20000 || longest > 100000, "longest pause %d", longest)
}

func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	b := newHarness(3, func(f *Config) { f.QueryTypes[0].MinCoverage = 0.8; f.AllowHedging = false })
	for _, s := range b.arrive(5)[:4] {
		b.finish(s, 100, Answered)
	}
	for b.requests[1] != nil && b.at < 1000000+25000 {
		b.at += 50
		b.do(TimerFired{1})
	}
	failIf(t, !slices.Contains(b.last, Action(Answer{Request: 1})), "no short answer by the latency target: %v", b.last)
}

func TestNoStateLeaksAfterRequests(t *testing.T) {
	b := newHarness(4, nil)
	for i := range 20000 {
		for _, s := range b.arrive(2) {
			b.finish(s, Time(300+i%7), Answered)
		}
	}
	failIf(t, len(b.requests)+len(b.requestsByNumber)+len(b.inFlight) != 0, "%v, %v, %v left", b.requests, b.requestsByNumber, b.inFlight)
}

func TestManyInstancesDoNotOverloadColdServer(t *testing.T) {
	var all []*harness
	for i := range uint64(90) {
		all = append(all, newHarness(2, func(f *Config) { f.Seed, f.Instances = (i+1)*0x9e3779b97f4a7c15, 90 }))
	}
	sent := make([]int, 400) // to the cold server, by tenths of the window
	chance := newMWC(5)
	for step := range Time(2000) { // a gatherer asks once in five windows or so; together eighteen parts a window
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
	// Seven is twice a fifth of the eighteen that a warm one can be sent.
	failIf(t, most > 7 || sum == 0, "%d parts in one window, %d in two", most, sum)
}

func TestReportsAgeAndLatencyIsSmoothed(t *testing.T) {
	b := newHarness(2, nil)
	b.finish(b.sendTo(t, 1, 1000), 1000, Answered)
	b.arrive(1)
	b.finish(Send{Call: ShardCallID(b.next * 100), Server: 2}, 20000, Answered)
	s, call := b.servers[2], &shardCall{req: &request{policy: b.types[0]}, size: 1}
	failIf(t, b.meanLatency != 1000 || s.unitLatency > 6000, "rate %v after a first answer at 20000, the average is %v", s.unitLatency, b.meanLatency)
	b.arrive(1)
	failIf(t, b.meanLatency < 1000 || b.meanLatency > 2000, "average %v with one at 1000 and one at %v", b.meanLatency, s.unitLatency)
	s.unitLatency, s.measuredAt, s.reportedQueue, s.reportedAt = 1e5, b.now, 9, b.now
	slow := b.predict(s, call)
	b.now += latencyMaxAge
	got := b.predict(s, call)
	failIf(t, slow < 500000 || got > 2000, "predicted %d on a bad word, %d when that is old", slow, got)
}

func TestAttemptIsOverdueAtHalfTheRemainingTime(t *testing.T) {
	b := newHarness(3, func(f *Config) { f.HasRetryBudget, f.RetryBudgetBase, f.RetryBudgetWindow = true, 10, 50000 })
	b.arrive(1)
	for start := b.at; b.at < start+20000; b.at += 200 {
		b.do(TimerFired{1})
		tries := b.requestsByNumber[1].calls[0].attempts
		failIf(t, (len(tries) > 1) != (b.at-start > 12400), "%v after %d, the target is 25000", tries, b.at-start)
	}
}

func TestRetriesAreSpreadWhenServersReject(t *testing.T) {
	b := newHarness(2, nil)
	b.arrive(1)
	tries := func() []*attempt { return b.requestsByNumber[1].calls[0].attempts }
	for start := b.at; b.at < start+10000; b.at += 200 {
		b.do(TimerFired{1})
		for no, r := range tries() {
			b.do(AttemptEnded{Call: 100, Attempt: AttemptNumber(no), Server: r.server.id, Elapsed: 30, Outcome: Rejected})
		}
	}
	n := len(tries())
	failIf(t, n != 2, "%d of 3 tries used in the first sixth of the time", n)
}

func TestStuckCallsDoNotFillInFlightLimit(t *testing.T) {
	b := newHarness(2, func(f *Config) { f.Instances = 90 })
	full := len(b.arrive(1))+len(b.arrive(1))+len(b.arrive(1)) == 3 && len(b.arrive(1)) == 0
	b.at += 15000
	b.servers[1].unitLatency, b.servers[1].measuredAt = 100, b.at
	failIf(t, !full || len(b.arrive(1)) != 1, "full: %v; later shed with %d in flight, %d stuck", full, len(b.inFlight), b.stuckCalls)
}

// A search whose parts an earlier one of its key may have had run is never sent and never shed, however idle the servers are;
// an idempotent one is sent as ever.
func TestRequestThatMayHaveRunFailsImmediately(t *testing.T) {
	for effect, want := range map[Idempotency]string{NonIdempotent: "fail", Deduplicated: "fail", Idempotent: "send"} {
		b := newHarness(3, func(f *Config) { f.QueryTypes[0].Idempotency = effect })
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
		failIf(t, got != want, "effect %d: %q, want %q", effect, got, want)
		failIf(t, effect != Idempotent && (len(b.requests) > 0 || len(b.requestsByNumber) > 0), "effect %d: it is still open", effect)
	}
}

// What an earlier run learned is used while it still counts, fades as a record of this run would, and is dropped where it is
// old, of a clock that went back, or of another start of its server.
func TestRestoredRecordsAge(t *testing.T) {
	before := newHarness(2, nil)
	for range 40 { // server 1 is quick, server 2 slow
		s := before.arrive(1)[0]
		before.finish(s, Time(100*s.Server*s.Server*s.Server), Answered)
	}
	learned := before.ServerRecords()
	failIf(t, len(learned) != 2, "learned of %d servers", len(learned))
	start := func(later Time, change func(*ServerRecord)) *harness {
		b := newHarness(2, nil)
		b.at = before.at + later
		b.Handle(b.at, TimerFired{})
		all := slices.Clone(learned)
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
	failIf(t, now < 4 || soon >= now || soon <= 1 || old != 1, "slow over quick: %.2f at once, %.2f later, %.2f when old", now, soon, old)
	for what, change := range map[string]func(*ServerRecord){
		"of a moment to come": func(l *ServerRecord) { l.MeasuredAt += 1000 }, "of another start": func(l *ServerRecord) { l.StartedAt = 77 },
		"nonsense": func(l *ServerRecord) { l.Work = 0 },
	} {
		if got := ratio(start(0, change)); got != 1 {
			t.Errorf("%s: %.2f", what, got)
		}
	}
	b := start(0, func(l *ServerRecord) {
		if l.ID == 1 {
			l.EjectedUntil = before.at + 1<<40
		}
	})
	failIf(t, b.servers[1].ejectedUntil > b.now+maxEjectionFactor*b.baseEjection, "out for longer than any failure takes it out")
}

// sends are the ones among the last actions.
func (b *harness) sends() (out []Send) {
	for _, a := range b.last {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// advance passes time and hands over the search's timer.
func (b *harness) advance(after Time) []Action {
	b.at += after
	return b.do(TimerFired{TimerID(b.next)})
}

// A gatherer of a fleet sees a search a second, and a third of the servers may be cut off: a part whose own sub-request
// is the trial of a server that failed costs its search. So the trial goes out beside it.
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
			t.Fatalf("a search depends on the server on trial: %v", out)
		}
		if len(out) == 2 {
			failIf(t, out[1].Server != 1, "the second sub-request went to %d", out[1].Server)
			b.finish(out[0], 100, Answered)
			failIf(t, slices.ContainsFunc(b.last, func(a Action) bool { _, ok := a.(Cancel); return ok }), "the trial was called off")
			b.at += 100
			b.do(AttemptEnded{Call: out[1].Call, Attempt: 1, Server: 1, Elapsed: 200, Outcome: Answered})
			failIf(t, s.probation, "its answer did not end the trial")
			return
		}
		b.finish(out[0], 100, Answered)
	}
	t.Error("no trial was made")
}

// Where trials use up their half of the budget, what is left is for parts that failed.
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
	failIf(t, most < 0.2 || most > probationShare+0.01, "trials used %.2f of the budget", most)
}

// Where no budget is stated copies may use all of the one that is taken: at a quarter of it searches of twenty parts waited
// for one of them beside three idle replicas.
func TestHedgesMayUseWholeRetryBudget(t *testing.T) {
	b := newHarness(3, nil)
	b.answer(200, 100)
	budget := b.budgetBase + b.budgetRatio*b.budgetFor(0).admitted.lower(b.now)
	b.budgetFor(0).retries.add(b.now, budget/2)
	own := b.arrive(1)[0]
	due := b.inFlight[own.Call].attempts[0].overdueAfter
	b.advance(due)
	if got := b.sends(); len(got) != 1 || got[0].Server == own.Server {
		t.Errorf("with half of the budget left an overdue part brought %v", got)
	}
}

// A part and its copy may both have met servers that are cut off. No more than two may be out: the first gives way.
func TestThirdReplicaIsUsedWhenTwoAreSilent(t *testing.T) {
	b := newHarness(4, func(f *Config) { f.MaxAttempts = 4 })
	b.answer(200, 100)
	own := b.arrive(1)[0]
	call := b.inFlight[own.Call]
	b.advance(call.attempts[0].overdueAfter)
	second := b.sends()
	if len(second) != 1 {
		t.Fatalf("the overdue part brought %v", b.last)
	}
	for range 200 {
		if b.advance(100); len(b.last) > 0 && b.at >= call.attempts[1].sentAt+call.attempts[1].overdueAfter {
			break
		}
	}
	failIf(t, !slices.Contains(b.last, Action(Cancel{own.Call, 0})), "with both silent it brought %v", b.last)
	b.do(AttemptEnded{Call: own.Call, Attempt: 0, Server: own.Server, Elapsed: 1, Outcome: Cancelled})
	third := b.sends()
	if len(third) != 1 || third[0].Server == own.Server || third[0].Server == second[0].Server {
		t.Errorf("a third replica was to be asked: %v", b.last)
	}
	failIf(t, call.inFlight != 2, "%d are out", call.inFlight)
}

// A gatherer that sees a search a second would find out the servers of a zone that is cut off one by one. Some of them
// tell on the others, until one of these answers or that is long ago.
func TestZoneFailureRateAffectsItsServers(t *testing.T) {
	b := newHarness(0, func(f *Config) { f.MaxAttempts = 1 })
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
		case s.Server%2 == 0: // the rest of the zone is not heard from
			b.finish(s, 0, NotDispatched)
		default:
			b.finish(s, 1000, Answered)
		}
	}
	b.servers[8].respondedAt = 0 // nothing was asked of it since
	if now := predicted(8); now < 3*before/2 {
		t.Errorf("after three servers of its zone were lost one is predicted to take %d, %d before", now, before)
	}
	if now := predicted(7); now > 3*other/2 {
		t.Errorf("a server of the other zone is predicted to take %d, %d before", now, other)
	}
	b.servers[8].respondedAt = b.at + 1
	if now := predicted(8); now > 3*before/2 {
		t.Errorf("one that spoke since is predicted to take %d, %d before", now, before)
	}
	b.servers[8].respondedAt = 0
	b.at += latencyMaxAge
	b.do(TimerFired{})
	if now := predicted(8); now > 3*before/2 {
		t.Errorf("long after it is predicted to take %d, %d before", now, before)
	}
}

// Where a part may go out only once there is no second sub-request for a trial: the trial is the part's own.
func TestNoHedgedProbationWithSingleAttempt(t *testing.T) {
	b := newHarness(2, func(f *Config) { f.MaxAttempts = 1 })
	b.answer(20, 100)
	b.servers[1].probation, b.servers[1].ejectedUntil = true, b.at-1
	tried := false
	for range 50 {
		out := b.arrive(1)
		if len(out) != 1 {
			t.Fatalf("one part that may go out once brought %d sub-requests", len(out))
		}
		tried = tried || out[0].Server == 1
		b.finish(out[0], 100, Answered)
	}
	failIf(t, !tried, "the server on trial was never tried")
}

// Where no copy may go out, an overdue part stayed at its silent server to its search's end.
func TestOverdueAttemptIsCancelledWithoutHedging(t *testing.T) {
	b := newHarness(2, func(f *Config) { f.AllowHedging = false })
	b.answer(4, 1000)
	s := b.arrive(1)[0]
	r := b.inFlight[s.Call].attempts[0]
	b.at = r.sentAt + r.overdueAfter
	actions := b.do(TimerFired{TimerID(b.next)})
	failIf(t, !slices.Contains(actions, Action(Cancel{s.Call, 0})), "overdue and no copy: got %v, want it called off", actions)
	for _, a := range actions {
		_, sent := a.(Send)
		failIf(t, sent, "sent again before the first one's end is known: %v", actions)
	}
	actions = b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: r.overdueAfter, Outcome: Cancelled})
	failIf(t, len(actions) == 0, "nothing goes out once the first one's end is known")
	for _, a := range actions {
		again, sent := a.(Send)
		failIf(t, sent && again.Server == s.Server, "sent to the same server again")
	}
}

// Clients that do not mark their repeats asked again, with every part, for each search that was given up at a target past
// which an answer counts for nothing.
func TestRequestRunsPastTargetWhenRetriesAreUnmarked(t *testing.T) {
	for _, marked := range []bool{false, true} {
		b := newHarness(1, func(f *Config) { f.QueryTypes[0].LateValue, f.RetriesMarked = 0, marked })
		b.answer(4, 1000)
		b.arrive(1)
		b.at += 26000 // past the target of 25000, before the time-out of 60000
		shed := slices.ContainsFunc(b.do(TimerFired{TimerID(b.next)}), func(a Action) bool { _, is := a.(Shed); return is })
		failIf(t, shed != marked, "marked %v: shed %v at the target", marked, shed)
	}
}

func TestRetryIsInferredFromTimeout(t *testing.T) {
	b := newHarness(1, func(f *Config) { f.QueryTypes[0].LateValue = 0 })
	b.answer(4, 1000) // patience 60000
	target := func(patience Time) Time {
		b.next++
		b.do(RequestArrived{Request: RequestID(b.next), Number: RequestNumber(b.next), Timeout: patience, Calls: []ShardCall{{ID: ShardCallID(b.next * 100), Weight: 1}}})
		return b.requests[RequestID(b.next)].targetAt - b.at
	}
	failIf(t, target(45000) < 24000, "a first try with less patience, nothing given up before, is taken for a repeat")
	b.at += 40000
	b.types[0].abandonedAt = b.at - 1000
	failIf(t, target(45000) > 10000, "a try with 15000 less patience after one was given up is taken for a first one")
	b.types[0].abandonedAt = b.at - 16000
	failIf(t, target(45000) < 24000, "a repeat of what was given up before its first try came")
}

// Something between drops connections that carry nothing: the first part on each was lost in silence, the next answered.
func TestDeadIdleConnectionsAreClosedBeforeUse(t *testing.T) {
	b := newHarness(1, nil)
	b.answer(4, 1000)
	closed := func() bool {
		return slices.ContainsFunc(b.last, func(a Action) bool { _, is := a.(CloseIdle); return is })
	}
	for range 12 {
		b.at += 20000
		s := b.arrive(1)[0]
		failIf(t, closed() && !b.idleConnsUnsafe(), "a connection is closed though few were found dead")
		if closed() {
			return
		}
		b.finish(s, 12600, Cancelled)
		failIf(t, b.servers[s.Server].idleLossAt == 0, "a silent loss on a rested connection is not noted")
		b.at += 6000
		b.finish(b.arrive(1)[0], 1000, Answered)
	}
	t.Errorf("twelve rested connections were dead and none is closed, share %v", b.deadIdleShare)
}

// A probe that fails spares the search that would have been the trial.
func TestHealthCheckPrecedesProbation(t *testing.T) {
	b := newHarness(2, func(f *Config) { f.AllowHedging, f.AllowHealthChecks = false, true })
	b.answer(4, 1000)
	b.finish(b.sendTo(t, 1, 1000), 10, ConnectFailed)
	b.at = b.servers[1].ejectedUntil
	s := b.arrive(1)[0]
	failIf(t, s.Server == 1, "a part went to a server that no probe found alive")
	failIf(t, !slices.Contains(b.last, Action(HealthCheck{1})), "no probe: %v", b.last)
	b.do(HealthCheckEnded{Server: 1, Outcome: TimedOut})
	failIf(t, b.servers[1].ejectedUntil <= b.at, "a failed probe leaves the server due for a trial")
	b.at = b.servers[1].ejectedUntil
	b.arrive(1)
	b.do(HealthCheckEnded{Server: 1, Outcome: Answered})
	failIf(t, b.sendTo(t, 1, 1000).Server != 1, "the server that answered its probe has no trial")
}

// Answers that take long are what a gatherer among many sees of an overload that its own limit never meets.
func TestOverloadShedsByLatencyTarget(t *testing.T) {
	b := newHarness(1, nil)
	b.answer(120, 1000)
	b.arrive(4)
	b.servers[1].unitLatency, b.meanLatency = 7000, 7000 // four parts behind four: past the target, before the end
	sent := len(b.arrive(1))
	b.currentLatency = 4 * b.baseLatency
	shed := len(b.arrive(1))
	failIf(t, sent != 1 || shed != 0, "sent %d while answers are quick, %d while they take long", sent, shed)
}
