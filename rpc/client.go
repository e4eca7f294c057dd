package rpc

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"oxbowspan/internal/network"
)

const (
	// dialTimeout is short: the first packet to a host without power is lost, and TCP retransmits it only after a second.
	dialTimeout = 300 * time.Millisecond
	// dialBackoff is how long after a failed dial further calls fail without dialing.
	dialBackoff = 40 * time.Millisecond
)

// Errors of [Client.Call]. They are returned unwrapped.
var (
	// ErrTimeout says that the context ended before the response arrived. The peer may have handled the request, or may do so yet.
	ErrTimeout = errors.New("rpc: no response in time")
	// ErrClosed says that there is no connection, or that it ended before the response arrived. In the second case the peer may
	// have handled the request.
	ErrClosed = errors.New("rpc: connection closed")
)

// Client calls one peer over one connection, which it opens when needed. The exported fields are set before the first call;
// the methods may be called concurrently.
type Client struct {
	Address   string          // host and port of the peer
	Network   network.Network // used to dial
	OnMessage func(f *Frame)  // called for frames that are not responses; nil = they are dropped

	mu       sync.Mutex
	conn     *Conn                  // nil while not connected
	pending  map[uint64]chan *Frame // requests that await their response, by ID; closed and dropped when the connection ends
	lastID   uint64
	dialing  chan struct{} // closed when the dial in progress ends; nil = none
	failedAt time.Time     // of the last failed dial
	closed   bool
}

// Call sends a request and waits for its response, until the context ends. The frame's Id is not used. It returns [ErrTimeout]
// when the context ended first and [ErrClosed] when there is no connection or it ended; other errors are those of sending.
func (c *Client) Call(ctx context.Context, f *Frame) (*Frame, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	id, reply, err := c.register(conn)
	if err != nil {
		return nil, err
	}
	defer c.unregister(id)
	request := &Frame{Id: id, Body: f.Body}
	if err := conn.Send(request); err != nil {
		return nil, err
	}
	select {
	case response, ok := <-reply:
		if !ok {
			return nil, ErrClosed
		}
		return response, nil
	case <-ctx.Done():
		return nil, ErrTimeout
	}
}

// register assigns an ID to a new request on a connection. The channel receives the response or is closed.
func (c *Client) register(conn *Conn) (id uint64, reply <-chan *Frame, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return 0, nil, ErrClosed
	}
	c.lastID++
	channel := make(chan *Frame, 1)
	c.pending[c.lastID] = channel
	return c.lastID, channel, nil
}

func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// Disconnect ends the connection to a peer that does not respond. The next call opens a new one.
func (c *Client) Disconnect() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// Close ends the connection; later calls return [ErrClosed].
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Disconnect()
}

// Connected reports whether there is a connection.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// connect returns the connection, and opens it if there is none. Concurrent callers share one dial.
func (c *Client) connect(ctx context.Context) (*Conn, error) {
	for {
		conn, dialing, err := c.connOrDial()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ErrTimeout
		}
	}
}

// connOrDial returns the connection, or the channel that is closed when the dial in progress ends.
func (c *Client) connOrDial() (*Conn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, ErrClosed
	}
	if c.conn != nil {
		return c.conn, nil, nil
	}
	if time.Since(c.failedAt) < dialBackoff {
		return nil, nil, ErrClosed
	}
	if c.dialing == nil {
		c.dialing = make(chan struct{})
		go c.dial(c.dialing)
	}
	return nil, c.dialing, nil
}

func (c *Client) dial(done chan<- struct{}) {
	dialed, err := c.Network.Dial(c.Address, dialTimeout)
	if err == nil {
		ConfigureTCP(dialed)
		dialed.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err = dialed.Write([]byte(Preface)); err != nil {
			dialed.Close()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(done)
	c.dialing = nil
	if err != nil {
		c.failedAt = time.Now()
		return
	}
	if c.closed {
		dialed.Close()
		return
	}
	c.conn, c.pending = &Conn{conn: dialed}, map[uint64]chan *Frame{}
	go c.read(c.conn)
}

func (c *Client) read(conn *Conn) {
	conn.readFrames(bufio.NewReader(conn.conn), func(f *Frame) { c.dispatch(conn, f) })
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	for _, reply := range c.pending {
		close(reply)
	}
	c.pending = nil
}

// dispatch delivers a response to its caller and any other frame to OnMessage.
func (c *Client) dispatch(conn *Conn, f *Frame) {
	if !f.Response {
		if c.OnMessage != nil {
			c.OnMessage(f)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.pending[f.Id]; reply != nil && c.conn == conn {
		delete(c.pending, f.Id)
		reply <- f
	}
}
