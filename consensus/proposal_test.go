package consensus

import (
	"fmt"
	"testing"
)

// A value of a later slot that was accepted and lost must not be proposed again, in whatever order replies come. Of three
// acceptors the first accepted a value for slot 5 and then one for slot 6 on top of it. Neither was decided, and another value
// was decided for slot 5, by the other two at a higher ballot. A proposal that knows slot 5 receives the lost slot 6 first.
func TestLostAcceptOfLaterSlotIsNotProposedAgain(t *testing.T) {
	base := Genesis(testMembers(1, 2, 3)).WithConfiguration(4, 0, "d4", nil)
	base.Slot = 4
	lost := base.WithConfiguration(50, 4, "lost", nil)
	onLost := lost.WithConfiguration(60, 50, "on lost", nil)
	decided := base.WithConfiguration(51, 4, "decided", nil)
	replies := map[AcceptorID]PrepareReply{
		1: {From: 1, OK: true, Accepted: Ballot{8, 1}, Value: onLost},
		2: {From: 2, OK: true, Accepted: Ballot{9, 2}, Value: decided},
		3: {From: 3, OK: true, Accepted: Ballot{9, 2}, Value: decided},
	}
	for _, order := range [][]AcceptorID{{1, 2}, {2, 1}, {1, 3}, {3, 1}, {2, 3}} {
		for _, known := range []*Value{decided, base} {
			t.Run(fmt.Sprintf("replies=%v/known=%d", order, known.Slot), func(t *testing.T) {
				p := NewProposal(Ballot{11, 3}, known, unchanged)
				p.NextPrepares()
				for _, id := range order {
					p.HandlePrepareReply(replies[id])
				}
				if v := p.Value(); v == nil || v.Digest != "decided" {
					t.Errorf("slot 5 was decided and is lost: proposed is %+v", v)
				}
			})
		}
	}
}

// One member of five was replaced, which is decided and not yet confirmed. The replaced one is gone, and two of the others
// are lost: of the members before only two reply, of the new ones three. A proposer that knows that the change is decided
// confirms it with these three; one that does not know it can't.
func TestDecidedMemberChangeIsConfirmedByNewMembers(t *testing.T) {
	before := &Value{Slot: 4, Members: testMembers(1, 2, 3, 4, 5), PriorMembers: testMembers(1, 2, 3, 4, 5)}
	change := before.WithMembers(testMembers(9, 2, 3, 4, 5))
	reachable := []AcceptorID{9, 4, 5}

	prepare := func(base *Value) (p *Proposal, acceptors []Member) {
		p = NewProposal(Ballot{7, 1}, base, unchanged)
		for _, id := range reachable {
			reply := PrepareReply{From: id, OK: true, Promised: Ballot{7, 1}, Accepted: Ballot{5, 1}, Value: change}
			if to := p.HandlePrepareReply(reply); to != nil {
				acceptors = to
			}
		}
		return p, acceptors
	}

	t.Run("change is not known to be decided", func(t *testing.T) {
		if _, acceptors := prepare(before); acceptors != nil {
			t.Error("a change that may still lose is followed without the majority of the members before it")
		}
	})
	t.Run("change is known to be decided", func(t *testing.T) {
		p, acceptors := prepare(change)
		if acceptors == nil {
			t.Fatal("a decided change still waits for the majority of the members before it")
		}
		if v := p.Value(); !v.Confirmed() || v.Slot != 6 {
			t.Errorf("proposed is slot %d, confirmed %v", v.Slot, v.Confirmed())
		}
		decided := false
		for _, id := range reachable {
			decided = p.HandleAcceptReply(AcceptReply{From: id, OK: true})
		}
		if !decided {
			t.Error("the confirmation is not decided by the new members")
		}
	})
}
