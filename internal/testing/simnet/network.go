// Package simnet is an in-memory network for tests. It models hosts by IP address, links with latency, partitions of single
// directions, killed processes and machines that lose power.
//
// It uses the clock of package time, so that inside a testing/synctest bubble delays take no real time. Bytes arrive in order
// after the latency of their link. Bytes on a partitioned link are delayed until the link is restored.
package simnet

import (
	"sync"
	"time"
)

// firstEphemeralPort is one below the first port that is assigned to a dialing end.
const firstEphemeralPort = 40000

// link is a directed pair of hosts, by IP address.
type link struct {
	from, to string
}

// Network is a simulated network. The zero value is not usable: call New. All methods are safe for concurrent use.
type Network struct {
	linkLatency func(from, to string) time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener   // by "IP:port"
	poweredOff  map[string]bool        // hosts without power, by IP: they send nothing, not even connection resets
	partitioned map[link]bool          // links that deliver nothing until they are restored
	extraDelay  map[link]time.Duration // added to the latency of each link
	conns       map[*conn]bool         // both ends of each open connection
	halfOpen    map[string][]*conn     // by IP of a host without power: the open remote ends of its connections, until PowerOn
	lastPort    int
}

// New returns a network. The function linkLatency returns the latency of the link from one IP address to another. It is called
// with the network locked and must not call the network's methods.
func New(linkLatency func(from, to string) time.Duration) *Network {
	return &Network{
		linkLatency: linkLatency,
		listeners:   map[string]*listener{},
		poweredOff:  map[string]bool{},
		partitioned: map[link]bool{},
		extraDelay:  map[link]time.Duration{},
		conns:       map[*conn]bool{},
		halfOpen:    map[string][]*conn{},
		lastPort:    firstEphemeralPort,
	}
}

// Host returns the network interface of the host with the given IP address.
func (n *Network) Host(ip string) Host { return Host{network: n, ip: ip} }

// SetPartitioned partitions or restores the link in one direction. Connections survive a partition: bytes that were sent
// during it are delivered once the link is restored.
func (n *Network) SetPartitioned(from, to string, partitioned bool) {
	n.mu.Lock()
	if partitioned {
		n.partitioned[link{from, to}] = true
	} else {
		delete(n.partitioned, link{from, to})
	}
	n.mu.Unlock()
	n.wakeReaders()
}

// SetExtraDelay sets a delay that is added to the latency of the link in one direction, for bytes that are sent from now on. A
// delay of 0 removes it.
func (n *Network) SetExtraDelay(from, to string, extra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if extra == 0 {
		delete(n.extraDelay, link{from, to})
		return
	}
	n.extraDelay[link{from, to}] = extra
}

// Heal restores all partitioned links and removes all extra delays.
func (n *Network) Heal() {
	n.mu.Lock()
	clear(n.partitioned)
	clear(n.extraDelay)
	n.mu.Unlock()
	n.wakeReaders()
}

// Kill closes all listeners and connections of a host, as if its processes were killed: peers receive connection resets.
// With powerLoss the machine itself stops: peers receive nothing at all until PowerOn.
func (n *Network) Kill(ip string, powerLoss bool) {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if c.localIP == ip {
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

// PowerOn restores the power of a host. The host has lost the state of its former connections: a peer that writes to one of
// them receives a connection reset.
func (n *Network) PowerOn(ip string) {
	n.mu.Lock()
	delete(n.poweredOff, ip)
	halfOpen := n.halfOpen[ip]
	delete(n.halfOpen, ip)
	n.mu.Unlock()
	for _, c := range halfOpen {
		c.markHalfOpen()
	}
}

// latency returns the current one-way latency of a link, including its extra delay.
func (n *Network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkLatency(from, to) + n.extraDelay[link{from, to}]
}

// roundTrip returns the round-trip time between two hosts.
func (n *Network) roundTrip(from, to string) time.Duration {
	return n.latency(from, to) + n.latency(to, from)
}

// reachable reports whether a link delivers: it is not partitioned and both hosts have power.
func (n *Network) reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[link{from, to}] && !n.poweredOff[from] && !n.poweredOff[to]
}

// wakeReaders makes all blocked reads check again whether their link delivers.
func (n *Network) wakeReaders() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.incoming.wake()
	}
}
