package balancer

// Action is an output of Balancer.Handle, to be performed at once and in order.
type Action interface{ action() }

// The actions. Answer, Shed and Fail end a request, except that the Answer of a first phase does not.
type (
	// Send sends an attempt of a call to a server.
	Send struct {
		Call    ShardCallID
		Server  ServerID
		Timeout Time // from now
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
