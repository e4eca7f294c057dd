package balancer

import (
	"slices"
	"testing"
)

func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	b := newHarness(3, func(c *Config) { c.QueryTypes[0].MinCoverage = 0.8; c.AllowHedging = false })
	for _, s := range b.arrive(5)[:4] {
		b.finish(s, 100, Answered)
	}
	for b.requests[1] != nil && b.clock < 1000000+25000 {
		b.clock += 50
		b.handle(TimerFired{1})
	}
	failIf(t, !slices.Contains(b.lastActions, Action(Answer{Request: 1})), "no partial answer at the latency target: %v", b.lastActions)
}

func TestNoStateLeaksAfterRequests(t *testing.T) {
	b := newHarness(4, nil)
	for i := range 20000 {
		for _, s := range b.arrive(2) {
			b.finish(s, Time(300+i%7), Answered)
		}
	}
	failIf(t, len(b.requests)+len(b.requestsByNumber)+len(b.inFlight) != 0,
		"not removed after the end: %v, %v, %v", b.requests, b.requestsByNumber, b.inFlight)
}

// Clients that do not mark their retries would retry the whole of a request that is shed at its target.
func TestRequestRunsPastTargetWhenRetriesAreUnmarked(t *testing.T) {
	for _, marked := range []bool{false, true} {
		b := newHarness(1, func(c *Config) { c.QueryTypes[0].LateValue, c.RetriesMarked = 0, marked })
		b.answer(4, 1000)
		b.arrive(1)
		b.clock += 26000 // past the target of 25000, before the timeout of 60000
		shed := slices.ContainsFunc(b.handle(TimerFired{TimerID(b.lastID)}), func(a Action) bool { _, is := a.(Shed); return is })
		failIf(t, shed != marked, "retries marked %v: shed at the target %v", marked, shed)
	}
}
