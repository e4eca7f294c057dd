// Package brain decides, for one gatherer, where the parts of each search go and when it is answered.
// This file is its interface; the others hold every decision, by concern.
package brain

import "math"

// Time is a moment or a span in whole tenths of a millisecond.
type Time int64

// Never comes after every moment.
const Never = Time(math.MaxInt64 / 4)

// Millisecond is the Time that one millisecond takes.
const Millisecond Time = 10

type (
	SearchID   uint64 // a search, as its client's protocol names it
	SearchNo   uint32 // a search's running number at this gatherer; later parts come under it
	PartID     uint64 // one part of a search: what one shard is asked
	ServerID   uint32
	ShardNo    int
	CellNo     int    // a place in the layout; it tells which shards a server holds
	ZoneNo     int    // where a server or gatherer stands
	QueryType  int    // position in Facts.QueryTypes
	CustomerNo int    // position in Facts.Customers
	SendNo     uint16 // number of a sub-request among those of its part, from 0
	TimerID    uint32
)

// Effect says whether a part may run again.
type Effect uint8

const (
	Idempotent    Effect = iota // may run again
	Tokened                     // a repeat inside the window is dropped by the server
	NonIdempotent               // must never run twice
)

// Facts is what a gatherer is told of its deployment when it starts.
type Facts struct {
	Seed       uint64
	Gatherers  int
	Tick       Time // shortest time between two events' moments
	QueryTypes []QueryTypeFacts
	Customers  []CustomerFacts

	Cells, Reach, Shards int // shard s is held in cells (s + j) mod Cells, j from 0 to Reach - 1

	CallCost        float64 // work in milliseconds that a call costs its server beside its parts'
	MostSubRequests int     // for one part
	MayCancel       bool    // Cancel may be used
	MayProbe        bool    // Probe may be used
	MayCopy         bool    // two sub-requests of a part may be out together
	AdviseRetry     Time    // the longest advice that clients follow; 0 = none is given
	RepeatsMarked   bool    // clients mark their repeats, so that what is unmarked is a first try
	ListOnRequest   bool    // the server list comes only when asked for
	AskWithin       Time    // how long the list may go unasked before its news counts as told
	DrainGrace      Time
	ColdShare       float64 // a server starts with this share of its capacity, or more
	ColdFor         Time    // and is warm after this
	FallMultiple    float64 // sent more than so many times its capacity
	FallWithin      Time    // for so long, a cold server falls over
	HasBudget       bool
	BudgetFree      float64
	BudgetShare     float64
	BudgetSpan      Time
	OverShareFactor float64 // value of a search beyond its customer's share

	BudgetEach  bool // the budget is stated for each shard; BudgetFree is then for all gatherers together
	BudgetWaits bool // an earlier life of this gatherer may have used its part: none is free in the first BudgetSpan
	TimeoutSeen bool // a client's time-out is the longest patience seen of late, not what is stated
	Nears       bool // servers of the gatherer's own zone are better where they are as good
	Zone        ZoneNo
	AtClient    bool // latency targets and time-outs count at the client, not at this gatherer

	Shares Shares // nil = nothing else bounds them
}

// QueryTypeFacts describes one query type.
type QueryTypeFacts struct {
	Effect        Effect
	LatencyTarget Time
	ClientTimeout Time
	Window        Time    // tokened: how long repeats are dropped
	LateValue     float64 // share of the value after the latency target
	ShortValue    float64 // share of the value of an answer that is not whole
	LeastShare    float64 // least share of parts, by weight, for an answer
	WholeAt       float64 // share of parts, by weight, that makes a whole answer
	SecondStep    int     // parts of the second step; 0 = one step

	MostSubRequests int  // for one part; 0 = Facts.MostSubRequests
	Square          bool // the value of an answer that is not whole is the square of its share
}

// CustomerFacts describes one customer: the searches a second, over all gatherers, within its share.
type CustomerFacts struct {
	SharePerSecond float64
}

// Report is the load that a server last told of itself. A negative figure was not told.
type Report struct {
	Queue    float64 // parts waiting
	InFlight float64 // parts in hand
}

// Shares tells what else bounds the parts at a server, beside Server.Most. It is asked while an event is handled.
type Shares interface {
	// Room tells whether one more part of a query type may be sent to a server now.
	Room(at ServerID, of QueryType, now Time) bool
	// Press is how much of the in-flight limit a search of a query type may fill, 1 = all.
	Press(of QueryType, now Time) float64
	// Wait is how long a part for which no server has room is likely to wait for it.
	Wait(at ShardNo, of QueryType, now Time) Time
}

// Event is something that happened to this gatherer.
type Event interface{ event() }

// ServerState is what the list says of a server.
type ServerState uint8

const (
	Gone ServerState = iota
	Ready
	Draining
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Zone    ZoneNo
	Cell    CellNo
	State   ServerState
	UpSince Time // 0 = long ago
	Most    int  // parts that may be unfinished there, of this gatherer; 0 = no limit
}

