package dataplane

import "oxbowspan/balancer"

// exchange is the state of the HTTP exchange on a connection to a server: the attempt whose response is pending, and the
// progress of writing its request. It performs no I/O and is not safe for concurrent use; serverConn provides both.
//
// Once the first byte of its request has been passed to the connection, an attempt may have run, and only its own
// response can show whether it did. Before that it cannot have run and never will, as the request exists in this gateway
// only.
type exchange struct {
	pending     *attempt // nil = no response is pending, and any that arrives belongs to no attempt
	writing     bool     // the request is still being written
	nothingSent bool     // the write ended before any byte was sent
}

// begin starts the exchange of an attempt. It must be called before the first byte is written, as the response may arrive
// at any moment from then on.
func (x *exchange) begin(a *attempt) { *x = exchange{pending: a, writing: true} }

// written records that the write of the request has ended after the given number of bytes.
func (x *exchange) written(bytes int) {
	x.writing = false
	x.nothingSent = bytes == 0
}

// responseReceived records that the response is complete.
func (x *exchange) responseReceived() { x.pending = nil }

// reusable reports whether another request may be written: no response is pending and the write of the last request has
// ended.
func (x *exchange) reusable() bool { return x.pending == nil && !x.writing }

// connectionLost ends the exchange after a connection failure. It returns the attempt whose response was pending, nil =
// none, and its outcome: the given one, or ConnectFailed if no byte of the request was sent.
func (x *exchange) connectionLost(outcome balancer.Outcome) (*attempt, balancer.Outcome) {
	a := x.pending
	x.pending = nil
	if x.nothingSent {
		outcome = balancer.ConnectFailed
	}
	return a, outcome
}
