// Package rpc is how the processes of one system talk: protobuf messages in frames over TCP, questions and their
// answers. It owns the frames' form and bounds, the connections and their ends; what is asked and answered is the
// programs' own.
package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/network"
)

// A connection begins with Preface, from the side that dialled. A frame is its length in four bytes, big-endian, and so
// many bytes of a Frame.
const (
	Preface               = "hive/1\r\n"
	MaxFrameBytes         = 8 << 20 // of one frame
	unacknowledgedTimeout = 2500 * time.Millisecond
	writeTimeout          = 2500 * time.Millisecond
	dialTimeout           = 300 * time.Millisecond // the first packet to a machine without power is lost, and sent again only after a second
	dialBackoff           = 40 * time.Millisecond  // after a failure, the next caller is told so at once for so long
)

// Errors of a call.
var (
	ErrTimeout = errors.New("no answer in time")
	ErrClosed  = errors.New("the connection ended")
)

// ConfigureTCP makes a dead peer show: what was sent and is not acknowledged for two and a half seconds ends the connection, and
// so does a peer that answers no keep-alive probes. It fails silently where the connection is not TCP.
func ConfigureTCP(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	t.SetNoDelay(true)
	t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3})
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout/time.Millisecond))
		})
	}
}

func readFrame(r *bufio.Reader, buf []byte) (*Frame, []byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, buf, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > MaxFrameBytes {
		return nil, buf, eris.Errorf("a frame of %d bytes is over the bound", n)
	}
	if cap(buf) < n {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, buf, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(buf, f); err != nil {
		return nil, buf, err
	}
	if cap(buf) > 64<<10 {
		buf = nil // a long one is rare: its room is not kept
	}
	return f, buf, nil
}

// Conn is one connection, of either side.
type Conn struct {
	c      net.Conn
	mu     sync.Mutex // over writing
	buffer []byte
}

// Send writes a frame. After an error the connection is closed.
func (c *Conn) Send(f *Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	buf, err := proto.MarshalOptions{}.MarshalAppend(append(c.buffer[:0], 0, 0, 0, 0), f)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-4))
	if c.buffer = buf[:0]; cap(buf) > 64<<10 {
		c.buffer = nil
	}
	c.c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err = c.c.Write(buf); err != nil {
		c.c.Close()
	}
	return err
}

// Respond sends the answer to a question.
func (c *Conn) Respond(requestID uint64, f *Frame) error {
	f.Id, f.Response = requestID, true
	return c.Send(f)
}

// Close ends the connection.
func (c *Conn) Close() { c.c.Close() }

// Server answers questions on a listener.
type Server struct {
	Handle  func(c *Conn, f *Frame) // called in turn for each connection; may answer later
	OnClose func(c *Conn)           // nil, or told when a connection has ended

	HandshakeFailures atomic.Int64 // connections that did not begin as they should
	mu                sync.Mutex
	conns             map[*Conn]bool // emptied as they end
	closed            bool
	readers           sync.WaitGroup
}

// Serve accepts until the listener is closed, then ends the connections.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.conns = map[*Conn]bool{}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(20 * time.Millisecond) // no descriptors: the listener goes on
			continue
		}
		ConfigureTCP(nc)
		c := &Conn{c: nc}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.readers.Add(1)
		go s.read(c)
	}
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.readers.Wait()
}

func (s *Server) read(c *Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		if s.OnClose != nil {
			s.OnClose(c)
		}
		s.readers.Done()
	}()
	r := bufio.NewReader(c.c)
	var preface [len(Preface)]byte
	c.c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.ReadFull(r, preface[:]); err != nil || string(preface[:]) != Preface {
		s.HandshakeFailures.Add(1)
		return
	}
	c.c.SetReadDeadline(time.Time{})
	var buf []byte
	for {
		var f *Frame
		var err error
		if f, buf, err = readFrame(r, buf); err != nil {
			return
		}
		s.Handle(c, f)
	}
}

// Client asks one peer, over one connection that it makes when needed.
type Client struct {
	Address   string
	Network   network.Network
	OnMessage func(f *Frame) // nil, or told frames that answer no question

	mu       sync.Mutex
	conn     *Conn
	pending  map[uint64]chan *Frame // emptied by answers, time limits and the connection's end
	lastID   uint64
	dialing  chan struct{}
	failedAt time.Time
	closed   bool
}

// Call asks and waits for the answer, no longer than the context lasts.
func (c *Client) Call(ctx context.Context, f *Frame) (*Frame, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	answer := make(chan *Frame, 1)
	c.mu.Lock()
	if c.conn != conn {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	c.lastID++
	id := c.lastID
	c.pending[id] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	q := &Frame{Id: id, Body: f.Body}
	if err := conn.Send(q); err != nil {
		return nil, err
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return nil, ErrClosed
		}
		return a, nil
	case <-ctx.Done():
		return nil, ErrTimeout
	}
}

// Disconnect ends the connection, so that the next call makes a new one: for a peer that is silent.
func (c *Client) Disconnect() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// Close ends the connection for good.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Disconnect()
}

// Connected tells whether there is a connection.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

func (c *Client) connect(ctx context.Context) (*Conn, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, ErrClosed
		}
		if c.conn != nil {
			defer c.mu.Unlock()
			return c.conn, nil
		}
		if time.Since(c.failedAt) < dialBackoff {
			c.mu.Unlock()
			return nil, ErrClosed
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			go c.dial(c.dialing)
		}
		dialing := c.dialing
		c.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ErrTimeout
		}
	}
}

func (c *Client) dial(dialed chan struct{}) {
	nc, err := c.Network.Dial(c.Address, dialTimeout)
	if err == nil {
		ConfigureTCP(nc)
		nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err = nc.Write([]byte(Preface)); err != nil {
			nc.Close()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(dialed)
	c.dialing = nil
	if err != nil {
		c.failedAt = time.Now()
		return
	}
	if c.closed {
		nc.Close()
		return
	}
	c.conn, c.pending = &Conn{c: nc}, map[uint64]chan *Frame{}
	go c.read(c.conn)
}

func (c *Client) read(conn *Conn) {
	r := bufio.NewReader(conn.c)
	var buf []byte
	for {
		var f *Frame
		var err error
		if f, buf, err = readFrame(r, buf); err != nil {
			break
		}
		if !f.Response {
			if c.OnMessage != nil {
				c.OnMessage(f)
			}
			continue
		}
		c.mu.Lock()
		if reply := c.pending[f.Id]; reply != nil && c.conn == conn {
			delete(c.pending, f.Id)
			reply <- f
		}
		c.mu.Unlock()
	}
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
		for _, reply := range c.pending {
			close(reply)
		}
		c.pending = nil
	}
}
