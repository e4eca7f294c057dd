package balancer

// Action is an output of Balancer.Handle. Actions must be performed at once and in order.
type Action interface{ action() }

// AttemptReason is the reason for which an attempt is sent.
type AttemptReason uint8

// Reasons of attempts.
const (
	FirstAttempt      AttemptReason = iota
	RetryAttempt                    // no other attempt is in flight
	HedgeAttempt                    // sent while another attempt is overdue
	ProbationAttempt                // sent with the first attempt, to test whether its server responds again
	NumAttemptReasons               // number of reasons
)

// String returns the reason as a single word, which metrics use as a label.
func (r AttemptReason) String() string {
	switch r {
	case FirstAttempt:
		return "first"
	case RetryAttempt:
		return "retry"
	case HedgeAttempt:
		return "hedge"
	case ProbationAttempt:
		return "probation"
	}
	return "unknown"
}

// The actions. Answer, Shed and Fail end a request, except for the Answer of a first phase.
type (
	// Send sends an attempt of a call to a server.
	Send struct {
		Call    ShardCallID
		Server  ServerID
		Timeout Time // counts from now
		Reason  AttemptReason
	}
	// Cancel cancels an attempt. The AttemptEnded event still follows.
	Cancel struct {
		Call    ShardCallID
		Attempt AttemptNumber
	}
	// Answer answers a request, or completes its first phase, with the calls answered so far.
	Answer struct {
		Request  RequestID
		Complete bool
	}
	// Shed ends a request that has not run, or is idempotent: the client may safely retry it.
	Shed struct {
		Request    RequestID
		RetryAfter Time // 0 = none
	}
	// Fail ends a request that may have run.
	Fail struct{ Request RequestID }
	// SetTimer requests a TimerFired event at a time.
	SetTimer struct {
		At    Time
		Timer TimerID
	}
	// Subscribe requests the server list.
	Subscribe struct{}
	// HealthCheck requests a health check of a server.
	HealthCheck struct{ Server ServerID }
	// CloseIdle closes the idle connections to a server, so that the next attempt opens a new one.
	CloseIdle struct{ Server ServerID }
)

func (Send) action()        {}
func (Cancel) action()      {}
func (Answer) action()      {}
func (Shed) action()        {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (Subscribe) action()   {}
func (HealthCheck) action() {}
func (CloseIdle) action()   {}
