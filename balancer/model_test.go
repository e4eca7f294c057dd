package balancer

import (
	"errors"
	"flag"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	err := errors.Join(flag.Set("rapid.seed", "20261201"), flag.Set("rapid.checks", "400"), flag.Set("rapid.nofailfile", "true"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// referenceModel is a slow, plain model of the six rules: it keeps everything that happened and looks through all of
// it at each action. It shares nothing with the module but the interface.
type referenceModel struct {
	t           *rapid.T
	f           Config
	now         Time
	taken       []Time
	requests    []*modelRequest
	servers     map[ServerID]*modelServer
	attempts    []*modelAttempt
	maxWarmWork float64
}

type modelRequest struct {
	id                   RequestID
	number               RequestNumber
	queryType            QueryTypeConfig
	arrivedAt, patience  Time
	phase                int
	firstComplete, ended bool
	calls                []*modelCall
}

type modelCall struct {
	ShardCall
	phase    int
	answered bool
	attempts []*modelAttempt
}

type modelAttempt struct {
	call    ShardCallID
	number  AttemptNumber
	server  ServerID
	at      Time
	size    float64
	ended   bool
	outcome Outcome
}

type modelServer struct {
	Server
	unavailableSince Time // when it was told to drain or be gone; -1 = it was not
	attempts         []*modelAttempt
}

func (m *referenceModel) failIf(broken bool, format string, args ...any) {
	if broken {
		m.t.Fatalf(format, args...)
	}
}

func (m *referenceModel) request(id RequestID) *modelRequest {
	i := slices.IndexFunc(m.requests, func(req *modelRequest) bool { return req.id == id })
	m.failIf(i < 0, "search %d was never given", id)
	return m.requests[i]
}

func (m *referenceModel) call(id ShardCallID) (*modelRequest, *modelCall) {
	for _, req := range m.requests {
		if i := slices.IndexFunc(req.calls, func(call *modelCall) bool { return call.ID == id }); i >= 0 {
			return req, req.calls[i]
		}
	}
	m.t.Fatalf("part %d was never given", id)
	return nil, nil
}

func (m *referenceModel) applyServerList(e ServerList) {
	if e.Kind == ListFailed {
		return
	}
	for _, s := range m.servers {
		if e.Kind == ListComplete || e.Kind == ListCached {
			s.setState(Removed, m.now)
		}
	}
	for _, entry := range e.Servers {
		s := m.servers[entry.ID]
		if s == nil {
			s = &modelServer{unavailableSince: -1}
			m.servers[entry.ID] = s
		}
		s.Server = entry
		s.setState(entry.State, m.now)
	}
}

func (s *modelServer) setState(state ServerState, now Time) {
	if s.State = state; state == Ready {
		s.unavailableSince = -1
	} else if s.unavailableSince < 0 {
		s.unavailableSince = now
	}
}

func (m *referenceModel) check(a Action) {
	switch a := a.(type) {
	case Send:
		m.checkSend(a)
	case Answer:
		m.checkAnswer(a)
	case Shed:
		req := m.request(a.Request)
		for _, call := range req.calls {
			for _, s := range call.attempts {
				m.failIf(req.queryType.Idempotency == NonIdempotent && !(s.ended && s.outcome.NeverRan()), "rule 2: search %d shed, but part %d may have run", req.id, call.ID)
			}
		}
		m.finish(req)
	case Fail:
		m.finish(m.request(a.Request))
	case Cancel:
		_, call := m.call(a.Call)
		m.failIf(!m.f.AllowCancel || int(a.Attempt) >= len(call.attempts), "cancel of part %d, send %d is not permitted", a.Call, a.Attempt)
	case SetTimer:
		m.failIf(a.At <= m.now, "timer set for %d at %d", a.At, m.now)
	}
}

func (m *referenceModel) finish(req *modelRequest) {
	m.failIf(req.ended, "rule 1: search %d has two final answers", req.id)
	req.ended = true
}

func (m *referenceModel) checkAnswer(a Answer) {
	req := m.request(a.Request)
	got := 0.0
	for _, call := range req.calls {
		if call.phase == req.phase && call.answered {
			got += call.Weight
		}
	}
	least, whole := req.queryType.MinCoverage, req.queryType.CompleteCoverage
	if req.phase == 2 {
		whole = 1
		if req.queryType.MinCoverage >= req.queryType.CompleteCoverage {
			least = 1
		}
	}
	m.failIf(got < least-1e-4, "rule 5: search %d answered from %v of at least %v", req.id, got, least)
	m.failIf(a.Complete && (got < whole-1e-4 || req.phase == 2 && !req.firstComplete), "rule 5: search %d marked whole at %v of %v", req.id, got, whole)
	m.finish(req)
	if req.queryType.SecondPhaseCalls > 0 && req.phase == 1 {
		req.phase, req.firstComplete, req.ended = 2, a.Complete, false
	}
}

func (m *referenceModel) checkSend(a Send) {
	req, call := m.call(a.Call)
	m.failIf(req.ended || call.phase != req.phase || call.answered, "rule 1: part %d sent after it was over", call.ID)
	m.failIf(len(call.attempts) >= m.f.MaxAttempts, "part %d sent %d times", call.ID, len(call.attempts)+1)
	s := m.servers[a.Server]
	m.failIf(s == nil || (int(s.Cell)-int(call.Shard)%m.f.Cells+m.f.Cells)%m.f.Cells >= m.f.ReplicationFactor, "server %d does not hold shard %d", a.Server, call.Shard)
	m.failIf(s.unavailableSince >= 0 && m.now > s.unavailableSince+m.f.DrainGrace, "rule 3: server %d sent to %d after its end was told", a.Server, m.now-s.unavailableSince)
	firstRisk := Time(-1)
	for _, before := range call.attempts {
		m.failIf(!before.ended && !m.f.AllowHedging, "two sub-requests of part %d out at once", call.ID)
		if firstRisk < 0 && !(before.ended && before.outcome.NeverRan()) {
			firstRisk = before.at
		}
	}
	m.failIf(firstRisk >= 0 && (req.queryType.Idempotency == NonIdempotent ||
		req.queryType.Idempotency == Deduplicated && m.now > firstRisk+req.queryType.DedupWindow), "rule 2: part %d sent again, first at %d", call.ID, firstRisk)
	send := &modelAttempt{call: call.ID, number: AttemptNumber(len(call.attempts)), at: m.now, server: a.Server, size: call.Size}
	if call.Size == 0 {
		send.size = 1
	}
	m.attempts = append(m.attempts, send)
	call.attempts = append(call.attempts, send)
	s.attempts = append(s.attempts, send)
	if m.f.HasRetryBudget && len(call.attempts) > 1 {
		m.checkBudget()
	}
	m.checkSlowStart(s)
}

func (m *referenceModel) checkBudget() {
	further, taken := 0.0, 0.0
	for _, s := range m.attempts {
		if s.number > 0 && s.at > m.now-m.f.RetryBudgetWindow && !(s.ended && s.outcome == NotDispatched) {
			further++
		}
	}
	for i := len(m.taken) - 1; i >= 0 && m.taken[i] > m.now-m.f.RetryBudgetWindow; i-- {
		taken++
	}
	m.failIf(further > m.f.RetryBudgetBase+m.f.RetryBudgetRatio*taken, "rule 6: %v further sub-requests with %v taken", further, taken)
}

// checkSlowStart takes the most that a warm server was sent in any window so far as what one can do.
func (m *referenceModel) checkSlowStart(s *modelServer) {
	load := func(s *modelServer, span Time) (sum float64) {
		for _, r := range s.attempts {
			if r.at >= m.now-span {
				sum += r.size
			}
		}
		return sum
	}
	age := m.now - s.StartedAt
	if s.StartedAt == 0 || age >= m.f.SlowStartDuration {
		m.maxWarmWork = max(m.maxWarmWork, load(s, m.f.OverloadWindow))
		return
	}
	capacity := m.f.SlowStartShare + (1-m.f.SlowStartShare)*float64(age)/float64(m.f.SlowStartDuration)
	sent := load(s, m.f.OverloadWindow)
	allowed := max(s.attempts[len(s.attempts)-1].size, m.f.OverloadMultiple*capacity*m.maxWarmWork+1e-9)
	m.failIf(sent > allowed, "rule 4: cold server %d sent %v, warm ones bear %v, it has %v", s.ID, sent, m.maxWarmWork, capacity)
}

// simulation plays generated events to the module, twice over, and holds what it does against the rules.
type simulation struct {
	*referenceModel
	balancer, twin *Balancer
	timers         []SetTimer
	healthChecks   []ServerID // out
	nextID         uint64
}

func newSimulation(t *rapid.T) *simulation {
	f := Config{
		Seed: rapid.Uint64().Draw(t, "seed"), Instances: rapid.IntRange(1, 4).Draw(t, "gatherers"), ClockResolution: 50,
		Shards: rapid.IntRange(1, 12).Draw(t, "shards"), Cells: rapid.IntRange(1, 6).Draw(t, "cells"),
		MaxAttempts: rapid.IntRange(1, 4).Draw(t, "most"),
		AllowCancel: rapid.Bool().Draw(t, "may cancel"), AllowHedging: rapid.Bool().Draw(t, "may copy"),
		AllowHealthChecks: rapid.Bool().Draw(t, "may probe"), RetriesMarked: rapid.Bool().Draw(t, "marked"),
		ListOnRequest: rapid.Bool().Draw(t, "on request"), MaxListAge: 100000,
		DrainGrace:     Time(rapid.IntRange(0, 10000).Draw(t, "grace")),
		SlowStartShare: 0.2, SlowStartDuration: 100000, OverloadMultiple: rapid.Float64Range(1, 4).Draw(t, "multiple"),
		OverloadWindow: 10000, HasRetryBudget: rapid.Bool().Draw(t, "budget"), RetryBudgetBase: 1, RetryBudgetRatio: 0.02,
		RetryBudgetWindow: 50000, OverQuotaValue: 0.1, Customers: []CustomerConfig{{20}, {0}},
	}
	f.ReplicationFactor = rapid.IntRange(1, f.Cells).Draw(t, "reach")
	for _, effect := range []Idempotency{Idempotent, Deduplicated, NonIdempotent} {
		req := QueryTypeConfig{Idempotency: effect, LatencyTarget: 10000, ClientTimeout: 25000, DedupWindow: 8000,
			LateValue: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late"), PartialValue: 0.9,
			MinCoverage: rapid.SampledFrom([]float64{0.5, 0.8, 1}).Draw(t, "least"), CompleteCoverage: 1}
		req.CompleteCoverage = max(req.MinCoverage, rapid.SampledFrom([]float64{0.75, 1}).Draw(t, "whole"))
		req.SecondPhaseCalls = rapid.SampledFrom([]int{0, 2}).Draw(t, "second step")
		f.QueryTypes = append(f.QueryTypes, req)
	}
	m := &referenceModel{t: t, f: f, now: 1000000, servers: map[ServerID]*modelServer{}}
	w := &simulation{referenceModel: m, balancer: New(f), twin: New(f)}
	var list []Server
	for i := range rapid.IntRange(1, 10).Draw(t, "servers") {
		list = append(list, w.server(ServerID(i+1)))
	}
	w.event(ServerList{ListCached, list})
	return w
}

func (w *simulation) server(id ServerID) Server {
	s := Server{ID: id, Cell: CellIndex(int(id) % w.f.Cells),
		State: rapid.SampledFrom([]ServerState{Ready, Ready, Ready, Draining, Removed}).Draw(w.t, "state")}
	if rapid.Bool().Draw(w.t, "young") {
		s.StartedAt = w.now - Time(rapid.IntRange(0, 90000).Draw(w.t, "age"))
	}
	return s
}

func (w *simulation) event(e Event) {
	if l, ok := e.(ServerList); ok {
		w.applyServerList(l)
	}
	actions, again := w.balancer.Handle(w.now, e), w.twin.Handle(w.now, e)
	w.failIf(!reflect.DeepEqual(actions, again), "the same events gave %v and %v", actions, again)
	for _, a := range actions {
		w.check(a)
		if wake, ok := a.(SetTimer); ok {
			w.timers = append(w.timers, wake)
		}
		if probe, ok := a.(HealthCheck); ok {
			w.failIf(!w.f.AllowHealthChecks || w.servers[probe.Server] == nil || slices.Contains(w.healthChecks, probe.Server),
				"server %d probed, which may not be or was never listed, or twice at once", probe.Server)
			w.healthChecks = append(w.healthChecks, probe.Server)
		}
	}
	for _, req := range w.requests {
		if !req.ended && req.phase == 2 && !slices.ContainsFunc(req.calls, func(call *modelCall) bool { return call.phase == 2 }) {
			w.event(SecondPhaseArrived{req.number, w.addCalls(req, 2)})
		}
	}
}

func (w *simulation) id() uint64 { w.nextID++; return w.nextID }

func (w *simulation) addCalls(req *modelRequest, n int) []ShardCall {
	var calls []ShardCall
	for range n {
		call := ShardCall{ID: ShardCallID(w.id()), Shard: ShardIndex(rapid.IntRange(0, w.f.Shards-1).Draw(w.t, "shard")),
			Weight: 1 / float64(n), Size: rapid.SampledFrom([]float64{0, 40, 90}).Draw(w.t, "size")}
		calls = append(calls, call)
		req.calls = append(req.calls, &modelCall{ShardCall: call, phase: req.phase})
		w.taken = append(w.taken, w.now)
	}
	return calls
}

func (w *simulation) arrive() {
	kind := rapid.IntRange(0, 2).Draw(w.t, "type")
	req := &modelRequest{id: RequestID(w.id()), number: RequestNumber(w.nextID), queryType: w.f.QueryTypes[kind], arrivedAt: w.now,
		patience: Time(rapid.IntRange(0, 25000).Draw(w.t, "patience")), phase: 1}
	w.requests = append(w.requests, req)
	w.taken = append(w.taken, w.now)
	calls := w.addCalls(req, rapid.IntRange(1, 5).Draw(w.t, "parts"))
	w.event(RequestArrived{Request: req.id, Number: req.number, Type: QueryType(kind), Timeout: req.patience,
		Customer: CustomerIndex(rapid.IntRange(0, 1).Draw(w.t, "customer")), Calls: calls})
}

// endAttempt ends one of the sub-requests out, or says again what is long over.
func (w *simulation) endAttempt(late bool) {
	var some []*modelAttempt
	for _, s := range w.attempts {
		if !s.ended || late && s.number == 0 {
			some = append(some, s)
		}
	}
	if len(some) == 0 {
		return
	}
	s := rapid.SampledFrom(some).Draw(w.t, "which")
	outcomes := []Outcome{0, 0, 0, Answered, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotDispatched}
	e := AttemptEnded{Call: s.call, Attempt: s.number, Server: s.server, Elapsed: w.now - s.at,
		Outcome: rapid.SampledFrom(outcomes).Draw(w.t, "outcome")}
	if rapid.Bool().Draw(w.t, "reports") {
		e.Report = &LoadReport{Queued: rapid.Float64Range(-1, 40).Draw(w.t, "queue"), InFlight: 3}
	}
	if !s.ended {
		s.ended, s.outcome = true, e.Outcome
		if req, call := w.call(s.call); e.Outcome == Answered && !req.ended && call.phase == req.phase {
			call.answered = true
		}
	}
	w.event(e)
}

// advance moves the clock, firing each timer in the first tick at or after its time.
func (w *simulation) advance(by Time) {
	for end := w.now + by; w.now < end; {
		w.now = (w.now/w.f.ClockResolution + 1) * w.f.ClockResolution
		for i := 0; i < len(w.timers); i++ {
			if due := w.timers[i]; due.At <= w.now {
				w.timers = slices.Delete(w.timers, i, i+1)
				i--
				w.event(TimerFired{due.Timer})
			}
		}
		for _, req := range w.requests {
			w.failIf(!req.ended && w.now > req.arrivedAt+req.patience, "rule 1: search %d has no final answer in time", req.id)
		}
	}
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 10).Draw(t, "step"); step {
			case 0, 1, 2:
				w.arrive()
			case 3, 4, 5, 8:
				w.endAttempt(step == 8)
			case 6:
				w.advance(Time(rapid.IntRange(1, 12000).Draw(t, "for")))
			case 7:
				kind := rapid.SampledFrom([]ServerListKind{ListDelta, ListDelta, ListComplete, ListFailed}).Draw(t, "list")
				w.event(ServerList{kind, []Server{w.server(ServerID(rapid.IntRange(1, 12).Draw(t, "server")))}})
			case 10:
				if len(w.healthChecks) > 0 {
					e := HealthCheckEnded{Server: w.healthChecks[0], Outcome: rapid.SampledFrom([]Outcome{Answered, TimedOut, NotDispatched}).Draw(t, "probed")}
					w.healthChecks = w.healthChecks[1:]
					w.event(e)
				}
			case 9:
				if len(w.requests) > 0 {
					req := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "left")]
					req.ended = true
					w.event(RequestCancelled{req.id})
				}
			}
		}
		w.advance(30000)
		for n := 0; n < 200 && len(w.balancer.inFlight) > 0; n++ {
			w.endAttempt(false)
		}
		w.failIf(len(w.balancer.requests)+len(w.balancer.requestsByNumber)+len(w.balancer.inFlight) > 0, "left over: %d searches, %d sub-requests", len(w.balancer.requests), len(w.balancer.inFlight))
	})
}
