package dataplane

import "oxbowspan/balancer"

// exchange is the state of one connection to a server: the attempt whose response is expected, and how much of its request has been
// written. It does no I/O and holds no lock; its serverConn does both.
//
// An attempt may have run from the first byte that is passed to the connection. Before that it has not run and never will, as only
// this gateway knows of it; afterwards only its own response can tell.
type exchange struct {
	pending     *attempt // nil = no response is expected, and any that comes belongs to no attempt
	writing     bool     // its request is still being written
	nothingSent bool     // writing ended without a byte
}

// begin starts an attempt, before its first byte is written: from then on its response may come at any moment.
func (x *exchange) begin(a *attempt) { *x = exchange{pending: a, writing: true} }

// written ends the writing of the request, after so many bytes.
func (x *exchange) written(bytes int) {
	x.writing = false
	x.nothingSent = bytes == 0
}

// responseReceived ends the attempt with its complete response.
func (x *exchange) responseReceived() { x.pending = nil }

// reusable reports whether another request may be written: no response is expected, and nothing of the last request is still to be
// written.
func (x *exchange) reusable() bool { return x.pending == nil && !x.writing }

// connectionLost ends the exchange. It returns the attempt that has lost its response, nil = none, and its outcome.
func (x *exchange) connectionLost(outcome balancer.Outcome) (*attempt, balancer.Outcome) {
	a := x.pending
	x.pending = nil
	if x.nothingSent {
		outcome = balancer.ConnectFailed
	}
	return a, outcome
}
