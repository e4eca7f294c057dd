package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// gatewayHarness returns a balancer as the data plane configures it, with three servers for each shard, the first of them
// in the local zone.
func gatewayHarness(shards int, queryType QueryTypeConfig) *harness {
	config := Config{Seed: 5, Instances: 1, ClockResolution: Millisecond, Cells: 1, ReplicationFactor: 1, MaxAttempts: 2,
		AllowHedging: true, HasRetryBudget: true, RetryBudgetPerShard: true, RetryBudgetBase: 54, RetryBudgetRatio: 0.2,
		RetryBudgetWindow: 10000 * Millisecond, MaxRetryAfter: 400 * Millisecond, InferClientTimeout: true,
		MeasuredAtClient: true, PreferLocalZone: true, OverQuotaValue: 1}
	b := &harness{Balancer: New(config), at: 1000000}
	b.do(ClusterResized{Shards: shards, Instances: 1})
	b.do(QueryTypeChanged{Type: 0, Config: queryType})
	var list []Server
	for s := range shards {
		for i := range 3 {
			list = append(list, Server{ID: ServerID(10*s + i + 1), Cell: CellIndex(s), Zone: ZoneIndex(i), State: Ready})
		}
	}
	b.do(ServerList{ListDelta, list})
	return b
}

var gatewayQueryType = QueryTypeConfig{LatencyTarget: 120 * Millisecond, ClientTimeout: 1200 * Millisecond, LateValue: 0.3,
	MinCoverage: 0.5, CompleteCoverage: 1, MaxAttempts: 2, QuadraticPartialValue: true}

// request lets a request arrive with one call to each of the first shards.
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
	local, all := 0, 0
	for range 200 {
		sends, _ := b.request(4)
		b.at += 20 * Millisecond
		for _, s := range sends {
			if all++; s.Server%10 == 1 {
				local++
			}
			b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	failIf(t, local*10 < all*9, "%d of %d calls went to local servers while all servers are idle", local, all)
	// Busy local servers are not preferred.
	for s := range 4 {
		b.do(PeerUpdate{Loads: []PeerLoad{{Server: ServerID(10*s + 1), InFlight: 50}}})
	}
	sends, _ := b.request(4)
	for _, s := range sends {
		failIf(t, s.Server%10 == 1, "a call went to a local server with 50 calls before it")
	}
}

func TestUnavailableShardIsNotWaitedFor(t *testing.T) {
	b := gatewayHarness(4, gatewayQueryType)
	var lost []Send
	for range 40 {
		sends, actions := b.request(4)
		failIf(t, containsShed(actions), "a request was shed although three of four shards are idle")
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
	// Now the servers of shard 3 are ejected: three calls make the answer at once.
	sends, _ := b.request(4)
	b.at += 20 * Millisecond
	answered := false
	for _, s := range sends {
		if s.Server > 30 {
			continue // a probation attempt
		}
		for _, a := range b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered}) {
			if _, ok := a.(Answer); ok {
				answered = true
			}
		}
	}
	failIf(t, !answered, "the answer waits for a shard that is unavailable")
	failIf(t, len(lost) > 60, "%d attempts at an unavailable shard, by 40 requests", len(lost))
}

func TestRetryBudgetPerShard(t *testing.T) {
	b := gatewayHarness(2, gatewayQueryType)
	b.at += 20000 * Millisecond
	call := &shardCall{req: &request{policy: b.types[0]}, shard: 0, size: 1}
	other := &shardCall{req: call.req, shard: 1, size: 1}
	for range 200 {
		b.budgetFor(0).retries.add(b.at, 1)
	}
	b.now = b.at
	failIf(t, b.withinBudget(call, 1), "the spent budget of a shard is still available")
	failIf(t, !b.withinBudget(other, 1), "a shard spent the budget of another")
	for n := 1; n <= 64; n *= 4 {
		b.do(ClusterResized{Shards: 2, Instances: n})
		spent := 0.0
		for b.withinBudget(other, 1) {
			b.budgetFor(1).retries.add(b.at, 1)
			spent++
		}
		failIf(t, spent*float64(n) > 54, "%d instances may spend %v each", n, spent)
		b.at += 30000 * Millisecond
		b.now = b.at
	}
}

