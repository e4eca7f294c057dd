package outlier

import "time"

// State is what gateways do about a server.
type State uint8

const (
	// Healthy means that the server is used.
	Healthy State = iota
	// Avoided means that the server is slow, and not used for a while.
	Avoided
	// Ejected means that the server does not respond, and is not used.
	Ejected
	// Probation means that the server is ejected, and its lease holder may probe it with a request.
	Probation
)

// String returns the name that is sent to operators.
func (s State) String() string { return [...]string{"in", "avoided", "out", "on trial"}[s] }

// Status is what gateways do about a server, and why.
type Status struct {
	State       State
	Factor      float64       // by which the server is predicted to be slower than this gateway's record of it; 1 = as recorded
	Reason      string        // for operators
	Since       time.Duration // when it entered the state
	ProbationAt time.Duration // of an ejected server: when it enters probation
	Pinned      bool          // held by an operator whatever is observed
}

// Reasons of a status, for operators.
const (
	reasonPinned       = "pinned by an operator"
	reasonUnpinned     = "the pin has ended"
	reasonRefused      = "its address refuses connections"
	reasonUnresponsive = "several gateways receive no responses"
	reasonSlow         = "several gateways find it slower than its peers"
	reasonRecovered    = "it responded to a probe"
	reasonRetried      = "it is used again after it was avoided"
	reasonUnobserved   = "there are no recent observations of it"
)
