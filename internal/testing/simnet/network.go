// Package simnet is a simulated network for tests. It models hosts by IP address, links with latency, directed partitions,
// processes that are killed and machines that lose power.
//
// It uses the clock of package time, so inside a testing/synctest bubble delays take no real time. Bytes arrive in order
// after the latency of their link; bytes on a partitioned link wait until the link is restored.
package simnet

import (
	"sync"
	"time"
)

// firstEphemeralPort is the port below the first one given to a dialing end.
const firstEphemeralPort = 40000

// link is a directed pair of hosts, by IP address.
type link struct {
	from, to string
}

// Network is one simulated network. Its zero value is not usable: use New. All methods may be called concurrently.
type Network struct {
	delay func(from, to string) time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener   // by "IP:port"
	poweredOff  map[string]bool        // hosts without power, by IP: they send nothing, not even resets
	partitioned map[link]bool          // links that hold back what is sent
	extraDelay  map[link]time.Duration // added to the latency of a link
	conns       map[*conn]bool         // both ends of each open connection
	halfOpen    map[string][]*conn     // by IP of a host that lost power: the surviving ends of its connections, until PowerOn
	lastPort    int
}

// New makes a network. The function delay returns the latency of the link from one IP address to another; it is called
// with the network locked and must not call back.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay:       delay,
		listeners:   map[string]*listener{},
		poweredOff:  map[string]bool{},
		partitioned: map[link]bool{},
		extraDelay:  map[link]time.Duration{},
		conns:       map[*conn]bool{},
		halfOpen:    map[string][]*conn{},
		lastPort:    firstEphemeralPort,
	}
}

// Host returns the view of the network from the machine with an IP address.
func (n *Network) Host(ip string) Host { return Host{network: n, ip: ip} }

// SetPartitioned partitions the link in one direction, or restores it. Connections survive a partition; what they carry is
// delivered once the link is restored.
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

// SetExtraDelay adds to the latency of the link in one direction, for what is sent from now on; 0 removes the addition.
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

// Kill closes all listeners and connections of a host, as if its processes were killed: peers see connection resets. With
// powerLoss the machine itself stops: peers see nothing at all until PowerOn.
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

// PowerOn restores the power of a host. The host has no memory of its former connections: a peer that writes to one of
// them sees a reset.
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

// latency returns how long what is sent now over a link is in transit.
func (n *Network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay(from, to) + n.extraDelay[link{from, to}]
}

// roundTrip returns the latency from one host to another and back.
func (n *Network) roundTrip(from, to string) time.Duration {
	return n.latency(from, to) + n.latency(to, from)
}

// reachable reports whether a link delivers: it is not partitioned and both hosts have power.
func (n *Network) reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[link{from, to}] && !n.poweredOff[from] && !n.poweredOff[to]
}

// wakeReaders makes all blocked reads check the state of their link again.
func (n *Network) wakeReaders() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.incoming.wake()
	}
}
