package simcluster

import (
	"net"
	"sync"
)

// limitedListener closes connections that exceed a server's limit as soon as they are accepted.
type limitedListener struct {
	net.Listener
	server *Server
	open   int // guarded by the server's lock
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &countedConn{Conn: connection, listener: l}, nil
		}
		connection.Close()
	}
}

// acquire reports whether a new connection is within the limit, and counts it as open or as rejected.
func (l *limitedListener) acquire() bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.open >= l.server.ConnectionLimit {
		l.server.rejectedConnections++
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) release() {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.open--
}

// countedConn is a connection that counts towards the limit until it is closed.
type countedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(c.listener.release)
	return c.Conn.Close()
}
