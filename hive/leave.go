package hive

import (
	"context"
	"slices"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/internal/boot"
)

// How a member that is told to end stays until it is not needed any more.
const (
	leaveMargin  = 1500 * time.Millisecond // of the grace period, kept for the end itself
	leaveDefault = 2 * time.Second         // where no grace period is told
	leaveLook    = 20 * time.Millisecond   // between two looks
	handOverTry  = time.Second             // for one attempt to hand the seat over
)

// departure is what stands against a member's end.
type departure struct {
	stay      consensus.LeaveStatus
	lacking   []consensus.Member // whose copies are not proven
	successor *consensus.Member  // who may have this hive's seat; nil = nobody, or it has none
}

// leave keeps this hive going until it may end for good, perhaps with its disk: its seat is handed to a machine that has
// none, the change is confirmed, and all who stay have said that their disks hold what is agreed. It stays no longer than
// its grace lasts. With all copies complete and nobody to hand the seat to, it returns at once.
func (h *Hive) leave() {
	limit := boot.Seconds(h.set.Bounds.GracePeriodS) - leaveMargin
	if h.set.Bounds.GracePeriodS <= 0 {
		limit = leaveDefault
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(limit, 0))
	defer cancel()
	needed, ok := inquire(h, h.beginLeaving)
	if !ok || !needed {
		return
	}
	for {
		d, ok := inquire(h, h.departure)
		if !ok || d.stay == consensus.LeaveAllowed && d.successor == nil {
			return
		}
		if d.successor != nil {
			h.handOver(ctx, *d.successor)
		}
		select {
		case <-time.After(leaveLook):
		case <-ctx.Done():
			h.log.Warn().Str("reason", d.stay.String()).Interface("lacking", d.lacking).Msg("hive: its grace is over, it ends though it is needed")
			return
		case <-h.killed:
			return
		}
	}
}

// beginLeaving tells whether this hive's end may take away a copy or a vote that is needed: it is a member, or was one of
// the turn before, or does not know what became of its vote. Those that don't count may end at once.
func (h *Hive) beginLeaving() (needed bool) {
	h.leaving = true
	h.hurry() // the others' answers say what their disks hold now
	if !h.confirmed {
		return h.voted > 0
	}
	return consensus.Contains(h.known.Acceptors(), h.self) || !h.decision.Resolves(h.copy)
}

// departure looks at what stands against this hive's end now.
func (h *Hive) departure() departure {
	if !h.confirmed {
		return departure{stay: consensus.UnresolvedAccept}
	}
	now := h.now()
	stay, lacking := h.decision.CheckLeave(h.self, h.copy, h.copies(now))
	return departure{stay, lacking, h.successor(now)}
}

// successor is a machine in contact that has no seat, and is not leaving itself; nil = there is none, or this hive has no
// seat to give.
func (h *Hive) successor(now time.Duration) *consensus.Member {
	if !consensus.Contains(h.known.Members, h.self) {
		return nil
	}
	for _, p := range h.peers {
		heard := p.heardAt > 0 && now-p.heardAt < settledFor
		if heard && !p.leaving && p.id != 0 && !consensus.Contains(h.known.Members, p.id) && !h.seat(p.address) {
			return &consensus.Member{ID: p.id, Address: p.address}
		}
	}
	return nil
}

// handOver has this hive's seat given to another, and the change confirmed.
func (h *Hive) handOver(ctx context.Context, to consensus.Member) {
	ctx, cancel := context.WithTimeout(ctx, handOverTry)
	defer cancel()
	h.propose(ctx, func(v *consensus.Value) *consensus.Value {
		i := slices.IndexFunc(v.Members, func(m consensus.Member) bool { return m.ID == h.self })
		if i < 0 || consensus.Contains(v.Members, to.ID) {
			return v
		}
		members := slices.Clone(v.Members)
		members[i] = to
		return v.WithMembers(members)
	})
}
