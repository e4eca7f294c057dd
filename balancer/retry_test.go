package balancer

import (
	"slices"
	"testing"
)

func TestAttemptIsOverdueAtHalfTheRemainingTime(t *testing.T) {
	b := newHarness(3, func(c *Config) { c.RetryBudgetSet, c.RetryBudgetBase, c.RetryBudgetWindow = true, 10, 50000 })
	b.arrive(1)
	for start := b.clock; b.clock < start+20000; b.clock += 200 {
		b.handle(TimerFired{1})
		attempts := b.requestsByNumber[1].calls[0].attempts
		failIf(t, (len(attempts) > 1) != (b.clock-start > 12400), "attempts %v after %d, the target is 25000", attempts, b.clock-start)
	}
}

func TestRetriesAreSpreadWhenServersReject(t *testing.T) {
	b := newHarness(2, nil)
	b.arrive(1)
	attempts := func() []*attempt { return b.requestsByNumber[1].calls[0].attempts }
	for start := b.clock; b.clock < start+10000; b.clock += 200 {
		b.handle(TimerFired{1})
		for number, a := range attempts() {
			b.handle(AttemptEnded{Call: 100, Attempt: AttemptNumber(number), Server: a.server.id, Elapsed: 30, Outcome: Rejected})
		}
	}
	n := len(attempts())
	failIf(t, n != 2, "%d of 3 attempts used in the first sixth of the time", n)
}

// Probation attempts leave half of the retry budget for calls that failed.
func TestProbationUsesAtMostHalfOfRetryBudget(t *testing.T) {
	b := newHarness(8, nil)
	b.answer(100, 100)
	most := 0.0
	for range 400 {
		b.clock += 100
		for id := range 4 {
			s := b.servers[ServerID(id+1)]
			s.probation, s.ejectedUntil = true, b.clock-1
		}
		for i, s := range b.arrive(1) {
			b.handle(AttemptEnded{Call: s.Call, Attempt: AttemptNumber(i), Server: s.Server, Elapsed: 50, Outcome: Answered})
		}
		most = max(most, b.budgetFor(0).retries.upper(b.now)/(b.budgetBase+b.budgetRatio*b.budgetFor(0).admitted.lower(b.now)))
	}
	failIf(t, most < 0.2 || most > probationShare+0.01, "probation attempts used %.2f of the budget", most)
}

// With a quarter of the default budget for hedges, requests of 20 calls waited for one call while three replicas were idle.
func TestHedgesMayUseEntireRetryBudget(t *testing.T) {
	b := newHarness(3, nil)
	b.answer(200, 100)
	budget := b.budgetBase + b.budgetRatio*b.budgetFor(0).admitted.lower(b.now)
	b.budgetFor(0).retries.add(b.now, budget/2)
	first := b.arrive(1)[0]
	due := b.inFlight[first.Call].attempts[0].overdueAfter
	b.advance(due)
	if got := b.sends(); len(got) != 1 || got[0].Server == first.Server {
		t.Errorf("sends for an overdue call with half of the budget left: %v, want one to another server", got)
	}
}

// Both attempts of a call may be at partitioned servers. As only two may be in flight, the first one is cancelled.
func TestThirdReplicaIsUsedWhenTwoAreSilent(t *testing.T) {
	b := newHarness(4, func(c *Config) { c.MaxAttempts = 4 })
	b.answer(200, 100)
	first := b.arrive(1)[0]
	call := b.inFlight[first.Call]
	b.advance(call.attempts[0].overdueAfter)
	second := b.sends()
	if len(second) != 1 {
		t.Fatalf("actions for an overdue call: %v, want one hedge", b.lastActions)
	}
	for range 200 {
		if b.advance(100); len(b.lastActions) > 0 && b.clock >= call.attempts[1].sentAt+call.attempts[1].overdueAfter {
			break
		}
	}
	failIf(t, !slices.Contains(b.lastActions, Action(Cancel{first.Call, 0})),
		"actions while both attempts are silent: %v, want the first one cancelled", b.lastActions)
	b.handle(AttemptEnded{Call: first.Call, Attempt: 0, Server: first.Server, Elapsed: 1, Outcome: Cancelled})
	third := b.sends()
	if len(third) != 1 || third[0].Server == first.Server || third[0].Server == second[0].Server {
		t.Errorf("actions after the cancellation: %v, want an attempt at a third replica", b.lastActions)
	}
	failIf(t, call.inFlight != 2, "%d attempts in flight", call.inFlight)
}

// Without hedging, an overdue call must not remain at a silent server until its deadline.
func TestOverdueAttemptIsCancelledWithoutHedging(t *testing.T) {
	b := newHarness(2, func(c *Config) { c.AllowHedging = false })
	b.answer(4, 1000)
	s := b.arrive(1)[0]
	first := b.inFlight[s.Call].attempts[0]
	b.clock = first.sentAt + first.overdueAfter
	actions := b.handle(TimerFired{TimerID(b.lastID)})
	failIf(t, !slices.Contains(actions, Action(Cancel{s.Call, 0})),
		"actions for an overdue attempt without hedging: %v, want it cancelled", actions)
	for _, a := range actions {
		_, sent := a.(Send)
		failIf(t, sent, "retried before the first attempt has ended: %v", actions)
	}
	actions = b.handle(AttemptEnded{Call: s.Call, Server: s.Server, Elapsed: first.overdueAfter, Outcome: Cancelled})
	failIf(t, len(actions) == 0, "no retry once the first attempt has ended")
	for _, a := range actions {
		retry, sent := a.(Send)
		failIf(t, sent && retry.Server == s.Server, "retried at the same server")
	}
}

// A probation attempt that is in flight beside an overdue one was cancelled also where the configuration does not allow cancels.
func TestProbationAttemptIsCancelledOnlyWhereAllowed(t *testing.T) {
	queryType := gatewayQueryType
	queryType.MaxAttempts = 3
	for _, allowed := range []bool{false, true} {
		b := gatewayHarnessWith(1, queryType, func(c *Config) { c.AllowCancel = allowed })
		var sends []Send
		for range 100 {
			s := b.servers[1]
			s.probation, s.ejectedUntil = true, b.clock-1
			if sends, _ = b.request(1); len(sends) == 2 {
				break
			}
			b.finish(sends[0], 20*Millisecond, Answered)
		}
		if len(sends) != 2 {
			t.Fatal("no probation attempt was made")
		}
		first := b.inFlight[sends[0].Call].attempts[0]
		b.clock = first.sentAt + first.overdueAfter
		actions := b.handle(TimerFired{TimerID(b.lastID)})
		cancelled := slices.Contains(actions, Action(Cancel{sends[0].Call, 1}))
		failIf(t, cancelled != allowed, "cancels allowed %v, cancelled %v: %v", allowed, cancelled, actions)
	}
}
