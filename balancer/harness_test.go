package balancer

import (
	"testing"
)

// harness drives a Balancer with a clock and request numbers of its own.
type harness struct {
	*Balancer
	clock       Time
	lastID      uint64
	lastCall    uint64 // id of the last call with a weight of its own
	lastActions []Action
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
	b := &harness{Balancer: New(config), clock: 1000000}
	var list []Server
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready})
	}
	b.handle(ServerList{ListCached, list})
	return b
}

func (b *harness) handle(e Event) []Action {
	b.lastActions = b.Handle(b.clock, e)
	return b.lastActions
}

// arrive starts a request with a number of calls and returns the attempts that are sent for it.
func (b *harness) arrive(calls int) []Send {
	b.lastID++
	e := RequestArrived{Request: RequestID(b.lastID), Number: RequestNumber(b.lastID), Timeout: 60000}
	for i := range calls {
		e.Calls = append(e.Calls, ShardCall{ID: ShardCallID(b.lastID*100 + uint64(i)), Weight: 1 / float64(calls)})
	}
	var out []Send
	for _, a := range b.handle(e) {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// finish ends the first attempt of a call.
func (b *harness) finish(s Send, after Time, o Outcome) []Action {
	b.clock += after
	return b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: after, Outcome: o})
}

// answer starts and answers n requests of one call each.
func (b *harness) answer(n int, latency Time) {
	for range n {
		b.finish(b.arrive(1)[0], latency, Answered)
	}
}

// sendTo starts and answers requests until one is sent to the given server. That one stays open.
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

// sends returns the Send actions of the last event.
func (b *harness) sends() (out []Send) {
	for _, a := range b.lastActions {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// advance advances the clock and fires the timer of the last request.
func (b *harness) advance(after Time) []Action {
	b.clock += after
	return b.handle(TimerFired{TimerID(b.lastID)})
}
