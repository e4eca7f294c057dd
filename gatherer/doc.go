// Package gatherer implements a complete gatherer that a program can embed. It serves clients over HTTP, sends the shard
// calls of their requests to shard servers, and merges the answers. Package balancer decides to which server each call is
// sent.
//
// LoadConfig reads a Config, New creates a Gatherer from it, and Run serves until its context is done.
//
// A request passes through these types: frontend reads it; transport parses it and sends it to dispatcher, which owns the
// balancer and the connections to the servers (package shardconn); the result returns to transport, which writes the
// response. The type listener owns the connections of clients and parks them while they are idle.
package gatherer
