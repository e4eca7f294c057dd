package controlplane

import (
	"slices"
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
)

func TestMembershipRequest(t *testing.T) {
	member := func(id consensus.AcceptorID, address string) consensus.Member {
		return consensus.Member{ID: id, Address: address}
	}
	three := []consensus.Member{member(1, "a"), member(2, "b"), member(3, "c")}
	for _, test := range []struct {
		name         string
		self         consensus.Member
		members      []consensus.Member
		lastSeenAges map[string]time.Duration
		want         []consensus.Member // nil = no change
	}{
		{"already a member", member(2, "b"), three, nil, nil},
		{"no members", member(4, "d"), nil, nil, nil},
		{"new disk at a member's address", member(4, "b"), three, nil, []consensus.Member{member(1, "a"), member(4, "b"), member(3, "c")}},
		{"too few members", member(4, "d"), three[:2], nil, []consensus.Member{member(1, "a"), member(2, "b"), member(4, "d")}},
		{"all members alive", member(4, "d"), three, map[string]time.Duration{"a": time.Second}, nil},
		{"silent for just the time-out", member(4, "d"), three, map[string]time.Duration{"a": memberLossTimeout}, nil},
		{"longest silent is replaced", member(4, "d"), three, map[string]time.Duration{"a": 3 * time.Second, "c": 4 * time.Second},
			[]consensus.Member{member(1, "a"), member(2, "b"), member(4, "d")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := &consensus.Value{Slot: 5, Members: test.members, PriorMembers: test.members}
			request := membershipRequest{
				self:        test.self,
				tolerance:   quorum.Tolerance{Machines: 1},
				lastSeenAge: func(address string) time.Duration { return test.lastSeenAges[address] },
				location:    func(string) quorum.Location { return quorum.Location{} },
			}
			next := request.apply(v)
			switch {
			case test.want == nil && next != v:
				t.Errorf("members changed to %v, want no change", next.Members)
			case test.want != nil && !slices.Equal(next.Members, test.want):
				t.Errorf("members changed to %v, want %v", next.Members, test.want)
			}
		})
	}
}

// A controller replaces a live member only if that improves the distribution of the members over zones that the settings require, and
// only if it knows the locations of all members. It waits longer before it replaces a lost member if that makes the distribution
// worse.
func TestMembershipRequestSpreadsOverZones(t *testing.T) {
	self := consensus.Member{ID: 9, Address: "z"}
	for _, test := range []struct {
		name      string
		selfZone  string
		zones     []string // of the members; "" = unknown
		tolerance quorum.Tolerance
		lost      time.Duration // time since the last member was seen
		replaced  int           // index of the replaced member; -1 = none
	}{
		{"two in one zone", "c", []string{"a", "a", "b"}, quorum.Tolerance{Zones: 1}, 0, 0},
		{"all in one zone", "b", []string{"a", "a", "a"}, quorum.Tolerance{Zones: 1}, 0, 0},
		{"no better from here", "b", []string{"a", "a", "b"}, quorum.Tolerance{Zones: 1}, 0, -1},
		{"spread already", "d", []string{"a", "b", "c"}, quorum.Tolerance{Zones: 1}, 0, -1},
		{"no zone need be lost", "c", []string{"a", "a", "b"}, quorum.Tolerance{Machines: 1}, 0, -1},
		{"one is not known", "c", []string{"a", "", "b"}, quorum.Tolerance{Zones: 1}, 0, -1},
		{"regions", "c", []string{"a", "a", "b"}, quorum.Tolerance{Regions: 1}, 0, 0},
		{"lost, replaced in its zone", "c", []string{"a", "b", "c"}, quorum.Tolerance{Zones: 1}, 3 * time.Second, 2},
		{"lost, worse from here", "a", []string{"a", "b", "c"}, quorum.Tolerance{Zones: 1}, 3 * time.Second, -1},
		{"lost for long, worse from here", "a", []string{"a", "b", "c"}, quorum.Tolerance{Zones: 1}, 7 * time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var members []consensus.Member
			locations := map[string]quorum.Location{self.Address: {Zone: test.selfZone, Region: test.selfZone}}
			for i, zone := range test.zones {
				m := consensus.Member{ID: consensus.AcceptorID(i + 1), Address: string(rune('m' + i))}
				members = append(members, m)
				locations[m.Address] = quorum.Location{Zone: zone, Region: zone}
			}
			last := members[len(members)-1].Address
			request := membershipRequest{
				self:      self,
				tolerance: test.tolerance,
				lastSeenAge: func(address string) time.Duration {
					if address == last {
						return test.lost
					}
					return 0
				},
				location: func(address string) quorum.Location { return locations[address] },
			}
			next := request.apply(&consensus.Value{Slot: 5, Members: members, PriorMembers: members})
			replaced := slices.IndexFunc(next.Members, func(m consensus.Member) bool { return m == self })
			if replaced != test.replaced {
				t.Errorf("the controller replaces member %d, want %d", replaced, test.replaced)
			}
		})
	}
}

