//go:build !linux

// Package idleconn keeps idle sockets without a goroutine each where the system can. Here it cannot: New says so, and
// connections keep their goroutines.
package idleconn

import (
	"errors"
	"net"
)

// Supported says whether sockets can be parked on this system.
const Supported = false

// Set is a set of parked sockets; there is none here.
type Set struct{}

var errNot = errors.New("sockets cannot be parked on this system")

func New(func(value uint32, fd int)) (*Set, error)  { return nil, errNot }
func (*Set) Stop()                                  {}
func (*Set) Park(*net.TCPConn, uint32) (int, error) { return -1, errNot }
func (*Set) Unpark(int) (net.Conn, error)           { return nil, errNot }
func (*Set) Rearm(int, uint32) error                { return errNot }
func (*Set) Close(int)                              {}
func (*Set) Reject(int, []byte)                     {}

// Peek tells whether bytes wait on a socket, or it is over.
func Peek(int) (waiting bool, over error) { return false, errNot }

// RemoteAddr is the other side of a parked socket.
func RemoteAddr(int) string { return "unknown" }

// HasPendingConn tells whether somebody waits to be accepted; here it is not known.
func HasPendingConn(net.Listener) bool { return false }
