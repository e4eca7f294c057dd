// Package idleconn holds idle TCP connections without a goroutine, a buffer or a runtime timer for each: a parked connection
// costs a descriptor in an epoll set and the data that its owner records about it. A Set owns the descriptors of parked sockets
// and one goroutine that waits for all of them. It makes no decisions: it notifies its owner of sockets that become readable.
//
// The epoll descriptor itself is registered with the Go runtime's poller, so that waiting does not block a thread either.
package idleconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Supported reports whether parking sockets is supported on this system.
const Supported = true

// Set is a set of parked sockets.
type Set struct {
	epoll      *os.File
	epollConn  syscall.RawConn // access to the descriptor of epoll
	onReadable func(value uint32, fd int)
	done       chan struct{}
}

// New starts a set. onReadable is called on the set's goroutine with the value and descriptor of each parked socket that may be
// readable or closed; it must not block. The socket is then disarmed: no further notification follows until Rearm.
//
// A notification may be stale: the socket may have been closed meanwhile and its descriptor reused. The owner must therefore
// check that this socket is still parked with this value, call Peek, and then Unpark, Close, Reject or Rearm.
func New(onReadable func(value uint32, fd int)) (*Set, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil { // otherwise the runtime would not poll it
		unix.Close(fd)
		return nil, err
	}
	s := &Set{epoll: os.NewFile(uintptr(fd), "epoll"), onReadable: onReadable, done: make(chan struct{})}
	if s.epollConn, err = s.epoll.SyscallConn(); err != nil {
		s.epoll.Close()
		return nil, err
	}
	go s.run()
	return s, nil
}

// Stop ends the set's goroutine. Parked sockets stay open; the caller has to close them.
func (s *Set) Stop() {
	s.epoll.Close()
	<-s.done
}

// maxEvents is the maximum number of events that one call of epoll_wait returns.
const maxEvents = 128

// run calls onReadable until the set is stopped.
func (s *Set) run() {
	defer close(s.done)
	events := make([]unix.EpollEvent, maxEvents)
	for {
		n := 0
		err := s.epollConn.Read(func(fd uintptr) bool {
			var err error
			n, err = unix.EpollWait(int(fd), events, 0)
			return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
		})
		if err != nil {
			return // the set was stopped
		}
		for _, e := range events[:max(n, 0)] {
			s.onReadable(uint32(e.Pad), int(e.Fd))
		}
	}
}

// epollControl adds a socket to the epoll set or rearms it, depending on op.
func (s *Set) epollControl(op, fd int, value uint32) error {
	// EPOLLONESHOT: no further notification follows while the owner handles this one.
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(fd), Pad: int32(value)}
	var err error
	controlErr := s.epollConn.Control(func(epoll uintptr) { err = unix.EpollCtl(int(epoll), op, fd, &event) })
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Rearm enables the next notification of a parked socket, with a new value.
func (s *Set) Rearm(fd int, value uint32) error { return s.epollControl(unix.EPOLL_CTL_MOD, fd, value) }

// Peek reports whether bytes can be read from a socket, without reading them. If there are none, closeErr is io.EOF if the peer
// has closed the connection, another error if the connection has failed, or nil if it is open.
func Peek(fd int) (readable bool, closeErr error) {
	var buf [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false, nil
		case err != nil:
			return false, err
		case n <= 0:
			return false, io.EOF
		default:
			return true, nil
		}
	}
}

// Park moves a connection's socket into the set: it closes the net.TCPConn but keeps its socket open, and arms it with a value
// that is passed to onReadable. After an error the connection is unchanged. Park temporarily uses one additional descriptor.
func (s *Set) Park(c *net.TCPConn, value uint32) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	fd = -1
	var dupErr error
	if err := raw.Control(func(original uintptr) { fd, dupErr = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 3) }); err != nil {
		return -1, err
	}
	if dupErr != nil {
		return -1, dupErr
	}
	if err := s.epollControl(unix.EPOLL_CTL_ADD, fd, value); err != nil {
		unix.Close(fd)
		return -1, err
	}
	c.Close() // the duplicate descriptor keeps the socket open
	return fd, nil
}

// Unpark removes a socket from the set and returns it as a net.Conn. It temporarily uses two additional descriptors. After an
// error the socket is still parked, but not armed.
func (s *Set) Unpark(fd int) (net.Conn, error) {
	duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 3)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(duplicate), "parked")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	s.Close(fd)
	return c, nil
}

// remove removes a socket from the epoll set.
func (s *Set) remove(fd int) {
	s.epollConn.Control(func(epoll uintptr) { unix.EpollCtl(int(epoll), unix.EPOLL_CTL_DEL, fd, nil) })
}

// Close removes a parked socket from the set and closes it.
func (s *Set) Close(fd int) {
	s.remove(fd)
	unix.Close(fd)
}

// Reject sends a response on a parked socket without blocking, and closes it. It first reads and discards the received bytes,
// at most maxDiscard: closing a socket with unread bytes would reset the connection, and the client might not receive the
// response.
func (s *Set) Reject(fd int, response []byte) {
	b := discardBuffers.Get().(*[discardBufferSize]byte)
	for range maxDiscard / len(b) {
		if n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_DONTWAIT); n <= 0 || err != nil {
			break
		}
	}
	discardBuffers.Put(b)
	unix.SendmsgN(fd, response, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	unix.Shutdown(fd, unix.SHUT_WR)
	s.Close(fd)
}

const (
	// maxDiscard is the maximum number of bytes that Reject reads: the largest header and body of a request.
	maxDiscard        = 96 << 10
	discardBufferSize = 16 << 10
)

var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// RemoteAddr returns the address of a parked socket's peer, or "unknown".
func RemoteAddr(fd int) string {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return "unknown"
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	case *unix.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	}
	return "unknown"
}

// HasPendingConn reports whether a connection is waiting to be accepted. When no descriptor is left, Accept does not show
// this, as it fails in either case.
func HasPendingConn(l net.Listener) bool {
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}
