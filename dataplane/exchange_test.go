package dataplane

import (
	"testing"

	"oxbowspan/balancer"
)

// What the end of a connection says of a request, by how much of it had been handed over.
func TestExchangeConnectionLost(t *testing.T) {
	c := &attempt{}
	for what, k := range map[string]struct {
		do       func(x *exchange)
		lost     *attempt
		outcome  balancer.Outcome
		reusable bool
	}{
		"idle":                       {func(*exchange) {}, nil, balancer.Reset, true},
		"before its first byte":      {func(x *exchange) { x.begin(c) }, c, balancer.Reset, false}, // the write may be under way
		"no byte was taken":          {func(x *exchange) { x.begin(c); x.written(0) }, c, balancer.ConnectFailed, false},
		"one byte was taken":         {func(x *exchange) { x.begin(c); x.written(1) }, c, balancer.Reset, false},
		"answered":                   {func(x *exchange) { x.begin(c); x.written(9); x.responseReceived() }, nil, balancer.Reset, true},
		"answered while it is taken": {func(x *exchange) { x.begin(c); x.responseReceived() }, nil, balancer.Reset, false},
		"the next one":               {func(x *exchange) { x.begin(&attempt{}); x.written(9); x.responseReceived(); x.begin(c) }, c, balancer.Reset, false},
	} {
		x := &exchange{}
		k.do(x)
		reusable := x.reusable()
		lost, outcome := x.connectionLost(balancer.Reset)
		if lost != k.lost || outcome != k.outcome || reusable != k.reusable {
			t.Errorf("%s: lost %p, outcome %d, reusable %v", what, lost, outcome, reusable)
		}
		if again, _ := x.connectionLost(balancer.Reset); again != nil {
			t.Errorf("%s: lost twice", what)
		}
	}
}
