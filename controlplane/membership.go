package controlplane

import (
	"slices"
	"time"

	"oxbowspan/consensus"
)

// memberLossTimeout is how long a machine that votes must be unheard, by all that speak, before its seat may go to another.
const memberLossTimeout = 2200 * time.Millisecond

// membershipRequest is what a hive without a seat knows when it asks for one.
type membershipRequest struct {
	self       consensus.Member
	targetSize int                                // seats that there should be
	silence    func(address string) time.Duration // the shortest that anybody who speaks has not heard a machine
}

// apply gives the claimant a seat, where there is one to have: that of the disk that was at its address before it, an
// empty one, or the one longest lost. Nobody else loses a seat, however slow or cut off: that would lower what is borne.
func (c membershipRequest) apply(v *consensus.Value) *consensus.Value {
	if consensus.Contains(v.Members, c.self.ID) || len(v.Members) == 0 {
		return v
	}
	members := slices.Clone(v.Members)
	if i := slices.IndexFunc(members, func(m consensus.Member) bool { return m.Address == c.self.Address }); i >= 0 {
		members[i] = c.self
		return v.WithMembers(members)
	}
	if len(members) < c.targetSize {
		return v.WithMembers(append(members, c.self))
	}
	lost, longest := -1, memberLossTimeout
	for i, m := range members {
		if s := c.silence(m.Address); s > longest {
			lost, longest = i, s
		}
	}
	if lost < 0 {
		return v
	}
	members[lost] = c.self
	return v.WithMembers(members)
}

// membershipRequest is made of what the owner knows now.
func (h *Controller) membershipRequest(now time.Duration) membershipRequest {
	silences := map[string]time.Duration{}
	for _, m := range h.learner.value.Members {
		if m.Address == h.self.address {
			continue
		}
		shortest := time.Duration(0)
		if p := h.peers.byAddress[m.Address]; p != nil {
			shortest = now - max(p.lastSeen, p.addedAt)
		}
		told := false
		longest := shortest
		for _, p := range h.peers.byAddress {
			if p.address == m.Address || p.lastSeen == 0 || now-p.lastSeen > peerLivenessTimeout {
				continue
			}
			if s, ok := p.silences[m.Address]; ok {
				if !told || s < longest {
					longest = s
				}
				told = true
			}
		}
		if p := h.peers.byAddress[m.Address]; p != nil && p.lastSeen == 0 && told {
			shortest = longest // a newcomer never heard it: the others' word counts
		}
		silences[m.Address] = min(shortest, longest)
		if !told {
			silences[m.Address] = 0 // nobody else speaks: it may be this machine that is cut off
		}
	}
	return membershipRequest{consensus.Member{ID: h.self.id, Address: h.self.address}, 2*h.settings.ToleratedLosses.Machines + 1,
		func(a string) time.Duration { return silences[a] }}
}

// wantsMembership tells whether this hive should ask for a seat now.
func (h *Controller) wantsMembership(now time.Duration) bool {
	if !h.learner.confirmed || consensus.Contains(h.learner.value.Members, h.self.id) || !h.learner.value.Confirmed() || !h.contact.hasQuorum(now) {
		return false
	}
	return h.membershipRequest(now).apply(h.learner.value) != h.learner.value
}
