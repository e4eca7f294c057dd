package maintenance

import "testing"

func TestRollBackReissuesOrders(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.startGatherers(4)
	p := testPlan(0.5, 1)
	r.must(Command{StartRelease: &p})
	first := r.awaitOrders(2)
	r.must(Command{RollBack: &RollBack{ID: "r"}})
	now := r.Orders()
	if len(now) != 2 || now[0].Version != "v1" || now[0].Epoch == first[0].Epoch {
		t.Errorf("orders after the rollback %v, before %v", now, first)
	}
	r.awaitPhase(RolledBack, allSucceed)
}

func TestResumeDropsFormerMembers(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(3)
	p := testPlan(1)
	r.must(Command{StartRelease: &p})
	for range 4 {
		r.advance(900)
		r.renew(1, 1, RequestCounts{Answered: 100})
		r.renew(2, 1, RequestCounts{Answered: 100})
	}
	r.mustFail(Command{Forget: &Forget{Name: memberName(1)}}, "is alive")
	r.must(Command{Forget: &Forget{Name: memberName(0)}})
	if rel := r.Release("r"); rel.Phase != Halted {
		t.Fatalf("the release is %s after a target was forgotten", rel.Phase)
	}
	r.must(Command{ResumeRelease: &ResumeRelease{ID: "r"}})
	r.awaitPhase(Completed, allSucceed)
}

// Resume restarts the deadlines of ongoing changes, and does not forget which targets restarted during the halt.
func TestResumeKeepsRestartsDuringHalt(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(3)
	p := testPlan(0.3, 1)
	r.must(Command{StartRelease: &p})
	r.awaitOrders(1)
	r.must(Command{HaltRelease: &HaltRelease{ID: "r"}})
	r.advance(1)
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v2", Incarnation: 2}})
	r.advance(1)
	r.must(Command{At: r.Now, ResumeRelease: &ResumeRelease{ID: "r"}})
	r.advance(1)
	r.renew(0, 2, RequestCounts{})
	if rel := r.Release("r"); rel.Targets[0].State != TargetChanged {
		t.Errorf("the target is %s, though it restarted with the new version", rel.Targets[0].State)
	}
}

// A release that its gate halted does not continue by itself when the success ratio recovers.
func TestHaltedReleaseStaysHalted(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.startGatherers(6)
	p := testPlan(0.3, 1)
	r.must(Command{StartRelease: &p})
	rel := r.awaitPhase(Halted, func(v Version) bool { return v == "v1" })
	why := rel.HaltReason
	for range 10 {
		r.runHooks(allSucceed)
	}
	if rel.Phase != Halted || rel.HaltReason != why || len(r.Orders()) > 0 {
		t.Errorf("the release is %s: %s, orders %v", rel.Phase, rel.HaltReason, r.Orders())
	}
}

// A halt right after a grant keeps the permit and withdraws the order; resuming gives the order again.
func TestHaltAfterGrantKeepsPermit(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(3)
	p := testPlan(1)
	r.must(Command{StartRelease: &p})
	r.awaitOrders(1)
	r.must(Command{HaltRelease: &HaltRelease{ID: "r"}})
	if len(r.Orders()) > 0 || r.Members[memberName(0)].Permit == nil {
		t.Errorf("orders %v, permit %v", r.Orders(), r.Members[memberName(0)].Permit)
	}
	r.mustFail(permitRequest(1, 1), "1 of at most 1")
	r.must(Command{ResumeRelease: &ResumeRelease{ID: "r"}})
	r.awaitPhase(Completed, allSucceed)
}
