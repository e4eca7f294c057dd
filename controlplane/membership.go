package controlplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/quorum"
)

const (
	// memberLossTimeout is how long a member must not have been seen, by any controller that is alive itself, before another controller
	// may replace it.
	memberLossTimeout = 2200 * time.Millisecond

	// placementPatience is how much longer a member must be lost before a controller replaces it that leaves the members worse
	// placed over zones and regions than they were.
	placementPatience = 4 * time.Second

	// handOverTimeout is for one attempt to hand the membership over.
	handOverTimeout = time.Second
)

// membershipRequest is what a controller that is no member knows when it asks to become one.
type membershipRequest struct {
	self      consensus.Member
	tolerance quorum.Tolerance
	silence   func(address string) time.Duration   // the shortest time for which any controller that is alive has not seen a member
	location  func(address string) quorum.Location // of a controller
}

// apply makes the requester a member where it may be: in place of the member at its own address, whose disk it replaces, as a
// further one, in place of the member that was lost for longest, or of one whose place lets the loss of a zone or region end the
// majority. No other member is replaced, however slow or isolated it is: that would lower the number of losses that are tolerated.
func (r membershipRequest) apply(v *consensus.Value) *consensus.Value {
	if consensus.Contains(v.Members, r.self.ID) || len(v.Members) == 0 {
		return v
	}
	i := slices.IndexFunc(v.Members, func(m consensus.Member) bool { return m.Address == r.self.Address })
	if i >= 0 {
		return r.replace(v, i)
	}
	if len(v.Members) < r.tolerance.MemberCount() {
		return v.WithMembers(append(slices.Clone(v.Members), r.self))
	}
	if i = r.longestLost(v.Members); i < 0 {
		i = r.misplaced(v.Members)
	}
	if i < 0 {
		return v
	}
	return r.replace(v, i)
}

func (r membershipRequest) replace(v *consensus.Value, i int) *consensus.Value {
	return v.WithMembers(replaceMember(v.Members, i, r.self))
}

func replaceMember(members []consensus.Member, i int, by consensus.Member) []consensus.Member {
	members = slices.Clone(members)
	members[i] = by
	return members
}

// longestLost returns the member that was not seen for longest and may be replaced; -1 = none. A requester that would leave the
// members worse placed than they are gives others the time to come first.
func (r membershipRequest) longestLost(members []consensus.Member) int {
	lost, longest := -1, memberLossTimeout
	for i, m := range members {
		if silence := r.silence(m.Address); silence > longest {
			lost, longest = i, silence
		}
	}
	if lost < 0 {
		return -1
	}
	worsens := r.shortfall(replaceMember(members, lost, r.self)) > r.shortfall(members)
	if worsens && longest < memberLossTimeout+placementPatience {
		return -1
	}
	return lost
}

// misplaced returns the member in whose place the requester lets more zones or regions be lost; -1 = none, or the requester does not
// know yet where all members are.
func (r membershipRequest) misplaced(members []consensus.Member) int {
	if slices.Contains(locationsOf(members, r.location), quorum.Location{}) {
		return -1
	}
	misplaced, least := -1, r.shortfall(members)
	for i := range members {
		if shortfall := r.shortfall(replaceMember(members, i, r.self)); shortfall < least {
			misplaced, least = i, shortfall
		}
	}
	return misplaced
}

func (r membershipRequest) shortfall(members []consensus.Member) int {
	return r.tolerance.Shortfall(locationsOf(members, r.location))
}

func locationsOf(members []consensus.Member, location func(address string) quorum.Location) []quorum.Location {
	locations := make([]quorum.Location, len(members))
	for i, m := range members {
		locations[i] = location(m.Address)
	}
	return locations
}

// membershipManager determines when this controller should become a member, and who could take its place. It belongs to the event
// loop.
type membershipManager struct {
	self      identity
	tolerance quorum.Tolerance
	regions   map[string]string // by zone
	learner   *learner
	contact   *contactMonitor
	peers     *peerSet
	draining  bool // this controller is shutting down and asks for no membership
}

// newMembershipManager returns a manager for members that survive the losses which are tolerated. Regions are those of the zones.
func newMembershipManager(self identity, tolerated settings.ToleratedLosses, regions map[string]string, learner *learner,
	contact *contactMonitor, peers *peerSet) *membershipManager {
	tolerance := quorum.Tolerance{Machines: tolerated.Machines, Zones: tolerated.Zones, Regions: tolerated.Regions}
	return &membershipManager{self: self, tolerance: tolerance, regions: regions, learner: learner, contact: contact, peers: peers}
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
	locations := m.locations()
	return membershipRequest{
		self:      m.member(),
		tolerance: m.tolerance,
		silence:   func(address string) time.Duration { return silences[address] },
		location:  func(address string) quorum.Location { return locations[address] },
	}
}

// locations returns where the known controllers are, by address.
func (m *membershipManager) locations() map[string]quorum.Location {
	locations := map[string]quorum.Location{m.self.address: m.locationIn(m.self.zone)}
	for address, p := range m.peers.byAddress {
		locations[address] = m.locationIn(p.zone)
	}
	return locations
}

func (m *membershipManager) locationIn(zone string) quorum.Location {
	return quorum.Location{Zone: zone, Region: m.regions[zone]}
}

// placed returns where the members of the newest value are, for operators.
func (m *membershipManager) placed() []quorum.Location {
	locations := m.locations()
	return locationsOf(m.learner.value.Members, func(address string) quorum.Location { return locations[address] })
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
// Of several it is the one that leaves the members best placed. Nil = there is none, or this controller is no member.
func (m *membershipManager) successor(now time.Duration) *consensus.Member {
	members := m.learner.value.Members
	own := slices.IndexFunc(members, func(member consensus.Member) bool { return member.ID == m.self.id })
	if own < 0 {
		return nil
	}
	locations := m.locations()
	location := func(address string) quorum.Location { return locations[address] }
	var best *consensus.Member
	least := 0
	for _, p := range m.peers.byAddress {
		if !p.alive(now) || p.draining || p.id == 0 || m.learner.isMember(p.id) || m.learner.isMemberAddress(p.address) {
			continue
		}
		candidate := consensus.Member{ID: p.id, Address: p.address}
		shortfall := m.tolerance.Shortfall(locationsOf(replaceMember(members, own, candidate), location))
		if best == nil || shortfall < least {
			best, least = &candidate, shortfall
		}
	}
	return best
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
		return v.WithMembers(replaceMember(v.Members, i, to))
	})
}
