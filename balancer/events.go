package balancer

// Event is an input of Balancer.Handle.
type Event interface{ event() }

// ServerState is the state of a listed server.
type ServerState uint8

// States of a server.
const (
	Removed ServerState = iota
	Ready
	Draining
)

// Server is an entry of the server list.
type Server struct {
	ID          ServerID
	Zone        ZoneIndex
	Cell        CellIndex
	State       ServerState
	StartedAt   Time // 0 = long ago
	MaxInFlight int  // limit of this instance's attempts in flight at it; 0 = no limit
}

// OutlierVerdict is the joint verdict of the instances on a server.
type OutlierVerdict struct {
	ID             ServerID
	Ejected        bool    // avoid it while another replica is available
	Recovered      bool    // an instance has found that it answers again
	SlowdownFactor float64 // factor by which its predicted latency increases; 0 = unchanged
}

// ServerRecord holds the measurements of one server. Its JSON form is stored across restarts.
type ServerRecord struct {
	ID           ServerID
	StartedAt    Time    `json:"UpSince"`
	Latency      float64 `json:"Took"` // smoothed, in units of Time
	Work         float64 `json:"Size"` // smoothed work that took Latency
	MeasuredAt   Time    `json:"TaughtAt"`
	EjectedUntil Time    `json:"OutUntil"`
	FailureRate  float64 `json:"Failing"` // smoothed, 0 to 1
}

// ServerListKind is the relation of a ServerList to the previous one.
type ServerListKind uint8

// Kinds of server list updates.
const (
	ListDelta    ServerListKind = iota // only the entries that changed
	ListComplete                       // all servers; others are removed
	ListCached                         // all servers, from a copy that may be outdated
	ListFailed                         // a request or the subscription failed; there are no entries
)

// ShardCall is one call of a request.
type ShardCall struct {
	ID     ShardCallID
	Shard  ShardIndex
	Weight float64 // share of the answer's coverage, relative to the sum of the weights of the request
	Size   float64 // expected work in milliseconds; 0 = unknown
}

// WeightedShard is a shard that may serve a request, with its weight in the selection.
type WeightedShard struct {
	Shard  ShardIndex
	Weight float64
}

// PeerLoad is the number of calls that other instances have in flight at a server.
type PeerLoad struct {
	Server   ServerID
	InFlight float64
}

// LoadReport is the load that a server reports. Negative values were not reported.
type LoadReport struct {
	Queued   float64 // calls waiting
	InFlight float64 // calls in execution
}

// The events.
type (
	// ServerList updates the server list.
	ServerList struct {
		Kind    ServerListKind
		Servers []Server
	}
	// RequestArrived starts a request with all calls of its first phase. SecondPhaseArrived adds those of a second one.
	RequestArrived struct {
		Request    RequestID
		Number     RequestNumber
		Type       QueryType
		Customer   CustomerIndex
		Timeout    Time // time until the client gives up this attempt
		Retry      bool // the client marks it as a retry
		MayHaveRun bool // a request with the same idempotency key was sent, and its outcome is unknown
		Calls      []ShardCall
		Candidates []WeightedShard // for a request with one call: shards to select from; empty = use the call's shard
	}
	// SecondPhaseArrived adds the calls of a second phase.
	SecondPhaseArrived struct {
		Number RequestNumber
		Calls  []ShardCall
	}
	// AttemptEnded reports the end of an attempt, exactly once for each Send.
	AttemptEnded struct {
		Call    ShardCallID
		Attempt AttemptNumber
		Server  ServerID
		Elapsed Time
		Outcome Outcome
		Report  *LoadReport // nil = none
	}
	// RequestCancelled reports that the client has disconnected or cancelled the request.
	RequestCancelled struct{ Request RequestID }
	// TimerFired reports that a timer of SetTimer has expired.
	TimerFired struct{ Timer TimerID }
	// HealthCheckEnded reports the result of a health check, exactly once for each HealthCheck.
	HealthCheckEnded struct {
		Server  ServerID
		Outcome Outcome
		Report  *LoadReport // nil = none
	}
	// RecordsRestored supplies the records of an earlier run, after the first server list. Records that are too old, or of
	// another incarnation of their server, are ignored.
	RecordsRestored struct{ Servers []ServerRecord }
	// QueryTypeChanged adds or replaces a query type. Open requests keep the configuration with which they arrived.
	QueryTypeChanged struct {
		Type   QueryType
		Config QueryTypeConfig
	}
	// ClusterResized sets the numbers of shards and of instances. Shards are added only if the replication
	// factor is 1.
	ClusterResized struct {
		Shards, Instances int
	}
	// BudgetShared makes Shard use the retry budget of Source from now on, if each shard has a budget: both shards have
	// servers of the same service.
	BudgetShared struct{ Shard, Source ShardIndex }
	// PeerUpdate supplies the calls that other instances have in flight at servers, and verdicts on servers.
	PeerUpdate struct {
		Loads    []PeerLoad
		Verdicts []OutlierVerdict
	}
)

func (ServerList) event()         {}
func (RequestArrived) event()     {}
func (SecondPhaseArrived) event() {}
func (AttemptEnded) event()       {}
func (RequestCancelled) event()   {}
func (TimerFired) event()         {}
func (HealthCheckEnded) event()   {}
func (RecordsRestored) event()    {}
func (QueryTypeChanged) event()   {}
func (ClusterResized) event()     {}
func (BudgetShared) event()       {}
func (PeerUpdate) event()         {}

// Outcome is the result of an attempt or a health check.
type Outcome uint8

// Outcomes. The order matters: with those up to Rejected, the server has responded.
const (
	Answered      Outcome = iota
	Errored               // may have run
	Rejected              // never ran: the server is full or draining
	TimedOut              // may have run, or may still be running
	ConnectFailed         // never ran
	Reset                 // the connection broke; may have run
	Cancelled             // may have run
	NotDispatched         // never sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotDispatched }
