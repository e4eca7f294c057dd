package experiment

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// responseTimeout is the maximum time that a clientConn waits for a response. It is longer than any request's timeout.
	responseTimeout = 6 * time.Second
	// responseBufferSize is the size of the buffer for reading a response.
	responseBufferSize = 512
	// noResponse is used as the status of a request without a response.
	noResponse = 0
)

// clientConn is a client's persistent connection. It is reopened after a response that closes the connection or after an error.
type clientConn struct {
	conn   net.Conn
	dial   func() (net.Conn, error)
	closed bool
}

// open opens the connection if it is closed and reports whether it is open.
func (c *clientConn) open() bool {
	if !c.closed {
		return true
	}
	conn, err := c.dial()
	if err != nil {
		return false
	}
	c.conn, c.closed = conn, false
	return true
}

func (c *clientConn) close() {
	if !c.closed {
		c.conn.Close()
		c.closed = true
	}
}

// send sends a request and returns the response's status, or noResponse.
func (c *clientConn) send(request []byte) int {
	if !c.open() {
		return noResponse
	}
	c.conn.SetDeadline(time.Now().Add(responseTimeout))
	defer func() { c.conn.SetDeadline(time.Time{}) }()
	if _, err := c.conn.Write(request); err != nil {
		c.close()
		return noResponse
	}
	return c.readStatus()
}

// trickle sends a request at a number of bytes per second, within a time limit, and returns the response's status, or noResponse
// if the connection failed before the request was complete.
func (c *clientConn) trickle(request []byte, bytesPerSecond int, limit time.Duration) int {
	if !c.open() {
		return noResponse
	}
	c.conn.SetDeadline(time.Now().Add(limit))
	tick := time.NewTicker(time.Second / time.Duration(max(bytesPerSecond, 1)))
	defer tick.Stop()
	last := len(request) - 1
	for _, b := range request[:last] {
		if _, err := c.conn.Write([]byte{b}); err != nil {
			c.close()
			return noResponse
		}
		<-tick.C
	}
	return c.send(request[last:])
}

// readStatus reads a response and returns its status, or noResponse if it could not be read.
func (c *clientConn) readStatus() int {
	res, err := http.ReadResponse(bufio.NewReaderSize(c.conn, responseBufferSize), nil)
	if err != nil {
		c.close()
		return noResponse
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.close()
		return noResponse
	}
	if res.Close {
		c.close()
	}
	return res.StatusCode
}
