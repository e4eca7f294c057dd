package rpc

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	prefaceTimeout = 2 * time.Second
	acceptBackoff  = 20 * time.Millisecond // after a failed accept, for instance without free file descriptors
)

// Server accepts connections on a listener and passes their frames to a handler. The exported functions must be set
// before Serve.
type Server struct {
	// Handle is called for each frame: sequentially for the frames of one connection, concurrently for different
	// connections. The response may be sent after it has returned.
	Handle func(c *Conn, f *Frame)
	// OnClose is called once for each connection after it has ended; it may be nil.
	OnClose func(c *Conn)

	// HandshakeFailures counts connections that did not send the preface within prefaceTimeout.
	HandshakeFailures atomic.Int64

	mu      sync.Mutex
	conns   map[*Conn]bool // open connections
	readers sync.WaitGroup
}

// Serve accepts connections until the listener is closed. It then closes all connections and returns after the last
// call of OnClose.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.conns = map[*Conn]bool{}
	s.mu.Unlock()
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		ConfigureTCP(accepted)
		c := &Conn{conn: accepted}
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

// read checks the preface of a connection and handles its frames until it ends.
func (s *Server) read(c *Conn) {
	defer s.remove(c)
	r := bufio.NewReader(c.conn)
	if !readPreface(c.conn, r) {
		s.HandshakeFailures.Add(1)
		return
	}
	c.readFrames(r, func(f *Frame) { s.Handle(c, f) })
}

// remove closes a connection, removes it from the open ones and calls OnClose.
func (s *Server) remove(c *Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if s.OnClose != nil {
		s.OnClose(c)
	}
	s.readers.Done()
}

// readPreface reports whether the preface was received within prefaceTimeout.
func readPreface(conn net.Conn, r *bufio.Reader) bool {
	var preface [len(Preface)]byte
	conn.SetReadDeadline(time.Now().Add(prefaceTimeout))
	if _, err := io.ReadFull(r, preface[:]); err != nil || string(preface[:]) != Preface {
		return false
	}
	conn.SetReadDeadline(time.Time{})
	return true
}
