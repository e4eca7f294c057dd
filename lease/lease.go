// Package lease decides which gateway holds the lease of a singleton role. A singleton role is identified by a key and
// held by at most one gateway at a time. Examples are the health checks of a server and the allocation of a service's
// quota.
//
// # Invariants
//
//   - At most one gateway acts in a role at a time, provided that all clocks run at about the same rate. The owner of a key
//     depends only on the membership (rendezvous.Owner). A gateway acts only within TTL of sending the request that returned
//     its current membership, and only once more than TTL has passed since its membership changed. A former owner, which
//     may still have the old membership, has therefore stopped before its successor starts.
//   - A gateway that is suspended between the decision to act and the action may act late. By then its fencing token is lower
//     than its successor's, and receivers reject the action (Lease.Compare).
//
// The package has no I/O, no clock and no goroutines. Times are durations on the caller's monotonic clock.
package lease

import (
	"cmp"
	"time"
)

// TTL is how long a gateway may act on the latest membership that it received. It is shorter than the timeout after which
// controllers remove a gateway from the membership, so that a gateway that has lost contact stops before it is replaced.
const TTL = 2500 * time.Millisecond

// Lease identifies the holder of a singleton role. The fencing token increases each time the holder changes. If two
// gateways take over the role concurrently, the one with the higher incarnation wins. The zero Lease has no holder.
type Lease struct {
	FencingToken uint64
	Holder       uint64 // incarnation of the gateway that holds the lease
}

// Compare returns -1, 0 or 1 if l is older than, equal to or newer than other.
func (l Lease) Compare(other Lease) int {
	return cmp.Or(cmp.Compare(l.FencingToken, other.FencingToken), cmp.Compare(l.Holder, other.Holder))
}

// ForHolder returns the lease for the current holder of the role, where l is the newest lease that the gateway has
// received: l itself if the gateway is its holder, otherwise a lease with the next fencing token.
func (l Lease) ForHolder(incarnation uint64) Lease {
	if l.Holder == incarnation {
		return l
	}
	return Lease{FencingToken: l.FencingToken + 1, Holder: incarnation}
}
