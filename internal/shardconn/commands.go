package shardconn

import "oxbowspan/balancer"

// Command is what a Client takes by TrySubmit.
type Command interface{ command() }

// The commands.
type (
	// Dispatch sends attempts.
	Dispatch struct{ Attempts []Attempt }
	// Cancel cancels an attempt. Its AttemptEnded still follows.
	Cancel struct {
		ID     balancer.ShardCallID
		Number balancer.AttemptNumber
	}
	// HealthCheck requests a health check, on a new connection if no other has capacity. Its HealthCheckEnded
	// follows once, within the connect timeout.
	HealthCheck struct{}
	// CloseIdle closes the connections without attempts in flight, so that the next attempt opens a new one.
	CloseIdle struct{}
	// CloseAll closes all connections, whatever is in flight on them.
	CloseAll struct{}
	// Drain closes each connection once nothing is in flight on it. Nothing may be dispatched after it.
	Drain struct{}
	// AddressChanged says where the server listens now, and when it was started.
	AddressChanged struct {
		Addr      string
		StartedAt balancer.Time
	}
)

func (Dispatch) command()       {}
func (Cancel) command()         {}
func (HealthCheck) command()    {}
func (CloseIdle) command()      {}
func (CloseAll) command()       {}
func (Drain) command()          {}
func (AddressChanged) command() {}

// Attempt is one attempt of a shard call.
type Attempt struct {
	ID      balancer.ShardCallID
	Number  balancer.AttemptNumber
	WireID  string // the id of the call in frames
	Shard   balancer.ShardIndex
	Text    []byte
	Options string // added to the options of the call beside its time limit; "" = none
	// Decode decodes the value of the answer; nil = the value is passed on as it is. Its error makes the outcome
	// Errored, so that another replica may be tried. It runs in the client's goroutine and must not block.
	Decode   func(value string) (any, error)
	SentAt   balancer.Time
	Deadline balancer.Time
}

// AttemptEnded is the outcome of an attempt. It comes exactly once for each attempt of a Dispatch.
type AttemptEnded struct {
	ID           balancer.ShardCallID
	Number       balancer.AttemptNumber
	Server       balancer.ServerID
	Elapsed      balancer.Time
	Outcome      balancer.Outcome
	Report       *balancer.LoadReport // nil = none
	Value        string               // without Attempt.Decode
	Result       any                  // of Attempt.Decode
	DecodeFailed bool                 // Attempt.Decode returned an error
}

// EventHandler receives what a client reports. Its methods are called from the client's goroutine and may block
// for a moment.
type EventHandler interface {
	AttemptEnded(AttemptEnded)
	HealthCheckEnded(balancer.HealthCheckEnded)
}

// DescriptorBudget limits the file descriptors of connections. It is called from several goroutines.
type DescriptorBudget interface {
	// Acquire reports whether a descriptor was available, and takes it.
	Acquire() bool
	Release()
}

// MemoryAccount accounts for memory that is in use already. It is called from several goroutines.
type MemoryAccount interface {
	ForceAcquire(bytes int64)
	Release(bytes int64)
}

type noopMemory struct{}

func (noopMemory) ForceAcquire(int64) {}
func (noopMemory) Release(int64)      {}

// Config holds the limits that a client keeps.
type Config struct {
	ConnectTimeout   balancer.Time
	IdleTimeout      balancer.Time // after which the server closes an idle connection; 0 = never
	StreamsPerConn   int           // attempts in flight on one connection
	CallsPerFrame    int
	LoadHealthChecks bool          // health checks request a load report
	LoadReports      bool          // the server sends load reports
	Memory           MemoryAccount // of connections and received frames; nil = not accounted
}
