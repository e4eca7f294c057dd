// Package raftnode connects a gatherer to its fleet. The few gatherers that are voters run a Node each: it keeps the replicated log
// (package raftlog) on disk, exchanges messages with the other voters and serves the fleet's HTTP interface. Every gatherer runs an
// Agent, which renews its lease and requests a permit before it goes out. A Client sends commands and queries to the leader.
//
// The package decides nothing about who may be out: package maintenance does. In the operator's file the voters are called stewards.
package raftnode
