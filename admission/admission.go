// Package admission decides how long a request is held that could not yet be dispatched to any server. The package has no
// I/O, clock or goroutines.
package admission

import "time"

// A request that was never dispatched is held for at most holdShare of its latency target. Its client then learns that the
// request has not run and when to retry, in time for another attempt within the target.
const (
	holdShare        = 0.25
	clientRoundTrip  = 8 * time.Millisecond // deducted from the share for the network between client and gateway
	minHold          = 5 * time.Millisecond
	warmupHeartbeats = 2 // heartbeat intervals after the start of a gateway within which it may still discover servers
)

// WarmingUp reports whether a gateway with the given uptime may not have discovered all servers yet. Each server sends one
// heartbeat per interval.
func WarmingUp(uptime, heartbeatInterval time.Duration) bool {
	return uptime < warmupHeartbeats*heartbeatInterval
}

// HoldLimit returns how long a request with the given latency target may wait for its first dispatch. ok is false if the
// request has no target (zero or negative): there is then no limit.
func HoldLimit(target time.Duration) (limit time.Duration, ok bool) {
	if target <= 0 {
		return 0, false
	}
	share := time.Duration(holdShare * float64(target))
	return max(share-clientRoundTrip, minHold), true
}

// DispatchState is the combined dispatch progress of the shard calls of an unanswered request.
type DispatchState struct {
	Dispatched bool // a shard call has been sent on a connection
	Pending    bool // a connection for a shard call is being opened, or a shard call waits for one
	WarmingUp  bool // the gateway may not have discovered all servers yet
}

// Decision is the action for a request whose hold limit has expired.
type Decision uint8

// Decisions.
const (
	AwaitResponse Decision = iota // dispatched: keep waiting for the response
	ExtendHold                    // may still be dispatched: check again after another hold limit
	Reject                        // no server can accept it
)

// Decide returns the decision for a request whose hold limit has expired.
func (s DispatchState) Decide() Decision {
	switch {
	case s.Dispatched:
		return AwaitResponse
	case s.Pending || s.WarmingUp:
		return ExtendHold
	}
	return Reject
}
