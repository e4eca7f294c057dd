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
	acceptBackoff  = 20 * time.Millisecond // after a failed accept, as when no file descriptor is free
)

// Server accepts connections on a listener and hands their frames to a handler. The exported functions are set before Serve.
type Server struct {
	// Handle is called for each frame, sequentially for each connection. It may respond later.
	Handle func(c *Conn, f *Frame)
	// OnClose is called once when a connection has ended; nil = not called.
	OnClose func(c *Conn)

	// HandshakeFailures counts connections that did not send the preface in time.
	HandshakeFailures atomic.Int64

	mu      sync.Mutex
	conns   map[*Conn]bool // open connections
	readers sync.WaitGroup
}

// Serve accepts connections until the listener is closed. It then closes all connections and returns after the last OnClose.
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

func (s *Server) read(c *Conn) {
	defer s.remove(c)
	r := bufio.NewReader(c.conn)
	if !readPreface(c.conn, r) {
		s.HandshakeFailures.Add(1)
		return
	}
	c.readFrames(r, func(f *Frame) { s.Handle(c, f) })
}

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

func readPreface(conn net.Conn, r *bufio.Reader) bool {
	var preface [len(Preface)]byte
	conn.SetReadDeadline(time.Now().Add(prefaceTimeout))
	if _, err := io.ReadFull(r, preface[:]); err != nil || string(preface[:]) != Preface {
		return false
	}
	conn.SetReadDeadline(time.Time{})
	return true
}
