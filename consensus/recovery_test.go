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

// propose runs a proposal whose Prepare reaches the acceptors in prepared and whose Accept reaches those in accepted.
func (r *partialRegister) propose(base *Value, change ChangeFunc, prepared, accepted []AcceptorID) (v *Value, decided bool) {
	r.t.Helper()
	r.number++
	p := NewProposal(Ballot{Number: r.number, Proposer: ProposerID(r.number)}, base, change)
	p.NextPrepares()
	for _, id := range prepared {
		next, reply := r.states[id].HandlePrepare(Prepare{To: id, Ballot: p.Ballot()})
		r.states[id] = next
		p.HandlePrepareReply(reply)
	}
	if p.Value() == nil {
		r.t.Fatalf("proposal %d has no majority of promises", r.number)
	}
	for _, id := range accepted {
		next, reply := r.states[id].HandleAccept(Accept{To: id, Ballot: p.Ballot(), Value: p.Value()})
		r.states[id] = next
		decided = p.HandleAcceptReply(reply)
	}
	return p.Value(), decided
}

// addVersion returns a change that commits a configuration version based on the newest one.
func addVersion(version Version) ChangeFunc {
	return func(v *Value) *Value { return v.WithConfiguration(version, v.Version, fmt.Sprint("d", version), nil) }
}

// A disk may store the successor of a value that was itself accepted but never decided. The base of its process must not hide
// the value that was decided before both. Five acceptors decide slot 3; the value of slot 4 reaches only the first acceptor; a
// proposal that finds it proposes slot 5, which reaches only the second; the second restarts, and the first replies to its
// proposal come from the other three.
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
		t.Errorf("version 3 was decided but is lost: after the restart slot %d with version %d is decided", found.Slot, found.Version)
	}

	// Injected fault: the slot before the accepted value is assumed to be decided.
	undecided := &Value{Slot: accepted.Slot - 1, Members: accepted.PriorMembers, PriorMembers: accepted.PriorMembers}
	if found, _ := r.propose(undecided, unchanged, others, others); found.Version == 3 {
		t.Error("starting from the slot before the accepted value loses no decided value: the test is not conclusive")
	}
}

// All members lose power when a membership change is decided but not confirmed, and a majority of the prior members does not
// return. The new members must be able to continue alone if their disks record the decision, and only then.
func TestRecoveryOfUnconfirmedMembersNeedsNewSetAlone(t *testing.T) {
	r := &partialRegister{t: t, states: map[AcceptorID]AcceptorState{}}
	for _, id := range []AcceptorID{1, 2, 3, 4} {
		r.states[id] = AcceptorState{ID: id}
	}
	all := []AcceptorID{1, 2, 3, 4}
	known, _ := r.propose(Genesis(testMembers(1, 2, 3)), addVersion(1), all[:3], all[:3])
	replaced, decided := r.propose(known, func(v *Value) *Value { return v.WithMembers(testMembers(1, 2, 4)) }, all, all)
	if !decided || replaced.Confirmed() {
		t.Fatal("the membership change is not decided, or is already confirmed")
	}
	decision := Decision{Value: replaced}.WithBallot(r.states[1].Accepted)

	// 2 and 3 are lost with their disks: a majority of the prior members, and one of the new members.
	unrecorded := r.states[1]
	if unrecorded.RecordsDecision() {
		t.Fatal("the state records a decision before WithDecision was called")
	}
	p := NewProposal(Ballot{Number: 50, Proposer: 1}, ProposalBase(unrecorded.Value, nil), unchanged)
	for _, id := range []AcceptorID{1, 4} {
		_, reply := r.states[id].HandlePrepare(Prepare{To: id, Ballot: p.Ballot()})
		p.HandlePrepareReply(reply)
	}
	if p.Value() != nil {
		t.Error("without the recorded decision a majority of the prior members is not needed: the test is not conclusive")
	}

	recorded := unrecorded.WithDecision(decision)
	if !recorded.RecordsDecision() || !recorded.DiffersFrom(unrecorded) {
		t.Fatal("WithDecision does not record the decision")
	}
	r.number = 100
	confirmed, decided := r.propose(ProposalBase(recorded.Value, recorded.Value), unchanged, []AcceptorID{1, 4}, []AcceptorID{1, 4})
	if !decided || !confirmed.Confirmed() || confirmed.Version != 1 {
		t.Errorf("the new members propose %+v (decided: %t), want a confirmed value with version 1 to be decided", confirmed, decided)
	}
	if r.states[1].WithDecision(decision).RecordsDecision() {
		t.Error("a later value counts as decided by the record of the previous one")
	}
}

// A process that was unavailable for a long time knows an old decision, whose members may have left since. That decision must
// not be the base for a proposer whose disk stores a later value.
func TestOldDecisionIsNoProposalBase(t *testing.T) {
	old := &Value{Slot: 8, Members: testMembers(1, 2, 3), PriorMembers: testMembers(1, 2, 3)}
	accepted := &Value{Slot: 10, Members: testMembers(4, 5, 6), PriorMembers: testMembers(3, 4, 5)}
	previous := &Value{Slot: 9, Members: testMembers(3, 4, 5), PriorMembers: testMembers(3, 4, 5)}
	if base := ProposalBase(accepted, old); !sameMembers(base.Members, accepted.PriorMembers) || base.Slot != 0 {
		t.Errorf("the base is of slot %d with members %v, want slot 0 with the prior members", base.Slot, base.Members)
	}
	if base := ProposalBase(accepted, previous); base != previous {
		t.Errorf("the base is of slot %d, although slot 9 is known to be decided", base.Slot)
	}
	if base := ProposalBase(nil, old); base != old {
		t.Errorf("without an accepted value the base is of slot %d, want slot %d", base.Slot, old.Slot)
	}
}
