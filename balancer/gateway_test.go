package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// gatewayHarness is a gatherer as the system's data plane makes it: shards that come, three servers each, the first in its zone.
func gatewayHarness(shards int, t QueryTypeConfig) *harness {
	b := &harness{Balancer: New(Config{Seed: 5, Instances: 1, ClockResolution: Millisecond, Cells: 1, ReplicationFactor: 1, MaxAttempts: 2, AllowHedging: true,
		HasRetryBudget: true, RetryBudgetPerShard: true, RetryBudgetBase: 54, RetryBudgetRatio: 0.2, RetryBudgetWindow: 10000 * Millisecond, MaxRetryAfter: 400 * Millisecond,
		InferClientTimeout: true, MeasuredAtClient: true, PreferLocalZone: true, OverQuotaValue: 1}), at: 1000000}
	b.do(ClusterResized{Shards: shards, Instances: 1})
	b.do(QueryTypeChanged{Type: 0, Config: t})
	var list []Server
	for s := range shards {
		for i := range 3 {
			list = append(list, Server{ID: ServerID(10*s + i + 1), Cell: CellIndex(s), Zone: ZoneIndex(i), State: Ready})
		}
	}
	b.do(ServerList{ListDelta, list})
	return b
}

var gatewayQueryType = QueryTypeConfig{LatencyTarget: 120 * Millisecond, ClientTimeout: 1200 * Millisecond, LateValue: 0.3, MinCoverage: 0.5,
	CompleteCoverage: 1, MaxAttempts: 2, QuadraticPartialValue: true}

func (b *harness) request(shards int) (sends []Send, actions []Action) {
	b.next++
	e := RequestArrived{Request: RequestID(b.next), Number: RequestNumber(b.next), Timeout: 1200 * Millisecond}
	for s := range shards {
		e.Calls = append(e.Calls, ShardCall{ID: ShardCallID(b.next*100 + uint64(s)), Shard: ShardIndex(s), Weight: 1 / float64(shards)})
	}
	actions = b.do(e)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			sends = append(sends, s)
		}
	}
	return sends, actions
}

func containsShed(actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(Shed); ok {
			return true
		}
	}
	return false
}

func TestLocalServersArePreferredWhenEquallyGood(t *testing.T) {
	b := gatewayHarness(4, gatewayQueryType)
	near, all := 0, 0
	for range 200 {
		sends, _ := b.request(4)
		b.at += 20 * Millisecond
		for _, s := range sends {
			if all++; s.Server%10 == 1 {
				near++
			}
			b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	failIf(t, near*10 < all*9, "%d of %d parts went to servers of the gatherer's zone while all are idle", near, all)
	// With the near ones busy, the plan holds.
	for s := range 4 {
		b.do(PeerUpdate{Loads: []PeerLoad{{Server: ServerID(10*s + 1), InFlight: 50}}})
	}
	sends, _ := b.request(4)
	for _, s := range sends {
		failIf(t, s.Server%10 == 1, "a part went to a near server with fifty parts before it")
	}
}

func TestUnavailableShardIsNotWaitedFor(t *testing.T) {
	b := gatewayHarness(4, gatewayQueryType)
	var lost []Send
	for range 40 {
		sends, actions := b.request(4)
		failIf(t, containsShed(actions), "a search was shed although three of four shards are idle")
		b.at += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 30 {
				lost = append(lost, s)
				b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: ConnectFailed})
			} else {
				b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	// Now the servers of shard 3 are known to be out: three parts make the answer at once.
	sends, _ := b.request(4)
	b.at += 20 * Millisecond
	answered := false
	for _, s := range sends {
		if s.Server > 30 {
			continue // a trial
		}
		for _, a := range b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered}) {
			if _, ok := a.(Answer); ok {
				answered = true
			}
		}
	}
	failIf(t, !answered, "the answer waits for a shard that is all down")
	failIf(t, len(lost) > 60, "%d parts were sent to a shard that is all down, by 40 searches", len(lost))
}

func TestRetryBudgetPerShard(t *testing.T) {
	b := gatewayHarness(2, gatewayQueryType)
	b.at += 20000 * Millisecond
	call := &shardCall{req: &request{policy: b.types[0]}, shard: 0, size: 1}
	req := &shardCall{req: call.req, shard: 1, size: 1}
	for range 200 {
		b.budgetFor(0).retries.add(b.at, 1)
	}
	b.now = b.at
	failIf(t, b.withinBudget(call, 1), "a shard's spent budget is still there")
	failIf(t, !b.withinBudget(req, 1), "another shard's spending took a shard's budget")
	for n := 1; n <= 64; n *= 4 {
		b.do(ClusterResized{Shards: 2, Instances: n})
		free := 0.0
		for b.withinBudget(req, 1) {
			b.budgetFor(1).retries.add(b.at, 1)
			free++
		}
		failIf(t, free*float64(n) > 54, "%d gatherers may spend %v each", n, free)
		b.at += 30000 * Millisecond
		b.now = b.at
	}
}

