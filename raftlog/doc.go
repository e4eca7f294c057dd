// Package raftlog replicates the commands of package maintenance on a few voters and applies them to a state machine on each: Raft, by
// the core of go.etcd.io/raft, which does no I/O. A Node does none either: time enters by Tick, messages by Step, and Process returns
// the messages to send, after it has written what must be durable before them. It starts no goroutine and reads no clock, so that many
// nodes can run in one process under simulated time. It is not safe for concurrent use.
//
// The state machine's time is set by the leader: its commands bear its own monotonic clock, offset so that it continues from the
// state's time when it became leader. No step of a wall clock moves a lease.
package raftlog
