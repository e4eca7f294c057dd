package controlplane

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
)

// How a member that is told to end stays until it is not needed any more.
const (
	shutdownMargin         = 1500 * time.Millisecond // of the grace period, kept for the end itself
	defaultShutdownTimeout = 2 * time.Second         // where no grace period is told
	shutdownPollInterval   = 20 * time.Millisecond   // between two looks
	handOverTimeout        = time.Second             // for one attempt to hand the seat over
)

// departureStatus is what stands against a member's end.
type departureStatus struct {
	reason    consensus.LeaveStatus
	lacking   []consensus.Member // whose copies are not proven
	successor *consensus.Member  // who may have this hive's seat; nil = nobody, or it has none
}

// drain keeps this hive going until it may end for good, perhaps with its disk: its seat is handed to a machine that has
// none, the change is confirmed, and all who stay have said that their disks hold what is agreed. It stays no longer than
// its grace lasts. With all copies complete and nobody to hand the seat to, it returns at once.
func (h *Controller) drain() {
	limit := settings.Seconds(h.settings.Bounds.GracePeriodS) - shutdownMargin
	if h.settings.Bounds.GracePeriodS <= 0 {
		limit = defaultShutdownTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(limit, 0))
	defer cancel()
	needed, ok := query(h.loop, h.beginDrain)
	if !ok || !needed {
		return
	}
	for {
		d, ok := query(h.loop, h.departureStatus)
		if !ok || d.reason == consensus.LeaveAllowed && d.successor == nil {
			return
		}
		if d.successor != nil {
			h.handOverMembership(ctx, *d.successor)
		}
		select {
		case <-time.After(shutdownPollInterval):
		case <-ctx.Done():
			h.log.Warn().Str("reason", d.reason.String()).Interface("lacking", d.lacking).Msg("hive: its grace is over, it ends though it is needed")
			return
		case <-h.killed:
			return
		}
	}
}

// beginDrain tells whether this hive's end may take away a copy or a vote that is needed: it is a member, or was one of
// the turn before, or does not know what became of its vote. Those that don't count may end at once.
func (h *Controller) beginDrain() (needed bool) {
	h.draining = true
	h.peers.gossipNow() // the others' answers say what their disks hold now
	if !h.learner.confirmed {
		return h.acceptor.newestSlot > 0
	}
	return consensus.Contains(h.learner.value.Acceptors(), h.self.id) || !h.learner.decision.Resolves(h.acceptor.replica)
}

// departureStatus looks at what stands against this hive's end now.
func (h *Controller) departureStatus() departureStatus {
	if !h.learner.confirmed {
		return departureStatus{reason: consensus.UnresolvedAccept}
	}
	now := h.clock.now()
	stay, lacking := h.learner.decision.CheckLeave(h.self.id, h.acceptor.replica, h.peers.replicas(now, h.acceptor.replica))
	return departureStatus{stay, lacking, h.successor(now)}
}

// successor is a machine in contact that has no seat, and is not leaving itself; nil = there is none, or this hive has no
// seat to give.
func (h *Controller) successor(now time.Duration) *consensus.Member {
	if !consensus.Contains(h.learner.value.Members, h.self.id) {
		return nil
	}
	for _, p := range h.peers.byAddress {
		heard := p.lastSeen > 0 && now-p.lastSeen < peerLivenessTimeout
		if heard && !p.draining && p.id != 0 && !consensus.Contains(h.learner.value.Members, p.id) && !h.learner.isMemberAddress(p.address) {
			return &consensus.Member{ID: p.id, Address: p.address}
		}
	}
	return nil
}

// handOverMembership has this hive's seat given to another, and the change confirmed.
func (h *Controller) handOverMembership(ctx context.Context, to consensus.Member) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	h.propose(ctx, func(v *consensus.Value) *consensus.Value {
		i := slices.IndexFunc(v.Members, func(m consensus.Member) bool { return m.ID == h.self.id })
		if i < 0 || consensus.Contains(v.Members, to.ID) {
			return v
		}
		members := slices.Clone(v.Members)
		members[i] = to
		return v.WithMembers(members)
	})
}
