package consensus

import (
	"fmt"
	"testing"
)

// A vote for a later turn that has lost must not be proposed again, in whatever order promises come. Of three acceptors the
// first voted for turn 5 and then for turn 6 on top of it; neither was decided, and another turn 5 was, by the other two at a
// higher ballot. A round that knows the decided turn 5 hears of the lost turn 6 first.
func TestLostAcceptOfLaterSlotIsNotProposedAgain(t *testing.T) {
	var members []Member
	for id := AcceptorID(1); id <= 3; id++ {
		members = append(members, Member{id, fmt.Sprint("m", id)})
	}
	base := Genesis(members).WithConfiguration(4, 0, "d4", nil)
	base.Slot = 4
	lost := base.WithConfiguration(50, 4, "lost", nil)
	onLost := lost.WithConfiguration(60, 50, "on lost", nil)
	decided := base.WithConfiguration(51, 4, "decided", nil)
	promises := map[AcceptorID]PrepareReply{
		1: {From: 1, OK: true, Accepted: Ballot{8, 1}, Value: onLost},
		2: {From: 2, OK: true, Accepted: Ballot{9, 2}, Value: decided},
		3: {From: 3, OK: true, Accepted: Ballot{9, 2}, Value: decided},
	}
	for _, order := range [][]AcceptorID{{1, 2}, {2, 1}, {1, 3}, {3, 1}, {2, 3}} {
		for _, known := range []*Value{decided, base} {
			r := NewProposal(Ballot{11, 3}, known, func(v *Value) *Value { return v })
			r.NextPrepares()
			for _, id := range order {
				r.HandlePrepareReply(promises[id])
			}
			if p := r.Value(); p == nil || p.Digest != "decided" {
				t.Errorf("known turn %d, promises of %v: LOST: turn 5 was decided, proposed is %+v", known.Slot, order, p)
			}
		}
	}
}
