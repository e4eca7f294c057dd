package consensus

import (
	"testing"
	"time"
)

func membersOf(ids ...AcceptorID) (out []Member) {
	for _, id := range ids {
		out = append(out, Member{ID: id})
	}
	return out
}

// One member of five was exchanged, which is decided and not yet confirmed. The one that left is gone, and two of the others
// are lost: of the set before only two answer, of the new one three. Who knows the change to be decided confirms it with
// these three; who does not know it can't.
func TestDecidedMemberChangeIsConfirmedByNewMembers(t *testing.T) {
	before := &Value{Slot: 4, Members: membersOf(1, 2, 3, 4, 5), PriorMembers: membersOf(1, 2, 3, 4, 5)}
	change := before.WithMembers(membersOf(9, 2, 3, 4, 5))
	for _, known := range []*Value{change, before} {
		round := NewProposal(Ballot{7, 1}, known, func(v *Value) *Value { return v })
		var accepts []Member
		for _, id := range []AcceptorID{9, 4, 5} {
			if to := round.HandlePrepareReply(PrepareReply{From: id, OK: true, Promised: Ballot{7, 1}, Accepted: Ballot{5, 1}, Value: change}); to != nil {
				accepts = to
			}
		}
		if known == before {
			if accepts != nil {
				t.Error("a change that may lose yet is followed without the majority of the set before")
			}
			continue
		}
		if accepts == nil {
			t.Error("a change known to be decided still waits for the majority of the set before")
			continue
		}
		if p := round.Value(); !p.Confirmed() || p.Slot != 6 {
			t.Errorf("the proposal is turn %d, settled %v", p.Slot, p.Confirmed())
		}
		decided := false
		for _, id := range []AcceptorID{9, 4, 5} {
			decided = round.HandleAcceptReply(AcceptReply{From: id, OK: true})
		}
		if !decided {
			t.Error("the confirmation is not decided by the new set")
		}
	}
}

func TestReplicatedBy(t *testing.T) {
	d := Decision{&Value{Slot: 3, Members: membersOf(1, 2, 3), PriorMembers: membersOf(1, 2, 3)}, Ballot{5, 1}, Ballot{8, 1}}
	for what, c := range map[string]struct {
		copy Replica
		want bool
	}{
		"the vote that decided":        {Replica{3, Ballot{5, 1}}, true},
		"a later vote":                 {Replica{4, Ballot{9, 1}}, true},
		"a later vote that has lost":   {Replica{4, Ballot{7, 1}}, false},
		"an older turn":                {Replica{2, Ballot{4, 1}}, false},
		"the turn at a lower ballot":   {Replica{3, Ballot{4, 7}}, false},
		"an older turn, higher ballot": {Replica{2, Ballot{9, 1}}, false},
		"an empty disk":                {Replica{}, false},
	} {
		if got := d.ReplicatedBy(c.copy); got != c.want {
			t.Errorf("%s: %v", what, got)
		}
	}
	if (Decision{Value: d.Value}).ReplicatedBy(Replica{3, Ballot{5, 1}}) {
		t.Error("a copy is proven though the ballot of the decision is not known")
	}
	if lacking := d.Unreplicated(map[AcceptorID]Replica{1: {3, Ballot{5, 1}}, 2: {3, Ballot{4, 1}}}); len(lacking) != 2 {
		t.Errorf("lacking: %v", lacking)
	}
}

// The Accept that decided a value may come late: it is taken by one who promised no more since, and by nobody else.
func TestCatchUpAccept(t *testing.T) {
	v := &Value{Slot: 3, Members: membersOf(1, 2, 3), PriorMembers: membersOf(1, 2, 3)}
	d := Decision{Value: v}
	if _, ok := d.CatchUpAccept(3); ok {
		t.Error("there is an Accept though no ballot of the decision is known")
	}
	d = d.WithBallot(Ballot{5, 1}).WithBallot(Ballot{7, 2})
	if _, ok := d.CatchUpAccept(9); ok {
		t.Error("there is an Accept for one who is no voter")
	}
	a, ok := d.CatchUpAccept(3)
	for promised, want := range map[Ballot]bool{{6, 9}: true, {7, 2}: true, {8, 1}: false} {
		next, back := AcceptorState{ID: 3, Promised: promised}.HandleAccept(a)
		if !ok || back.OK != want || d.ReplicatedBy(next.Replica()) != want {
			t.Errorf("promised %v: taken %v, proven %v", promised, back.OK, d.ReplicatedBy(next.Replica()))
		}
	}
}

