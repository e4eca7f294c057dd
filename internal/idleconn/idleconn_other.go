//go:build !linux

// Package idleconn keeps idle TCP connections without a goroutine each where the system supports it. Here New returns an error,
// and connections keep their goroutines.
package idleconn

import (
	"errors"
	"net"
)

// Supported reports whether this system can park sockets.
const Supported = false

// Set is a set of parked sockets. There are none on this system.
type Set struct{}

var errUnsupported = errors.New("this system does not support parking sockets")

// New returns an error.
func New(func(value uint32, fd int)) (*Set, error) { return nil, errUnsupported }

// Stop does nothing.
func (*Set) Stop() {}

// Park returns an error.
func (*Set) Park(*net.TCPConn, uint32) (int, error) { return -1, errUnsupported }

// Unpark returns an error.
func (*Set) Unpark(int) (net.Conn, error) { return nil, errUnsupported }

// Rearm returns an error.
func (*Set) Rearm(int, uint32) error { return errUnsupported }

// Close does nothing.
func (*Set) Close(int) {}

// Reject does nothing.
func (*Set) Reject(int, []byte) {}

// Peek returns an error.
func Peek(int) (waiting bool, closed error) { return false, errUnsupported }

// RemoteAddr returns "unknown".
func RemoteAddr(int) string { return "unknown" }

// HasPendingConn returns false: it is not known whether a connection waits to be accepted.
func HasPendingConn(net.Listener) bool { return false }