// The age of a member's last contact is the shortest one that any live controller reports.
func TestMemberLastSeenAge(t *testing.T) {
	const now = 10 * time.Second
	for _, test := range []struct {
		name     string
		lastSeen time.Duration            // of the member; 0 = never
		reports  map[string]time.Duration // last-seen ages of the member, by the live peer that reports them
		want     time.Duration
	}{
		{"nobody else reports", 4 * time.Second, nil, 0},
		{"a peer saw it later", 4 * time.Second, map[string]time.Duration{"b": time.Second}, time.Second},
		{"this controller saw it later", 9 * time.Second, map[string]time.Duration{"b": 5 * time.Second}, time.Second},
		{"several peers report", 2 * time.Second, map[string]time.Duration{"b": 7 * time.Second, "c": 6 * time.Second}, 6 * time.Second},
		{"never seen here", 0, map[string]time.Duration{"b": 12 * time.Second}, 12 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := &peerSet{byAddress: map[string]*peer{"m": {address: "m", lastSeen: test.lastSeen}}}
			for address, lastSeenAge := range test.reports {
				peers.byAddress[address] = &peer{address: address, lastSeen: now, lastSeenAges: map[string]time.Duration{"m": lastSeenAge}}
			}
			peers.byAddress["dead"] = &peer{address: "dead", lastSeen: time.Second, lastSeenAges: map[string]time.Duration{"m": 0}}
			m := &membershipManager{peers: peers}
			if got := m.lastSeenAge("m", now); got != test.want {
				t.Errorf("last seen %v ago, want %v", got, test.want)
			}
		})
	}
}

func TestSuccessor(t *testing.T) {
	const now = 10 * time.Second
	members := []consensus.Member{{ID: 1, Address: "self"}, {ID: 2, Address: "b"}}
	alive := peer{address: "d", id: 4, lastSeen: now}
	for _, test := range []struct {
		name   string
		change func(p *peer, m *membershipManager)
		want   bool
	}{
		{"alive and no member", func(*peer, *membershipManager) {}, true},
		{"never seen", func(p *peer, _ *membershipManager) { p.lastSeen = 0 }, false},
		{"timed out", func(p *peer, _ *membershipManager) { p.lastSeen = now - peerLivenessTimeout }, false},
		{"draining", func(p *peer, _ *membershipManager) { p.draining = true }, false},
		{"unknown identity", func(p *peer, _ *membershipManager) { p.id = 0 }, false},
		{"member", func(p *peer, _ *membershipManager) { p.id = 2 }, false},
		{"new disk at a member's address", func(p *peer, _ *membershipManager) { p.address = "b" }, false},
		{"this controller is no member", func(_ *peer, m *membershipManager) { m.self.id = 9 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := alive
			m := &membershipManager{self: identity{id: 1, address: "self"}, learner: &learner{value: &consensus.Value{Members: members}},
				peers: &peerSet{byAddress: map[string]*peer{"d": &p}}}
			test.change(&p, m)
			if got := m.successor(now); (got != nil) != test.want {
				t.Errorf("successor is %v, want a successor: %v", got, test.want)
			}
		})
	}
}
