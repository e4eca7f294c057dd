package balancer

import (
	"testing"
)

// gatewayHarness returns a balancer configured like that of the data plane, with three servers for each shard, the first
// of which is in the local zone.
func gatewayHarness(shards int, queryType QueryTypeConfig) *harness {
	return gatewayHarnessWith(shards, queryType, func(*Config) {})
}

// gatewayHarnessWith is gatewayHarness with a changed configuration.
func gatewayHarnessWith(shards int, queryType QueryTypeConfig, change func(*Config)) *harness {
	config := Config{Seed: 5, Instances: 1, ClockResolution: Millisecond, Cells: 1, ReplicationFactor: 1, MaxAttempts: 2,
		AllowHedging: true, RetryBudgetSet: true, RetryBudgetPerShard: true, RetryBudgetBase: 54, RetryBudgetRatio: 0.2,
		RetryBudgetWindow: 10000 * Millisecond, MaxRetryAfter: 400 * Millisecond, InferClientTimeout: true,
		MeasuredAtClient: true, PreferLocalZone: true, OverQuotaValue: 1}
	change(&config)
	b := &harness{Balancer: New(config), clock: 1000000}
	b.handle(ClusterResized{Shards: shards, Instances: 1})
	b.handle(QueryTypeChanged{Type: 0, Config: queryType})
	var list []Server
	for s := range shards {
		for i := range 3 {
			list = append(list, Server{ID: ServerID(10*s + i + 1), Cell: CellIndex(s), Zone: ZoneIndex(i), State: Ready})
		}
	}
	b.handle(ServerList{ListDelta, list})
	return b
}

var gatewayQueryType = QueryTypeConfig{LatencyTarget: 120 * Millisecond, ClientTimeout: 1200 * Millisecond, LateValue: 0.3,
	MinCoverage: 0.5, CompleteCoverage: 1, MaxAttempts: 2, QuadraticPartialValue: true}

// request starts a request with one call to each of the first shards.
func (b *harness) request(shards int) (sends []Send, actions []Action) {
	b.lastID++
	e := RequestArrived{Request: RequestID(b.lastID), Number: RequestNumber(b.lastID), Timeout: 1200 * Millisecond}
	for s := range shards {
		e.Calls = append(e.Calls, ShardCall{ID: ShardCallID(b.lastID*100 + uint64(s)), Shard: ShardIndex(s), Weight: 1 / float64(shards)})
	}
	actions = b.handle(e)
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
		b.clock += 20 * Millisecond
		for _, s := range sends {
			if all++; s.Server%10 == 1 {
				local++
			}
			b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	failIf(t, local*10 < all*9, "%d of %d calls went to local servers while all servers are idle", local, all)
	// Busy local servers are not preferred.
	for s := range 4 {
		b.handle(PeerUpdate{Loads: []PeerLoad{{Server: ServerID(10*s + 1), InFlight: 50}}})
	}
	sends, _ := b.request(4)
	for _, s := range sends {
		failIf(t, s.Server%10 == 1, "a call was sent to a local server with 50 calls in flight")
	}
}

func TestAnswerDoesNotWaitForUnavailableShard(t *testing.T) {
	b := gatewayHarness(4, gatewayQueryType)
	var lost []Send
	for range 40 {
		sends, actions := b.request(4)
		failIf(t, containsShed(actions), "a request was shed although three of four shards are idle")
		b.clock += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 30 {
				lost = append(lost, s)
				b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: ConnectFailed})
			} else {
				b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	// The servers of shard 3 are ejected now: three calls are sufficient for the answer.
	sends, _ := b.request(4)
	b.clock += 20 * Millisecond
	answered := false
	for _, s := range sends {
		if s.Server > 30 {
			continue // a probation attempt
		}
		for _, a := range b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered}) {
			if _, ok := a.(Answer); ok {
				answered = true
			}
		}
	}
	failIf(t, !answered, "the answer waits for an unavailable shard")
	failIf(t, len(lost) > 60, "%d attempts at an unavailable shard for 40 requests", len(lost))
}

func TestRetryBudgetPerShard(t *testing.T) {
	b := gatewayHarness(2, gatewayQueryType)
	b.clock += 20000 * Millisecond
	call := &shardCall{req: &request{policy: b.types[0]}, shard: 0, size: 1}
	other := &shardCall{req: call.req, shard: 1, size: 1}
	for range 200 {
		b.budgetFor(0).retries.add(b.clock, 1)
	}
	b.now = b.clock
	failIf(t, b.withinBudget(call, 1), "a retry is allowed although the budget of the shard is spent")
	failIf(t, !b.withinBudget(other, 1), "a shard spent the budget of another")
	for n := 1; n <= 64; n *= 4 {
		b.handle(ClusterResized{Shards: 2, Instances: n})
		spent := 0.0
		for b.withinBudget(other, 1) {
			b.budgetFor(1).retries.add(b.clock, 1)
			spent++
		}
		failIf(t, spent*float64(n) > 54, "%d instances may spend %v retries each, more than 54 in all", n, spent)
		b.clock += 30000 * Millisecond
		b.now = b.clock
	}
}

