package dataplane

import (
	"math"
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/config"
)

// shareRun is a request to a number of shards, of which some answer.
type shareRun struct {
	minimumShare     float64
	shards, answered int
}

// succeeds reports whether a gathered route answers the request with success once the other shards have failed.
func (r shareRun) succeeds(t *testing.T) bool {
	t.Helper()
	gathered := &route{Route: &config.Route{RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, MinimumShare: r.minimumShare,
		GatheredServices: make([]string, r.shards), Attempts: 1}}
	for i := range r.shards {
		gathered.shards = append(gathered.shards, balancer.ShardIndex(i))
	}
	b := balancer.New(balancer.Config{Cells: 1, ReplicationFactor: 1, MaxAttempts: 1, RetryBudgetPerShard: true, InferClientTimeout: true})
	b.Handle(1, balancer.ClusterResized{Shards: r.shards, Instances: 1})
	b.Handle(1, balancer.QueryTypeChanged{Config: gathered.queryTypeConfig()})
	list := balancer.ServerList{Kind: balancer.ListComplete}
	request := balancer.RequestArrived{Request: 1, Number: 1, Timeout: 900 * balancer.Millisecond}
	for i := range r.shards {
		shard := balancer.ShardIndex(i)
		list.Servers = append(list.Servers, balancer.Server{ID: balancer.ServerID(i + 1), Cell: balancer.CellIndex(i), State: balancer.Ready})
		request.Calls = append(request.Calls, balancer.ShardCall{ID: balancer.ShardCallID(i + 1), Shard: shard, Weight: 1 / float64(r.shards)})
	}
	b.Handle(1, list)
	actions := b.Handle(1, request)
	sent := 0
	for _, action := range actions {
		send, ok := action.(balancer.Send)
		if !ok {
			continue
		}
		end := balancer.AttemptEnded{Call: send.Call, Server: send.Server, Elapsed: 1, Outcome: balancer.Errored}
		if sent < r.answered {
			end.Outcome = balancer.Answered
		}
		sent++
		for _, action := range b.Handle(2, end) {
			switch action.(type) {
			case balancer.Answer:
				return true
			case balancer.Shed, balancer.Fail:
				return false
			}
		}
	}
	t.Fatalf("%+v: %d calls sent, the request has not ended", r, sent)
	return false
}

// A minimum share was met by one shard less than it amounts to, where the difference was below the tolerance of the comparison. Shares of
// up to 72 shards are those of a whole number of shards, those written with four digits, and their neighbors.
func TestMinimumShareIsNeverMetByOneShardLess(t *testing.T) {
	const (
		maxShards = 72
		decimals  = 1e4  // shares are also written with four digits
		above     = 1e-6 // a difference far above the error of a division, and below the tolerance that the balancer had
	)
	for shards := 1; shards <= maxShards; shards++ {
		for _, count := range []int{0, 1, shards / 3, shards / 2, 2 * shards / 3, shards - 1, shards} {
			exact := float64(count) / float64(shards)
			for share, required := range map[float64]int{
				exact:                                                 max(count, 1),
				math.Nextafter(exact, 2):                              max(count, 1),
				math.Nextafter(exact, -1):                             max(count, 1),
				math.Floor(exact*decimals) / decimals:                 max(count, 1),
				min(exact+above, 1):                                   min(count+1, shards),
				exact - 1/float64(shards) + above:                     max(count, 1),
				math.Floor(exact*decimals-1) / decimals:               max(count, 1),
				min(math.Ceil(exact*decimals)+1, decimals) / decimals: min(count+1, shards),
			} {
				if run := (shareRun{share, shards, required}); !run.succeeds(t) {
					t.Errorf("%+v: no success with all shards that the share requires", run)
				}
				if run := (shareRun{share, shards, required - 1}); run.succeeds(t) {
					t.Errorf("%+v: success with one shard less than the share requires, %d", run, required)
				}
			}
		}
	}
}
