// Package registry keeps the state of the servers that send heartbeats. Any controller may receive a server's heartbeat;
// controllers exchange records, and tables that received the same records are equal, whatever the order and however often
// they came.
//
// # Invariants
//
//   - A server's state only rises: ready, draining, deregistered. The other fields are those of the heartbeat with the highest
//     sequence, which is one heartbeat alone, as sequences rise. So merging is commutative, associative and idempotent in all
//     that Digests cover.
//   - A server is unresponsive once its heartbeats stay away while most others arrive. While most stay away, the fault is
//     taken to be between servers and controllers, and no server is marked.
//   - The table is bounded: records of servers that deregistered or stay unresponsive expire (Table.Expire).
//
// The package has no I/O, no clock and no goroutines. Times are durations on the caller's monotonic clock. Records that go to
// another process carry ages in place of times, which the receiver turns into times of its own clock.
package registry
