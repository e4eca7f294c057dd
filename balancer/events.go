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

// Server is one entry of the server list.
type Server struct {
	ID          ServerID
	Zone        ZoneIndex
	Cell        CellIndex
	State       ServerState
	StartedAt   Time // 0 = long ago
	MaxInFlight int  // attempts of this instance in flight there; 0 = no limit
}

// OutlierVerdict is what the instances together conclude about a server.
type OutlierVerdict struct {
	ID             ServerID
	Ejected        bool    // avoid it while another replica can be used
	Recovered      bool    // an instance has found that it answers again
	SlowdownFactor float64 // by which its predicted latency grows; 0 = unchanged
}

// ServerRecord is what was measured of one server. Its JSON form is stored across restarts.
type ServerRecord struct {
	ID           ServerID
	StartedAt    Time    `json:"UpSince"`
	Latency      float64 `json:"Took"` // smoothed, as a Time
	Work         float64 `json:"Size"` // smoothed work that took Latency
	MeasuredAt   Time    `json:"TaughtAt"`
	EjectedUntil Time    `json:"OutUntil"`
	FailureRate  float64 `json:"Failing"` // smoothed, 0 to 1
}

// ServerListKind says how a ServerList relates to the list before it.
type ServerListKind uint8

// Kinds of server list updates.
const (
	ListDelta    ServerListKind = iota // only the entries that changed
	ListComplete                       // all servers; others are removed
	ListCached                         // all servers, from a possibly old copy
	ListFailed                         // a request or the subscription failed; there are no entries
)

// ShardCall is one call of a request.
type ShardCall struct {
	ID     ShardCallID
	Shard  ShardIndex
	Weight float64 // in the coverage of the answer; the weights of a request add up to 1
	Size   float64 // expected work in milliseconds; 0 = unknown
}

// WeightedShard is a shard that may serve a request, with its weight in the choice.
type WeightedShard struct {
	Shard  ShardIndex
	Weight float64
}

// PeerLoad is the number of calls that other instances have in flight at a server.
type PeerLoad struct {
	Server   ServerID
	InFlight float64
}

// LoadReport is the load that a server reports. A negative figure was not reported.
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
	// RequestArrived carries all calls of the first phase. The calls of a second one come as SecondPhaseArrived.
	RequestArrived struct {
		Request    RequestID
		Number     RequestNumber
		Type       QueryType
		Customer   CustomerIndex
		Timeout    Time // until the client gives up this attempt
		Retry      bool // the client marks it as a retry
		MayHaveRun bool // a request with the same idempotency key was sent, and its outcome is unknown
		Calls      []ShardCall
		Candidates []WeightedShard // of a request with one call: shards to choose from; empty = use the call's own
	}
	// SecondPhaseArrived carries the calls of a second phase.
	SecondPhaseArrived struct {
		Number RequestNumber
		Calls  []ShardCall
	}
	// AttemptEnded comes exactly once for each Send.
	AttemptEnded struct {
		Call    ShardCallID
		Attempt AttemptNumber
		Server  ServerID
		Elapsed Time
		Outcome Outcome
		Report  *LoadReport // nil = none
	}
	// RequestCancelled says that the client has gone away.
	RequestCancelled struct{ Request RequestID }
	// TimerFired says that a timer of SetTimer has expired.
	TimerFired struct{ Timer TimerID }
	// HealthCheckEnded comes exactly once for each HealthCheck.
	HealthCheckEnded struct {
		Server  ServerID
		Outcome Outcome
		Report  *LoadReport // nil = none
	}
	// RecordsRestored carries the records of an earlier run, once the server list is known. Records that are too
	// old, or of another incarnation of their server, are ignored.
	RecordsRestored struct{ Servers []ServerRecord }
	// QueryTypeChanged adds or replaces a query type. Open requests keep the one they arrived with.
	QueryTypeChanged struct {
		Type   QueryType
		Config QueryTypeConfig
	}
	// ClusterResized sets the numbers of shards and of instances. Shards are added only if the replication
	// factor is 1.
	ClusterResized struct {
		Shards, Instances int
	}
	// BudgetShared gives a shard the retry budget of another from now on, where each shard has one: both hold servers of one service.
	BudgetShared struct{ Shard, With ShardIndex }
	// PeerUpdate carries what other instances have in flight at servers, and verdicts on servers.
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

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// Outcomes. The order matters: up to Rejected the server has responded.
const (
	Answered      Outcome = iota
	Errored               // may have run
	Rejected              // never ran: the server is full or draining
	TimedOut              // may have run, or be running
	ConnectFailed         // never ran
	Reset                 // the connection broke; may have run
	Cancelled             // may have run
	NotDispatched         // never sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotDispatched }
