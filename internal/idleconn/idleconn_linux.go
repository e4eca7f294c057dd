// Package idleconn keeps idle TCP connections without a goroutine, a buffer or a runtime timer each: a parked connection is a
// descriptor in an epoll set and whatever its owner records about it. A Set owns the descriptors of parked sockets and one
// goroutine that waits for all of them. It makes no decisions: its owner is notified of sockets that become readable.
//
// The epoll descriptor itself is in the runtime's poller, so that no thread is blocked either.
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

// Supported reports whether this system can park sockets.
const Supported = true

// Set is a set of parked sockets.
type Set struct {
	epoll      *os.File
	raw        syscall.RawConn
	onReadable func(value uint32, fd int)
	done       chan struct{}
}

// New starts a set. onReadable is called, in the set's own goroutine, with the value and descriptor of each parked socket that
// may be readable or closed; it must not block. The socket is not armed then.
//
// A notification may be stale: the socket may have been closed meanwhile and its descriptor reused. The owner therefore checks
// that it still holds this socket with this value, calls Peek, and then Unpark, Close, Reject or Rearm.
func New(onReadable func(value uint32, fd int)) (*Set, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil { // else the runtime would not poll it
		unix.Close(fd)
		return nil, err
	}
	s := &Set{epoll: os.NewFile(uintptr(fd), "epoll"), onReadable: onReadable, done: make(chan struct{})}
	if s.raw, err = s.epoll.SyscallConn(); err != nil {
		s.epoll.Close()
		return nil, err
	}
	go s.run()
	return s, nil
}

// Stop ends the set's goroutine. Parked sockets stay open and belong to the caller.
func (s *Set) Stop() {
	s.epoll.Close()
	<-s.done
}

// maxEvents is the number of events read at a time.
const maxEvents = 128

// run calls onReadable until the set is stopped.
func (s *Set) run() {
	defer close(s.done)
	events := make([]unix.EpollEvent, maxEvents)
	for {
		n := 0
		err := s.raw.Read(func(fd uintptr) bool {
			var err error
			n, err = unix.EpollWait(int(fd), events, 0)
			return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
		})
		if err != nil {
			return // closed
		}
		for _, e := range events[:max(n, 0)] {
			s.onReadable(uint32(e.Pad), int(e.Fd))
		}
	}
}

// control adds a socket to the epoll set, or arms it again.
func (s *Set) control(op, fd int, value uint32) error {
	// One shot: no further notification while the owner handles this one.
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(fd), Pad: int32(value)}
	var err error
	controlErr := s.raw.Control(func(epoll uintptr) { err = unix.EpollCtl(int(epoll), op, fd, &event) })
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Rearm waits again for a parked socket after a notification.
func (s *Set) Rearm(fd int, value uint32) error { return s.control(unix.EPOLL_CTL_MOD, fd, value) }

// Peek reports whether bytes can be read from a socket. If there are none, closed is io.EOF if the peer has closed the
// connection, another error if it failed, or nil.
func Peek(fd int) (waiting bool, closed error) {
	var one [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
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

// Park takes over a connection's socket: the net.TCPConn is closed, its socket stays open and waits in the set with a value.
// After an error nothing has changed. Park needs one more descriptor temporarily.
func (s *Set) Park(c *net.TCPConn, value uint32) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	fd = -1
	var dupErr error
	if err := raw.Control(func(old uintptr) { fd, dupErr = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 3) }); err != nil {
		return -1, err
	}
	if dupErr != nil {
		return -1, dupErr
	}
	if err := s.control(unix.EPOLL_CTL_ADD, fd, value); err != nil {
		unix.Close(fd)
		return -1, err
	}
	c.Close() // the duplicate descriptor keeps the socket open
	return fd, nil
}

// Unpark makes a parked socket a connection again. It needs two more descriptors temporarily. After an error the socket is
// still parked, but not armed.
func (s *Set) Unpark(fd int) (net.Conn, error) {
	other, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 3)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(other), "parked")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	s.Close(fd)
	return c, nil
}

// remove takes a socket out of the epoll set.
func (s *Set) remove(fd int) {
	s.raw.Control(func(epoll uintptr) { unix.EpollCtl(int(epoll), unix.EPOLL_CTL_DEL, fd, nil) })
}

// Close closes a parked socket.
func (s *Set) Close(fd int) {
	s.remove(fd)
	unix.Close(fd)
}

// Reject sends a prepared response on a parked socket without blocking, and closes it. What has been received is read first:
// closing a socket with unread bytes would reset the connection, and the client might not get the response.
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
	// maxDiscard is the most that Reject reads, in bytes: the largest header and body of a request.
	maxDiscard        = 96 << 10
	discardBufferSize = 16 << 10
)

var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// RemoteAddr returns the peer's address of a parked socket, or "unknown".
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

// HasPendingConn reports whether a connection waits to be accepted. Accept does not show that when no descriptor is left: it
// fails either way.
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
