package dataplane

import (
	"bufio"
	"net"
	"sync"
	"time"

	"oxbowspan/balancer"
)

// serverConn is one connection to a server. It carries one attempt at a time.
type serverConn struct {
	conn     net.Conn
	endpoint *endpoint
	reader   *bufio.Reader // of the reading goroutine

	mu       sync.Mutex
	exchange exchange // guarded by mu

	// Owned by the loop.
	maxIdle      time.Duration // how long it may stay idle
	usedAt       time.Time     // when it became idle
	closed       bool
	carriedLarge bool // it has carried a request that was not written at once
}

func newServerConn(conn net.Conn, e *endpoint) *serverConn {
	return &serverConn{
		conn:     conn,
		endpoint: e,
		reader:   bufio.NewReaderSize(conn, responseBufferBytes),
		maxIdle:  maxIdle,
		usedAt:   time.Now(),
	}
}

// close closes the connection, once. The loop calls it.
func (c *serverConn) close() {
	if !c.closed {
		c.closed = true
		c.endpoint.connections--
		c.conn.Close()
	}
}

// expired reports whether an idle connection must not be used again.
func (c *serverConn) expired() bool { return c.closed || time.Since(c.usedAt) > c.maxIdle }

// begin records that an attempt's request is about to be written.
func (c *serverConn) begin(a *attempt) {
	c.mu.Lock()
	c.exchange.begin(a)
	c.mu.Unlock()
}

// written records that writing the request has ended, after so many bytes.
func (c *serverConn) written(bytes int) {
	c.mu.Lock()
	c.exchange.written(bytes)
	c.mu.Unlock()
}

// pending returns the attempt whose response is expected, nil = none.
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

// connectionLost records that the connection has ended. It returns the attempt that has lost its response, nil = none, and its outcome.
func (c *serverConn) connectionLost(outcome balancer.Outcome) (*attempt, balancer.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.connectionLost(outcome)
}
