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
	// memberLossTimeout is how long no live controller must have seen a member before another controller may replace it.
	memberLossTimeout = 2200 * time.Millisecond

	// placementDelay is added to memberLossTimeout for a controller that would leave the members less well distributed over zones
	// and regions than they were.
	placementDelay = 4 * time.Second

	// handOverTimeout limits one attempt to hand over the membership.
	handOverTimeout = time.Second
)

// membershipRequest is a request of a controller to become a member, with the state on which the decision depends.
type membershipRequest struct {
	self        consensus.Member
	tolerance   quorum.Tolerance
	lastSeenAge func(address string) time.Duration   // time since any live controller last saw the member at an address
	location    func(address string) quorum.Location // of the controller at an address
}

// apply makes the requester a member if that is allowed. It replaces the member at its own address, whose disk it supersedes; or it
// becomes an additional member while there are too few; or it replaces the member that has been lost for longest; or it replaces one
// whose location lets the loss of a zone or region end the majority. No other member is replaced, however slow or isolated it is, as
// that would reduce the number of tolerated losses.
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

func replaceMember(members []consensus.Member, i int, replacement consensus.Member) []consensus.Member {
	members = slices.Clone(members)
	members[i] = replacement
	return members
}

// longestLost returns the index of the member that has not been seen for longest and may be replaced, or -1 if there is none. A
// requester that would leave the members less well distributed waits for placementDelay longer, so that other controllers can
// replace the member first.
func (r membershipRequest) longestLost(members []consensus.Member) int {
	lost, longest := -1, memberLossTimeout
	for i, m := range members {
		if lastSeenAge := r.lastSeenAge(m.Address); lastSeenAge > longest {
			lost, longest = i, lastSeenAge
		}
	}
	if lost < 0 {
		return -1
	}
	worsens := r.shortfall(replaceMember(members, lost, r.self)) > r.shortfall(members)
	if worsens && longest < memberLossTimeout+placementDelay {
		return -1
	}
	return lost
}

// misplaced returns the index of the member whose replacement by the requester most improves the tolerance of lost zones and regions.
// It returns -1 if there is none, or if the location of a member is not known yet.
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

// membershipManager determines when this controller should become a member, and which controller could replace it. It is owned by
// the event loop.
type membershipManager struct {
	self      identity
	tolerance quorum.Tolerance
	regions   map[string]string // by zone
	learner   *learner
	contact   *contactMonitor
	peers     *peerSet
	draining  bool // this controller is shutting down and must not become a member
}

// newMembershipManager returns a manager that maintains members which tolerate the given losses. regions maps zones to regions.
func newMembershipManager(self identity, tolerated settings.ToleratedLosses, regions map[string]string, learner *learner,
	contact *contactMonitor, peers *peerSet) *membershipManager {
	tolerance := quorum.Tolerance{Machines: tolerated.Machines, Zones: tolerated.Zones, Regions: tolerated.Regions}
	return &membershipManager{self: self, tolerance: tolerance, regions: regions, learner: learner, contact: contact, peers: peers}
}

func (m *membershipManager) member() consensus.Member {
	return consensus.Member{ID: m.self.id, Address: m.self.address}
}

// request returns a request with a copy of the current state, so that it may be used outside of the event loop.
func (m *membershipManager) request(now time.Duration) membershipRequest {
	lastSeenAges := map[string]time.Duration{}
	for _, member := range m.learner.value.Members {
		if member.Address != m.self.address {
			lastSeenAges[member.Address] = m.lastSeenAge(member.Address, now)
		}
	}
	locations := m.locations()
	return membershipRequest{
		self:        m.member(),
		tolerance:   m.tolerance,
		lastSeenAge: func(address string) time.Duration { return lastSeenAges[address] },
		location:    func(address string) quorum.Location { return locations[address] },
	}
}

// locations returns the locations of the known controllers, by address.
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

// memberLocations returns the locations of the members of the newest value.
func (m *membershipManager) memberLocations() []quorum.Location {
	locations := m.locations()
	return locationsOf(m.learner.value.Members, func(address string) quorum.Location { return locations[address] })
}

// lastSeenAge returns the time since this controller or any live peer last saw a member. It returns 0 if no live peer reports on the
// member, as this controller may be the one that is isolated.
func (m *membershipManager) lastSeenAge(address string, now time.Duration) time.Duration {
	reported, known := m.reportedLastSeenAge(address, now)
	if !known {
		return 0
	}
	p := m.peers.byAddress[address]
	switch {
	case p == nil:
		return 0
	case p.lastSeen == 0: // this controller is new and has never seen the member, so only the peers' reports count
		return reported
	}
	return min(p.lastSeenAge(now), reported)
}

// reportedLastSeenAge returns the shortest time since a live peer last saw a member, as reported by the peers.
func (m *membershipManager) reportedLastSeenAge(address string, now time.Duration) (shortest time.Duration, known bool) {
	for _, p := range m.peers.byAddress {
		if p.address == address || !p.alive(now) {
			continue
		}
		lastSeenAge, reports := p.lastSeenAges[address]
		if reports && (!known || lastSeenAge < shortest) {
			shortest, known = lastSeenAge, true
		}
	}
	return shortest, known
}

// shouldJoin reports whether this controller should become a member now.
func (m *membershipManager) shouldJoin(now time.Duration) bool {
	v := m.learner.value
	if m.draining || !m.learner.confirmed || m.learner.isMember(m.self.id) || !v.Confirmed() || !m.contact.hasQuorum(now) {
		return false
	}
	return m.request(now).apply(v) != v
}

// successor returns a controller that could replace this one as a member: it is alive, not shutting down and not a member. Of several
// candidates it returns the one that leaves the members best distributed over zones and regions. It returns nil if there is none or
// this controller is not a member.
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

// handOver proposes to replace one member by another and waits until the change is confirmed or the attempt has failed. The result is
// visible in the learner. It must not be called on the event loop.
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
