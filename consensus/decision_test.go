package consensus

import "testing"

func testMembers(ids ...AcceptorID) (members []Member) {
	for _, id := range ids {
		members = append(members, Member{ID: id})
	}
	return members
}

func TestReplicatedBy(t *testing.T) {
	v := &Value{Slot: 3, Members: testMembers(1, 2, 3), PriorMembers: testMembers(1, 2, 3)}
	d := Decision{Value: v, First: Ballot{5, 1}, Last: Ballot{8, 1}}
	for name, c := range map[string]struct {
		replica Replica
		want    bool
	}{
		"the accepted value that was decided":  {Replica{3, Ballot{5, 1}}, true},
		"a later slot":                         {Replica{4, Ballot{9, 1}}, true},
		"a later slot that was superseded":     {Replica{4, Ballot{7, 1}}, false},
		"an earlier slot":                      {Replica{2, Ballot{4, 1}}, false},
		"the slot at a lower ballot":           {Replica{3, Ballot{4, 7}}, false},
		"an earlier slot at a higher ballot":   {Replica{2, Ballot{9, 1}}, false},
		"an empty disk":                        {Replica{}, false},
		"the slot at the last ballot":          {Replica{3, Ballot{8, 1}}, true},
		"a later slot at the last ballot":      {Replica{4, Ballot{8, 1}}, true},
		"the slot just below the first ballot": {Replica{3, Ballot{5, 0}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := d.ReplicatedBy(c.replica); got != c.want {
				t.Errorf("ReplicatedBy: got %v, want %v", got, c.want)
			}
		})
	}
	if (Decision{Value: v}).ReplicatedBy(Replica{3, Ballot{5, 1}}) {
		t.Error("a replica counts although no ballot of the decision is known")
	}
	if missing := d.Unreplicated(map[AcceptorID]Replica{1: {3, Ballot{5, 1}}, 2: {3, Ballot{4, 1}}}); len(missing) != 2 {
		t.Errorf("unreplicated members: got %v, want 2 members", missing)
	}
}

// A late copy of the Accept that decided a value must be accepted by exactly those acceptors that have not promised a higher
// ballot since.
func TestCatchUpAccept(t *testing.T) {
	d := Decision{Value: &Value{Slot: 3, Members: testMembers(1, 2, 3), PriorMembers: testMembers(1, 2, 3)}}
	if _, ok := d.CatchUpAccept(3); ok {
		t.Error("CatchUpAccept returned an Accept although no ballot of the decision is known")
	}
	d = d.WithBallot(Ballot{5, 1}).WithBallot(Ballot{7, 2})
	if _, ok := d.CatchUpAccept(9); ok {
		t.Error("CatchUpAccept returned an Accept for an acceptor that is not one of the value's")
	}
	accept, ok := d.CatchUpAccept(3)
	if !ok {
		t.Fatal("CatchUpAccept returned no Accept")
	}
	for promised, want := range map[Ballot]bool{{6, 9}: true, {7, 2}: true, {8, 1}: false} {
		next, reply := AcceptorState{ID: 3, Promised: promised}.HandleAccept(accept)
		if reply.OK != want || d.ReplicatedBy(next.Replica()) != want {
			t.Errorf("promised %v: accepted %v, replicated %v, want both %v", promised, reply.OK, d.ReplicatedBy(next.Replica()), want)
		}
	}
}

func TestCheckLeave(t *testing.T) {
	complete := Replica{3, Ballot{5, 1}}
	confirmed := Decision{
		Value: &Value{Slot: 3, Members: testMembers(1, 2, 3), PriorMembers: testMembers(1, 2, 3)},
		First: Ballot{5, 1},
		Last:  Ballot{5, 1},
	}
	changed := Decision{
		Value: &Value{Slot: 3, Members: testMembers(9, 2, 3), PriorMembers: testMembers(1, 2, 3)},
		First: Ballot{5, 1},
		Last:  Ballot{5, 1},
	}
	decidedAgain := confirmed.WithBallot(Ballot{9, 2}) // by a proposal that did not find the value accepted in slot 4
	for name, c := range map[string]struct {
		decision Decision
		own      Replica
		others   map[AcceptorID]Replica
		want     LeaveStatus
	}{
		"all store the value":               {confirmed, complete, map[AcceptorID]Replica{2: complete, 3: complete}, LeaveAllowed},
		"its own replica is not needed":     {confirmed, Replica{}, map[AcceptorID]Replica{2: complete, 3: complete}, LeaveAllowed},
		"one does not report":               {confirmed, complete, map[AcceptorID]Replica{2: complete}, IncompleteReplicas},
		"one is behind":                     {confirmed, complete, map[AcceptorID]Replica{2: complete, 3: {2, Ballot{3, 1}}}, IncompleteReplicas},
		"an accepted value is not resolved": {confirmed, Replica{4, Ballot{8, 1}}, map[AcceptorID]Replica{2: complete, 3: complete}, UnresolvedAccept},
		"an accepted value was superseded":  {decidedAgain, Replica{4, Ballot{8, 1}}, map[AcceptorID]Replica{2: complete, 3: complete}, LeaveAllowed},
		"replacement is not confirmed":      {changed, complete, map[AcceptorID]Replica{9: complete, 2: complete, 3: complete}, UnconfirmedMembers},
	} {
		t.Run(name, func(t *testing.T) {
			if got, _ := c.decision.CheckLeave(1, c.own, c.others); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
