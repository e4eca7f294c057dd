package balancer

// Action is an output of Balancer.Handle, to be performed at once and in order.
type Action interface{ action() }

// AttemptReason says why an attempt is sent.
type AttemptReason uint8

// Reasons of attempts.
const (
	FirstAttempt     AttemptReason = iota
	RetryAttempt                   // none is in flight any more
	HedgeAttempt                   // beside one that is overdue
	ProbationAttempt               // beside the first one, to learn whether its server responds again
	AttemptReasons                 // how many there are
)

// String returns the reason in one word, as metrics name it.
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

// The actions. Answer, Shed and Fail end a request, except that the Answer of a first phase does not.
type (
	// Send sends an attempt of a call to a server.
	Send struct {
		Call    ShardCallID
		Server  ServerID
		Timeout Time // from now
		Reason  AttemptReason
	}
	// Cancel cancels an attempt. Its AttemptEnded still follows.
	Cancel struct {
		Call    ShardCallID
		Attempt AttemptNumber
	}
	// Answer answers a request, or completes its first phase, with the calls that are answered.
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
	// SetTimer requests a TimerFired at a moment.
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
