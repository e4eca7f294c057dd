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

// simulation feeds generated events to two identical balancers and checks their actions against the reference model.
type simulation struct {
	*referenceModel
	balancer, twin *Balancer
	timers         []SetTimer
	healthChecks   []ServerID // servers with a health check in flight
	nextID         uint64
	maxCalls       int // maximum number of calls of a request
}

// newSimulation draws a configuration. With asGateway, it is one that the data plane uses, with several servers per shard.
func newSimulation(t *rapid.T, asGateway bool) *simulation {
	config := Config{
		Seed: rapid.Uint64().Draw(t, "seed"), Instances: rapid.IntRange(1, 4).Draw(t, "instances"), ClockResolution: 50,
		Shards: rapid.IntRange(1, 12).Draw(t, "shards"), Cells: rapid.IntRange(1, 6).Draw(t, "cells"),
		MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max attempts"),
		AllowCancel: rapid.Bool().Draw(t, "allow cancel"), AllowHedging: rapid.Bool().Draw(t, "allow hedging"),
		AllowHealthChecks: rapid.Bool().Draw(t, "allow health checks"), RetriesMarked: rapid.Bool().Draw(t, "retries marked"),
		ListOnRequest: rapid.Bool().Draw(t, "list on request"), MaxListAge: 100000,
		DrainGrace:     Time(rapid.IntRange(0, 10000).Draw(t, "grace")),
		SlowStartShare: 0.2, SlowStartDuration: 100000, OverloadMultiple: rapid.Float64Range(1, 4).Draw(t, "multiple"),
		OverloadWindow: 10000, RetryBudgetSet: rapid.Bool().Draw(t, "budget"), RetryBudgetBase: 1, RetryBudgetRatio: 0.02,
		RetryBudgetWindow: 50000, OverQuotaValue: 0.1, Customers: []CustomerConfig{{20}, {0}},
	}
	config.ReplicationFactor = rapid.IntRange(1, config.Cells).Draw(t, "replication factor")
	if asGateway { // shards are added later, each with its own budget and servers
		config.RetryBudgetSet, config.RetryBudgetPerShard, config.AllowHedging = true, true, true
		config.RetryBudgetBase = rapid.SampledFrom([]float64{1, 8, 50}).Draw(t, "base")
		config.Shards = rapid.IntRange(1, 2).Draw(t, "shards of a gateway") // few shards, so that each has several servers
		config.ReplicationFactor, config.Cells = 1, config.Shards
	}
	for _, idempotency := range []Idempotency{Idempotent, Deduplicated, NonIdempotent} {
		queryType := QueryTypeConfig{Idempotency: idempotency, LatencyTarget: 10000, ClientTimeout: 25000, DedupWindow: 8000,
			LateValue: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late value"), PartialValue: 0.9,
			MinCoverage: rapid.SampledFrom([]float64{0, 0.5, 0.8, 1}).Draw(t, "min coverage"), CompleteCoverage: 1,
			MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max attempts of the type")}
		queryType.CompleteCoverage = max(queryType.MinCoverage, rapid.SampledFrom([]float64{0.75, 1}).Draw(t, "complete coverage"))
		queryType.SecondPhaseCalls = rapid.SampledFrom([]int{0, 2}).Draw(t, "second phase calls")
		config.QueryTypes = append(config.QueryTypes, queryType)
	}
	m := &referenceModel{t: t, config: config, now: 1000000, servers: map[ServerID]*modelServer{}}
	initial := config
	if asGateway {
		initial.Shards, initial.Cells = 0, 1
	}
	w := &simulation{referenceModel: m, balancer: New(initial), twin: New(initial), maxCalls: 5}
	if asGateway {
		w.maxCalls = 2 // so that most attempts end and servers are idle when their ejection ends
		w.event(ClusterResized{Shards: config.Shards, Instances: config.Instances})
	}
	var list []Server
	for i := range rapid.IntRange(1, 10).Draw(t, "servers") {
		list = append(list, w.server(ServerID(i+1)))
	}
	w.event(ServerList{ListCached, list})
	return w
}

func (w *simulation) server(id ServerID) Server {
	s := Server{ID: id, Cell: CellIndex(int(id) % w.config.Cells),
		State: rapid.SampledFrom([]ServerState{Ready, Ready, Ready, Draining, Removed}).Draw(w.t, "state")}
	if rapid.Bool().Draw(w.t, "recently started") {
		s.StartedAt = w.now - Time(rapid.IntRange(0, 90000).Draw(w.t, "age"))
	}
	return s
}

func (w *simulation) event(e Event) {
	if l, ok := e.(ServerList); ok {
		w.applyServerList(l)
	}
	actions, twinActions := w.balancer.Handle(w.now, e), w.twin.Handle(w.now, e)
	w.failIf(!reflect.DeepEqual(actions, twinActions),
		"identical balancers returned different actions for the same events: %v and %v", actions, twinActions)
	for _, a := range actions {
		w.check(a)
		if timer, ok := a.(SetTimer); ok {
			w.timers = append(w.timers, timer)
		}
		if check, ok := a.(HealthCheck); ok {
			w.failIf(!w.config.AllowHealthChecks || w.servers[check.Server] == nil || slices.Contains(w.healthChecks, check.Server),
				"health check of server %d is not allowed, of an unknown server, or in flight already", check.Server)
			w.healthChecks = append(w.healthChecks, check.Server)
		}
	}
	for _, req := range w.requests {
		if !req.ended && req.phase == 2 &&
			!slices.ContainsFunc(req.calls, func(call *modelCall) bool { return call.phase == 2 }) {
			w.event(SecondPhaseArrived{req.number, w.addCalls(req, 2)})
		}
	}
}

func (w *simulation) id() uint64 { w.nextID++; return w.nextID }

func (w *simulation) addCalls(req *modelRequest, n int) []ShardCall {
	var calls []ShardCall
	for range n {
		call := ShardCall{ID: ShardCallID(w.id()), Shard: ShardIndex(rapid.IntRange(0, w.config.Shards-1).Draw(w.t, "shard")),
			Weight: rapid.SampledFrom([]float64{1, 1, 1e-5}).Draw(w.t, "weight") / float64(n), Size: rapid.SampledFrom([]float64{0, 40, 90}).Draw(w.t, "size")}
		calls = append(calls, call)
		req.calls = append(req.calls, &modelCall{ShardCall: call, phase: req.phase})
		w.admitted = append(w.admitted, w.now)
	}
	return calls
}

func (w *simulation) arrive() {
	kind := rapid.IntRange(0, 2).Draw(w.t, "type")
	req := &modelRequest{id: RequestID(w.id()), number: RequestNumber(w.nextID), queryType: w.config.QueryTypes[kind], arrivedAt: w.now,
		timeout: Time(rapid.IntRange(0, 25000).Draw(w.t, "timeout")), phase: 1}
	w.requests = append(w.requests, req)
	w.admitted = append(w.admitted, w.now)
	calls := w.addCalls(req, rapid.IntRange(1, w.maxCalls).Draw(w.t, "calls"))
	w.event(RequestArrived{Request: req.id, Number: req.number, Type: QueryType(kind), Timeout: req.timeout,
		Customer: CustomerIndex(rapid.IntRange(0, 1).Draw(w.t, "customer")), Calls: calls})
}

// endAttempt ends an attempt in flight. With late, it may also repeat the end of an attempt that has already ended.
func (w *simulation) endAttempt(late bool) {
	var candidates []*modelAttempt
	for _, s := range w.attempts {
		if !s.ended || late && s.number == 0 {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return
	}
	s := rapid.SampledFrom(candidates).Draw(w.t, "which")
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

// advance advances the clock and fires each timer at the first clock tick at or after its time.
func (w *simulation) advance(by Time) {
	for end := w.now + by; w.now < end; {
		w.now = (w.now/w.config.ClockResolution + 1) * w.config.ClockResolution
		for i := 0; i < len(w.timers); i++ {
			if due := w.timers[i]; due.At <= w.now {
				w.timers = slices.Delete(w.timers, i, i+1)
				i--
				w.event(TimerFired{due.Timer})
			}
		}
		for _, req := range w.requests {
			w.failIf(!req.ended && w.now > req.arrivedAt+req.timeout,
				"one outcome in time: request %d has no outcome in time", req.id)
		}
	}
}

func TestInvariants(t *testing.T) { checkInvariants(t, false, 60) }

// A gateway's balancer hedges attempts at servers on probation, which occurs only after more steps.
func TestGatewayInvariants(t *testing.T) { checkInvariants(t, true, 240) }

func checkInvariants(t *testing.T, asGateway bool, maxSteps int) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, asGateway)
		for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
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
					e := HealthCheckEnded{Server: w.healthChecks[0], Outcome: rapid.SampledFrom([]Outcome{Answered, TimedOut, NotDispatched}).Draw(t, "health check")}
					w.healthChecks = w.healthChecks[1:]
					w.event(e)
				}
			case 9:
				if len(w.requests) > 0 {
					req := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "cancelled")]
					req.ended = true
					w.event(RequestCancelled{req.id})
				}
			}
		}
		w.advance(30000)
		for n := 0; n < 200 && len(w.balancer.inFlight) > 0; n++ {
			w.endAttempt(false)
		}
		b := w.balancer
		w.failIf(len(b.requests)+len(b.requestsByNumber)+len(b.inFlight) > 0,
			"not removed after the end: %d requests, %d calls", len(b.requests), len(b.inFlight))
	})
}