// Judgement is what all gatherers together hold of a server.
type Judgement struct {
	ID     ServerID
	Held   bool    // nothing goes there while another server can be asked
	Back   bool    // somebody found that it answers again
	Factor float64 // so many times slower than its record it is to be predicted
}

// Learned is what is known of one server: its latency record and its health.
type Learned struct {
	ID                 ServerID
	UpSince            Time
	Took, Size         float64 // smoothed latency in Time, and the sizes that took it
	TaughtAt, OutUntil Time
	Failing            float64 // smoothed share of failures
}

// ListKind says how a ServerList relates to the list held.
type ListKind uint8

const (
	ListChanges ListKind = iota // only the entries that changed
	ListWhole                   // all servers; others are gone
	ListCached                  // all servers as last known, perhaps long ago
	ListFailed                  // a call failed or the subscription broke; no entries
)

// Part is one part of a search.
type Part struct {
	ID     PartID
	Shard  ShardNo
	Weight float64
	Size   float64 // expected work in milliseconds; 0 = not told
}

// Weighted is a shard among those that may answer a search.
type Weighted struct {
	Shard  ShardNo
	Weight float64
}

// Load is the parts that other gatherers have unfinished at a server.
type Load struct {
	Server ServerID
	Parts  float64
}

// The events. A SearchArrived carries all its parts; a second step's parts come as MoreParts.
type (
	ServerList struct {
		Kind    ListKind
		Servers []Server
	}
	SearchArrived struct {
		Search   SearchID
		Number   SearchNo
		Type     QueryType
		Customer CustomerNo
		Patience Time // until the client gives this try up
		Repeat   bool // the client asks again
		Sent     bool // an earlier search of the same key may have been sent, and nobody knows what became of it
		Parts    []Part
		Among    []Weighted // of a search with one part: the shards that may answer it; none = the part's own
	}
	// TypeChanged says that a query type came or is another from now on. Searches that are open keep what they came with.
	TypeChanged struct {
		Type  QueryType
		Facts QueryTypeFacts
	}
	// FleetChanged says how many shards there may be and how many gatherers there are now. Shards come only where Reach is 1.
	FleetChanged struct {
		Shards, Gatherers int
	}
	// Told says what other gatherers have unfinished at servers, and what all together hold of some.
	Told struct {
		Loads  []Load
		Judged []Judgement
	}
	MoreParts struct {
		Number SearchNo
		Parts  []Part
	}
	// SubRequestEnded comes exactly once for each Send.
	SubRequestEnded struct {
		Part    PartID
		Send    SendNo
		Server  ServerID
		Elapsed Time
		Outcome Outcome
		Report  *Report // nil = none came
	}
	// Recalled says what an earlier run of this gatherer had learned, once the list is known. What is too old to count, or of
	// another start of its server, is dropped.
	Recalled struct{ Servers []Learned }
	// SearchLeft says that the client has gone.
	SearchLeft struct{ Search SearchID }
	TimerFired struct{ Timer TimerID }
	Probed     struct {
		Server  ServerID
		Outcome Outcome
		Report  *Report
	}
)

func (ServerList) event()      {}
func (SearchArrived) event()   {}
func (Recalled) event()        {}
func (MoreParts) event()       {}
func (SubRequestEnded) event() {}
func (SearchLeft) event()      {}
func (TimerFired) event()      {}
func (Probed) event()          {}
func (TypeChanged) event()     {}
func (FleetChanged) event()    {}
func (Told) event()            {}

// Outcome is how a sub-request or probe ended.
type Outcome uint8

const (
	Answered      Outcome = iota
	Errored               // it may have run
	TurnedAway            // never ran: the server was full or draining
	TimedOut              // it may have run or be running
	ConnectFailed         // never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // it may have run
	Moot                  // never sent out
)

// NeverRan tells whether the outcome proves that the sub-request had no effect.
func (o Outcome) NeverRan() bool { return o == TurnedAway || o == ConnectFailed || o == Moot }

// Action is something that the gatherer is to do now, in the order given.
type Action interface{ action() }

// The actions. Answer, Shed and Fail are final for a search, save the Answer of a first step.
type (
	Send struct {
		Part   PartID
		Server ServerID
		Limit  Time // time limit from now
	}
	Cancel struct {
		Part PartID
		Send SendNo
	}
	Answer struct {
		Search SearchID
		Whole  bool
	}
	// Shed tells the client that asking again is harmless.
	Shed struct {
		Search     SearchID
		RetryAfter Time // 0 = no advice
	}
	// Fail ends a search and promises nothing.
	Fail struct{ Search SearchID }
	Wake struct {
		At    Time
		Timer TimerID
	}
	Subscribe struct{}
	Probe     struct{ Server ServerID }
	// CloseIdle ends this gatherer's idle connections to a server, so that what is sent there next goes on a new one.
	CloseIdle struct{ Server ServerID }
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Answer) action()    {}
func (Shed) action()      {}
func (Fail) action()      {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Probe) action()     {}
func (CloseIdle) action() {}
