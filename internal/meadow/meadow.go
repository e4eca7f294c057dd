// Package meadow is a simulated network for tests and the emulator: hosts by IP, links with delay, cuts, machines that
// are killed or lose power. It uses the clock of the process, so that inside a synctest bubble no time is really spent.
// What is sent arrives in order after the link's delay; over a cut link it waits until the cut heals.
package meadow

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Meadow is one network. Its zero value is not ready: use New.
type Meadow struct {
	delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener        // by address
	dark      map[string]bool             // hosts without power: nothing comes from there, not even a refusal
	cuts      map[[2]string]bool          // from, to
	slow      map[[2]string]time.Duration // from, to: what is sent takes so much longer
	conns     map[*conn]bool              // both ends of each
	orphans   map[string][]*conn          // other ends of what a host had when it went dark; emptied as it has power again
	port      int
}

// New makes a network whose links delay what is sent.
func New(delay func(from, to string) time.Duration) *Meadow {
	return &Meadow{delay: delay, listeners: map[string]*listener{}, dark: map[string]bool{}, cuts: map[[2]string]bool{}, slow: map[[2]string]time.Duration{},
		conns: map[*conn]bool{}, orphans: map[string][]*conn{}, port: 40000}
}

// Host is a machine's view of the network.
type Host struct {
	m  *Meadow
	ip string
}

// Host is the machine with an IP.
func (m *Meadow) Host(ip string) Host { return Host{m, ip} }

// Cut cuts a link in one direction, or heals it.
func (m *Meadow) Cut(from, to string, cut bool) {
	m.mu.Lock()
	m.cuts[[2]string{from, to}] = cut
	if !cut {
		delete(m.cuts, [2]string{from, to})
	}
	m.mu.Unlock()
	m.stir()
}

// Slow has what is sent over a link in one direction take longer from now on; 0 = as long as usual.
func (m *Meadow) Slow(from, to string, by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slow[[2]string{from, to}] = by; by == 0 {
		delete(m.slow, [2]string{from, to})
	}
}

// takes is how long what is sent now is on its way.
func (m *Meadow) takes(from, to string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delay(from, to) + m.slow[[2]string{from, to}]
}

// Heal heals all cuts, and has all links as fast as usual.
func (m *Meadow) Heal() {
	m.mu.Lock()
	clear(m.cuts)
	clear(m.slow)
	m.mu.Unlock()
	m.stir()
}

// stir has everybody who waits look again.
func (m *Meadow) stir() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.in.wake()
	}
}

// Kill ends all connections and listeners of a host, as when its processes are killed: others see resets. With power, its
// machine goes dark: others see nothing until Light.
func (m *Meadow) Kill(ip string, power bool) {
	m.mu.Lock()
	var dead []*conn
	for c := range m.conns {
		if c.local == ip {
			dead = append(dead, c)
		}
	}
	for a, l := range m.listeners {
		if l.ip == ip {
			delete(m.listeners, a)
			l.shut()
		}
	}
	m.dark[ip] = power
	m.mu.Unlock()
	for _, c := range dead {
		c.end(!power)
	}
}

// Light gives a host power again. It knows nothing of the connections it had: who writes to one sees a reset.
func (m *Meadow) Light(ip string) {
	m.mu.Lock()
	delete(m.dark, ip)
	orphans := m.orphans[ip]
	delete(m.orphans, ip)
	m.mu.Unlock()
	for _, c := range orphans {
		c.mu.Lock()
		c.orphan = true
		c.mu.Unlock()
	}
}

