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
	// dialTimeout is shorter than a TCP retransmission: the first packet to a host without power is lost, and TCP
	// retransmits it only after a second.
	dialTimeout = 300 * time.Millisecond
	// dialBackoff is the time after a failed dial during which further calls fail without dialing.
	dialBackoff = 40 * time.Millisecond
)

// Errors of [Client.Call]. They are returned unwrapped.
var (
	// ErrTimeout means that the context ended before the response arrived. The peer may have handled the request, or
	// may still handle it.
	ErrTimeout = errors.New("rpc: no response in time")
	// ErrClosed means that there is no connection, or that it ended before the response arrived. In the second case the
	// peer may have handled the request.
	ErrClosed = errors.New("rpc: connection closed")
)

// Client sends requests to one peer over one connection, which it opens on demand. The exported fields must be set
// before the first call; the methods may be called concurrently.
type Client struct {
	Address   string          // host and port of the peer
	Network   network.Network // used to dial
	OnMessage func(f *Frame)  // called for frames that are not responses; if nil, they are dropped

	mu           sync.Mutex
	conn         *Conn                  // nil while not connected
	pending      map[uint64]chan *Frame // response channels of pending requests, by ID; closed when the connection ends
	lastID       uint64
	dialing      chan struct{} // closed when the dial in progress ends; nil if there is none
	dialFailedAt time.Time     // when the last dial failed
	closed       bool
}

// Call sends a request and waits for its response until the context ends. It assigns the ID itself and ignores the
// frame's. It returns [ErrTimeout] if the context ends first, and [ErrClosed] if there is no connection or it ends;
// other errors are those of sending.
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

// register assigns an ID to a new request on a connection. The channel receives the response, or is closed when the
// connection ends.
func (c *Client) register(conn *Conn) (id uint64, reply <-chan *Frame, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return 0, nil, ErrClosed
	}
	c.lastID++
	responses := make(chan *Frame, 1)
	c.pending[c.lastID] = responses
	return c.lastID, responses, nil
}

// unregister removes a request that no longer waits for its response.
func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// Disconnect closes the connection, such as one to a peer that does not respond. The next call opens a new one.
func (c *Client) Disconnect() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// Close closes the connection for good: later calls return [ErrClosed].
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Disconnect()
}

// Connected reports whether a connection is open.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// connect returns the open connection, or opens one. Concurrent callers share one dial.
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

// connOrDial returns the open connection, or starts a dial if none is in progress and returns the channel that is
// closed when it ends. It returns [ErrClosed] after Close and within dialBackoff of a failed dial.
func (c *Client) connOrDial() (*Conn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, ErrClosed
	}
	if c.conn != nil {
		return c.conn, nil, nil
	}
	if time.Since(c.dialFailedAt) < dialBackoff {
		return nil, nil, ErrClosed
	}
	if c.dialing == nil {
		c.dialing = make(chan struct{})
		go c.dial(c.dialing)
	}
	return nil, c.dialing, nil
}

// dial opens a connection, sends the preface and starts reading. It closes done when it ends, with or without success.
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
		c.dialFailedAt = time.Now()
		return
	}
	if c.closed {
		dialed.Close()
		return
	}
	c.conn, c.pending = &Conn{conn: dialed}, map[uint64]chan *Frame{}
	go c.read(c.conn)
}

// read dispatches the frames of a connection until it ends, and then fails the pending requests.
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

// dispatch delivers a response to the pending request with its ID, and any other frame to OnMessage. Responses without
// a pending request are dropped.
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
