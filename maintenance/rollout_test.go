package maintenance

import (
	"fmt"
	"strings"
	"testing"
)

func TestReleaseStepsStayWithinLimit(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 2})
	h.startGatherers(9, "a", "b", "c")
	steps, err := h.PlanSteps(testPlan(0.1, 0.5, 1))
	if err != nil || len(steps) != 3 || len(steps[0]) != 1 || len(steps[1]) != 4 || len(steps[2]) != 4 {
		t.Fatalf("planned steps %v, %v", steps, err)
	}
	p := testPlan(0.1, 0.5, 1)
	h.must(Command{StartRelease: &p})
	second := testPlan(1)
	second.ID = "other"
	h.mustFail(Command{StartRelease: &second}, "two at once")
	rel := h.awaitPhase(Completed, allSucceed)
	for _, m := range h.sortedMembers(Gatherer) {
		if m.Version != "v2" || m.Permit != nil {
			t.Errorf("%s runs %s, permit %v", m.Name, m.Version, m.Permit)
		}
	}
	if len(h.Baselines) > 0 || rel.EndedAt == 0 {
		t.Errorf("baselines %v remain, ended at %d", h.Baselines, rel.EndedAt)
	}
}

func TestReleaseHaltsAndRollsBackTwice(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 2})
	h.startGatherers(6, "a", "b")
	p := testPlan(0.3, 1)
	h.must(Command{StartRelease: &p})
	rel := h.awaitPhase(Halted, func(v Version) bool { return v == "v1" })
	if !strings.Contains(rel.HaltReason, "0.5000 of the searches were answered in time, 1.0000") {
		t.Errorf("halt reason %q", rel.HaltReason)
	}
	if len(h.Orders()) > 0 {
		t.Errorf("a halted release gives the orders %v", h.Orders())
	}
	h.must(Command{RollBack: &RollBack{ID: "r"}})
	h.awaitPhase(RolledBack, allSucceed)
	for _, m := range h.sortedMembers(Gatherer) {
		if m.Version != "v1" {
			t.Errorf("%s runs %s after the rollback", m.Name, m.Version)
		}
	}
	h.must(Command{RollBack: &RollBack{ID: "r"}}) // a rollback of the rollback
	h.awaitPhase(Completed, allSucceed)
}

func TestReleaseHaltReasons(t *testing.T) {
	for want, injectFault := range map[string]func(*harness){
		"came back with version v9, though it was to be v2": func(h *harness) {
			h.advance(1)
			h.start(0, 2, "a", "v9")
		},
		"n00 is not back within 5000 ms": func(h *harness) {
			for range 6 {
				h.advance(1000)
				for i := range 4 {
					h.renew(i, 1, RequestCounts{})
				}
			}
		},
		"which runs version v2, is out: gone": func(h *harness) {
			h.runHooks(allSucceed)
			for range 4 {
				h.advance(900)
				for i := range 3 {
					h.renew(i+1, 1, RequestCounts{})
				}
			}
		},
	} {
		t.Run(want, func(t *testing.T) {
			h := newHarness(t, Limits{MaxGatherers: 1})
			h.startGatherers(4)
			p := testPlan(0.25, 1)
			h.must(Command{StartRelease: &p})
			h.awaitOrders(1)
			injectFault(h)
			if rel := h.Release("r"); rel.Phase != Halted || !strings.Contains(rel.HaltReason, want) {
				t.Errorf("the release is %s: %q", rel.Phase, rel.HaltReason)
			}
		})
	}
}

func TestGateWithoutRequestsHalts(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(4)
	p := testPlan(0.25, 1)
	h.must(Command{StartRelease: &p})
	for range 40 {
		for _, o := range h.Orders() {
			var i int
			fmt.Sscanf(string(o.Name), "n%d", &i)
			h.advance(1)
			h.start(i, 2, "a", o.Version)
		}
		h.advance(500)
		for _, m := range h.sortedMembers(Gatherer) {
			h.must(Command{At: h.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready}})
		}
	}
	if rel := h.Release("r"); rel.Phase != Halted || !strings.Contains(rel.HaltReason, "needed to judge it") {
		t.Errorf("the release is %s: %q", rel.Phase, rel.HaltReason)
	}
}