func TestRestartedInstanceHasNoBaseRetryBudget(t *testing.T) {
	f := Config{Instances: 1, Cells: 1, ReplicationFactor: 1, MaxAttempts: 2, HasRetryBudget: true, RetryBudgetPerShard: true, RetryBudgetBase: 54, RetryBudgetWindow: 100000,
		RetryBudgetDelayed: true, OverQuotaValue: 1}
	b := New(f)
	b.Handle(1000, ClusterResized{Shards: 1, Instances: 2})
	call := &shardCall{req: &request{}, size: 1}
	failIf(t, b.withinBudget(call, 1), "its life before may have spent its part in this window")
	b.now = 1000 + 100001
	failIf(t, !b.withinBudget(call, 1), "its part does not come back")
}

func TestWeightedShardChoice(t *testing.T) {
	one := QueryTypeConfig{LatencyTarget: 500 * Millisecond, ClientTimeout: 5000 * Millisecond, LateValue: 0.3, MinCoverage: 1, CompleteCoverage: 1, MaxAttempts: 2}
	b := gatewayHarness(3, one)
	got := map[ServerID]int{}
	ask := func() {
		b.next++
		e := RequestArrived{Request: RequestID(b.next), Number: RequestNumber(b.next), Timeout: 1200 * Millisecond, Calls: []ShardCall{{ID: ShardCallID(b.next), Weight: 1}},
			Candidates: []WeightedShard{{0, 3}, {1, 1}, {2, 0}}}
		for _, a := range b.do(e) {
			if s, ok := a.(Send); ok {
				got[s.Server/10]++
				b.at += 20 * Millisecond
				b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	for range 400 {
		ask()
	}
	failIf(t, got[2] != 0 || got[0] < 250 || got[0] > 350 || got[0]+got[1] != 400, "of 400 with weights 3, 1 and 0 went %v", got)
	b.do(ServerList{ListDelta, []Server{{ID: 1, State: Removed}, {ID: 2, State: Removed}, {ID: 3, State: Removed}}})
	clear(got)
	for range 20 {
		ask()
	}
	failIf(t, got[1] != 20, "a service without servers was chosen: %v", got)
}

// A type that changes holds for what comes from then on; what is open keeps what it came with.
func TestQueryTypeChange(t *testing.T) {
	b := gatewayHarness(2, gatewayQueryType)
	sends, _ := b.request(2)
	open := b.requests[RequestID(b.next)]
	next := gatewayQueryType
	next.Idempotency, next.LatencyTarget = NonIdempotent, 60*Millisecond
	b.do(QueryTypeChanged{Type: 0, Config: next})
	failIf(t, open.policy.idempotency != Idempotent || len(sends) != 2, "an open search changed its rules")
	b.request(2)
	failIf(t, b.requests[RequestID(b.next)].policy.idempotency != NonIdempotent, "a new search has the old rules")
}

// Past the connections that a gatherer may hold, a server is not asked.
func TestMaxInFlightPerServer(t *testing.T) {
	b := gatewayHarness(1, gatewayQueryType)
	b.do(ServerList{ListDelta, []Server{{ID: 1, State: Ready, MaxInFlight: 2}, {ID: 2, State: Removed}, {ID: 3, State: Removed}}})
	for range 6 {
		b.request(1)
	}
	failIf(t, len(b.servers[1].inFlight) > 2, "%d are out at a server that may have 2", len(b.servers[1].inFlight))
}

// runOverload plays a shard of three servers with three slots each, calm at first and then at twice what they bear: three long
// searches to one brief one.
// It returns, of each type, how many came once it is so and how many were answered in time.
func runOverload(seconds int) (came, inTime [2]int) {
	b := gatewayHarness(1, gatewayQueryType)
	brief := gatewayQueryType
	brief.LatencyTarget, brief.ClientTimeout = 60*Millisecond, 600*Millisecond
	b.do(QueryTypeChanged{Type: 1, Config: brief})
	b.do(ClusterResized{Shards: 2, Instances: 1})
	idle := ServerList{Kind: ListDelta} // another shard's servers: the in-flight limit is one over all
	for i := range 9 {
		idle.Servers = append(idle.Servers, Server{ID: ServerID(100 + i), Cell: 1, State: Ready})
	}
	b.do(idle)
	type job struct {
		s    Send
		no   AttemptNumber
		typ  QueryType
		sent Time
	}
	type event struct {
		at    Time
		seq   int
		what  Event
		ended *job
	}
	var queue []event
	seq := 0
	push := func(e event) {
		seq++
		e.seq = seq
		i, _ := slices.BinarySearchFunc(queue, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
		queue = slices.Insert(queue, i, e)
	}
	busy, waiting := map[ServerID]int{}, map[ServerID][]job{}
	work := [2]Time{20 * Millisecond, 7 * Millisecond}
	start := func(j job) {
		busy[j.s.Server]++
		push(event{at: b.at + work[j.typ], ended: &j})
	}
	began, typeOf := map[RequestID]Time{}, map[ShardCallID]QueryType{}
	tries := map[ShardCallID]AttemptNumber{}
	first := b.at
	calm := first + 3000*Millisecond
	perform := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				j := job{a, tries[a.Call], typeOf[a.Call], b.at}
				tries[a.Call]++
				if busy[a.Server] < 3 {
					start(j)
				} else {
					waiting[a.Server] = append(waiting[a.Server], j)
				}
			case SetTimer:
				push(event{at: a.At, what: TimerFired{a.Timer}})
			case Answer:
				typ := typeOf[ShardCallID(a.Request)]
				if began[a.Request] >= calm && b.at-began[a.Request] <= []Time{120 * Millisecond, 60 * Millisecond}[typ] {
					inTime[typ]++
				}
			}
		}
	}
	r := rand.New(rand.NewPCG(3, 4))
	for at := first; at < calm+Time(seconds)*1000*Millisecond; at += Time(1 + r.IntN(22)) { // about 870 a second
		if at < calm {
			at += Time(r.IntN(40))
		}
		seq++
		id := RequestID(seq)
		typ := QueryType(0)
		if r.IntN(4) == 0 {
			typ = 1
		}
		if at >= calm {
			came[typ]++
		}
		typeOf[ShardCallID(id)] = typ
		push(event{at: at, what: RequestArrived{Request: id, Number: RequestNumber(id), Type: typ, Timeout: []Time{12000, 6000}[typ],
			Calls: []ShardCall{{ID: ShardCallID(id), Weight: 1}}}})
	}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		b.at = max(b.at, e.at)
		if j := e.ended; j != nil {
			if busy[j.s.Server]--; len(waiting[j.s.Server]) > 0 {
				start(waiting[j.s.Server][0])
				waiting[j.s.Server] = waiting[j.s.Server][1:]
			}
			perform(b.do(AttemptEnded{Call: j.s.Call, Attempt: j.no, Server: j.s.Server, Elapsed: b.at - j.sent, Outcome: Answered}))
			continue
		}
		if a, ok := e.what.(RequestArrived); ok {
			began[a.Request] = b.at
		}
		perform(b.do(e.what))
	}
	return came, inTime
}