func TestRestartedInstanceHasNoBaseRetryBudget(t *testing.T) {
	b := New(Config{Instances: 1, Cells: 1, ReplicationFactor: 1, MaxAttempts: 2, HasRetryBudget: true, RetryBudgetPerShard: true,
		RetryBudgetBase: 54, RetryBudgetWindow: 100000, RetryBudgetDelayed: true, OverQuotaValue: 1})
	b.Handle(1000, ClusterResized{Shards: 1, Instances: 2})
	call := &shardCall{req: &request{}, size: 1}
	failIf(t, b.withinBudget(call, 1), "a base budget in the window that an earlier incarnation may have spent")
	b.now = 1000 + 100001
	failIf(t, !b.withinBudget(call, 1), "no base budget after the first window")
}

func TestWeightedShardChoice(t *testing.T) {
	b := gatewayHarness(3, QueryTypeConfig{LatencyTarget: 500 * Millisecond, ClientTimeout: 5000 * Millisecond, LateValue: 0.3,
		MinCoverage: 1, CompleteCoverage: 1, MaxAttempts: 2})
	got := map[ServerID]int{}
	request := func() {
		b.next++
		e := RequestArrived{Request: RequestID(b.next), Number: RequestNumber(b.next), Timeout: 1200 * Millisecond,
			Calls: []ShardCall{{ID: ShardCallID(b.next), Weight: 1}}, Candidates: []WeightedShard{{0, 3}, {1, 1}, {2, 0}}}
		for _, a := range b.do(e) {
			if s, ok := a.(Send); ok {
				got[s.Server/10]++
				b.at += 20 * Millisecond
				b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	for range 400 {
		request()
	}
	failIf(t, got[2] != 0 || got[0] < 250 || got[0] > 350 || got[0]+got[1] != 400, "400 requests with weights 3, 1 and 0: %v", got)
	b.do(ServerList{ListDelta, []Server{{ID: 1, State: Removed}, {ID: 2, State: Removed}, {ID: 3, State: Removed}}})
	clear(got)
	for range 20 {
		request()
	}
	failIf(t, got[1] != 20, "a shard without servers was chosen: %v", got)
}

// A changed query type applies to later requests; open ones keep the one they arrived with.
func TestQueryTypeChange(t *testing.T) {
	b := gatewayHarness(2, gatewayQueryType)
	sends, _ := b.request(2)
	open := b.requests[RequestID(b.next)]
	next := gatewayQueryType
	next.Idempotency, next.LatencyTarget = NonIdempotent, 60*Millisecond
	b.do(QueryTypeChanged{Type: 0, Config: next})
	failIf(t, open.policy.idempotency != Idempotent || len(sends) != 2, "the policy of an open request changed")
	b.request(2)
	failIf(t, b.requests[RequestID(b.next)].policy.idempotency != NonIdempotent, "a new request has the old policy")
}

func TestMaxInFlightPerServer(t *testing.T) {
	b := gatewayHarness(1, gatewayQueryType)
	b.do(ServerList{ListDelta, []Server{{ID: 1, State: Ready, MaxInFlight: 2}, {ID: 2, State: Removed}, {ID: 3, State: Removed}}})
	for range 6 {
		b.request(1)
	}
	failIf(t, len(b.servers[1].inFlight) > 2, "%d calls in flight at a server that may have 2", len(b.servers[1].inFlight))
}

// runOverload simulates a shard of three servers with three slots each, first at low load and then at twice its capacity, with
// three long requests to each short one. It returns, by type, how many arrived under overload and how many of these
// were answered in time.
func runOverload(seconds int) (arrived, inTime [2]int) {
	b := gatewayHarness(1, gatewayQueryType)
	short := gatewayQueryType
	short.LatencyTarget, short.ClientTimeout = 60*Millisecond, 600*Millisecond
	b.do(QueryTypeChanged{Type: 1, Config: short})
	b.do(ClusterResized{Shards: 2, Instances: 1})
	idle := ServerList{Kind: ListDelta} // servers of another shard: the in-flight limit covers all shards
	for i := range 9 {
		idle.Servers = append(idle.Servers, Server{ID: ServerID(100 + i), Cell: 1, State: Ready})
	}
	b.do(idle)
	type job struct {
		send      Send
		number    AttemptNumber
		queryType QueryType
		sentAt    Time
	}
	type event struct {
		at    Time
		seq   int
		event Event
		ended *job
	}
	var queue []event
	seq := 0
	push := func(e event) {
		seq++
		e.seq = seq
		i, _ := slices.BinarySearchFunc(queue, e, func(a, b event) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
		})
		queue = slices.Insert(queue, i, e)
	}
	busy, waiting := map[ServerID]int{}, map[ServerID][]job{}
	work := [2]Time{20 * Millisecond, 7 * Millisecond}
	start := func(j job) {
		busy[j.send.Server]++
		push(event{at: b.at + work[j.queryType], ended: &j})
	}
	arrivedAt, typeOf := map[RequestID]Time{}, map[ShardCallID]QueryType{}
	attempts := map[ShardCallID]AttemptNumber{}
	first := b.at
	overloadAt := first + 3000*Millisecond
	perform := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				j := job{a, attempts[a.Call], typeOf[a.Call], b.at}
				attempts[a.Call]++
				if busy[a.Server] < 3 {
					start(j)
				} else {
					waiting[a.Server] = append(waiting[a.Server], j)
				}
			case SetTimer:
				push(event{at: a.At, event: TimerFired{a.Timer}})
			case Answer:
				typ := typeOf[ShardCallID(a.Request)]
				if arrivedAt[a.Request] >= overloadAt && b.at-arrivedAt[a.Request] <= []Time{120 * Millisecond, 60 * Millisecond}[typ] {
					inTime[typ]++
				}
			}
		}
	}
	r := rand.New(rand.NewPCG(3, 4))
	for at := first; at < overloadAt+Time(seconds)*1000*Millisecond; at += Time(1 + r.IntN(22)) { // about 870 a second
		if at < overloadAt {
			at += Time(r.IntN(40))
		}
		seq++
		id := RequestID(seq)
		typ := QueryType(0)
		if r.IntN(4) == 0 {
			typ = 1
		}
		if at >= overloadAt {
			arrived[typ]++
		}
		typeOf[ShardCallID(id)] = typ
		push(event{at: at, event: RequestArrived{Request: id, Number: RequestNumber(id), Type: typ, Timeout: []Time{12000, 6000}[typ],
			Calls: []ShardCall{{ID: ShardCallID(id), Weight: 1}}}})
	}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		b.at = max(b.at, e.at)
		if j := e.ended; j != nil {
			if busy[j.send.Server]--; len(waiting[j.send.Server]) > 0 {
				start(waiting[j.send.Server][0])
				waiting[j.send.Server] = waiting[j.send.Server][1:]
			}
			perform(b.do(AttemptEnded{Call: j.send.Call, Attempt: j.number, Server: j.send.Server, Elapsed: b.at - j.sentAt, Outcome: Answered}))
			continue
		}
		if a, ok := e.event.(RequestArrived); ok {
			arrivedAt[a.Request] = b.at
		}
		perform(b.do(e.event))
	}
	return arrived, inTime
}

