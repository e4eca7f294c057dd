package simnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network           *Network
	localIP, remoteIP string
	localAddress      string // "IP:port"
	incoming          *stream
	peer              *conn

	mu       sync.Mutex
	closed   bool
	halfOpen bool // the other host lost power and restarted, without state for this connection
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		reachable := c.network.reachable(c.remoteIP, c.localIP)
		n, wait, err := c.incoming.read(b, c.isClosed(), reachable)
		if !errors.Is(err, errWouldBlock) {
			return n, err
		}
		c.incoming.await(wait)
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if c.isHalfOpen() {
		c.incoming.closeWith(syscall.ECONNRESET, time.Now().Add(c.network.roundTrip(c.localIP, c.remoteIP)))
		return len(b), nil
	}
	arrival := time.Now().Add(c.network.latency(c.localIP, c.remoteIP))
	return c.peer.incoming.write(b, arrival)
}

func (c *conn) Close() error {
	c.shutdown(false)
	return nil
}

// shutdown closes this end. The other end reads EOF or a connection reset once the link has delivered it. If this host has
// no power, nothing is delivered.
func (c *conn) shutdown(reset bool) {
	if c.markClosed() {
		return
	}
	c.incoming.wake()
	if !c.detach() {
		return
	}
	err := error(io.EOF)
	if reset {
		err = syscall.ECONNRESET
	}
	c.peer.incoming.closeWith(err, time.Now().Add(c.network.latency(c.localIP, c.remoteIP)))
}

// markClosed closes this end and reports whether it was closed before.
func (c *conn) markClosed() (alreadyClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alreadyClosed = c.closed
	c.closed = true
	return alreadyClosed
}

// detach removes this end from its network and reports whether its host has power to notify the other end. If it has none
// and the other end is still open, that end becomes half open when the power returns.
func (c *conn) detach() (powered bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	if !c.network.poweredOff[c.localIP] {
		return true
	}
	if c.network.conns[c.peer] {
		c.network.halfOpen[c.localIP] = append(c.network.halfOpen[c.localIP], c.peer)
	}
	return false
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *conn) isHalfOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.halfOpen
}

func (c *conn) markHalfOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfOpen = true
}

func (c *conn) LocalAddr() net.Addr  { return tcpAddress(c.localAddress) }
func (c *conn) RemoteAddr() net.Addr { return tcpAddress(c.peer.localAddress) }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.incoming.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing: writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
