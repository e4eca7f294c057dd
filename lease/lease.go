// Package lease decides which gateway holds the lease of a singleton role: a role, named by a key, that one gateway at a time
// fills, such as the health checks of a server or the allocation of a service's quota.
//
// # Invariants
//
//   - At most one gateway acts in a role at a time, as long as clocks run at about the same rate. The owner of a key follows
//     from the membership alone (rendezvous.Owner). A gateway acts only within TTL of the time at which it asked for the
//     membership that it has, and waits for longer than TTL after its membership changed. So a former owner, which may have
//     the old membership still, has stopped before the next one begins.
//   - A gateway that was suspended between its decision to act and the act may act late. Its fencing token is lower than its
//     successor's by then, and receivers reject it (Lease.Compare).
//
// The package has no I/O, no clock and no goroutines. Times are durations on the caller's monotonic clock.
package lease

import (
	"cmp"
	"time"
)

// TTL is how long a gateway may act on the membership that it received last. It is shorter than the time after which
// controllers drop a gateway from the membership, so that a gateway that lost contact stops before others replace it.
const TTL = 2500 * time.Millisecond

// Lease identifies who acts in a singleton role. The fencing token rises each time the role changes hands; of two gateways
// that took it over at once, the one with the higher incarnation wins. The zero Lease is held by no gateway.
type Lease struct {
	FencingToken uint64
	Holder       uint64 // incarnation of the gateway that holds it
}

// Compare returns -1, 0 or 1 as l is older than, equal to or newer than other.
func (l Lease) Compare(other Lease) int {
	return cmp.Or(cmp.Compare(l.FencingToken, other.FencingToken), cmp.Compare(l.Holder, other.Holder))
}

// Acquire returns the lease under which a gateway acts that holds the role now, where l is the newest lease that it knows: l
// itself as long as no other gateway took the role over, else one with the next fencing token.
func (l Lease) Acquire(incarnation uint64) Lease {
	if l.Holder == incarnation {
		return l
	}
	return Lease{FencingToken: l.FencingToken + 1, Holder: incarnation}
}