// At twice the capacity queues must stay so short that short requests are still answered in time. Queues as long as the target
// of long requests would shed only the short ones, and complete no more of the long.
func TestLongQueueDoesNotShedShortRequests(t *testing.T) {
	arrived, inTime := runOverload(8)
	long, short := float64(inTime[0])/float64(arrived[0]), float64(inTime[1])/float64(arrived[1])
	t.Logf("in time: %.2f of %d long, %.2f of %d short requests", long, arrived[0], short, arrived[1])
	failIf(t, short < 0.4, "only %.2f of the short requests are answered in time", short)
	work := inTime[0]*20 + inTime[1]*7
	failIf(t, float64(work) < 0.7*9*8000, "the servers worked only %d ms on answers in time", work)
}

// A busy local server is no reason to leave the zone while another local one is free; that holds for retries too.
func TestNextLocalServerIsTried(t *testing.T) {
	b := gatewayHarness(1, gatewayQueryType)
	var list []Server
	for i := range 6 { // 1, 2 and 3 are in the local zone
		list = append(list, Server{ID: ServerID(i + 1), Zone: ZoneIndex(i / 3), State: Ready})
	}
	b.do(ServerList{ListDelta, list})
	for range 200 { // all are measured at 20 ms
		sends, _ := b.request(1)
		b.at += 20 * Millisecond
		for _, s := range sends {
			b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	remote := 0
	for range 60 {
		b.do(PeerUpdate{Loads: []PeerLoad{{Server: 1, InFlight: 20}, {Server: 2, InFlight: 20}}})
		sends, _ := b.request(1)
		b.at += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 3 {
				remote++
			}
			b.do(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	failIf(t, remote > 0, "%d of 60 calls left the zone although a local server is free", remote)
	req := &request{policy: b.types[0], targetAt: b.at + 100*Millisecond, deadline: b.at + 1000*Millisecond}
	s, healthy := b.bestReplica(&shardCall{req: req, size: 1})
	failIf(t, !healthy || !s.local, "the best replica is remote although local ones are as good")
}
