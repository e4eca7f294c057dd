// Package admin implements the interface with which operators inspect a running gatherer and pin its degradation level: a UNIX socket that
// only its owner may use, with one JSON text per line in each direction. The package serves the socket and passes requests to the
// gatherer, which handles them.
package admin

import "time"

// Verb is the operation of a request.
type Verb string

// The verbs. Unwatch is passed to the gatherer when a watching client has disconnected; clients cannot send it.
const (
	Show    Verb = "show"
	Explain Verb = "explain"
	Pin     Verb = "pin"
	Unpin   Verb = "unpin"
	Watch   Verb = "watch"
	Unwatch Verb = "leave"
)

// MaxPinDuration is the longest time for which a level may be pinned, so that a forgotten pin expires.
const MaxPinDuration = 24 * time.Hour

// Request is a request of an operator. The gatherer responds with one Response on Reply, which is buffered, or, to Watch, with States in
// JSON on Stream.
type Request struct {
	Verb    Verb          `json:"verb"`
	Level   string        `json:"level,omitempty"`   // to pin; only of Pin
	Seconds float64       `json:"seconds,omitempty"` // duration of the pin; only of Pin
	Reply   chan Response `json:"-"`
	Stream  chan<- []byte `json:"-"` // only of Watch and Unwatch
}

// Response is the response to a request.
type Response struct {
	Error string   `json:"error,omitempty"`
	Lines []string `json:"lines,omitempty"`
	State *State   `json:"state,omitempty"`
}

// State is a snapshot of a gatherer for operators.
type State struct {
	At             time.Time   `json:"at"`
	Level          string      `json:"level"`
	Rank           int         `json:"rank"`             // of the level; 0 is full service
	LevelSeconds   float64     `json:"for"`              // seconds since the last change of the level
	PinSecondsLeft float64     `json:"pinned,omitempty"` // seconds until the pin ends; 0 = not pinned
	Levels         []string    `json:"levels"`           // by rank
	OpenRequests   int         `json:"searches"`
	Signals        []Signal    `json:"signals"`
	Segments       []Segment   `json:"segments,omitempty"` // only those with a level of their own
	Types          []QueryType `json:"types"`
	Servers        []Server    `json:"servers"`
	Changes        []Change    `json:"changes,omitempty"`
}

// Signal is a smoothed input of the level decision.
type Signal struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Known bool    `json:"known"`
}

// Segment is a segment with a level of its own.
type Segment struct {
	Segment int    `json:"segment"`
	Level   string `json:"level"`
}

// QueryType describes how requests of a query type are served at the current level.
type QueryType struct {
	Name      string     `json:"name"`
	Share     float64    `json:"share"` // share of its requests that is served, from 0 to 1
	Customers []Customer `json:"customers,omitempty"`
}

// Customer counts a customer's requests of a query type since the start of the process.
type Customer struct {
	Name   string `json:"name"`
	Served int64  `json:"served"`
	Shed   int64  `json:"shed"` // rejected because of the level
}

// Server describes a shard server as observed by the gatherer.
type Server struct {
	Host          string  `json:"host"`
	Zone          string  `json:"zone"`
	Cell          int     `json:"cell"`
	State         string  `json:"state"`   // ready, cold, out, draining
	InFlight      int     `json:"out"`     // number of shard calls
	LatencyMillis float64 `json:"millis"`  // milliseconds of a shard call of size one
	FailureRatio  float64 `json:"failing"` // from 0 to 1
}

// Change is a change of the level.
type Change struct {
	At     time.Time `json:"at"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Reason string    `json:"why"`
}

// Record is one line of a recording of signals.
type Record struct {
	At      time.Time          `json:"at"`
	Signals map[string]float64 `json:"signals"` // known signals by name
}
