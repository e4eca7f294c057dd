package dataplane

import "oxbowspan/balancer"

// exchange is the state of one connection to a server: the request whose answer is due, and how much of it has been handed over.
// It does no I/O and holds no lock; its link does both.
//
// A request counts as perhaps run from its first byte that is handed to the connection. Before that it has not run and never
// will, as nobody but this gatherer knows of it; from then on only its own answer can say so.
type exchange struct {
	pending     *attempt // whose answer is due; nil = none, and whatever comes is nobody's
	writing     bool     // its request is still being handed over
	nothingSent bool     // not a byte of its request could be handed over
}

// begin takes a request, before its first byte is handed over: its answer may come at any moment from then on.
func (x *exchange) begin(c *attempt) { *x = exchange{pending: c, writing: true} }

// written notes the end of handing over, with so many bytes taken.
func (x *exchange) written(bytes int) {
	x.writing = false
	x.nothingSent = bytes == 0
}

// responseReceived notes a whole answer.
func (x *exchange) responseReceived() { x.pending = nil }

// reusable tells whether another request may be handed over: nothing is due, and nothing of the last request is still on its way
// into the connection.
func (x *exchange) reusable() bool { return x.pending == nil && !x.writing }

// connectionLost notes the end of the connection. It returns whose answer is lost, nil = nobody's, and what that says of its request.
func (x *exchange) connectionLost(outcome balancer.Outcome) (*attempt, balancer.Outcome) {
	c := x.pending
	x.pending = nil
	if x.nothingSent {
		outcome = balancer.ConnectFailed
	}
	return c, outcome
}
