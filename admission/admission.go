// Package admission decides how long a request may be held that no server could be offered. It has no I/O, no clock and no goroutine.
package admission

import "time"

// A request that was never offered is not held for longer than this share of its latency target: its client is told that it has
// not run, and when to come back, while there is time for another try.
const (
	holdShare        = 0.25
	clientRoundTrip  = 8 * time.Millisecond // of the share, for the ways from and to the client
	minHold          = 5 * time.Millisecond
	warmupHeartbeats = 2 // heartbeats of each server, by a gatherer that has just begun: it may hear of servers at any moment
)

// WarmingUp tells whether a gatherer that has run for some time need not know all servers yet, as each calls once in an interval.
func WarmingUp(running, heartbeatInterval time.Duration) bool {
	return running < warmupHeartbeats*heartbeatInterval
}

// HoldLimit is how long a request with a latency target may wait for its first offer. One without a target has no such limit.
func HoldLimit(target time.Duration) (limit time.Duration, limited bool) {
	if target <= 0 {
		return 0, false
	}
	return max(time.Duration(holdShare*float64(target))-clientRoundTrip, minHold), true
}

// DispatchState is what the parts of a request that was not answered yet say of it together.
type DispatchState struct {
	Dispatched bool // a connection has carried a part
	Pending    bool // a connection is being made for a part, or one waits for its turn
	WarmingUp  bool // its gatherer has just begun
}

// Decision is what becomes of a request whose limit is over.
type Decision uint8

// The verdicts.
const (
	AwaitResponse Decision = iota // it was offered: its answer is due
	Recheck                       // it may be offered yet: after another limit
	Reject                        // nobody can be offered it
)

// Decide tells what becomes of a request whose limit is over.
func (w DispatchState) Decide() Decision {
	switch {
	case w.Dispatched:
		return AwaitResponse
	case w.Pending || w.WarmingUp:
		return Recheck
	}
	return Reject
}
