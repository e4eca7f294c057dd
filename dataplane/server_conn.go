package dataplane

import (
	"net"
	"sync"
	"time"

	"oxbowspan/balancer"
)

// serverConn is a connection to a server. It carries one attempt at a time.
type serverConn struct {
	conn     net.Conn
	endpoint *endpoint
	reader   *messageReader // used by the reading goroutine only

	mu       sync.Mutex
	exchange exchange // guarded by mu

	// Owned by the event loop.
	maxIdleTime         time.Duration // limit of its idle time
	idleSince           time.Time     // when it became idle
	closed              bool
	carriedLargeRequest bool // it has carried a request larger than smallRequestBytes, which is written in the background
}

func newServerConn(conn net.Conn, e *endpoint) *serverConn {
	return &serverConn{
		conn:        conn,
		endpoint:    e,
		reader:      newMessageReader(conn, maxResponseHeaderBytes),
		maxIdleTime: maxIdleTime,
		idleSince:   time.Now(),
	}
}

// close closes the connection. Further calls do nothing. It must be called on the event loop's goroutine.
func (c *serverConn) close() {
	if !c.closed {
		c.closed = true
		c.endpoint.connections--
		c.conn.Close()
	}
}

// expired reports whether an idle connection must not be reused.
func (c *serverConn) expired() bool { return c.closed || time.Since(c.idleSince) > c.maxIdleTime }

// begin records that an attempt's request is about to be written.
func (c *serverConn) begin(a *attempt) {
	c.mu.Lock()
	c.exchange.begin(a)
	c.mu.Unlock()
}

// written records that the write of the request has ended after the given number of bytes.
func (c *serverConn) written(bytes int) {
	c.mu.Lock()
	c.exchange.written(bytes)
	c.mu.Unlock()
}

// pending returns the attempt whose response is pending, nil = none.
func (c *serverConn) pending() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.pending
}

// responseReceived records that the response is complete.
func (c *serverConn) responseReceived() {
	c.mu.Lock()
	c.exchange.responseReceived()
	c.mu.Unlock()
}

// reusable reports whether another request may be written.
func (c *serverConn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.reusable()
}

// connectionLost records that the connection has ended. It returns the attempt whose response was pending, nil = none,
// and its outcome.
func (c *serverConn) connectionLost(outcome balancer.Outcome) (*attempt, balancer.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.connectionLost(outcome)
}
