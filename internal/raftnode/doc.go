// Package raftnode connects a gatherer to the replicated state of its fleet. A few gatherers are voters, and each of
// them runs a Node, which stores the replicated log (package raftlog) on disk, exchanges messages with the other voters
// and serves the HTTP interface of the fleet. Every gatherer runs an Agent, which renews the gatherer's lease and
// requests a permit before the gatherer goes out of service. A Client sends commands and queries to the leader.
//
// Package maintenance, not this package, decides which gatherers may be out. The operator's configuration file calls
// the voters stewards.
package raftnode
