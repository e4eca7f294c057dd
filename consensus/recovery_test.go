package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// partialRegister runs proposals that reach only some of its acceptors.
type partialRegister struct {
	t      *testing.T
	number uint64
	states map[AcceptorID]AcceptorState
}

// propose runs a proposal whose Prepare reaches some acceptors, and whose Accept reaches some.
func (r *partialRegister) propose(base *Value, change ChangeFunc, prepared, accepted []AcceptorID) (v *Value, decided bool) {
	r.t.Helper()
	r.number++
	p := NewProposal(Ballot{Number: r.number, By: ProposerID(r.number)}, base, change)
	p.NextPrepares()
	for _, id := range prepared {
		next, reply := r.states[id].HandlePrepare(Prepare{To: id, Ballot: p.Ballot()})
		r.states[id] = next
		p.HandlePrepareReply(reply)
	}
	if p.Value() == nil {
		r.t.Fatalf("proposal %d has no majority", r.number)
	}
	for _, id := range accepted {
		next, reply := r.states[id].HandleAccept(Accept{To: id, Ballot: p.Ballot(), Value: p.Value()})
		r.states[id] = next
		decided = p.HandleAcceptReply(reply)
	}
	return p.Value(), decided
}

func addVersion(version Version) ChangeFunc {
	return func(v *Value) *Value { return v.WithConfiguration(version, v.Version, fmt.Sprint("d", version), nil) }
}

// A disk may hold a value that follows one which was itself accepted and never decided. What its process starts from must not
// hide the value that was decided before both. Of five acceptors, all decide slot 3; slot 4 reaches the first alone; a
// proposal that finds it proposes slot 5, which reaches the second alone; the second restarts, and its proposal is answered by
// the other three first.
func TestRecoveryFromUndecidedAcceptFindsDecidedValue(t *testing.T) {
	all := []AcceptorID{1, 2, 3, 4, 5}
	r := &partialRegister{t: t, states: map[AcceptorID]AcceptorState{}}
	for _, id := range all {
		r.states[id] = AcceptorState{ID: id}
	}
	known := Genesis(testMembers(all...))
	for version := Version(1); version <= 3; version++ {
		v, decided := r.propose(known, addVersion(version), all, all)
		if !decided {
			t.Fatalf("version %d is not decided", version)
		}
		known = v
	}
	r.propose(known, addVersion(4), []AcceptorID{1, 2, 3}, []AcceptorID{1})
	if last, _ := r.propose(known, addVersion(5), []AcceptorID{1, 2, 3}, []AcceptorID{2}); last.Slot != 5 {
		t.Fatalf("the last accepted value is of slot %d", last.Slot)
	}

	accepted, others := r.states[2].Value, slices.Clone(all[2:])
	found, decided := r.propose(RecoveryBase(accepted), unchanged, others, others)
	if !decided || found.Version != 3 || found.Digest != "d3" {
		t.Errorf("version 3 was decided and is lost: after the restart slot %d with version %d is decided", found.Slot, found.Version)
	}

	// The injected fault: the slot before the accepted value is taken as decided.
	undecided := &Value{Slot: accepted.Slot - 1, Members: accepted.PriorMembers, PriorMembers: accepted.PriorMembers}
	if found, _ := r.propose(undecided, unchanged, others, others); found.Version == 3 {
		t.Error("starting from the slot before the accepted value loses nothing here: the test shows nothing")
	}
}
