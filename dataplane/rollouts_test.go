package dataplane

import (
	"math"
	"slices"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/lease"
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

// fakeShards is a shardTable. All shards have usable servers except for the unusable ones.
type fakeShards struct {
	byName   map[string]balancer.ShardIndex
	unusable map[balancer.ShardIndex]bool
	synced   int // number of calls to sync
}

func (s *fakeShards) shardIndex(name string) balancer.ShardIndex {
	index, known := s.byName[name]
	if !known {
		index = balancer.ShardIndex(len(s.byName))
		s.byName[name] = index
	}
	return index
}

func (s *fakeShards) usable(shard balancer.ShardIndex) bool { return !s.unusable[shard] }

func (s *fakeShards) sync() { s.synced++ }

// newTestRollouts returns a rolloutTable to which a controller with a quorum has just responded.
func newTestRollouts() (*rolloutTable, *fakeShards, *fakeLoop) {
	shards := &fakeShards{byName: map[string]balancer.ShardIndex{}, unusable: map[balancer.ShardIndex]bool{}}
	loop := &fakeLoop{time: ticks(time.Minute)}
	table := newRolloutTable(testProcess(), loop, shards)
	table.events = &recordedEvents{}
	table.recordQuorum(time.Minute)
	return table, shards, loop
}

// rolloutDocument returns a rollout document of a version with one rollout.
func rolloutDocument(version uint64, r rollout.Rollout) *rpc.Document {
	d := rollout.Document{Rollouts: []rollout.Rollout{r}}
	return &rpc.Document{Name: rollout.DocumentName, Version: version, Body: d.Encode()}
}

// targetShare returns the measured share of calls of service "s" that go to version "v2".
func targetShare(table *rolloutTable, shards *fakeShards) float64 {
	const calls = 1000
	target := 0
	for range calls {
		if table.selectShard(shards.shardIndex("s")) == shards.shardIndex(versionShard("s", "v2")) {
			target++
		}
	}
	return float64(target) / calls
}

// A gateway sends to the target version the share that the step allows. It sends nothing there if the rollout is reverted, if the target
// version has no usable servers, or, before the last step, while no controller with a quorum responds.
func TestRolloutShares(t *testing.T) {
	running := func(step int) rollout.Rollout {
		share := []float64{0, 0.05, 0.15, 0.35, 1}[step]
		return rollout.Rollout{Number: 1, Service: "s", TargetVersion: "v2", DurationS: 15, State: rollout.Running, Step: step, StepShare: share}
	}
	reverted, completed := running(2), running(4)
	reverted.State, completed.State = rollout.Reverted, rollout.Completed
	for _, test := range []struct {
		name       string
		rollout    rollout.Rollout
		quorumLost bool    // no controller with a quorum has responded for a lease TTL
		without    string  // version without usable servers
		want       float64 // share of calls sent to the target version
	}{
		{"servers awaited", running(0), false, "", 0},
		{"canary", running(1), false, "", 0.05},
		{"third step", running(3), false, "", 0.35},
		{"last step", running(4), false, "", 1},
		{"out of touch", running(3), true, "", 0},
		{"out of touch in the last step", running(4), true, "", 1},
		{"completed", completed, false, "", 1},
		{"completed, out of touch", completed, true, "", 1},
		{"reverted", reverted, false, "", 0},
		{"no server of the target version", running(3), false, "v2", 0},
		{"no server of the target version in the last step", running(4), false, "v2", 0},
		{"no server of another version", running(1), false, "old", 1},
		{"reverted, no server of another version", reverted, false, "old", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, shards, loop := newTestRollouts()
			table.apply(rolloutDocument(1, test.rollout))
			if test.quorumLost {
				loop.time += ticks(lease.TTL)
			}
			switch test.without {
			case "v2":
				shards.unusable[shards.shardIndex(versionShard("s", "v2"))] = true
			case "old":
				shards.unusable[shards.shardIndex("s")] = true
			}
			if got := targetShare(table, shards); math.Abs(got-test.want) > 0.002 {
				t.Errorf("share %v of the calls goes to the target version, want %v", got, test.want)
			}
			total := 0.0
			for _, candidate := range table.versionCandidates([]balancer.WeightedShard{{Shard: shards.shardIndex("s"), Weight: 3}, {Shard: 7, Weight: 1}}) {
				total += candidate.Weight
				if candidate.Shard == shards.shardIndex(versionShard("s", "v2")) && math.Abs(candidate.Weight-3*test.want) > 0.01 {
					t.Errorf("the target version has weight %v, want 3 times %v", candidate.Weight, test.want)
				}
			}
			if math.Abs(total-4) > 1e-9 {
				t.Errorf("the sum of the weights is %v, want 4", total)
			}
		})
	}
}