// At twice the load, what waits is held so short that the brief searches are still answered in time. Held at the long ones'
// own target, the queue refuses the brief ones alone, and serves no more of the long.
func TestLongQueueDoesNotShedShortRequests(t *testing.T) {
	came, inTime := runOverload(8)
	long, brief := float64(inTime[0])/float64(came[0]), float64(inTime[1])/float64(came[1])
	t.Logf("in time: %.2f of %d long, %.2f of %d brief", long, came[0], brief, came[1])
	failIf(t, brief < 0.4, "of the brief searches only %.2f are answered in time", brief)
	failIf(t, float64(inTime[0])*20+float64(inTime[1])*7 < 0.7*9*8000, "the servers work for %d ms of what is in time", inTime[0]*20+inTime[1]*7)
}

// A near server that is busy is no reason to go elsewhere while the next near one is free; further tries hold to it too.
func TestNextLocalServerIsTried(t *testing.T) {
	b := gatewayHarness(1, gatewayQueryType)
	var list []Server
	for i := range 6 { // 1, 2 and 3 stand in the gatherer's zone
		list = append(list, Server{ID: ServerID(i + 1), Zone: ZoneIndex(i / 3), State: Ready})
	}
	b.do(ServerList{ListDelta, list})
	for range 200 { // all are known to take 20 ms
		sends, _ := b.request(1)
		b.at += 20 * Millisecond
		for _, s := range sends {
			b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	away := 0
	for range 60 {
		b.do(PeerUpdate{Loads: []PeerLoad{{Server: 1, InFlight: 20}, {Server: 2, InFlight: 20}}})
		sends, _ := b.request(1)
		b.at += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 3 {
				away++
			}
			b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	failIf(t, away > 0, "%d of 60 parts went to another zone beside a near server that is free", away)
	req := &request{policy: b.types[0], targetAt: b.at + 100*Millisecond, deadline: b.at + 1000*Millisecond}
	s, usable := b.bestReplica(&shardCall{req: req, size: 1})
	failIf(t, !usable || !s.local, "the earliest replica is sought elsewhere though near ones are as good")
}
