package rpc

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	unacknowledgedTimeout = 2500 * time.Millisecond // TCP_USER_TIMEOUT
	writeTimeout          = 2500 * time.Millisecond // for one frame

	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// ConfigureTCP sets socket options that make a connection to a dead peer fail quickly: it ends when data stays
// unacknowledged for 2.5 seconds or after three unanswered keep-alive probes. It does nothing if the connection is not
// TCP. Errors of individual options are ignored, as the connection works without them.
func ConfigureTCP(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	tcp.SetNoDelay(true)
	tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes})
	if raw, err := tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			milliseconds := int(unacknowledgedTimeout / time.Millisecond)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
	}
}

// Conn is the client's or the server's end of a connection. Its methods may be called concurrently.
type Conn struct {
	conn net.Conn

	writeMu sync.Mutex
	buffer  []byte // reused for encoding frames
}

// Send writes a frame. A write error closes the connection.
func (c *Conn) Send(f *Frame) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	buf, err := appendFrame(c.buffer, f)
	if err != nil {
		return err
	}
	if c.buffer = buf[:0]; cap(buf) > maxRetainedBuffer {
		c.buffer = nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err = c.conn.Write(buf); err != nil {
		c.conn.Close()
	}
	return err
}

// Respond sends a frame as the response to the request with the given ID. It sets the frame's Id and Response.
func (c *Conn) Respond(requestID uint64, f *Frame) error {
	f.Id, f.Response = requestID, true
	return c.Send(f)
}

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() }

// readFrames passes each frame to handle until the connection ends.
func (c *Conn) readFrames(r *bufio.Reader, handle func(*Frame)) {
	var buf []byte
	for {
		var f *Frame
		var err error
		if f, buf, err = readFrame(r, buf); err != nil {
			return
		}
		handle(f)
	}
}
