//go:build !linux

// Package idleconn holds idle TCP connections without a goroutine for each on systems that support it. On this system New
// returns an error, and each connection needs its own goroutine.
package idleconn

import (
	"errors"
	"net"
)

// Supported reports whether parking sockets is supported on this system.
const Supported = false

// Set is a set of parked sockets. It is always empty on this system.
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
func Peek(int) (readable bool, closeErr error) { return false, errUnsupported }

// RemoteAddr returns "unknown".
func RemoteAddr(int) string { return "unknown" }

// HasPendingConn returns false: whether a connection is waiting to be accepted is unknown on this system.
func HasPendingConn(net.Listener) bool { return false }
