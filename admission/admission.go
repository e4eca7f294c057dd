// Package admission decides how long a request may be held that could not be dispatched to any server yet. It is pure: no I/O,
// no clock, no goroutines.
package admission

import "time"

// A request that was never dispatched is held for no longer than holdShare of its latency target. Its client then learns that the
// request has not run and when to retry, while there is still time for another attempt within the target.
const (
	holdShare        = 0.25
	clientRoundTrip  = 8 * time.Millisecond // taken off the share for the network between client and gateway
	minHold          = 5 * time.Millisecond
	warmupHeartbeats = 2 // heartbeat intervals after its start in which a gateway may still learn of servers at any moment
)

// WarmingUp reports whether a gateway that has run for the given time may not know all servers yet. Each server sends one
// heartbeat in an interval.
func WarmingUp(uptime, heartbeatInterval time.Duration) bool {
	return uptime < warmupHeartbeats*heartbeatInterval
}

// HoldLimit returns how long a request with the given latency target may wait for its first dispatch. A request without a
// target (zero or negative) has no limit: ok is false.
func HoldLimit(target time.Duration) (limit time.Duration, ok bool) {
	if target <= 0 {
		return 0, false
	}
	share := time.Duration(holdShare * float64(target))
	return max(share-clientRoundTrip, minHold), true
}

// DispatchState is how far the shard calls of an unanswered request have come, taken together.
type DispatchState struct {
	Dispatched bool // a connection has carried a shard call
	Pending    bool // a connection is being made for a shard call, or a shard call waits for one
	WarmingUp  bool // the gateway has just started
}

// Decision is what to do with a request whose hold limit has passed.
type Decision uint8

// The decisions.
const (
	AwaitResponse Decision = iota // it was dispatched: keep waiting for the response
	Recheck                       // it may still be dispatched: check again after another hold limit
	Reject                        // no server can take it
)

// Decide returns what to do with a request whose hold limit has passed.
func (s DispatchState) Decide() Decision {
	switch {
	case s.Dispatched:
		return AwaitResponse
	case s.Pending || s.WarmingUp:
		return Recheck
	}
	return Reject
}