func (m *Meadow) passes(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.cuts[[2]string{from, to}] && !m.dark[from] && !m.dark[to]
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

type listener struct {
	m       *Meadow
	ip      string
	address string
	came    chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Listen implements ground.Network.
func (h Host) Listen(at string) (net.Listener, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.m.listeners[at] != nil {
		return nil, fmt.Errorf("listen %s: %w", at, syscall.EADDRINUSE)
	}
	l := &listener{m: h.m, ip: h.ip, address: at, came: make(chan *conn, 256), closed: make(chan struct{})}
	h.m.listeners[at] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.came:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shut() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.m.mu.Lock()
	if l.m.listeners[l.address] == l {
		delete(l.m.listeners, l.address)
	}
	l.m.mu.Unlock()
	l.shut()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// Dial implements ground.Network.
func (h Host) Dial(to string, limit time.Duration) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(limit)
	trip := h.m.takes(h.ip, ip) + h.m.takes(ip, h.ip)
	for !h.m.passes(h.ip, ip) || !h.m.passes(ip, h.ip) {
		if left := time.Until(until); left <= 0 {
			return nil, fmt.Errorf("dial %s: %w", to, os.ErrDeadlineExceeded)
		} else {
			time.Sleep(min(left, 200*time.Millisecond))
		}
	}
	time.Sleep(min(trip, max(time.Until(until), 0)))
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	l := h.m.listeners[to]
	if l == nil || h.m.dark[h.ip] {
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
	h.m.port++
	mine := &conn{m: h.m, local: h.ip, remote: ip, name: fmt.Sprintf("%s:%d", h.ip, h.m.port), in: newFlow()}
	theirs := &conn{m: h.m, local: ip, remote: h.ip, name: to, in: newFlow()}
	mine.peer, theirs.peer = theirs, mine
	select {
	case l.came <- theirs:
	default:
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
	h.m.conns[mine], h.m.conns[theirs] = true, true
	return mine, nil
}

// flow is one direction of a connection.
type flow struct {
	mu       sync.Mutex
	parts    []segment
	ended    error // after the parts; nil = it goes on
	endedAt  time.Time
	deadline time.Time
	woken    chan struct{}
}

type segment struct {
	at   time.Time
	data []byte
}

func newFlow() *flow { return &flow{woken: make(chan struct{}, 1)} }

func (f *flow) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

func (f *flow) finish(err error, at time.Time) {
	f.mu.Lock()
	if f.ended == nil {
		f.ended, f.endedAt = err, at
	}
	f.mu.Unlock()
	f.wake()
}

type conn struct {
	m             *Meadow
	local, remote string
	name          string
	in            *flow
	peer          *conn

	mu     sync.Mutex
	closed bool
	orphan bool // the other end is gone without a word, and its host is back
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		passes := c.m.passes(c.remote, c.local)
		f := c.in
		f.mu.Lock()
		now := time.Now()
		wait := time.Hour
		switch {
		case c.isClosed():
			f.mu.Unlock()
			return 0, net.ErrClosed
		case !f.deadline.IsZero() && !now.Before(f.deadline):
			f.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(f.parts) > 0 && passes && !now.Before(f.parts[0].at):
			n := copy(b, f.parts[0].data)
			if f.parts[0].data = f.parts[0].data[n:]; len(f.parts[0].data) == 0 {
				f.parts = f.parts[1:]
			}
			f.mu.Unlock()
			return n, nil
		case len(f.parts) == 0 && f.ended != nil && (passes || f.ended == net.ErrClosed) && !now.Before(f.endedAt):
			err := f.ended
			f.mu.Unlock()
			return 0, err
		case len(f.parts) > 0 && passes:
			wait = f.parts[0].at.Sub(now)
		case len(f.parts) == 0 && f.ended != nil && passes:
			wait = f.endedAt.Sub(now)
		}
		if !f.deadline.IsZero() {
			wait = min(wait, f.deadline.Sub(now))
		}
		f.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-f.woken:
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
	orphan := c.orphan
	c.mu.Unlock()
	if orphan {
		c.in.finish(syscall.ECONNRESET, time.Now().Add(c.m.takes(c.local, c.remote)+c.m.takes(c.remote, c.local)))
		return len(b), nil
	}
	at := time.Now().Add(c.m.takes(c.local, c.remote))
	f := c.peer.in
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended != nil {
		return 0, syscall.EPIPE
	}
	f.parts = append(f.parts, segment{at, append([]byte(nil), b...)})
	f.wake()
	return len(b), nil
}

func (c *conn) Close() error {
	c.end(false)
	return nil
}

// end closes this end. The other sees the end of the stream, or a reset; nothing while the link is cut.
func (c *conn) end(reset bool) {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return
	}
	c.in.wake()
	c.m.mu.Lock()
	delete(c.m.conns, c)
	dark := c.m.dark[c.local]
	if dark && c.m.conns[c.peer] {
		c.m.orphans[c.local] = append(c.m.orphans[c.local], c.peer)
	}
	c.m.mu.Unlock()
	if dark {
		return // nobody is told
	}
	err := error(io.EOF)
	if reset {
		err = syscall.ECONNRESET
	}
	c.peer.in.finish(err, time.Now().Add(c.m.takes(c.local, c.remote)))
}

func (c *conn) LocalAddr() net.Addr  { return address(c.name) }
func (c *conn) RemoteAddr() net.Addr { return address(c.peer.name) }

func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	c.in.deadline = t
	c.in.mu.Unlock()
	c.in.wake()
	return nil
}

// SetWriteDeadline does nothing: what is written never waits.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
