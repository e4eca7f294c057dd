package maintenance

import "testing"

func TestRollBackReissuesOrders(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 2})
	h.startGatherers(4)
	p := testPlan(0.5, 1)
	h.must(Command{StartRelease: &p})
	first := h.awaitOrders(2)
	h.must(Command{RollBack: &RollBack{ID: "r"}})
	now := h.Orders()
	if len(now) != 2 || now[0].Version != "v1" || now[0].Epoch == first[0].Epoch {
		t.Errorf("orders after the rollback %v, before %v", now, first)
	}
	h.awaitPhase(RolledBack, allSucceed)
}

func TestResumeDropsFormerMembers(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(3)
	p := testPlan(1)
	h.must(Command{StartRelease: &p})
	for range 4 {
		h.advance(900)
		h.renew(1, 1, RequestCounts{Answered: 100})
		h.renew(2, 1, RequestCounts{Answered: 100})
	}
	h.mustFail(Command{RemoveMember: &Forget{Name: memberName(1)}}, "is alive")
	h.must(Command{RemoveMember: &Forget{Name: memberName(0)}})
	if rel := h.Release("r"); rel.Phase != Halted {
		t.Fatalf("the release is %s after a target was forgotten", rel.Phase)
	}
	h.must(Command{ResumeRelease: &ResumeRelease{ID: "r"}})
	h.awaitPhase(Completed, allSucceed)
}

// Resuming a release restarts the deadlines of the changes in progress, but a target that restarted during the halt
// still counts as restarted.
func TestResumeKeepsRestartsDuringHalt(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(3)
	p := testPlan(0.3, 1)
	h.must(Command{StartRelease: &p})
	h.awaitOrders(1)
	h.must(Command{HaltRelease: &HaltRelease{ID: "r"}})
	h.advance(1)
	h.must(Command{At: h.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v2", Incarnation: 2}})
	h.advance(1)
	h.must(Command{At: h.Now, ResumeRelease: &ResumeRelease{ID: "r"}})
	h.advance(1)
	h.renew(0, 2, RequestCounts{})
	if rel := h.Release("r"); rel.Targets[0].State != TargetChanged {
		t.Errorf("the target is %s although it restarted with the new version", rel.Targets[0].State)
	}
}

// A release that was halted by its gate does not resume by itself when the success ratio recovers.
func TestHaltedReleaseStaysHalted(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 2})
	h.startGatherers(6)
	p := testPlan(0.3, 1)
	h.must(Command{StartRelease: &p})
	rel := h.awaitPhase(Halted, func(v Version) bool { return v == "v1" })
	reason := rel.HaltReason
	for range 10 {
		h.runHooks(allSucceed)
	}
	if rel.Phase != Halted || rel.HaltReason != reason || len(h.Orders()) > 0 {
		t.Errorf("the release is %s: %s, orders %v", rel.Phase, rel.HaltReason, h.Orders())
	}
}

// Halting a release directly after it was granted a permit withdraws the order but not the permit; resuming it repeats
// the order.
func TestHaltAfterGrantKeepsPermit(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(3)
	p := testPlan(1)
	h.must(Command{StartRelease: &p})
	h.awaitOrders(1)
	h.must(Command{HaltRelease: &HaltRelease{ID: "r"}})
	if len(h.Orders()) > 0 || h.Members[memberName(0)].Permit == nil {
		t.Errorf("orders %v, permit %v", h.Orders(), h.Members[memberName(0)].Permit)
	}
	h.mustFail(permitRequest(1, 1), "1 of at most 1")
	h.must(Command{ResumeRelease: &ResumeRelease{ID: "r"}})
	h.awaitPhase(Completed, allSucceed)
}
