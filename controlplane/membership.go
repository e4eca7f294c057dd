package controlplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
)

const (
	// memberLossTimeout is how long a member must not have been seen, by any controller that is alive itself, before another controller
	// may replace it.
	memberLossTimeout = 2200 * time.Millisecond

	// handOverTimeout is for one attempt to hand the membership over.
	handOverTimeout = time.Second
)

// membershipRequest is what a controller that is no member knows when it asks to become one.
type membershipRequest struct {
	self       consensus.Member
	targetSize int                                // members that there should be
	silence    func(address string) time.Duration // the shortest time for which any controller that is alive has not seen a member
}

// apply makes the requester a member where it may be: in place of the member at its own address, whose disk it replaces, as a
// further one, or in place of the member that was lost for longest. No other member is replaced, however slow or isolated it is:
// that would lower the number of losses that are tolerated.
func (r membershipRequest) apply(v *consensus.Value) *consensus.Value {
	if consensus.Contains(v.Members, r.self.ID) || len(v.Members) == 0 {
		return v
	}
	members := slices.Clone(v.Members)
	if i := slices.IndexFunc(members, func(m consensus.Member) bool { return m.Address == r.self.Address }); i >= 0 {
		members[i] = r.self
		return v.WithMembers(members)
	}
	if len(members) < r.targetSize {
		return v.WithMembers(append(members, r.self))
	}
	lost, longest := -1, memberLossTimeout
	for i, m := range members {
		if silence := r.silence(m.Address); silence > longest {
			lost, longest = i, silence
		}
	}
	if lost < 0 {
		return v
	}
	members[lost] = r.self
	return v.WithMembers(members)
}

// membershipManager determines when this controller should become a member, and who could take its place. It belongs to the event
// loop.
type membershipManager struct {
	self       identity
	targetSize int
	learner    *learner
	contact    *contactMonitor
	peers      *peerSet
	draining   bool // this controller is shutting down and asks for no membership
}

// newMembershipManager returns a manager for as many members as are needed to tolerate a number of lost machines.
func newMembershipManager(self identity, toleratedLosses int, learner *learner, contact *contactMonitor, peers *peerSet) *membershipManager {
	return &membershipManager{self: self, targetSize: 2*toleratedLosses + 1, learner: learner, contact: contact, peers: peers}
}

func (m *membershipManager) member() consensus.Member {
	return consensus.Member{ID: m.self.id, Address: m.self.address}
}

// request returns a request of what is known now. It reads no state of the event loop afterwards.
func (m *membershipManager) request(now time.Duration) membershipRequest {
	silences := map[string]time.Duration{}
	for _, member := range m.learner.value.Members {
		if member.Address != m.self.address {
			silences[member.Address] = m.silence(member.Address, now)
		}
	}
	return membershipRequest{m.member(), m.targetSize, func(address string) time.Duration { return silences[address] }}
}

// silence returns the shortest time for which this controller, or any peer that is alive, has not seen a member. It is 0 when no
// peer that is alive reports on it: it may be this controller that is isolated.
func (m *membershipManager) silence(address string, now time.Duration) time.Duration {
	reported, known := m.reportedSilence(address, now)
	if !known {
		return 0
	}
	p := m.peers.byAddress[address]
	switch {
	case p == nil:
		return 0
	case p.lastSeen == 0: // this controller is new and never saw it: the reports of the others decide
		return reported
	}
	return min(p.silence(now), reported)
}

// reportedSilence returns the shortest time for which the peers that are alive report not to have seen a member.
func (m *membershipManager) reportedSilence(address string, now time.Duration) (shortest time.Duration, known bool) {
	for _, p := range m.peers.byAddress {
		if p.address == address || !p.alive(now) {
			continue
		}
		silence, reports := p.silences[address]
		if reports && (!known || silence < shortest) {
			shortest, known = silence, true
		}
	}
	return shortest, known
}

// wanted reports whether this controller should become a member now.
func (m *membershipManager) wanted(now time.Duration) bool {
	v := m.learner.value
	if m.draining || !m.learner.confirmed || m.learner.isMember(m.self.id) || !v.Confirmed() || !m.contact.hasQuorum(now) {
		return false
	}
	return m.request(now).apply(v) != v
}

// successor returns a controller that could become a member in place of this one: it is alive, not shutting down and no member.
// Nil = there is none, or this controller is no member.
func (m *membershipManager) successor(now time.Duration) *consensus.Member {
	if !m.learner.isMember(m.self.id) {
		return nil
	}
	for _, p := range m.peers.byAddress {
		if p.alive(now) && !p.draining && p.id != 0 && !m.learner.isMember(p.id) && !m.learner.isMemberAddress(p.address) {
			return &consensus.Member{ID: p.id, Address: p.address}
		}
	}
	return nil
}

// handOver replaces one member by another, and has the change confirmed. Not on the event loop. Whether it succeeded shows in the
// learner.
func handOver(ctx context.Context, proposer *proposer, from consensus.AcceptorID, to consensus.Member) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	proposer.propose(ctx, func(v *consensus.Value) *consensus.Value {
		i := slices.IndexFunc(v.Members, func(m consensus.Member) bool { return m.ID == from })
		if i < 0 || consensus.Contains(v.Members, to.ID) {
			return v
		}
		members := slices.Clone(v.Members)
		members[i] = to
		return v.WithMembers(members)
	})
}
