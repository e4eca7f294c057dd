// Package shardconn is the client of one shard server. A Client is a goroutine that owns the connections to the
// server, the attempts in flight on them and their deadlines. It decides nothing about where calls go: it takes
// commands through a bounded mailbox, and reports each outcome exactly once to its EventHandler.
package shardconn
