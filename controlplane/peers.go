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
	peerLivenessTimeout = 1500 * time.Millisecond // a peer counts as alive for this time after its last message
	peerExpiryTimeout   = 30 * time.Second        // a peer that is neither a member nor a seed is removed this time after it
)

// peer is another controller. Its fields are owned by the event loop, except those that are set only when it is created.
type peer struct {
	address string
	client  *rpc.Client
	wake    chan struct{} // makes the gossip loop send immediately
	cancel  context.CancelFunc

	// From its messages.
	id               consensus.AcceptorID
	controlAddress   string
	zone             string
	incarnation      uint64
	slot             consensus.Slot           // newest slot that it knows to be decided
	replica          consensus.Replica        // on its disk, valid if reportsReplica
	reportsReplica   bool                     // it reports the replica on its disk
	restoresBodies   bool                     // it restores bodies that are omitted from a value
	storesDepartures bool                     // it reports which departures are on its disk
	draining         bool                     // it is shutting down
	lastSeenAges     map[string]time.Duration // time since it last saw other controllers, by their address

	addedAt  time.Duration
	lastSeen time.Duration // 0 = never
	listed   bool          // it is in the list of controllers that gateways receive

	// State of the gossip to it.
	ackedCursor      registry.Cursor   // up to which it has this controller's reports
	storedCursor     registry.Cursor   // up to which this controller's departures are on its disk
	receipts         registry.Receipts // of its reports
	ackedGateways    uint64            // up to which sequence it has the gateways that poll this controller
	sentGateways     uint64            // up to which sequence the message in flight contains them in full
	gatewaysSentAt   time.Duration     // when all of them were last sent
	differingRanges  []int             // ranges of reports that differ, by the last comparison of digests
	digestsSentAt    time.Duration
	missingBody      bool // it lacks a body of the value that it was sent, so the value is sent to it in full
	requestFullValue bool // this controller lacks a body of the value that the peer sent
}

// alive reports whether the peer was seen within peerLivenessTimeout.
func (p *peer) alive(now time.Duration) bool {
	return p.lastSeen > 0 && now-p.lastSeen < peerLivenessTimeout
}

// lastSeenAge returns the time since the peer was last seen, or since it was added if it was never seen.
func (p *peer) lastSeenAge(now time.Duration) time.Duration { return now - max(p.lastSeen, p.addedAt) }

// forgetReplicas discards what is known of the reports that the peer and this controller have of each other. It must be called when the
// peer has restarted.
func (p *peer) forgetReplicas() {
	p.ackedCursor, p.ackedGateways, p.storedCursor, p.receipts = 0, 0, 0, registry.Receipts{}
}

// observeStored records that the peer's disk has this controller's departures up to a cursor.
func (p *peer) observeStored(cursor uint64) {
	p.storedCursor = max(p.storedCursor, registry.Cursor(cursor))
}

// hasDepartures reports whether the peer has this controller's departures up to a cursor on its disk, or in memory if its release can't
// store them.
func (p *peer) hasDepartures(cursor registry.Cursor) bool {
	if !p.storesDepartures {
		return p.ackedCursor >= cursor
	}
	return p.storedCursor >= cursor
}

// describe returns the peer as a message for gateways.
func (p *peer) describe(now time.Duration, voter bool) *rpc.Controller {
	return &rpc.Controller{Id: uint64(p.id), Address: p.address, ControlAddress: p.controlAddress, Zone: p.zone, Voter: voter,
		AgeMs: milliseconds(p.lastSeenAge(now))}
}

// gossipNow makes the gossip loop send the next message to the peer immediately.
func (p *peer) gossipNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// close ends the gossip with the peer and closes the connection.
func (p *peer) close() {
	p.cancel()
	p.client.Close()
}

// peerSet holds the other known controllers. It is owned by the event loop.
type peerSet struct {
	self      identity
	seeds     []string
	network   network.Network
	clock     *monotonicClock
	byAddress map[string]*peer
	start     func(ctx context.Context, p *peer) // starts the gossip loop for a new peer
}

// newPeerSet returns an empty set. seeds are the addresses of peers that are never removed once they have been added.
func newPeerSet(self identity, seeds []string, transport network.Network, clock *monotonicClock, start func(context.Context, *peer)) *peerSet {
	return &peerSet{self: self, seeds: seeds, network: transport, clock: clock, byAddress: map[string]*peer{}, start: start}
}

// add returns the peer at an address, after adding it if it isn't in the set. It returns nil if the address is empty or this
// controller's own.
func (s *peerSet) add(address string) *peer {
	if address == s.self.address || address == "" {
		return nil
	}
	if p := s.byAddress[address]; p != nil {
		return p
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{address: address, client: &rpc.Client{Address: address, Network: s.network}, wake: make(chan struct{}, 1), cancel: cancel,
		addedAt: s.clock.now(), lastSeenAges: map[string]time.Duration{}}
	s.byAddress[address] = p
	s.start(ctx, p)
	return p
}

// setSeeds replaces the seeds and adds those that are not in the set.
func (s *peerSet) setSeeds(addresses []string) {
	s.seeds = addresses
	for _, address := range addresses {
		s.add(address)
	}
}

// gossipNow makes the gossip loops send the next message to all peers immediately.
func (s *peerSet) gossipNow() {
	for _, p := range s.byAddress {
		p.gossipNow()
	}
}

// aliveAddresses returns the sorted addresses of the peers that are alive.
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

// updateListed updates which peers are listed to gateways, and returns those that came alive or timed out since the last call.
func (s *peerSet) updateListed(now time.Duration) (changed []*peer) {
	for _, p := range s.byAddress {
		if alive := p.alive(now); alive != p.listed {
			p.listed = alive
			changed = append(changed, p)
		}
	}
	return changed
}

// removeExpired removes the peers that were not seen for peerExpiryTimeout, except seeds and those for which retain returns true.
func (s *peerSet) removeExpired(now time.Duration, retain func(address string) bool) {
	for address, p := range s.byAddress {
		if now-p.lastSeen > peerExpiryTimeout && !retain(address) && !slices.Contains(s.seeds, address) {
			delete(s.byAddress, address)
			p.close()
		}
	}
}

// replicas returns the replicas that live acceptors have reported, and this controller's own replica, by acceptor.
func (s *peerSet) replicas(now time.Duration, own consensus.Replica) map[consensus.AcceptorID]consensus.Replica {
	out := map[consensus.AcceptorID]consensus.Replica{s.self.id: own}
	for _, p := range s.byAddress {
		if p.reportsReplica && p.id != 0 && p.alive(now) {
			out[p.id] = p.replica
		}
	}
	return out
}

// replicated reports whether a majority of the members have this controller's departures up to a cursor on their disks. stored states
// whether this controller has.
func (s *peerSet) replicated(members []consensus.Member, cursor registry.Cursor, stored bool) bool {
	return consensus.HasMajority(members, func(id consensus.AcceptorID) bool {
		if id == s.self.id {
			return stored
		}
		for _, p := range s.byAddress {
			if p.id == id && p.hasDepartures(cursor) {
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
