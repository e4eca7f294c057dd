// Package offer decides how long a request may be held that no server could be offered. It has no I/O, no clock and no goroutine.
package offer

import "time"

// A request that was never offered is not held for longer than this share of its latency target: its client is told that it has
// not run, and when to come back, while there is time for another try.
const (
	heldShare    = 0.25
	clientTravel = 8 * time.Millisecond // of the share, for the ways from and to the client
	leastHeld    = 5 * time.Millisecond
	callsAwaited = 2 // heartbeats of each server, by a gatherer that has just begun: it may hear of servers at any moment
)

// Fresh tells whether a gatherer that has run for some time need not know all servers yet, as each calls once in an interval.
func Fresh(running, heartbeatInterval time.Duration) bool {
	return running < callsAwaited*heartbeatInterval
}

// HoldLimit is how long a request with a latency target may wait for its first offer. One without a target has no such limit.
func HoldLimit(target time.Duration) (limit time.Duration, limited bool) {
	if target <= 0 {
		return 0, false
	}
	return max(time.Duration(heldShare*float64(target))-clientTravel, leastHeld), true
}

// Wait is what the parts of a request that was not answered yet say of it together.
type Wait struct {
	Offered bool // a connection has carried a part
	Pending bool // a connection is being made for a part, or one waits for its turn
	Fresh   bool // its gatherer has just begun
}

// Verdict is what becomes of a request whose limit is over.
type Verdict uint8

// The verdicts.
const (
	Served    Verdict = iota // it was offered: its answer is due
	LookAgain                // it may be offered yet: after another limit
	GiveUp                   // nobody can be offered it
)

// Judge tells what becomes of a request whose limit is over.
func (w Wait) Judge() Verdict {
	switch {
	case w.Offered:
		return Served
	case w.Pending || w.Fresh:
		return LookAgain
	}
	return GiveUp
}
