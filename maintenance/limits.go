package maintenance

import (
	"cmp"
	"fmt"
)

// UnavailableReason returns why a member counts as out; "" = it is in service. The text becomes part of the state, see the
// package comment.
func (s *State) UnavailableReason(m *Member) string {
	switch {
	case m.Permit != nil:
		return "agreed: " + m.Permit.Reason
	case !m.alive(s.Now):
		return "gone"
	case m.Status != Ready:
		return string(m.Status)
	case s.suspected(m):
		return "suspected by most gatherers"
	}
	return ""
}

// defaultSuspicionShare applies if Limits.SuspicionShare is 0.
const defaultSuspicionShare = 0.5

// suspected reports whether the share of live gatherers that suspect a member exceeds Limits.SuspicionShare. Such a
// member counts as out.
func (s *State) suspected(m *Member) bool {
	if s.suspicions == nil {
		s.countSuspicions()
	}
	voters := s.liveGatherers
	if m.Kind == Gatherer && m.alive(s.Now) {
		voters-- // a gatherer has no vote on itself
	}
	votes := s.suspicions[m.Name]
	return votes > 0 && float64(votes) > cmp.Or(s.Limits.SuspicionShare, defaultSuspicionShare)*float64(voters)
}

// countSuspicions counts for each member how many live gatherers suspect it. A gatherer that suspects more than half of
// the members of a kind is probably faulty itself, so its suspicions of that kind are ignored.
func (s *State) countSuspicions() {
	s.suspicions, s.liveGatherers = map[MemberName]int{}, 0
	memberCounts := map[Kind]int{}
	for _, m := range s.Members {
		memberCounts[m.Kind]++
	}
	for _, g := range s.Members {
		if g.Kind != Gatherer || !g.alive(s.Now) {
			continue
		}
		s.liveGatherers++
		suspectCounts := map[Kind]int{}
		for _, name := range g.Suspects {
			if m := s.Members[name]; m != nil {
				suspectCounts[m.Kind]++
			}
		}
		for _, name := range g.Suspects {
			if m := s.Members[name]; m != nil && m != g && 2*suspectCounts[m.Kind] <= memberCounts[m.Kind] {
				s.suspicions[name]++
			}
		}
	}
}

// outage counts the members of one kind that would be out if a given member went out as well.
type outage struct {
	members       int             // all members of the kind
	out           int             // including the given member
	outInZone     int             // those of them in the zone of the given member
	readyReplicas map[Segment]int // for servers: on those that remain in service
}

// outageWith returns the outage of m's kind if m were out.
func (s *State) outageWith(m *Member) outage {
	o := outage{out: 1, outInZone: 1, readyReplicas: map[Segment]int{}}
	for _, other := range s.sortedMembers(m.Kind) {
		o.members++
		if other == m {
			continue
		}
		if s.UnavailableReason(other) == "" {
			for _, segment := range other.Segments {
				o.readyReplicas[segment]++
			}
			continue
		}
		o.out++
		if other.Zone == m.Zone {
			o.outInZone++
		}
	}
	return o
}

// violatedLimit describes the limit that would be exceeded if m went out as well; "" = none.
func (s *State) violatedLimit(m *Member) string {
	o := s.outageWith(m)
	maxOut, maxInZone, plural := s.Limits.MaxServers, s.Limits.MaxServersPerZone, "servers"
	if m.Kind == Gatherer {
		maxOut, maxInZone, plural = s.Limits.MaxGatherers, s.Limits.MaxGatherersPerZone, "gatherers"
		if share := s.Limits.MaxGathererShare; share > 0 {
			maxByShare := int(share * float64(o.members))
			if maxByShare < 1 {
				return fmt.Sprintf("as a share of %v of %d gatherers is less than one", share, o.members)
			}
			maxOut = min(cmp.Or(maxOut, maxByShare), maxByShare)
		}
	}
	if maxOut > 0 && o.out > maxOut {
		return fmt.Sprintf("as %d of at most %d %s are out", o.out-1, maxOut, plural)
	}
	if maxInZone > 0 && o.outInZone > maxInZone {
		return fmt.Sprintf("as %d of at most %d %s of zone %s are out", o.outInZone-1, maxInZone, plural, m.Zone)
	}
	if m.Kind == Server {
		return s.violatedMinReplicas(m, o)
	}
	return ""
}

// violatedMinReplicas describes a segment that would have fewer than Limits.MinReplicas ready replicas; "" = none.
func (s *State) violatedMinReplicas(m *Member, o outage) string {
	for _, segment := range m.Segments {
		if ready := o.readyReplicas[segment]; ready < s.Limits.MinReplicas {
			return fmt.Sprintf("as segment %d would have %d ready replicas of at least %d", segment, ready, s.Limits.MinReplicas)
		}
	}
	return ""
}
