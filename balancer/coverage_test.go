package balancer

import (
	"slices"
	"testing"
)

// coverageHarness returns a balancer with four replicas, whose calls may have one attempt each.
func coverageHarness(change func(*QueryTypeConfig)) *harness {
	return newHarness(4, func(c *Config) {
		c.MaxAttempts, c.SlowStartShare = 1, 1
		change(&c.QueryTypes[0])
	})
}

// weightedCalls returns a call for each weight.
func (b *harness) weightedCalls(weights []float64) (calls []ShardCall) {
	for _, weight := range weights {
		b.lastCall++
		calls = append(calls, ShardCall{ID: ShardCallID(b.lastCall), Weight: weight})
	}
	return calls
}

// arriveWeighted starts a request with a call for each weight and returns the attempts that are sent for it.
func (b *harness) arriveWeighted(weights ...float64) []Send {
	b.lastID++
	b.handle(RequestArrived{Request: RequestID(b.lastID), Number: RequestNumber(b.lastID), Timeout: 60000, Calls: b.weightedCalls(weights)})
	return b.sends()
}

// secondPhase adds the calls of a second phase to the last request and returns the attempts that are sent for it.
func (b *harness) secondPhase(weights ...float64) []Send {
	b.handle(SecondPhaseArrived{Number: RequestNumber(b.lastID), Calls: b.weightedCalls(weights)})
	return b.sends()
}

// result ends the given attempts, those at the given indexes with errors and the others with answers, and lets time pass until the phase
// of the request has ended. It returns the action that ended it.
func (b *harness) result(t *testing.T, sends []Send, failing ...int) Action {
	t.Helper()
	if end := endOf(b.lastActions); end != nil {
		return end // on arrival
	}
	for i, s := range sends {
		outcome := Answered
		if slices.Contains(failing, i) {
			outcome = Errored
		}
		if end := endOf(b.finish(s, 50, outcome)); end != nil {
			return end
		}
	}
	for range 70 {
		if end := endOf(b.advance(1000)); end != nil {
			return end
		}
	}
	t.Fatalf("%d calls, %v fail: the request has not ended after its deadline", len(sends), failing)
	return nil
}

// endOf returns the action that ends a phase of a request, nil if there is none.
func endOf(actions []Action) Action {
	for _, action := range actions {
		switch action.(type) {
		case Answer, Shed, Fail:
			return action
		}
	}
	return nil
}

// ended describes an action that ends a phase of a request.
func ended(action Action) string {
	answer, ok := action.(Answer)
	switch {
	case !ok:
		return "none"
	case answer.Complete:
		return "complete"
	}
	return "partial"
}

// A minimum coverage, or one of a complete answer, that is not above the tolerance of the comparison was met by no call at all, so that a
// request whose calls had all failed, or had no response, was answered.
func TestRequestWithoutAnsweredCallGetsNoAnswer(t *testing.T) {
	for _, minimum := range []float64{-1, 0, 1e-9, 4e-5} {
		for _, complete := range []float64{1, 0} {
			for _, quadratic := range []bool{false, true} {
				for _, lateValue := range []float64{0, 0.3} {
					for _, respond := range []bool{true, false} {
						b := coverageHarness(func(c *QueryTypeConfig) {
							c.MinCoverage, c.CompleteCoverage, c.QuadraticPartialValue, c.LateValue = minimum, complete, quadratic, lateValue
						})
						sends := b.arriveWeighted(0.3, 0.3, 0.4)
						if !respond {
							sends = nil
						}
						end := ended(b.result(t, sends, 0, 1, 2))
						failIf(t, end != "none", "minimum %v, complete %v, quadratic %v, late value %v, servers respond %v: %s answer without an answered call",
							minimum, complete, quadratic, lateValue, respond, end)
					}
				}
			}
		}
	}
}

// The tolerance of the comparison exceeded the weights of calls: an answer without a call of less weight was complete, one that lacked a
// little of its minimum was given, and weights that lacked a little of 1 never sufficed.
func TestToleranceOfCoverageReplacesNoCall(t *testing.T) {
	third := float64(float32(1) / 3)
	for _, test := range []struct {
		minimum, complete float64
		weights           []float64
		failing           []int
		want              string
	}{
		{1, 1, []float64{0.99999, 0.00001}, []int{1}, "none"},
		{0.5, 1, []float64{0.99999, 0.00001}, []int{1}, "partial"},
		{0.5, 1, []float64{1, 0}, []int{1}, "partial"},
		{0.5, 1, []float64{0.99999, 0.00001}, nil, "complete"},
		{0.00001, 1, []float64{0.999991, 0.000009}, []int{0}, "none"},
		{0.00001, 1, []float64{0.99999, 0.00001}, []int{0}, "partial"},
		{0.66668, 1, []float64{third, third, third}, []int{0}, "none"},
		{2.0 / 3, 1, []float64{third, third, third}, []int{0}, "partial"},
		{0.8, 0.8, []float64{float64(float32(0.7)), float64(float32(0.1)), float64(float32(0.2))}, []int{2}, "complete"},
		{1, 1, []float64{0.333, 0.333, 0.333}, nil, "complete"},
		{0.6667, 1, []float64{0.3336, 0.3336, 0.3336}, []int{0}, "none"},
		{0, 1, []float64{0, 0}, []int{0}, "none"},
		{0, 1, []float64{0, 0}, nil, "complete"},
		{1.5, 1.5, []float64{0.5, 0.5}, nil, "none"},
	} {
		b := coverageHarness(func(c *QueryTypeConfig) { c.MinCoverage, c.CompleteCoverage = test.minimum, test.complete })
		end := ended(b.result(t, b.arriveWeighted(test.weights...), test.failing...))
		failIf(t, end != test.want, "minimum %v, complete %v, weights %v, %v fail: %s, want %s",
			test.minimum, test.complete, test.weights, test.failing, end, test.want)
	}
}

// A second phase was complete without a call of less weight than the tolerance, and without any answered call where its weights were 0.
func TestSecondPhaseIsCompleteWithAllCallsOnly(t *testing.T) {
	for _, test := range []struct {
		minimum float64
		weights []float64
		failing []int
		want    string
	}{
		{1, []float64{0.99999, 0.00001}, []int{1}, "none"},
		{1, []float64{0.99999, 0.00001}, nil, "complete"},
		{0.5, []float64{0.99999, 0.00001}, []int{1}, "partial"},
		{0.5, []float64{1, 0}, []int{1}, "partial"},
		{0, []float64{0.5, 0.5}, []int{0, 1}, "none"},
	} {
		b := coverageHarness(func(c *QueryTypeConfig) { c.MinCoverage, c.SecondPhaseCalls = test.minimum, 2 })
		first := ended(b.result(t, b.arriveWeighted(1)))
		failIf(t, first != "complete", "first phase: %s", first)
		end := ended(b.result(t, b.secondPhase(test.weights...), test.failing...))
		failIf(t, end != test.want, "minimum %v, weights %v, %v fail: %s, want %s", test.minimum, test.weights, test.failing, end, test.want)
	}
}
