// Package balancer decides, for one gatherer, where the parts of each search go and when it is answered.
// This file is its interface; the others hold every decision, by concern.
package balancer

import "math"

// Time is a moment or a span in whole tenths of a millisecond.
type Time int64

// Never comes after every moment.
const Never = Time(math.MaxInt64 / 4)

// Millisecond is the Time that one millisecond takes.
const Millisecond Time = 10

type (
	RequestID     uint64 // a search, as its client's protocol names it
	RequestNumber uint32 // a search's running number at this gatherer; later parts come under it
	ShardCallID   uint64 // one part of a search: what one shard is asked
	ServerID      uint32
	ShardIndex    int
	CellIndex     int    // a place in the layout; it tells which shards a server holds
	ZoneIndex     int    // where a server or gatherer stands
	QueryType     int    // position in Facts.QueryTypes
	CustomerIndex int    // position in Facts.Customers
	AttemptNumber uint16 // number of a sub-request among those of its part, from 0
	TimerID       uint32
)

// Idempotency says whether a part may run again.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // may run again
	Deduplicated                     // a repeat inside the window is dropped by the server
	NonIdempotent                    // must never run twice
)

// Config is what a gatherer is told of its deployment when it starts.
type Config struct {
	Seed            uint64
	Instances       int
	ClockResolution Time // shortest time between two events' moments
	QueryTypes      []QueryTypeConfig
	Customers       []CustomerConfig

	Cells, ReplicationFactor, Shards int // shard s is held in cells (s + j) mod Cells, j from 0 to Reach - 1

	CallCost          float64 // work in milliseconds that a call costs its server beside its parts'
	MaxAttempts       int     // for one part
	AllowCancel       bool    // Cancel may be used
	AllowHealthChecks bool    // Probe may be used
	AllowHedging      bool    // two sub-requests of a part may be out together
	MaxRetryAfter     Time    // the longest advice that clients follow; 0 = none is given
	RetriesMarked     bool    // clients mark their repeats, so that what is unmarked is a first try
	ListOnRequest     bool    // the server list comes only when asked for
	MaxListAge        Time    // how long the list may go unasked before its news counts as told
	DrainGrace        Time
	SlowStartShare    float64 // a server starts with this share of its capacity, or more
	SlowStartDuration Time    // and is warm after this
	OverloadMultiple  float64 // sent more than so many times its capacity
	OverloadWindow    Time    // for so long, a cold server falls over
	HasRetryBudget    bool
	RetryBudgetBase   float64
	RetryBudgetRatio  float64
	RetryBudgetWindow Time
	OverQuotaValue    float64 // value of a search beyond its customer's share

	RetryBudgetPerShard bool // the budget is stated for each shard; RetryBudgetBase is then for all gatherers together
	RetryBudgetDelayed  bool // an earlier life of this gatherer may have used its part: none is free in the first RetryBudgetWindow
	InferClientTimeout  bool // a client's time-out is the longest patience seen of late, not what is stated
	PreferLocalZone     bool // servers of the gatherer's own zone are better where they are as good
	LocalZone           ZoneIndex
	MeasuredAtClient    bool // latency targets and time-outs count at the client, not at this gatherer

	Limiter CapacityLimiter // nil = nothing else bounds them
}

// QueryTypeConfig describes one query type.
type QueryTypeConfig struct {
	Idempotency      Idempotency
	LatencyTarget    Time
	ClientTimeout    Time
	DedupWindow      Time    // tokened: how long repeats are dropped
	LateValue        float64 // share of the value after the latency target
	PartialValue     float64 // share of the value of an answer that is not whole
	MinCoverage      float64 // least share of parts, by weight, for an answer
	CompleteCoverage float64 // share of parts, by weight, that makes a whole answer
	SecondPhaseCalls int     // parts of the second step; 0 = one step

	MaxAttempts           int  // for one part; 0 = Facts.MaxAttempts
	QuadraticPartialValue bool // the value of an answer that is not whole is the square of its share
}

// CustomerConfig describes one customer: the searches a second, over all gatherers, within its share.
type CustomerConfig struct {
	QuotaPerSecond float64
}

// LoadReport is the load that a server last told of itself. A negative figure was not told.
type LoadReport struct {
	Queued   float64 // parts waiting
	InFlight float64 // parts in hand
}

// CapacityLimiter tells what else bounds the parts at a server, beside Server.Most. It is asked while an event is handled.
type CapacityLimiter interface {
	// CanAcquire tells whether one more part of a query type may be sent to a server now.
	CanAcquire(at ServerID, of QueryType, now Time) bool
	// LimitShare is how much of the in-flight limit a search of a query type may fill, 1 = all.
	LimitShare(of QueryType, now Time) float64
	// ExpectedWait is how long a part for which no server has room is likely to wait for it.
	ExpectedWait(at ShardIndex, of QueryType, now Time) Time
}

// Event is something that happened to this gatherer.
type Event interface{ event() }

// ServerState is what the list says of a server.
type ServerState uint8

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
	MaxInFlight int  // parts that may be unfinished there, of this gatherer; 0 = no limit
}