// Two changes that are started by one command have the same epoch, so a hook must distinguish their orders by name as
// well. Changes in progress complete after a halt, whichever target caused it.
func TestOngoingChangesCompleteAfterHalt(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 2})
	h.startGatherers(4)
	p := testPlan(0.5, 1)
	h.must(Command{StartRelease: &p})
	orders := h.awaitOrders(2)
	if orders[0].Name == orders[1].Name || orders[0].Epoch != orders[1].Epoch {
		t.Fatalf("orders %v", orders)
	}
	h.advance(1)
	h.must(Command{At: h.Now, Join: &Join{Name: memberName(1), Zone: "a", Version: "v2", Incarnation: 2}})
	if now := h.Orders(); len(now) != 1 || now[0].Name != memberName(0) {
		t.Errorf("orders after a target has restarted: %v", now)
	}
	h.start(0, 2, "a", "v9") // the first target restarts with a wrong version
	if rel := h.Release("r"); rel.Phase != Halted {
		t.Fatalf("the release is %s", rel.Phase)
	}
	h.start(1, 2, "a", "v2")
	if m := h.Members[memberName(1)]; m.Permit != nil || h.Release("r").Targets[1].State != TargetChanged {
		t.Errorf("%s has changed but still holds the permit %v", m.Name, m.Permit)
	}
}

// A changed gatherer that has crashed and is warming up again does not halt the release.
func TestWarmingUpTargetDoesNotHaltRelease(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(3)
	p := testPlan(0.3, 1)
	h.must(Command{StartRelease: &p})
	for range 20 {
		if h.Release("r").Targets[0].State == TargetChanged {
			break
		}
		h.runHooks(allSucceed)
	}
	h.must(Command{At: h.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v2", Incarnation: 9}})
	if rel := h.Release("r"); rel.Phase != Running || rel.Targets[0].State != TargetChanged {
		t.Errorf("the release is %s: %s", rel.Phase, rel.HaltReason)
	}
}

// A release of servers waits while a segment has no ready replicas to spare above MinReplicas, and continues when
// failed servers are ready again.
func TestReleaseWaitsForMinReplicas(t *testing.T) {
	h := newHarness(t, Limits{MinReplicas: 1, MaxServers: 3})
	list := func(dead ...MemberName) {
		l := &UpdateServers{}
		for i, n := range []MemberName{"s1", "s2", "s3"} {
			status := Ready
			for _, d := range dead {
				if d == n {
					status = WarmingUp
				}
			}
			l.Servers = append(l.Servers, ListedServer{n, "a", "v1", Incarnation(i + 1), status, []Segment{0}})
		}
		h.must(Command{At: h.Now, UpdateServers: l})
	}
	list()
	p := Plan{ID: "r", Kind: Server, From: "v1", To: "v2", Steps: []float64{1}, ChangeTimeout: 60000}
	list("s2", "s3")
	h.must(Command{StartRelease: &p})
	h.advance(10)
	if n := len(h.Orders()); n != 0 {
		t.Errorf("%d orders although the segment has only one ready replica, want none", n)
	}
	list("s3")
	h.advance(10)
	if n := len(h.Orders()); n != 1 {
		t.Errorf("%d orders with two ready replicas of the segment, want 1", n)
	}
}

// A first step of a share below the rounding error changed no target, so that the next step met all targets without one observed before.
func TestSmallestStepChangesOneTarget(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 2})
	h.startGatherers(9, "a", "b", "c")
	for _, share := range []float64{1e-300, 1e-12, 1e-10, 1e-9, 0.01, 1.0 / 9} {
		steps, err := h.PlanSteps(testPlan(share, 1))
		if err != nil || len(steps) != 2 || len(steps[0]) != 1 || len(steps[1]) != 8 {
			t.Errorf("first step of a share of %v: planned steps %v, %v; want one target, then eight", share, steps, err)
		}
	}
}