// During a rollout that follows a completed one, the other calls go to servers of the version that was completed. Older documents are
// ignored.
func TestRolloutAfterCompletedRollout(t *testing.T) {
	table, shards, _ := newTestRollouts()
	next := rollout.Rollout{Number: 5, Service: "s", TargetVersion: "v3", StableVersion: "v2", DurationS: 15, State: rollout.Running, Step: 1}
	table.apply(rolloutDocument(5, next))
	table.apply(rolloutDocument(4, rollout.Rollout{Number: 1, Service: "s", TargetVersion: "v2", DurationS: 15, State: rollout.Completed}))
	if shards.synced != 1 {
		t.Errorf("sync was called %d times, want 1", shards.synced)
	}
	for version, want := range map[string]string{"v3": versionShard("s", "v3"), "v2": versionShard("s", "v2"), "v1": "s", "": "s"} {
		if got := table.shardName("s", version); got != want {
			t.Errorf("servers of version %q belong to shard %q, want %q", version, got, want)
		}
	}
	if got := table.selectShard(shards.shardIndex("s")); got != shards.shardIndex(versionShard("s", "v2")) {
		t.Errorf("a call goes to shard %d, want the shard of version v2", got)
	}
	shared := balancer.BudgetShared{Shard: shards.shardIndex(versionShard("s", "v3")), Source: shards.shardIndex("s")}
	if !slices.Contains(table.events.(*recordedEvents).events, balancer.Event(shared)) {
		t.Error("the servers of the target version do not share the retry budget of the service")
	}
	if got := table.selectShard(99); got != 99 {
		t.Errorf("a call of another service goes to shard %d, want 99", got)
	}
}

// Failures and responses much slower than the baseline count as bad. An attempt without a response counts as bad only if its server responds
// to other attempts.
func TestRolloutOutcomes(t *testing.T) {
	table, _, loop := newTestRollouts()
	table.apply(rolloutDocument(1, rollout.Rollout{Number: 1, Service: "s", TargetVersion: "v2", DurationS: 15, State: rollout.Running, Step: 1}))
	old, target := &endpoint{service: "s", version: "v1"}, &endpoint{service: "s", version: "v2"}
	r := &request{route: &route{Route: &config.Route{Hostname: "h", PathPrefix: "/p/"}}}
	end := func(e *endpoint, outcome balancer.Outcome, elapsed time.Duration) {
		a := &attempt{shardCall: &shardCall{request: r}, endpoint: e, sentAt: loop.time}
		loop.time += ticks(elapsed)
		table.recordOutcome(a, outcome, ticks(elapsed))
	}
	for range 20 {
		end(old, balancer.Answered, 10*time.Millisecond)
	}
	end(target, balancer.TimedOut, 500*time.Millisecond) // not counted: the server has not responded to any attempt yet
	end(target, balancer.ConnectFailed, time.Millisecond)
	end(target, balancer.Rejected, time.Millisecond)
	end(target, balancer.Answered, 12*time.Millisecond)
	end(target, balancer.Answered, 90*time.Millisecond) // bad
	end(target, balancer.Errored, time.Millisecond)     // bad
	unanswered := &attempt{shardCall: &shardCall{request: r}, endpoint: target, sentAt: loop.time}
	end(target, balancer.Answered, 11*time.Millisecond)
	// Bad: the server has responded to another attempt since.
	table.recordOutcome(unanswered, balancer.TimedOut, ticks(time.Second))
	// Not counted: it belongs to another service.
	table.recordOutcome(&attempt{shardCall: &shardCall{request: r}, endpoint: &endpoint{service: "t"}}, balancer.Errored, ticks(1))
	report := table.report()
	if len(report.GetRollouts()) != 1 || len(report.Rollouts[0].Routes) != 1 {
		t.Fatalf("report %v, want one rollout with one route", report)
	}
	got := report.Rollouts[0].Routes[0]
	if got.OldAnswers != 20 || got.OldBad != 0 || got.NewAnswers != 5 || got.NewBad != 3 {
		t.Errorf("counted %v, want 20 old responses, none bad, and 5 new responses, 3 bad", got)
	}
	if later := table.report(); later.Sequence <= report.Sequence {
		t.Errorf("the next report has sequence number %d, want more than %d", later.Sequence, report.Sequence)
	}
}

// Shard calls to servers of the old version are counted as open until they can no longer be sent there.
func TestRolloutCountsOpenCalls(t *testing.T) {
	table, shards, _ := newTestRollouts()
	table.callOpened(shards.shardIndex("s")) // before the rollout began
	table.apply(rolloutDocument(1, rollout.Rollout{Number: 1, Service: "s", TargetVersion: "v2", DurationS: 15, State: rollout.Running, Step: 4}))
	for _, want := range []uint32{1, 0} {
		if got := table.report().Rollouts[0].OpenOld; got != want {
			t.Errorf("%d calls are reported as open, want %d", got, want)
		}
		table.callClosed(shards.shardIndex("s"))
	}
	table.apply(rolloutDocument(2, rollout.Rollout{Number: 1, Service: "s", TargetVersion: "v2", DurationS: 15, State: rollout.Completed, Step: 4}))
	if table.report() != nil {
		t.Error("report() returns a completed rollout")
	}
}
