package controlplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/internal/network"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

const (
	peerLivenessTimeout = 1500 * time.Millisecond // a peer counts as alive so long after its last message
	peerForgetTimeout   = 30 * time.Second        // a peer that is neither a member nor a seed is forgotten so long after it
)

// peer is another controller. Its fields belong to the event loop, except those that are set when it is made.
type peer struct {
	address string
	client  *rpc.Client
	wake    chan struct{} // has the gossip loop send at once
	cancel  context.CancelFunc

	// From its messages.
	id             consensus.AcceptorID
	controlAddress string
	zone           string
	incarnation    uint64
	slot           consensus.Slot           // newest that it knows to be decided
	replica        consensus.Replica        // what its disk holds,
	reportsReplica bool                     // if it says so
	restoresBodies bool                     // it fills in bodies that a value omits
	draining       bool                     // it is shutting down
	silences       map[string]time.Duration // since it last saw other controllers, by their address

	addedAt  time.Duration
	lastSeen time.Duration // 0 = never
	listed   bool          // among the controllers that are listed to gateways

	// Of the gossip to it.
	ackedCursor      registry.Cursor // up to which it has this controller's reports
	ackedGateways    uint64          // up to which sequence it has the gateways that poll this controller
	sentGateways     uint64          // up to which sequence the gossip in flight names them in full
	gatewaysSentAt   time.Duration   // when all of them were last named
	differingRanges  []int           // of reports, by the last comparison of digests
	digestsSentAt    time.Duration
	missingBody      bool // it lacks a body of the value that it was sent: it is sent in full
	requestFullValue bool // this controller lacks a body of the value that the peer sent
}

// alive reports whether the peer was seen within peerLivenessTimeout.
func (p *peer) alive(now time.Duration) bool {
	return p.lastSeen > 0 && now-p.lastSeen < peerLivenessTimeout
}

// silence is how long the peer was not seen, counted from when it was added where it never was.
func (p *peer) silence(now time.Duration) time.Duration { return now - max(p.lastSeen, p.addedAt) }

// describe returns the peer as it is described to gateways.
func (p *peer) describe(now time.Duration, voter bool) *rpc.Controller {
	return &rpc.Controller{Id: uint64(p.id), Address: p.address, ControlAddress: p.controlAddress, Zone: p.zone, Voter: voter,
		AgeMs: milliseconds(p.silence(now))}
}

// gossipNow has the peer sent what is new at once.
func (p *peer) gossipNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) close() {
	p.cancel()
	p.client.Close()
}

// peerSet holds the other controllers that this one knows. It belongs to the event loop.
type peerSet struct {
	self      identity
	seeds     []string
	network   network.Network
	clock     *steadyClock
	byAddress map[string]*peer
	start     func(ctx context.Context, p *peer) // begins to gossip with a new peer
}

// newPeerSet returns an empty set. Seeds are addresses of peers that are never forgotten once they were added.
func newPeerSet(self identity, seeds []string, on network.Network, clock *steadyClock, start func(context.Context, *peer)) *peerSet {
	return &peerSet{self: self, seeds: seeds, network: on, clock: clock, byAddress: map[string]*peer{}, start: start}
}

// add returns the peer at an address, which it makes known if it isn't; nil where that is this controller's own or empty.
func (s *peerSet) add(address string) *peer {
	if address == s.self.address || address == "" {
		return nil
	}
	if p := s.byAddress[address]; p != nil {
		return p
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{address: address, client: &rpc.Client{Address: address, Network: s.network}, wake: make(chan struct{}, 1), cancel: cancel,
		addedAt: s.clock.now(), silences: map[string]time.Duration{}}
	s.byAddress[address] = p
	s.start(ctx, p)
	return p
}

// gossipNow has all peers sent what is new at once.
func (s *peerSet) gossipNow() {
	for _, p := range s.byAddress {
		p.gossipNow()
	}
}

// aliveAddresses returns the addresses of the peers that are alive, ordered.
func (s *peerSet) aliveAddresses(now time.Duration) []string {
	var addresses []string
	for address, p := range s.byAddress {
		if p.alive(now) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// updateListed returns the peers that came alive or timed out since the last call.
func (s *peerSet) updateListed(now time.Duration) (changed []*peer) {
	for _, p := range s.byAddress {
		if alive := p.alive(now); alive != p.listed {
			p.listed = alive
			changed = append(changed, p)
		}
	}
	return changed
}

// forget drops the peers that were not seen for long, except seeds and those to be kept.
func (s *peerSet) forget(now time.Duration, keep func(address string) bool) {
	for address, p := range s.byAddress {
		if now-p.lastSeen > peerForgetTimeout && !keep(address) && !slices.Contains(s.seeds, address) {
			delete(s.byAddress, address)
			p.close()
		}
	}
}

// replicas returns what the acceptors that are alive reported of their disks, besides this controller's own.
func (s *peerSet) replicas(now time.Duration, own consensus.Replica) map[consensus.AcceptorID]consensus.Replica {
	out := map[consensus.AcceptorID]consensus.Replica{s.self.id: own}
	for _, p := range s.byAddress {
		if p.reportsReplica && p.id != 0 && p.alive(now) {
			out[p.id] = p.replica
		}
	}
	return out
}

// replicated reports whether a majority of the members have this controller's reports up to a cursor.
func (s *peerSet) replicated(members []consensus.Member, cursor registry.Cursor) bool {
	return consensus.HasMajority(members, func(id consensus.AcceptorID) bool {
		if id == s.self.id {
			return true
		}
		for _, p := range s.byAddress {
			if p.id == id && p.ackedCursor >= cursor {
				return true
			}
		}
		return false
	})
}

// closeAll ends the gossip with all peers.
func (s *peerSet) closeAll() {
	for _, p := range s.byAddress {
		p.close()
	}
}
