// Package simnet is a simulated network for tests and the emulator: hosts by IP, links with delay, cuts, machines that
// are killed or lose power. It uses the clock of the process, so that inside a synctest bubble no time is really spent.
// What is sent arrives in order after the link's delay; over a cut link it waits until the cut heals.
package simnet

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is one network. Its zero value is not ready: use New.
type Network struct {
	delay func(from, to string) time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener        // by address
	poweredOff  map[string]bool             // hosts without power: nothing comes from there, not even a refusal
	partitioned map[[2]string]bool          // from, to
	extraDelay  map[[2]string]time.Duration // from, to: what is sent takes so much longer
	conns       map[*conn]bool              // both ends of each
	halfOpen    map[string][]*conn          // other ends of what a host had when it went dark; emptied as it has power again
	lastPort    int
}

// New makes a network whose links delay what is sent.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}, poweredOff: map[string]bool{}, partitioned: map[[2]string]bool{}, extraDelay: map[[2]string]time.Duration{},
		conns: map[*conn]bool{}, halfOpen: map[string][]*conn{}, lastPort: 40000}
}

// Host is a machine's view of the network.
type Host struct {
	network *Network
	ip      string
}

// Host is the machine with an IP.
func (n *Network) Host(ip string) Host { return Host{n, ip} }

// SetPartitioned cuts a link in one direction, or heals it.
func (n *Network) SetPartitioned(from, to string, partitioned bool) {
	n.mu.Lock()
	n.partitioned[[2]string{from, to}] = partitioned
	if !partitioned {
		delete(n.partitioned, [2]string{from, to})
	}
	n.mu.Unlock()
	n.wakeReaders()
}

// SetExtraDelay has what is sent over a link in one direction take longer from now on; 0 = as long as usual.
func (n *Network) SetExtraDelay(from, to string, extra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.extraDelay[[2]string{from, to}] = extra; extra == 0 {
		delete(n.extraDelay, [2]string{from, to})
	}
}

// latency is how long what is sent now is on its way.
func (n *Network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay(from, to) + n.extraDelay[[2]string{from, to}]
}

// Heal heals all cuts, and has all links as fast as usual.
func (n *Network) Heal() {
	n.mu.Lock()
	clear(n.partitioned)
	clear(n.extraDelay)
	n.mu.Unlock()
	n.wakeReaders()
}

// wakeReaders has everybody who waits look again.
func (n *Network) wakeReaders() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.incoming.wake()
	}
}

// Kill ends all connections and listeners of a host, as when its processes are killed: others see resets. With power, its
// machine goes dark: others see nothing until Light.
func (n *Network) Kill(ip string, powerLoss bool) {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if c.local == ip {
			closing = append(closing, c)
		}
	}
	for address, l := range n.listeners {
		if l.ip == ip {
			delete(n.listeners, address)
			l.markClosed()
		}
	}
	n.poweredOff[ip] = powerLoss
	n.mu.Unlock()
	for _, c := range closing {
		c.shutdown(!powerLoss)
	}
}

// PowerOn gives a host power again. It knows nothing of the connections it had: who writes to one sees a reset.
func (n *Network) PowerOn(ip string) {
	n.mu.Lock()
	delete(n.poweredOff, ip)
	halfOpen := n.halfOpen[ip]
	delete(n.halfOpen, ip)
	n.mu.Unlock()
	for _, c := range halfOpen {
		c.mu.Lock()
		c.halfOpen = true
		c.mu.Unlock()
	}
}

func (n *Network) reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[[2]string{from, to}] && !n.poweredOff[from] && !n.poweredOff[to]
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

