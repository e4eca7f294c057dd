package balancer

import "math"

// Time is a moment or a duration in tenths of a millisecond.
type Time int64

// Never is later than every moment.
const Never = Time(math.MaxInt64 / 4)

// Millisecond is one millisecond as a Time.
const Millisecond Time = 10

// Identifiers, indexes and numbers.
type (
	// RequestID identifies a request. It is the caller's choice.
	RequestID uint64
	// RequestNumber is the running number of a request at this instance. Second phases refer to it.
	RequestNumber uint32
	// ShardCallID identifies one shard call of a request.
	ShardCallID uint64
	// ServerID identifies a server.
	ServerID uint32
	// ShardIndex numbers the shards, from 0.
	ShardIndex int
	// CellIndex is a position in the layout; it determines which shards a server holds.
	CellIndex int
	// ZoneIndex numbers the zones of servers and instances.
	ZoneIndex int
	// QueryType is an index of Config.QueryTypes.
	QueryType int
	// CustomerIndex is an index of Config.Customers.
	CustomerIndex int
	// AttemptNumber numbers the attempts of a shard call, from 0.
	AttemptNumber uint16
	// TimerID identifies a timer that SetTimer sets.
	TimerID uint32
)

// Idempotency says whether a shard call may run more than once.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // a repetition within QueryTypeConfig.DedupWindow is dropped by the server
	NonIdempotent                    // must never run twice
)

// Config describes the deployment to one instance.
type Config struct {
	Seed            uint64 // of all random choices
	Instances       int    // that share the load, this one included
	ClockResolution Time   // shortest time between the moments of two events
	QueryTypes      []QueryTypeConfig
	Customers       []CustomerConfig

	// Shard s is held by the cells (s + j) mod Cells, for j from 0 to ReplicationFactor - 1.
	Cells, ReplicationFactor, Shards int

	CallCost          float64 // work that a call costs its server beside its size, in milliseconds
	MaxAttempts       int     // of one call
	AllowCancel       bool    // Cancel may be used
	AllowHealthChecks bool    // HealthCheck may be used
	AllowHedging      bool    // two attempts of a call may be in flight at once
	MaxRetryAfter     Time    // longest Retry-After that clients honor; 0 = none is sent
	RetriesMarked     bool    // clients mark their retries, so an unmarked request is a first attempt
	ListOnRequest     bool    // the server list is sent only after Subscribe
	MaxListAge        Time    // age up to which the server list must be refreshed
	DrainGrace        Time    // how long a draining server may still be sent calls

	SlowStartShare    float64 // of its capacity that a server has at least when it starts
	SlowStartDuration Time    // after which it has full capacity
	OverloadMultiple  float64 // of its capacity that makes a server fail during slow start
	OverloadWindow    Time    // when it is sent for this long

	HasRetryBudget      bool    // the fields RetryBudget... are set
	RetryBudgetBase     float64 // retries allowed in any window
	RetryBudgetRatio    float64 // and in addition per request, or per call if RetryBudgetPerShard
	RetryBudgetWindow   Time
	RetryBudgetPerShard bool // a budget for each shard, with RetryBudgetBase shared by all instances
	RetryBudgetDelayed  bool // no base in the first window: an earlier incarnation may have spent it

	OverQuotaValue     float64 // of a request above its customer's quota, 1 = as of any other
	InferClientTimeout bool    // use the longest recent client timeout instead of the configured one
	MeasuredAtClient   bool    // latency targets and timeouts are measured at the client, not here
	PreferLocalZone    bool    // prefer servers of LocalZone where they are as good
	LocalZone          ZoneIndex
	Limiter            CapacityLimiter // nil = no limit beside Server.MaxInFlight
}

// QueryTypeConfig describes one query type. Coverage is the share of a request's calls, by weight.
type QueryTypeConfig struct {
	Idempotency      Idempotency
	LatencyTarget    Time
	ClientTimeout    Time
	DedupWindow      Time    // for Deduplicated
	LateValue        float64 // of an answer after the latency target, 1 = of one before it
	PartialValue     float64 // of a partial answer, 1 = of a complete one
	MinCoverage      float64 // that an answer needs
	CompleteCoverage float64 // that makes an answer complete
	SecondPhaseCalls int     // 0 = there is one phase

	MaxAttempts           int  // of one call; 0 = Config.MaxAttempts
	QuadraticPartialValue bool // a partial answer is worth the square of its coverage
}

// CustomerConfig describes one customer.
type CustomerConfig struct {
	QuotaPerSecond float64 // requests, over all instances; 0 = no quota
}

// CapacityLimiter bounds the calls at servers beside Server.MaxInFlight. It is called from within Handle.
type CapacityLimiter interface {
	// CanAcquire reports whether one more call of a query type may be sent to a server now.
	CanAcquire(at ServerID, of QueryType, now Time) bool
	// LimitShare returns the share of the in-flight limit that requests of a query type may fill.
	LimitShare(of QueryType, now Time) float64
	// ExpectedWait returns how long a call that no server has capacity for is likely to wait.
	ExpectedWait(at ShardIndex, of QueryType, now Time) Time
}
