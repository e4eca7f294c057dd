package consensus

import (
	"fmt"
	"testing"
)

// A disk may hold a vote for a value that follows one which was itself voted for and never decided. What its machine starts
// from must not hide the value that was decided before both. Five acceptors: turn 3 is decided by all; turn 4 reaches the
// first alone; a round that finds it proposes turn 5, which reaches the second alone; the second restarts, and its round
// is answered by the other three first.
func TestRecoveryFromUndecidedAcceptFindsDecidedValue(t *testing.T) {
	var members []Member
	states := map[AcceptorID]AcceptorState{}
	for id := AcceptorID(1); id <= 5; id++ {
		members = append(members, Member{id, fmt.Sprint("m", id)})
		states[id] = AcceptorState{ID: id}
	}
	number := uint64(0)
	// play runs a round that reaches some acceptors with its Prepare and some with its Accept.
	play := func(known *Value, change ChangeFunc, promise, vote []AcceptorID) (*Value, bool) {
		number++
		r := NewProposal(Ballot{number, ProposerID(number)}, known, change)
		r.NextPrepares()
		var to []Member
		for _, id := range promise {
			next, answer := states[id].HandlePrepare(Prepare{id, r.Ballot()})
			states[id] = next
			to = append(to, r.HandlePrepareReply(answer)...)
		}
		if len(to) == 0 {
			t.Fatalf("round %d found no majority", number)
		}
		decided := false
		for _, id := range vote {
			next, answer := states[id].HandleAccept(Accept{id, r.Ballot(), r.Value()})
			states[id] = next
			decided = r.HandleAcceptReply(answer)
		}
		return r.Value(), decided
	}
	add := func(version Version) ChangeFunc {
		return func(v *Value) *Value { return v.WithConfiguration(version, v.Version, fmt.Sprint("d", version), nil) }
	}
	all := []AcceptorID{1, 2, 3, 4, 5}
	known, decided := Genesis(members), false
	for version := Version(1); version <= 3; version++ {
		if known, decided = play(known, add(version), all, all); !decided {
			t.Fatalf("version %d is not decided", version)
		}
	}
	play(known, add(4), []AcceptorID{1, 2, 3}, []AcceptorID{1})
	last, _ := play(known, add(5), []AcceptorID{1, 2, 3}, []AcceptorID{2})
	if last.Slot != 5 {
		t.Fatalf("the last vote is of turn %d", last.Slot)
	}
	vote, rest := states[2].Value, []AcceptorID{3, 4, 5}
	keep := func(v *Value) *Value { return v }
	found, decided := play(RecoveryBase(vote), keep, rest, rest)
	if !decided || found.Version != 3 || found.Digest != "d3" {
		t.Errorf("LOST: version 3 was decided; after the restart a round decides turn %d with version %d", found.Slot, found.Version)
	}
	// The planted mistake: the turn before the vote is taken for a decided one.
	found, _ = play(&Value{Slot: vote.Slot - 1, Members: vote.PriorMembers, PriorMembers: vote.PriorMembers}, keep, rest, rest)
	if found.Version == 3 {
		t.Error("a start from the turn before the vote loses nothing here: the test shows nothing")
	}
}