// OutlierVerdict is what all gatherers together hold of a server.
type OutlierVerdict struct {
	ID             ServerID
	Ejected        bool    // nothing goes there while another server can be asked
	Recovered      bool    // somebody found that it answers again
	SlowdownFactor float64 // so many times slower than its record it is to be predicted
}

// ServerRecord is what is known of one server: its latency record and its health.
type ServerRecord struct {
	ID           ServerID
	StartedAt    Time    `json:"UpSince"`
	Latency      float64 `json:"Took"` // smoothed latency in Time
	Work         float64 `json:"Size"` // the sizes that took it
	MeasuredAt   Time    `json:"TaughtAt"`
	EjectedUntil Time    `json:"OutUntil"`
	FailureRate  float64 `json:"Failing"` // smoothed share of failures
}

// ServerListKind says how a ServerList relates to the list held.
type ServerListKind uint8

const (
	ListDelta    ServerListKind = iota // only the entries that changed
	ListComplete                       // all servers; others are gone
	ListCached                         // all servers as last known, perhaps long ago
	ListFailed                         // a call failed or the subscription broke; no entries
)

// ShardCall is one part of a search.
type ShardCall struct {
	ID     ShardCallID
	Shard  ShardIndex
	Weight float64
	Size   float64 // expected work in milliseconds; 0 = not told
}

// WeightedShard is a shard among those that may answer a search.
type WeightedShard struct {
	Shard  ShardIndex
	Weight float64
}

// PeerLoad is the parts that other gatherers have unfinished at a server.
type PeerLoad struct {
	Server   ServerID
	InFlight float64
}

// The events. A RequestArrived carries all its parts; a second step's parts come as SecondPhaseArrived.
type (
	ServerList struct {
		Kind    ServerListKind
		Servers []Server
	}
	RequestArrived struct {
		Request    RequestID
		Number     RequestNumber
		Type       QueryType
		Customer   CustomerIndex
		Timeout    Time // until the client gives this try up
		Retry      bool // the client asks again
		MayHaveRun bool // an earlier search of the same key may have been sent, and nobody knows what became of it
		Calls      []ShardCall
		Candidates []WeightedShard // of a search with one part: the shards that may answer it; none = the part's own
	}
	// QueryTypeChanged says that a query type came or is another from now on. Searches that are open keep what they came with.
	QueryTypeChanged struct {
		Type   QueryType
		Config QueryTypeConfig
	}
	// ClusterResized says how many shards there may be and how many gatherers there are now. Shards come only where Reach is 1.
	ClusterResized struct {
		Shards, Instances int
	}
	// PeerUpdate says what other gatherers have unfinished at servers, and what all together hold of some.
	PeerUpdate struct {
		Loads    []PeerLoad
		Verdicts []OutlierVerdict
	}
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
		Report  *LoadReport // nil = none came
	}
	// RecordsRestored says what an earlier run of this gatherer had learned, once the list is known. What is too old to count, or of
	// another start of its server, is dropped.
	RecordsRestored struct{ Servers []ServerRecord }
	// RequestCancelled says that the client has gone.
	RequestCancelled struct{ Request RequestID }
	TimerFired       struct{ Timer TimerID }
	HealthCheckEnded struct {
		Server  ServerID
		Outcome Outcome
		Report  *LoadReport
	}
)

func (ServerList) event()         {}
func (RequestArrived) event()     {}
func (RecordsRestored) event()    {}
func (SecondPhaseArrived) event() {}
func (AttemptEnded) event()       {}
func (RequestCancelled) event()   {}
func (TimerFired) event()         {}
func (HealthCheckEnded) event()   {}
func (QueryTypeChanged) event()   {}
func (ClusterResized) event()     {}
func (PeerUpdate) event()         {}

// Outcome is how a sub-request or probe ended.
type Outcome uint8

const (
	Answered      Outcome = iota
	Errored               // it may have run
	Rejected              // never ran: the server was full or draining
	TimedOut              // it may have run or be running
	ConnectFailed         // never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // it may have run
	NotDispatched         // never sent out
)

// NeverRan tells whether the outcome proves that the sub-request had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotDispatched }

// Action is something that the gatherer is to do now, in the order given.
type Action interface{ action() }

// The actions. Answer, Shed and Fail are final for a search, save the Answer of a first step.
type (
	Send struct {
		Call    ShardCallID
		Server  ServerID
		Timeout Time // time limit from now
	}
	Cancel struct {
		Call    ShardCallID
		Attempt AttemptNumber
	}
	Answer struct {
		Request  RequestID
		Complete bool
	}
	// Shed tells the client that asking again is harmless.
	Shed struct {
		Request    RequestID
		RetryAfter Time // 0 = no advice
	}
	// Fail ends a search and promises nothing.
	Fail     struct{ Request RequestID }
	SetTimer struct {
		At    Time
		Timer TimerID
	}
	Subscribe   struct{}
	HealthCheck struct{ Server ServerID }
	// CloseIdle ends this gatherer's idle connections to a server, so that what is sent there next goes on a new one.
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
