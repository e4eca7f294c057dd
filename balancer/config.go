package balancer

import "math"

// Time is a point in time or a duration, in tenths of a millisecond.
type Time int64

// Never is later than every other point in time.
const Never = Time(math.MaxInt64 / 4)

// Millisecond is one millisecond as a Time.
const Millisecond Time = 10

// Identifiers, indexes and numbers.
type (
	// RequestID identifies a request. The caller chooses it.
	RequestID uint64
	// RequestNumber is the sequence number of a request at this instance. Second phases refer to it.
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

// Idempotency tells whether a shard call may run more than once.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // the server drops a repetition within QueryTypeConfig.DedupWindow
	NonIdempotent                    // must never run twice
)

// Config is the configuration of one instance.
type Config struct {
	Seed            uint64 // seed of all random choices
	Instances       int    // number of instances that share the load, including this one
	ClockResolution Time   // smallest difference between the times of events
	QueryTypes      []QueryTypeConfig
	Customers       []CustomerConfig

	// Shard s is held by the cells (s + j) mod Cells, for j from 0 to ReplicationFactor - 1.
	Cells, ReplicationFactor, Shards int

	CallCost          float64 // work of a call at its server in addition to its size, in milliseconds
	MaxAttempts       int     // maximum number of attempts of one call
	AllowCancel       bool    // Cancel may be used
	AllowHealthChecks bool    // HealthCheck may be used
	AllowHedging      bool    // two attempts of a call may be in flight at once
	MaxRetryAfter     Time    // longest Retry-After that clients honor; 0 = none is sent
	RetriesMarked     bool    // clients mark their retries, so an unmarked request is a first attempt
	ListOnRequest     bool    // the server list is sent only after Subscribe
	MaxListAge        Time    // maximum age of the server list, before which it must be refreshed
	DrainGrace        Time    // time during which a draining server may still be sent calls

	SlowStartShare    float64 // minimum share of its full capacity when a server starts
	SlowStartDuration Time    // time after which a server has full capacity
	OverloadMultiple  float64 // multiple of its capacity that makes a server fail during slow start
	OverloadWindow    Time    // time for which it must receive this load to fail

	RetryBudgetSet      bool    // the RetryBudget... fields are set
	RetryBudgetBase     float64 // retries allowed in any window
	RetryBudgetRatio    float64 // further retries per request, or per call if RetryBudgetPerShard
	RetryBudgetWindow   Time
	RetryBudgetPerShard bool // each shard has a budget; all instances share RetryBudgetBase
	RetryBudgetDelayed  bool // no base in the first window: an earlier incarnation may have used it

	OverQuotaValue     float64 // value of a request above its customer's quota, 1 = as any other
	InferClientTimeout bool    // use the longest recent client timeout instead of the configured one
	MeasuredAtClient   bool    // latency targets and timeouts are measured at the client, not here
	PreferLocalZone    bool    // prefer servers of LocalZone if they are as good
	LocalZone          ZoneIndex
	Limiter            CapacityLimiter // nil = no limit except Server.MaxInFlight
}

// QueryTypeConfig is the configuration of a query type. Coverage is the share of a request's calls, by weight. Whatever the coverages
// below, an answer contains at least one call.
type QueryTypeConfig struct {
	Idempotency      Idempotency
	LatencyTarget    Time
	ClientTimeout    Time
	DedupWindow      Time    // for Deduplicated
	LateValue        float64 // value of an answer after the latency target, 1 = of one before it
	PartialValue     float64 // value of a partial answer, 1 = of a complete one
	MinCoverage      float64 // minimum coverage of an answer
	CompleteCoverage float64 // coverage from which an answer is complete
	SecondPhaseCalls int     // calls of the second phase; 0 = there is only one phase

	MaxAttempts           int  // maximum number of attempts of one call; 0 = Config.MaxAttempts
	QuadraticPartialValue bool // a partial answer is worth the square of its coverage
}

// CustomerConfig is the configuration of a customer.
type CustomerConfig struct {
	QuotaPerSecond float64 // requests, over all instances; 0 = no quota
}

// CapacityLimiter limits the calls at servers in addition to Server.MaxInFlight. Handle calls it.
type CapacityLimiter interface {
	// CanAcquire reports whether another call of a query type may be sent to a server now.
	CanAcquire(at ServerID, of QueryType, now Time) bool
	// LimitShare returns the share of the in-flight limit that requests of a query type may use.
	LimitShare(of QueryType, now Time) float64
	// ExpectedWait returns the expected wait of a call for which no server has capacity.
	ExpectedWait(at ShardIndex, of QueryType, now Time) Time
}
