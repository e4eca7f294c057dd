// Package registry holds the membership records of the servers that send heartbeats. Any controller may receive a server's
// heartbeat, and controllers exchange records by gossip. Tables that have received the same records converge, regardless of
// the order and the number of deliveries.
//
// # Invariants
//
//   - The state of a server is monotonic: ready, draining, deregistered. The other fields are those of the heartbeat with the
//     highest sequence number, which identifies a single heartbeat, since sequence numbers only increase. Merging is therefore
//     commutative, associative and idempotent for all fields that Digests covers.
//   - A server becomes unresponsive when its heartbeats are missing while those of most other servers arrive. While the
//     heartbeats of most servers are missing, the fault is assumed to lie between servers and controllers, and no server
//     becomes unresponsive.
//   - The size of the table is bounded: records of servers that have deregistered or remain unresponsive expire (Table.Expire).
//
// The package has no I/O, no clock and no goroutines. Times are durations on the caller's monotonic clock. Records sent to
// another process carry ages instead of times, and the receiver converts them to times on its own clock.
package registry
