package shardconn

import "oxbowspan/balancer"

// Command is a command that is submitted to a Client with TrySubmit.
type Command interface{ command() }

// Commands of a Client.
type (
	// Dispatch sends attempts.
	Dispatch struct{ Attempts []Attempt }
	// Cancel cancels an attempt, whose AttemptEnded follows. It has no effect on an attempt that has ended.
	Cancel struct {
		ID     balancer.ShardCallID
		Number balancer.AttemptNumber
	}
	// HealthCheck requests a health check, on a new connection if no open one has capacity. Exactly one
	// HealthCheckEnded follows, within the connect timeout.
	HealthCheck struct{}
	// CloseIdle closes the connections without attempts or health checks in flight, so that the next attempt opens a
	// new one.
	CloseIdle struct{}
	// CloseAll closes all connections, including those with attempts in flight, and fails the attempts that wait for
	// a connection.
	CloseAll struct{}
	// Drain closes each connection as soon as no attempt is in flight on it. No attempt may be dispatched after it.
	Drain struct{}
	// AddressChanged sets the server's address and the time of its latest start.
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
	WireID  string // identifies the call in frames
	Shard   balancer.ShardIndex
	Text    []byte
	Options string // options of the call in addition to its time limit; may be empty
	// Decode decodes the value of the answer; if nil, the value is reported unchanged. If it returns an error the
	// outcome is Errored, so that another replica may be tried. It runs in the client's goroutine and must not block.
	Decode   func(value string) (any, error)
	SentAt   balancer.Time
	Deadline balancer.Time
}

// AttemptEnded reports the outcome of an attempt, exactly once for each attempt of a Dispatch.
type AttemptEnded struct {
	ID           balancer.ShardCallID
	Number       balancer.AttemptNumber
	Server       balancer.ServerID
	Elapsed      balancer.Time
	Outcome      balancer.Outcome
	Report       *balancer.LoadReport // the server's load report; nil if there is none
	Value        string               // the value of the answer, if Attempt.Decode is nil
	Result       any                  // the result of Attempt.Decode
	DecodeFailed bool                 // Attempt.Decode returned an error
}

// EventHandler receives the events of a client. Its methods are called from the client's goroutine and may block only
// briefly.
type EventHandler interface {
	AttemptEnded(AttemptEnded)
	HealthCheckEnded(balancer.HealthCheckEnded)
}

// DescriptorBudget limits the number of file descriptors of connections. It must be safe for concurrent use.
type DescriptorBudget interface {
	// Acquire acquires a descriptor. It returns false if none is available.
	Acquire() bool
	Release()
}

// MemoryAccount accounts for memory that has already been allocated. It must be safe for concurrent use.
type MemoryAccount interface {
	ForceAcquire(bytes int64)
	Release(bytes int64)
}

type noopMemory struct{}

func (noopMemory) ForceAcquire(int64) {}
func (noopMemory) Release(int64)      {}

// Config configures a client.
type Config struct {
	ConnectTimeout    balancer.Time
	IdleTimeout       balancer.Time // after which the server closes an idle connection; 0 means never
	MaxStreamsPerConn int           // maximum number of attempts in flight on one connection
	MaxCallsPerFrame  int           // maximum number of attempts sent in one frame
	LoadHealthChecks  bool          // health checks request a load report
	LoadReports       bool          // the server sends load reports
	Memory            MemoryAccount // account of connections and received frames; nil if none is kept
}
