// Package network abstracts the network that the programs run on: TCP in production, a simulated network in tests.
package network

import (
	"context"
	"net"
	"time"
)

// keepAliveDisabled turns off the TCP keep-alive probes of package net.
const keepAliveDisabled = -1

// Network opens and accepts stream connections. Addresses have the form "IP:port".
type Network interface {
	// Listen listens on a local address. It returns an error if the address isn't one of this machine's or is in use.
	Listen(address string) (net.Listener, error)
	// Dial connects to an address. It returns an error if the connection is not established within the timeout; 0 means that
	// Dial sets no timeout.
	Dial(address string, timeout time.Duration) (net.Conn, error)
}

// TCP is the network of the operating system. Its connections send no keep-alive probes; callers that must detect a dead
// peer enable them on the connection.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveDisabled}
	return config.Listen(context.Background(), "tcp", address)
}

// Dial implements Network.
func (TCP) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: keepAliveDisabled}
	return dialer.Dial("tcp", address)
}
