// Package raftlog replicates the commands of package maintenance to a small set of voters with the Raft protocol and
// applies them to a state machine on each voter. The protocol is implemented by the library go.etcd.io/raft, which
// performs no I/O.
//
// A Node performs no I/O of its own except through its Storage: time enters through Tick and messages through Step, and
// Process returns the messages to send after it has written what must be durable before they are sent. A Node starts no
// goroutines and reads no clock, so that many nodes can run in one process under simulated time. It is not safe for
// concurrent use.
//
// The leader determines the time of the state machine. Its commands carry the leader's own monotonic clock plus an
// offset, chosen so that the time continues from that of the state when the leader was elected. Steps of a wall clock
// therefore do not affect leases.
package raftlog