func TestCheckLeave(t *testing.T) {
	full := Replica{3, Ballot{5, 1}}
	settled := Decision{&Value{Slot: 3, Members: membersOf(1, 2, 3), PriorMembers: membersOf(1, 2, 3)}, Ballot{5, 1}, Ballot{5, 1}}
	changed := Decision{&Value{Slot: 3, Members: membersOf(9, 2, 3), PriorMembers: membersOf(1, 2, 3)}, Ballot{5, 1}, Ballot{5, 1}}
	again := settled.WithBallot(Ballot{9, 2}) // by a round that did not find the vote of turn 4
	for what, c := range map[string]struct {
		decision Decision
		own      Replica
		others   map[AcceptorID]Replica
		want     LeaveStatus
	}{
		"all hold it":                  {settled, full, map[AcceptorID]Replica{2: full, 3: full}, LeaveAllowed},
		"its own copy need not":        {settled, Replica{}, map[AcceptorID]Replica{2: full, 3: full}, LeaveAllowed},
		"one is away":                  {settled, full, map[AcceptorID]Replica{2: full}, IncompleteReplicas},
		"one is behind":                {settled, full, map[AcceptorID]Replica{2: full, 3: {2, Ballot{3, 1}}}, IncompleteReplicas},
		"a vote is not resolved":       {settled, Replica{4, Ballot{8, 1}}, map[AcceptorID]Replica{2: full, 3: full}, UnresolvedAccept},
		"a vote that has lost":         {again, Replica{4, Ballot{8, 1}}, map[AcceptorID]Replica{2: full, 3: full}, LeaveAllowed},
		"its place is given, not sure": {changed, full, map[AcceptorID]Replica{9: full, 2: full, 3: full}, UnconfirmedMembers},
	} {
		if got, _ := c.decision.CheckLeave(1, c.own, c.others); got != c.want {
			t.Errorf("%s: %v, want %v", what, got, c.want)
		}
	}
}

// A member that is in contact and never stores is tried for again and again, each time later; one that comes anew is tried
// for soon; a round of another machine counts as a try; where nothing lacks there is none.
func TestRepairScheduleBacksOff(t *testing.T) {
	const wait = 500 * time.Millisecond
	r := RepairSchedule{Delay: wait}
	lacking := membersOf(3)
	var at []time.Duration
	for now := time.Duration(0); now < 4*time.Minute; now += 100 * time.Millisecond {
		if r.Due(now, 7, lacking, Ballot{5, 1}, 0.5) {
			at = append(at, now)
			r.RecordAttempt(now, 0.5)
		}
	}
	if at[0] > 2*wait {
		t.Errorf("the first round comes after %v", at[0])
	}
	if len(at) < 15 || len(at) > 25 {
		t.Errorf("%d rounds in four minutes: %v", len(at), at)
	}
	for i := 2; i < len(at); i++ {
		if gap := at[i] - at[i-1]; gap < at[i-1]-at[i-2] && gap < MaxRepairBackoff {
			t.Errorf("the pause before round %d is %v, shorter than the one before", i, gap)
		}
	}
	now := 4 * time.Minute
	r.Due(now, 7, membersOf(3, 4), Ballot{5, 1}, 0)
	if !r.Due(now+wait, 7, membersOf(3, 4), Ballot{5, 1}, 0) {
		t.Error("another that lacks is not tried for soon")
	}
	now += wait
	if r.Due(now, 7, membersOf(3, 4), Ballot{6, 2}, 0) {
		t.Error("the round of another machine does not count as a try")
	}
	if r.Due(now+time.Hour, 7, nil, Ballot{6, 2}, 0) {
		t.Error("a round is owed though nothing lacks")
	}
}
