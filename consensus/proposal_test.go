package consensus

import (
	"fmt"
	"testing"
)

// A value of a later slot that was accepted but can no longer be decided must not be proposed again, whatever the order of
// the replies. The first of three acceptors accepted a value for slot 5 and then its successor for slot 6. Neither was
// decided: the other two acceptors decided another value for slot 5 at a higher ballot. A proposal that knows slot 5 may
// receive the reply with the superseded slot 6 first.
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
					t.Errorf("the value decided for slot 5 is lost: the proposal is %+v", v)
				}
			})
		}
	}
}

// The replacement of one of five members is decided but not confirmed. The replaced member has left and two of the others are
// lost, so only two of the prior members reply, but three of the new members. A proposer that knows that the change is
// decided must be able to confirm it with these three; one that does not know it must not.
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
			t.Error("phase 1 ended without a majority of the prior members, although the change may not be decided")
		}
	})
	t.Run("change is known to be decided", func(t *testing.T) {
		p, acceptors := prepare(change)
		if acceptors == nil {
			t.Fatal("phase 1 waits for a majority of the prior members, although the change is known to be decided")
		}
		if v := p.Value(); !v.Confirmed() || v.Slot != 6 {
			t.Errorf("the proposed value is of slot %d, confirmed %v; want slot 6, confirmed true", v.Slot, v.Confirmed())
		}
		decided := false
		for _, id := range reachable {
			decided = p.HandleAcceptReply(AcceptReply{From: id, OK: true})
		}
		if !decided {
			t.Error("the confirmation is not decided by a majority of the new members")
		}
	})
}