// A base retry budget of 0 is a budget of its own for each shard like any other: requests are served, and the ratio alone limits the retries
// of each shard. The balancer indexed a missing budget when a base of 0 was taken for a single budget for all shards.
func TestZeroBaseRetryBudgetPerShard(t *testing.T) {
	for _, ratio := range []float64{0.2, 0} {
		b := gatewayHarnessWith(2, gatewayQueryType, func(c *Config) { c.RetryBudgetBase, c.RetryBudgetRatio = 0, ratio })
		b.handle(BudgetShared{Shard: 1, Source: 0})
		const requests = 100
		for range requests {
			sends, _ := b.request(1)
			failIf(t, len(sends) == 0, "ratio %v: a request was not sent", ratio)
			for _, s := range sends {
				b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
		call := &shardCall{req: &request{policy: b.types[0]}, size: 1}
		retries := 0.0
		for ; b.withinBudget(call, 1); retries++ {
			b.budgetFor(call.shard).retries.add(b.clock, 1)
		}
		failIf(t, retries != ratio*requests, "%v retries for %d requests and a ratio of %v", retries, requests, ratio)
	}
}

func TestRestartedInstanceHasNoBaseRetryBudget(t *testing.T) {
	b := New(Config{Instances: 1, Cells: 1, ReplicationFactor: 1, MaxAttempts: 2, RetryBudgetSet: true, RetryBudgetPerShard: true,
		RetryBudgetBase: 54, RetryBudgetWindow: 100000, RetryBudgetDelayed: true, OverQuotaValue: 1})
	b.Handle(1000, ClusterResized{Shards: 1, Instances: 2})
	call := &shardCall{req: &request{}, size: 1}
	failIf(t, b.withinBudget(call, 1), "there is a base budget in the window in which an earlier incarnation may have spent it")
	b.now = 1000 + 100001
	failIf(t, !b.withinBudget(call, 1), "no base budget after the first window")
}

func TestWeightedShardChoice(t *testing.T) {
	b := gatewayHarness(3, QueryTypeConfig{LatencyTarget: 500 * Millisecond, ClientTimeout: 5000 * Millisecond, LateValue: 0.3,
		MinCoverage: 1, CompleteCoverage: 1, MaxAttempts: 2})
	got := map[ServerID]int{}
	request := func() {
		b.lastID++
		e := RequestArrived{Request: RequestID(b.lastID), Number: RequestNumber(b.lastID), Timeout: 1200 * Millisecond,
			Calls: []ShardCall{{ID: ShardCallID(b.lastID), Weight: 1}}, Candidates: []WeightedShard{{0, 3}, {1, 1}, {2, 0}}}
		for _, a := range b.handle(e) {
			if s, ok := a.(Send); ok {
				got[s.Server/10]++
				b.clock += 20 * Millisecond
				b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	for range 400 {
		request()
	}
	failIf(t, got[2] != 0 || got[0] < 250 || got[0] > 350 || got[0]+got[1] != 400,
		"400 requests with weights 3, 1 and 0: %v", got)
	b.handle(ServerList{ListDelta, []Server{{ID: 1, State: Removed}, {ID: 2, State: Removed}, {ID: 3, State: Removed}}})
	clear(got)
	for range 20 {
		request()
	}
	failIf(t, got[1] != 20, "a shard without servers was chosen: %v", got)
}

// A changed query type applies to later requests. Open requests keep the configuration with which they arrived.
func TestQueryTypeChange(t *testing.T) {
	b := gatewayHarness(2, gatewayQueryType)
	sends, _ := b.request(2)
	open := b.requests[RequestID(b.lastID)]
	next := gatewayQueryType
	next.Idempotency, next.LatencyTarget = NonIdempotent, 60*Millisecond
	b.handle(QueryTypeChanged{Type: 0, Config: next})
	failIf(t, open.policy.Idempotency != Idempotent || len(sends) != 2, "the policy of an open request changed")
	b.request(2)
	failIf(t, b.requests[RequestID(b.lastID)].policy.Idempotency != NonIdempotent, "a new request has the old policy")
}

func TestMaxInFlightPerServer(t *testing.T) {
	b := gatewayHarness(1, gatewayQueryType)
	b.handle(ServerList{ListDelta, []Server{{ID: 1, State: Ready, MaxInFlight: 2}, {ID: 2, State: Removed}, {ID: 3, State: Removed}}})
	for range 6 {
		b.request(1)
	}
	failIf(t, len(b.servers[1].inFlight) > 2, "%d calls in flight at a server with a limit of 2", len(b.servers[1].inFlight))
}

// A call, or a retry, must not leave the zone because one local server is busy while another one is idle.
func TestIdleLocalServerIsPreferredToRemote(t *testing.T) {
	b := gatewayHarness(1, gatewayQueryType)
	var list []Server
	for i := range 6 { // 1, 2 and 3 are in the local zone
		list = append(list, Server{ID: ServerID(i + 1), Zone: ZoneIndex(i / 3), State: Ready})
	}
	b.handle(ServerList{ListDelta, list})
	for range 200 { // all have a measured latency of 20 ms
		sends, _ := b.request(1)
		b.clock += 20 * Millisecond
		for _, s := range sends {
			b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	remote := 0
	for range 60 {
		b.handle(PeerUpdate{Loads: []PeerLoad{{Server: 1, InFlight: 20}, {Server: 2, InFlight: 20}}})
		sends, _ := b.request(1)
		b.clock += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 3 {
				remote++
			}
			b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	failIf(t, remote > 0, "%d of 60 calls left the zone although a local server is idle", remote)
	req := &request{policy: b.types[0], targetAt: b.clock + 100*Millisecond, deadline: b.clock + 1000*Millisecond}
	s, healthy := b.bestReplica(&shardCall{req: req, size: 1})
	failIf(t, !healthy || !s.local, "the best replica is remote although local ones are as good")
}

// Shards may be added while servers are ready in cells without a shard. Each server then serves the shard of its cell
// and can still be removed from it.
func TestResizeWithMoreCellsThanShards(t *testing.T) {
	for cells := 1; cells <= 6; cells++ {
		for shards := 0; shards <= cells; shards++ {
			b := New(Config{Instances: 1, Cells: cells, Shards: shards, ReplicationFactor: 1, MaxAttempts: 2, Seed: 3})
			var servers []Server
			for cell := range cells {
				servers = append(servers, Server{ID: ServerID(cell + 1), Cell: CellIndex(cell), State: Ready})
			}
			b.Handle(10, ServerList{ListComplete, servers})
			b.Handle(20, ClusterResized{Shards: cells, Instances: 1})
			for shard, replicas := range b.replicas {
				if len(replicas) != 1 || int(replicas[0].cell) != shard {
					t.Errorf("%d cells, %d shards at first: shard %d has %d replicas", cells, shards, shard, len(replicas))
				}
			}
			for i := range servers {
				servers[i].State = Removed
			}
			b.Handle(30, ServerList{ListComplete, servers})
			for shard, replicas := range b.replicas {
				if len(replicas) != 0 {
					t.Errorf("%d cells, %d shards at first: shard %d still has %d replicas", cells, shards, shard, len(replicas))
				}
			}
		}
	}
}

// Shards that share a budget use it jointly, even if BudgetShared is repeated, and do not use that of another shard.
func TestSharedRetryBudget(t *testing.T) {
	b := gatewayHarness(3, gatewayQueryType)
	b.clock += 20000 * Millisecond
	for range 2 {
		b.handle(BudgetShared{Shard: 2, Source: 0})
		b.handle(BudgetShared{Shard: 7, Source: 0}) // no such shard yet
	}
	b.now = b.clock
	of := func(shard ShardIndex) *shardCall {
		return &shardCall{req: &request{policy: b.types[0]}, shard: shard, size: 1}
	}
	spent := 0
	for ; b.withinBudget(of(ShardIndex(2*(spent%2))), 1); spent++ {
		b.budgetFor(ShardIndex(2*(spent%2))).retries.add(b.clock, 1)
	}
	failIf(t, spent > 54 || spent < 40, "two shards that share a budget of 54 spent %d", spent)
	failIf(t, b.withinBudget(of(0), 1) || b.withinBudget(of(2), 1), "the spent budget is still available")
	failIf(t, !b.withinBudget(of(1), 1), "another shard's budget is spent")
}

// A probation attempt counts as an attempt: a call with a limit of one attempt has no probation attempt beside its first one.
func TestProbationCountsTowardsAttemptLimit(t *testing.T) {
	for _, limit := range []int{1, 2} {
		queryType := gatewayQueryType
		queryType.MaxAttempts = limit
		b := gatewayHarness(1, queryType)
		b.clock += 20000 * Millisecond
		most := 0
		for range 200 {
			b.clock += 100 * Millisecond
			s := b.servers[1]
			s.probation, s.ejectedUntil = true, b.clock-1
			sends, _ := b.request(1)
			most = max(most, len(sends))
			for number, a := range sends {
				b.handle(AttemptEnded{Call: a.Call, Attempt: AttemptNumber(number), Server: a.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
		failIf(t, most != limit, "at most %d attempts at once for a call with a limit of %d, want equal numbers", most, limit)
	}
}
