// Package shardconn implements the client of one shard server. A Client runs a goroutine that owns the connections to
// the server, the attempts in flight on them and their deadlines. It does not decide where calls are sent: it receives
// commands through a bounded mailbox and reports each outcome exactly once to its EventHandler.
package shardconn
