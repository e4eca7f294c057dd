// Package gatherer is a complete gatherer for a program to embed. It serves clients over HTTP, sends the calls of their
// requests to shard servers, and merges the answers. Package balancer decides where the calls go.
//
// LoadConfig reads a Config, New makes a Gatherer of it, and Run serves until its context is done.
//
// The flow of a request: frontend reads it, transport parses it and sends it to the dispatcher, which owns the balancer
// and the clients of the servers (package shardconn). The result returns to transport, which writes the response.
// Connections of clients belong to listener, which parks them while they are idle.
package gatherer