type listener struct {
	network   *Network
	ip        string
	address   string
	backlog   chan *conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen implements ground.Network.
func (h Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: %w", address, syscall.EADDRINUSE)
	}
	l := &listener{network: h.network, ip: h.ip, address: address, backlog: make(chan *conn, 256), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) markClosed() { l.closeOnce.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	l.markClosed()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// Dial implements ground.Network.
func (h Host) Dial(address string, timeout time.Duration) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(timeout)
	roundTrip := h.network.latency(h.ip, ip) + h.network.latency(ip, h.ip)
	for !h.network.reachable(h.ip, ip) || !h.network.reachable(ip, h.ip) {
		if remaining := time.Until(deadline); remaining <= 0 {
			return nil, fmt.Errorf("dial %s: %w", address, os.ErrDeadlineExceeded)
		} else {
			time.Sleep(min(remaining, 200*time.Millisecond))
		}
	}
	time.Sleep(min(roundTrip, max(time.Until(deadline), 0)))
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := h.network.listeners[address]
	if l == nil || h.network.poweredOff[h.ip] {
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	h.network.lastPort++
	local := &conn{network: h.network, local: h.ip, remote: ip, localAddress: fmt.Sprintf("%s:%d", h.ip, h.network.lastPort), incoming: newStream()}
	remote := &conn{network: h.network, local: ip, remote: h.ip, localAddress: address, incoming: newStream()}
	local.peer, remote.peer = remote, local
	select {
	case l.backlog <- remote:
	default:
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	h.network.conns[local], h.network.conns[remote] = true, true
	return local, nil
}

// stream is one direction of a connection.
type stream struct {
	mu       sync.Mutex
	segments []segment
	closeErr error // after the parts; nil = it goes on
	closedAt time.Time
	deadline time.Time
	wakeup   chan struct{}
}

type segment struct {
	arrival time.Time
	data    []byte
}

func newStream() *stream { return &stream{wakeup: make(chan struct{}, 1)} }

func (s *stream) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *stream) closeWith(err error, at time.Time) {
	s.mu.Lock()
	if s.closeErr == nil {
		s.closeErr, s.closedAt = err, at
	}
	s.mu.Unlock()
	s.wake()
}

type conn struct {
	network       *Network
	local, remote string
	localAddress  string
	incoming      *stream
	peer          *conn

	mu       sync.Mutex
	closed   bool
	halfOpen bool // the other end is gone without a word, and its host is back
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		reachable := c.network.reachable(c.remote, c.local)
		s := c.incoming
		s.mu.Lock()
		now := time.Now()
		wait := time.Hour
		switch {
		case c.isClosed():
			s.mu.Unlock()
			return 0, net.ErrClosed
		case !s.deadline.IsZero() && !now.Before(s.deadline):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(s.segments) > 0 && reachable && !now.Before(s.segments[0].arrival):
			n := copy(b, s.segments[0].data)
			if s.segments[0].data = s.segments[0].data[n:]; len(s.segments[0].data) == 0 {
				s.segments = s.segments[1:]
			}
			s.mu.Unlock()
			return n, nil
		case len(s.segments) == 0 && s.closeErr != nil && (reachable || s.closeErr == net.ErrClosed) && !now.Before(s.closedAt):
			err := s.closeErr
			s.mu.Unlock()
			return 0, err
		case len(s.segments) > 0 && reachable:
			wait = s.segments[0].arrival.Sub(now)
		case len(s.segments) == 0 && s.closeErr != nil && reachable:
			wait = s.closedAt.Sub(now)
		}
		if !s.deadline.IsZero() {
			wait = min(wait, s.deadline.Sub(now))
		}
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-s.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *conn) Write(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	halfOpen := c.halfOpen
	c.mu.Unlock()
	if halfOpen {
		c.incoming.closeWith(syscall.ECONNRESET, time.Now().Add(c.network.latency(c.local, c.remote)+c.network.latency(c.remote, c.local)))
		return len(b), nil
	}
	arrival := time.Now().Add(c.network.latency(c.local, c.remote))
	s := c.peer.incoming
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return 0, syscall.EPIPE
	}
	s.segments = append(s.segments, segment{arrival, append([]byte(nil), b...)})
	s.wake()
	return len(b), nil
}

func (c *conn) Close() error {
	c.shutdown(false)
	return nil
}

// shutdown closes this end. The other sees the end of the stream, or a reset; nothing while the link is cut.
func (c *conn) shutdown(reset bool) {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	c.incoming.wake()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	poweredOff := c.network.poweredOff[c.local]
	if poweredOff && c.network.conns[c.peer] {
		c.network.halfOpen[c.local] = append(c.network.halfOpen[c.local], c.peer)
	}
	c.network.mu.Unlock()
	if poweredOff {
		return // nobody is told
	}
	err := error(io.EOF)
	if reset {
		err = syscall.ECONNRESET
	}
	c.peer.incoming.closeWith(err, time.Now().Add(c.network.latency(c.local, c.remote)))
}

func (c *conn) LocalAddr() net.Addr  { return address(c.localAddress) }
func (c *conn) RemoteAddr() net.Addr { return address(c.peer.localAddress) }

func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.incoming.mu.Lock()
	c.incoming.deadline = t
	c.incoming.mu.Unlock()
	c.incoming.wake()
	return nil
}

// SetWriteDeadline does nothing: what is written never waits.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
