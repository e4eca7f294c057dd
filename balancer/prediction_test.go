package balancer

import (
	"testing"
)

func TestErrorLatencyDoesNotLowerUnitLatency(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	before := b.servers[1].unitLatency
	b.finish(b.sendTo(t, 1, 1000), 10, Errored)
	failIf(t, b.servers[1].unitLatency < before,
		"unit latency fell from %v to %v after an error", before, b.servers[1].unitLatency)
	b.finish(b.sendTo(t, 1, 1000), 10, Errored)
	for range 4 {
		s := b.arrive(1)[0]
		failIf(t, s.Server == 1, "a server that returns errors is still chosen")
	}
}

func TestOverdueAttemptRaisesPrediction(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(20, 1000)
	s := b.sendTo(t, 1, 1000)
	call := &shardCall{req: &request{policy: b.types[0]}, size: 1}
	due := b.predict(b.servers[1], call)
	b.now += 15 * b.inFlight[s.Call].attempts[0].predicted
	late := b.predict(b.servers[1], call)
	failIf(t, late < 4*due || b.isHealthyFor(b.servers[1], call),
		"predicted %d while the oldest attempt is 15 times overdue, %d before, or still healthy", late, due)
}

func TestTimeoutUpdatesUnitLatency(t *testing.T) {
	b := newHarness(1, nil)
	b.finish(b.arrive(1)[0], 1000, Answered)
	before := b.servers[1].unitLatency
	first, second := b.arrive(1)[0], b.arrive(1)[0]
	b.clock += 10000
	b.finish(second, 9000, Answered) // a response: the first attempt is slow, not lost
	updated := b.servers[1].unitLatency
	b.finish(first, 10000, TimedOut)
	failIf(t, b.servers[1].unitLatency < updated+before,
		"unit latency %v after a time-out at ten times %v, %v before it", b.servers[1].unitLatency, before, updated)
}

// Attempts lost with their connections must not increase a server's latency, or requests are shed while servers are idle.
func TestSilentTimeoutDoesNotUpdateLatency(t *testing.T) {
	b := newHarness(1, nil)
	b.finish(b.arrive(1)[0], 1000, Answered)
	before := b.servers[1].unitLatency
	b.finish(b.arrive(1)[0], 20000, TimedOut)
	failIf(t, b.servers[1].unitLatency != before,
		"unit latency %v after a silent loss, %v before", b.servers[1].unitLatency, before)
	failIf(t, b.servers[1].failureRate == 0, "a silent loss is not counted as a failure")
}

func TestSmallCallsDoNotInflateUnitLatency(t *testing.T) {
	b := newHarness(1, nil)
	for i := range 60 {
		call := ShardCall{ID: 1, Weight: 1, Size: []float64{2, 100}[i%2]}
		b.handle(RequestArrived{Request: 1, Number: 1, Timeout: 60000, Calls: []ShardCall{call}})
		b.finish(Send{Call: 1, Server: 1}, 1000, Answered)
	}
	latency := b.servers[1].unitLatency
	failIf(t, latency > 30, "unit latency %v, calls with a mean size of 51 take 1000", latency)
}

func TestCallCostIsIncludedInWork(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.CallCost = 44 })
	for i := range 60 {
		call := ShardCall{ID: 1, Weight: 1, Size: []float64{2, 28}[i%2]}
		b.handle(RequestArrived{Request: 1, Number: 1, Timeout: 60000, Calls: []ShardCall{call}})
		b.finish(Send{Call: 1, Server: 1}, []Time{460, 720}[i%2], Answered)
	}
	latency := b.servers[1].unitLatency
	failIf(t, latency < 9.9 || latency > 10.1, "unit latency %v, work of 46 and 72 takes 460 and 720", latency)
}

func TestLatencyIsSmoothedAndReportsExpire(t *testing.T) {
	b := newHarness(2, nil)
	b.finish(b.sendTo(t, 1, 1000), 1000, Answered)
	b.arrive(1)
	b.finish(Send{Call: ShardCallID(b.lastID * 100), Server: 2}, 20000, Answered)
	s, call := b.servers[2], &shardCall{req: &request{policy: b.types[0]}, size: 1}
	failIf(t, b.meanLatency != 1000 || s.unitLatency > 6000,
		"unit latency %v after a first answer at 20000, the mean is %v", s.unitLatency, b.meanLatency)
	b.arrive(1)
	failIf(t, b.meanLatency < 1000 || b.meanLatency > 2000,
		"mean %v with one server at 1000 and one at %v", b.meanLatency, s.unitLatency)
	s.unitLatency, s.measuredAt, s.reportedQueue, s.reportedAt = 1e5, b.now, 9, b.now
	slow := b.predict(s, call)
	b.now += latencyMaxAge
	got := b.predict(s, call)
	failIf(t, slow < 500000 || got > 2000, "predicted %d on a bad report, %d when that is old", slow, got)
}
