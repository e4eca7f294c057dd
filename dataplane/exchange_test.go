package dataplane

import (
	"testing"

	"oxbowspan/balancer"
)

// TestExchangeConnectionLost checks which attempt and outcome the loss of a connection yields, depending on how much of
// the request was written.
func TestExchangeConnectionLost(t *testing.T) {
	a := &attempt{}
	for _, test := range []struct {
		name     string
		prepare  func(x *exchange)
		lost     *attempt
		outcome  balancer.Outcome
		reusable bool
	}{
		{"idle", func(*exchange) {}, nil, balancer.Reset, true},
		{"before the first byte", func(x *exchange) { x.begin(a) }, a, balancer.Reset, false}, // the write may be under way
		{"no byte written", func(x *exchange) { x.begin(a); x.written(0) }, a, balancer.ConnectFailed, false},
		{"one byte written", func(x *exchange) { x.begin(a); x.written(1) }, a, balancer.Reset, false},
		{"response received", func(x *exchange) { x.begin(a); x.written(9); x.responseReceived() }, nil, balancer.Reset, true},
		{"response received during the write", func(x *exchange) { x.begin(a); x.responseReceived() }, nil, balancer.Reset, false},
		{"next request", func(x *exchange) { x.begin(&attempt{}); x.written(9); x.responseReceived(); x.begin(a) }, a, balancer.Reset, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := &exchange{}
			test.prepare(x)
			if got := x.reusable(); got != test.reusable {
				t.Errorf("reusable() = %v, want %v", got, test.reusable)
			}
			lost, outcome := x.connectionLost(balancer.Reset)
			if lost != test.lost || outcome != test.outcome {
				t.Errorf("connectionLost() = %p, %d, want %p, %d", lost, outcome, test.lost, test.outcome)
			}
			if again, _ := x.connectionLost(balancer.Reset); again != nil {
				t.Error("connectionLost returns the attempt twice")
			}
		})
	}
}
