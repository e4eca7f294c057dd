// Package network is the network that the system's processes stand on: TCP, or the simulated network of the tests.
package network

import (
	"context"
	"net"
	"time"
)

// Network makes and takes connections. Addresses are an IP and a port.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(address string, limit time.Duration) (net.Conn, error)
}

// TCP is the machine's own network. Its connections probe nothing by themselves: who wants a dead peer to show asks for it.
type TCP struct{}

// Listen listens on an address.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", address)
}

// Dial connects to an address, within a limit.
func (TCP) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp", address)
}
