package balancer

import (
	"slices"
	"testing"
)

// The base ejection time must not exceed what requests can wait within their latency target.
func TestBaseEjectionFollowsLatencyTarget(t *testing.T) {
	for target, want := range map[Time]Time{2500: 1250, 25000: firstBackoff} {
		b := newHarness(2, func(c *Config) { c.QueryTypes[0].LatencyTarget = target })
		b.recordFailure(b.servers[1], lossWeight)
		failIf(t, b.servers[1].ejectedUntil != b.now+want,
			"ejected for %v at a target of %v", b.servers[1].ejectedUntil-b.now, target)
	}
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
	b.clock = max(b.clock, s.ejectedUntil) + 1
	for range 100 {
		out := b.arrive(1)
		if len(out) == 0 || out[0].Server == 1 {
			t.Fatalf("a request depends on the server on probation: %v", out)
		}
		if len(out) == 2 {
			failIf(t, out[1].Server != 1, "the probation attempt was sent to server %d, want 1", out[1].Server)
			b.finish(out[0], 100, Answered)
			failIf(t, slices.ContainsFunc(b.lastActions, func(a Action) bool { _, ok := a.(Cancel); return ok }),
				"the probation attempt was cancelled")
			b.clock += 100
			b.handle(AttemptEnded{Call: out[1].Call, Attempt: 1, Server: 1, Elapsed: 200, Outcome: Answered})
			failIf(t, s.probation, "its answer did not end the probation")
			return
		}
		b.finish(out[0], 100, Answered)
	}
	t.Error("no probation attempt was made")
}

// Lost attempts at some servers of a zone increase the predictions of the others, until these respond or the losses are old.
func TestZoneFailureRateAffectsItsServers(t *testing.T) {
	b := newHarness(0, func(c *Config) { c.MaxAttempts = 1 })
	var list []Server
	for id := range 12 {
		list = append(list, Server{ID: ServerID(id + 1), State: Ready, Zone: ZoneIndex(id % 2)})
	}
	b.handle(ServerList{ListComplete, list})
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
	b.servers[8].respondedAt = b.clock + 1
	if now := predicted(8); now > 3*before/2 {
		t.Errorf("predicted %d for a server that has responded since, %d before", now, before)
	}
	b.servers[8].respondedAt = 0
	b.clock += latencyMaxAge
	b.handle(TimerFired{})
	if now := predicted(8); now > 3*before/2 {
		t.Errorf("predicted %d long after the losses, %d before", now, before)
	}
}

// If a call may have only one attempt, that attempt is the probation attempt.
func TestNoHedgedProbationWithSingleAttempt(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.MaxAttempts = 1 })
	b.answer(20, 100)
	b.servers[1].probation, b.servers[1].ejectedUntil = true, b.clock-1
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

// A middlebox drops idle connections: the first attempt on each is lost in silence, the next one is answered.
func TestDeadIdleConnectionsAreClosedBeforeUse(t *testing.T) {
	b := newHarness(1, nil)
	b.answer(4, 1000)
	closed := func() bool {
		return slices.ContainsFunc(b.lastActions, func(a Action) bool { _, is := a.(CloseIdle); return is })
	}
	for range 12 {
		b.clock += 20000
		s := b.arrive(1)[0]
		failIf(t, closed() && !b.idleConnsUnsafe(), "idle connections are closed though few were found dead")
		if closed() {
			return
		}
		b.finish(s, 12600, Cancelled)
		failIf(t, b.servers[s.Server].idleLossAt == 0, "a silent loss on an idle connection is not recorded")
		b.clock += 6000
		b.finish(b.arrive(1)[0], 1000, Answered)
	}
	t.Errorf("twelve idle connections were dead and none is closed, share %v", b.deadIdleShare)
}

// A failed health check avoids a probation attempt that would have failed a request.
func TestHealthCheckPrecedesProbation(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.AllowHedging, c.AllowHealthChecks = false, true })
	b.answer(4, 1000)
	b.finish(b.sendTo(t, 1, 1000), 10, ConnectFailed)
	b.clock = b.servers[1].ejectedUntil
	s := b.arrive(1)[0]
	failIf(t, s.Server == 1, "a call was sent to an ejected server without a health check")
	failIf(t, !slices.Contains(b.lastActions, Action(HealthCheck{1})), "no health check: %v", b.lastActions)
	b.handle(HealthCheckEnded{Server: 1, Outcome: TimedOut})
	failIf(t, b.servers[1].ejectedUntil <= b.clock, "a failed health check does not extend the ejection")
	b.clock = b.servers[1].ejectedUntil
	b.arrive(1)
	b.handle(HealthCheckEnded{Server: 1, Outcome: Answered})
	failIf(t, b.sendTo(t, 1, 1000).Server != 1, "the server that answered its health check gets no probation attempt")
}
