package balancer

import (
	"testing"
)

func TestRetryDeadlineCountsFromFirstAttempt(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.QueryTypes[0].LateValue, c.RetriesMarked = 0, true })
	calls := []ShardCall{{ID: 1, Weight: 1}}
	b.handle(RequestArrived{Request: 1, Number: 1, Timeout: 50000, Calls: calls})
	got := b.handle(RequestArrived{Request: 2, Number: 2, Timeout: 30000, Retry: true, Calls: calls})
	failIf(t, len(got) != 1 || got[0] != (Shed{Request: 2}),
		"a retry 30000 after the first attempt, with a target of 25000: %v", got)
}

func TestSlowReplicaDoesNotCauseShedding(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	b.servers[1].unitLatency = 1e6
	for range 5 {
		got := b.arrive(2)
		failIf(t, len(got) != 2, "%d of 2 calls sent with one healthy replica: %v", len(got), b.lastActions)
		for i, s := range got {
			b.finish(s, []Time{1000, 10}[i], Answered)
		}
	}
}

// An idle server is used even if its measured latency is high. A server with pending work is not.
func TestIdleServersAreUsedDespiteLatePrediction(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.QueryTypes[0].LateValue = 0 })
	b.answer(20, 1000)
	b.servers[1].unitLatency, b.servers[2].unitLatency = 1e6, 1e6
	first := b.arrive(1)
	failIf(t, len(first) != 1, "idle servers were not used: %v", b.lastActions)
	b.arrive(1)
	got := b.arrive(1)
	failIf(t, len(got) != 0, "a call was sent although another one ahead of it takes 100 s: %v", b.lastActions)
}

func TestOverQuotaCustomerIsShedOnlyUnderPressure(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.OverQuotaValue, c.Customers = 0.1, []CustomerConfig{{4}, {40}} })
	b.answer(20, 1000)
	for i := range 8 {
		got := len(b.arrive(1))
		failIf(t, (got == 1) != (i < 5),
			"request %d above the quota: %d calls sent with %d in flight of %v", i, got, len(b.inFlight), b.limit)
	}
}

func TestStuckCallsDoNotFillInFlightLimit(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.Instances = 90 })
	full := len(b.arrive(1))+len(b.arrive(1))+len(b.arrive(1)) == 3 && len(b.arrive(1)) == 0
	b.clock += 15000
	b.servers[1].unitLatency, b.servers[1].measuredAt = 100, b.clock
	failIf(t, !full || len(b.arrive(1)) != 1,
		"limit reached at first: %v; later shed with %d calls in flight, %d of them stuck", full, len(b.inFlight), b.stuckCalls)
}

// If calls with the same idempotency key may have run, a request is neither sent nor shed, unless it is idempotent.
func TestRequestThatMayHaveRunFailsImmediately(t *testing.T) {
	for idempotency, want := range map[Idempotency]string{NonIdempotent: "fail", Deduplicated: "fail", Idempotent: "send"} {
		b := newHarness(3, func(c *Config) { c.QueryTypes[0].Idempotency = idempotency })
		got := ""
		for _, a := range b.handle(RequestArrived{Request: 9, Number: 9, Timeout: 60000, MayHaveRun: true, Calls: []ShardCall{{ID: 900, Weight: 1}}}) {
			switch a.(type) {
			case Send:
				got += "send"
			case Fail:
				got += "fail"
			case Shed:
				got += "shed"
			}
		}
		failIf(t, got != want, "idempotency %d: actions %q, want %q", idempotency, got, want)
		failIf(t, idempotency != Idempotent && (len(b.requests) > 0 || len(b.requestsByNumber) > 0),
			"idempotency %d: the request is still open", idempotency)
	}
}

func TestRetryIsInferredFromTimeout(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.QueryTypes[0].LateValue = 0 })
	b.answer(4, 1000) // client timeout 60000
	target := func(timeout Time) Time {
		b.lastID++
		b.handle(RequestArrived{Request: RequestID(b.lastID), Number: RequestNumber(b.lastID), Timeout: timeout,
			Calls: []ShardCall{{ID: ShardCallID(b.lastID * 100), Weight: 1}}})
		return b.requests[RequestID(b.lastID)].targetAt - b.clock
	}
	failIf(t, target(45000) < 24000,
		"a first attempt with a shorter timeout is treated as a retry though no request was abandoned")
	b.clock += 40000
	b.types[0].abandonedAt = b.clock - 1000
	failIf(t, target(45000) > 10000, "a request with 15000 less time after one was abandoned is treated as a first attempt")
	b.types[0].abandonedAt = b.clock - 16000
	failIf(t, target(45000) < 24000,
		"treated as a retry though the last request was abandoned before its first attempt could have arrived")
}

// An instance among many observes an overload as high latency, long before its own in-flight limit is reached.
func TestOverloadShedsByLatencyTarget(t *testing.T) {
	b := newHarness(1, nil)
	b.answer(120, 1000)
	b.arrive(4)
	b.servers[1].unitLatency, b.meanLatency = 7000, 7000 // 4 calls behind 4: after the target, before the deadline
	sent := len(b.arrive(1))
	b.currentLatency = 4 * b.baseLatency
	shed := len(b.arrive(1))
	failIf(t, sent != 1 || shed != 0, "sent %d at low latency, %d at high latency", sent, shed)
}
