package swarm

import (
	"fmt"
	"testing"
)

// A disk may hold a vote for a value that follows one which was itself voted for and never decided. What its machine starts
// from must not hide the value that was decided before both. Five acceptors: turn 3 is decided by all; turn 4 reaches the
// first alone; a round that finds it proposes turn 5, which reaches the second alone; the second restarts, and its round
// is answered by the other three first.
func TestARestartFromAnUndecidedVoteFindsWhatWasDecided(t *testing.T) {
	var members []Member
	states := map[AcceptorID]State{}
	for id := AcceptorID(1); id <= 5; id++ {
		members = append(members, Member{id, fmt.Sprint("m", id)})
		states[id] = State{ID: id}
	}
	number := uint64(0)
	// play runs a round that reaches some acceptors with its Prepare and some with its Accept.
	play := func(known *Value, change Change, promise, vote []AcceptorID) (*Value, bool) {
		number++
		r := NewRound(Ballot{number, ProposerID(number)}, known, change)
		r.Ask()
		var to []Member
		for _, id := range promise {
			next, answer := states[id].Prepare(Prepare{id, r.Ballot()})
			states[id] = next
			to = append(to, r.Promised(answer)...)
		}
		if len(to) == 0 {
			t.Fatalf("round %d found no majority", number)
		}
		decided := false
		for _, id := range vote {
			next, answer := states[id].Accept(Accept{id, r.Ballot(), r.Proposal()})
			states[id] = next
			decided = r.Accepted(answer)
		}
		return r.Proposal(), decided
	}
	add := func(version Version) Change {
		return func(v *Value) *Value { return v.WithConfig(version, v.Version, fmt.Sprint("d", version), nil) }
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
	if last.Turn != 5 {
		t.Fatalf("the last vote is of turn %d", last.Turn)
	}
	vote, rest := states[2].Value, []AcceptorID{3, 4, 5}
	keep := func(v *Value) *Value { return v }
	found, decided := play(Restarted(vote), keep, rest, rest)
	if !decided || found.Version != 3 || found.Digest != "d3" {
		t.Errorf("LOST: version 3 was decided; after the restart a round decides turn %d with version %d", found.Turn, found.Version)
	}
	// The planted mistake: the turn before the vote is taken for a decided one.
	found, _ = play(&Value{Turn: vote.Turn - 1, Members: vote.Prior, Prior: vote.Prior}, keep, rest, rest)
	if found.Version == 3 {
		t.Error("a start from the turn before the vote loses nothing here: the test shows nothing")
	}
}
