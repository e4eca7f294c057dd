package simnet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"oxbowspan/internal/network"
)

const (
	listenBacklog     = 256                    // connections waiting for Accept; further ones are refused
	reachabilityCheck = 200 * time.Millisecond // interval at which a blocked dial checks whether the host is reachable
)

// Host is one host's interface to the network.
type Host struct {
	network *Network
	ip      string
}

var _ network.Network = Host{}

// Listen implements network.Network.
func (h Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: %w", address, syscall.EADDRINUSE)
	}
	l := &listener{
		network: h.network,
		ip:      h.ip,
		address: address,
		backlog: make(chan *conn, listenBacklog),
		closed:  make(chan struct{}),
	}
	h.network.listeners[address] = l
	return l, nil
}

// Dial implements network.Network. While the other host is unreachable, Dial blocks until the timeout, as a TCP handshake does.
func (h Host) Dial(address string, timeout time.Duration) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(timeout)
	roundTrip := h.network.roundTrip(h.ip, ip)
	for !h.network.reachable(h.ip, ip) || !h.network.reachable(ip, h.ip) {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, fmt.Errorf("dial %s: %w", address, os.ErrDeadlineExceeded)
		}
		time.Sleep(min(remaining, reachabilityCheck))
	}
	time.Sleep(min(roundTrip, max(time.Until(deadline), 0)))
	return h.connect(ip, address)
}

// connect adds a new connection to the backlog of the listener at address. It returns ECONNREFUSED if there is no listener,
// if the backlog is full or if this host has no power.
func (h Host) connect(ip, address string) (net.Conn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := h.network.listeners[address]
	if l == nil || h.network.poweredOff[h.ip] {
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	h.network.lastPort++
	localAddress := fmt.Sprintf("%s:%d", h.ip, h.network.lastPort)
	local := &conn{network: h.network, localIP: h.ip, remoteIP: ip, localAddress: localAddress, incoming: newStream()}
	remote := &conn{network: h.network, localIP: ip, remoteIP: h.ip, localAddress: address, incoming: newStream()}
	local.peer, remote.peer = remote, local
	select {
	case l.backlog <- remote:
	default:
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	h.network.conns[local], h.network.conns[remote] = true, true
	return local, nil
}

// tcpAddress is an "IP:port" as a net.Addr.
type tcpAddress string

func (tcpAddress) Network() string  { return "tcp" }
func (a tcpAddress) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	network   *Network
	ip        string
	address   string
	backlog   chan *conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	l.markClosed()
	return nil
}

func (l *listener) Addr() net.Addr { return tcpAddress(l.address) }

// markClosed makes Accept return net.ErrClosed. The caller has already removed the listener from its network.
func (l *listener) markClosed() { l.closeOnce.Do(func() { close(l.closed) }) }
