// Package idleconn keeps idle sockets without a goroutine, a buffer or a runtime timer: each is a descriptor in one epoll set
// and whatever its owner keeps of it. It owns the descriptors of what is parked, and one goroutine that waits for all of
// them. It decides nothing: what wakes is told to its owner.
//
// The epoll descriptor itself waits in the runtime's poller, so that not even a thread is held.
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

// Supported says whether sockets can be parked on this system.
const Supported = true

// Set is a set of parked sockets.
type Set struct {
	epoll      *os.File
	raw        syscall.RawConn
	onReadable func(value uint32, fd int)
	done       chan struct{}
}

// New starts a set. woken is told of each parked socket on which something may have come, in the set's own goroutine, and
// must not wait. The socket is not watched any more then. What is told may be stale: the socket may have been taken out
// meanwhile, and its number be another's. So the owner looks whether it still holds this socket under this value, asks
// Peek what is there, and does Unpark, Close, Refuse, or Watch to let it wait on.
func New(woken func(value uint32, fd int)) (*Set, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil { // else the runtime would not poll it
		unix.Close(fd)
		return nil, err
	}
	s := &Set{epoll: os.NewFile(uintptr(fd), "epoll"), onReadable: woken, done: make(chan struct{})}
	if s.raw, err = s.epoll.SyscallConn(); err != nil {
		s.epoll.Close()
		return nil, err
	}
	go s.run()
	return s, nil
}

// Stop ends the set's goroutine. What is parked stays open, and its owner's.
func (s *Set) Stop() {
	s.epoll.Close()
	<-s.done
}

// maxEvents is how many sockets are told of at a time.
const maxEvents = 128

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

func (s *Set) control(op, fd int, value uint32) error {
	// One shot: a socket that woke is not told again while its owner deals with it.
	e := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(fd), Pad: int32(value)}
	var err error
	if ctl := s.raw.Control(func(ep uintptr) { err = unix.EpollCtl(int(ep), op, fd, &e) }); ctl != nil {
		return ctl
	}
	return err
}

// Rearm lets a socket that woke for nothing wait on.
func (s *Set) Rearm(fd int, value uint32) error { return s.control(unix.EPOLL_CTL_MOD, fd, value) }

// Peek tells whether bytes wait on a socket, or, where none do, that it is over: io.EOF if the other side has closed it,
// else what broke it.
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

// Park takes a connection's socket over: the connection is closed, its socket is not, and waits in the set under a value.
// On an error nothing has changed. It takes one more descriptor for a moment.
func (s *Set) Park(c *net.TCPConn, value uint32) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	fd = -1
	var dup error
	if err := raw.Control(func(old uintptr) { fd, dup = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 3) }); err != nil {
		return -1, err
	}
	if dup != nil {
		return -1, dup
	}
	if err := s.control(unix.EPOLL_CTL_ADD, fd, value); err != nil {
		unix.Close(fd)
		return -1, err
	}
	c.Close() // the socket itself stays open by the other descriptor
	return fd, nil
}

// Unpark makes a connection of a parked socket again. On an error, as where the two descriptors more that it takes for a
// moment are not to be had, the socket is as before, but not watched.
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

func (s *Set) remove(fd int) {
	s.raw.Control(func(ep uintptr) { unix.EpollCtl(int(ep), unix.EPOLL_CTL_DEL, fd, nil) })
}

// Close ends a parked socket.
func (s *Set) Close(fd int) {
	s.remove(fd)
	unix.Close(fd)
}

// Reject answers a parked socket with bytes made ready, without waiting, and closes it: whatever has come is read first, as
// a socket that is closed with bytes unread takes its answer back.
func (s *Set) Reject(fd int, refuse []byte) {
	b := discardBuffers.Get().(*[16 << 10]byte)
	for range maxDiscard / len(b) {
		if n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_DONTWAIT); n <= 0 || err != nil {
			break
		}
	}
	discardBuffers.Put(b)
	unix.SendmsgN(fd, refuse, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	unix.Shutdown(fd, unix.SHUT_WR)
	s.Close(fd)
}

// maxDiscard is how much of a request that is refused is read at most: a head and a body of the longest.
const maxDiscard = 96 << 10

var discardBuffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// RemoteAddr is the other side of a parked socket.
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

// HasPendingConn tells whether somebody waits to be accepted. Accept itself does not tell where no descriptor is left: it fails
// then whether or not somebody does.
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
