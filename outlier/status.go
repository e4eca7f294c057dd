package outlier

import "time"

// State determines whether gateways send requests to a server.
type State uint8

const (
	// Healthy means that the server is used.
	Healthy State = iota
	// Avoided means that the server is slow and temporarily not used.
	Avoided
	// Ejected means that the server does not respond and is not used.
	Ejected
	// Probation means that the server is ejected, but the gateway that holds its lease may probe it with a request.
	Probation
)

// String returns the name that operators read.
func (s State) String() string { return [...]string{"in", "avoided", "out", "on trial"}[s] }

// Status is the state of a server, with the reason for it.
type Status struct {
	State       State
	Factor      float64       // factor by which to predict the server slower than this gateway measured it; 1 = as measured
	Reason      string        // why the server entered the state, for operators
	Since       time.Duration // when the server entered the state
	ProbationAt time.Duration // for an ejected server, when it enters probation
	Pinned      bool          // fixed by an operator regardless of observations
}

// Reasons for a status. Operators read them.
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
