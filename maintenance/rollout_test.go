package maintenance

import (
	"fmt"
	"strings"
	"testing"
)

func TestReleaseStepsStayWithinLimit(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.startGatherers(9, "a", "b", "c")
	steps, err := r.PlanSteps(testPlan(0.1, 0.5, 1))
	if err != nil || len(steps) != 3 || len(steps[0]) != 1 || len(steps[1]) != 4 || len(steps[2]) != 4 {
		t.Fatalf("planned steps %v, %v", steps, err)
	}
	p := testPlan(0.1, 0.5, 1)
	r.must(Command{StartRelease: &p})
	second := testPlan(1)
	second.ID = "other"
	r.mustFail(Command{StartRelease: &second}, "two at once")
	rel := r.awaitPhase(Completed, allSucceed)
	for _, m := range r.sortedMembers(Gatherer) {
		if m.Version != "v2" || m.Permit != nil {
			t.Errorf("%s runs %s, permit %v", m.Name, m.Version, m.Permit)
		}
	}
	if len(r.Baselines) > 0 || rel.EndedAt == 0 {
		t.Errorf("baselines %v remain, ended at %d", r.Baselines, rel.EndedAt)
	}
}

func TestReleaseHaltsAndRollsBackTwice(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.startGatherers(6, "a", "b")
	p := testPlan(0.3, 1)
	r.must(Command{StartRelease: &p})
	rel := r.awaitPhase(Halted, func(v Version) bool { return v == "v1" })
	if !strings.Contains(rel.HaltReason, "0.5000 of the searches were answered in time, 1.0000") {
		t.Errorf("halt reason %q", rel.HaltReason)
	}
	if len(r.Orders()) > 0 {
		t.Errorf("a halted release orders %v", r.Orders())
	}
	r.must(Command{RollBack: &RollBack{ID: "r"}})
	r.awaitPhase(RolledBack, allSucceed)
	for _, m := range r.sortedMembers(Gatherer) {
		if m.Version != "v1" {
			t.Errorf("%s runs %s after the rollback", m.Name, m.Version)
		}
	}
	r.must(Command{RollBack: &RollBack{ID: "r"}}) // a rollback of the rollback
	r.awaitPhase(Completed, allSucceed)
}

func TestReleaseHaltReasons(t *testing.T) {
	for want, disturb := range map[string]func(*harness){
		"came back with version v9, though it was to be v2": func(r *harness) {
			r.advance(1)
			r.start(0, 2, "a", "v9")
		},
		"n00 is not back within 5000 ms": func(r *harness) {
			for range 6 {
				r.advance(1000)
				for i := range 4 {
					r.renew(i, 1, RequestCounts{})
				}
			}
		},
		"which runs version v2, is out: gone": func(r *harness) {
			r.runHooks(allSucceed)
			for range 4 {
				r.advance(900)
				for i := range 3 {
					r.renew(i+1, 1, RequestCounts{})
				}
			}
		},
	} {
		t.Run(want, func(t *testing.T) {
			r := newHarness(t, Limits{MaxGatherers: 1})
			r.startGatherers(4)
			p := testPlan(0.25, 1)
			r.must(Command{StartRelease: &p})
			r.awaitOrders(1)
			disturb(r)
			if rel := r.Release("r"); rel.Phase != Halted || !strings.Contains(rel.HaltReason, want) {
				t.Errorf("the release is %s: %q", rel.Phase, rel.HaltReason)
			}
		})
	}
}

func TestGateWithoutRequestsHalts(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(4)
	p := testPlan(0.25, 1)
	r.must(Command{StartRelease: &p})
	for range 40 {
		for _, o := range r.Orders() {
			var i int
			fmt.Sscanf(string(o.Name), "n%d", &i)
			r.advance(1)
			r.start(i, 2, "a", o.Version)
		}
		r.advance(500)
		for _, m := range r.sortedMembers(Gatherer) {
			r.must(Command{At: r.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready}})
		}
	}
	if rel := r.Release("r"); rel.Phase != Halted || !strings.Contains(rel.HaltReason, "needed to judge it") {
		t.Errorf("the release is %s: %q", rel.Phase, rel.HaltReason)
	}
}

// Two changes started by one command have the same epoch: a hook must tell them apart by name, too. Ongoing changes complete after a
// halt, whichever target it was for.
func TestOngoingChangesCompleteAfterHalt(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.startGatherers(4)
	p := testPlan(0.5, 1)
	r.must(Command{StartRelease: &p})
	orders := r.awaitOrders(2)
	if orders[0].Name == orders[1].Name || orders[0].Epoch != orders[1].Epoch {
		t.Fatalf("orders %v", orders)
	}
	r.advance(1)
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(1), Zone: "a", Version: "v2", Incarnation: 2}})
	if now := r.Orders(); len(now) != 1 || now[0].Name != memberName(0) {
		t.Errorf("orders after a target has restarted: %v", now)
	}
	r.start(0, 2, "a", "v9") // the first target restarts with a wrong version
	if rel := r.Release("r"); rel.Phase != Halted {
		t.Fatalf("the release is %s", rel.Phase)
	}
	r.start(1, 2, "a", "v2")
	if m := r.Members[memberName(1)]; m.Permit != nil || r.Release("r").Targets[1].State != TargetChanged {
		t.Errorf("%s has changed and still has the permit %v", m.Name, m.Permit)
	}
}

// A changed gatherer that crashed and warms up again is no reason to halt.
func TestWarmingUpTargetDoesNotHaltRelease(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(3)
	p := testPlan(0.3, 1)
	r.must(Command{StartRelease: &p})
	for range 20 {
		if r.Release("r").Targets[0].State == TargetChanged {
			break
		}
		r.runHooks(allSucceed)
	}
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v2", Incarnation: 9}})
	if rel := r.Release("r"); rel.Phase != Running || rel.Targets[0].State != TargetChanged {
		t.Errorf("the release is %s: %s", rel.Phase, rel.HaltReason)
	}
}

// A release of servers waits while a segment is down to MinReplicas, and continues once the failed servers are back.
func TestReleaseWaitsForMinReplicas(t *testing.T) {
	r := newHarness(t, Limits{MinReplicas: 1, MaxServers: 3})
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
		r.must(Command{At: r.Now, UpdateServers: l})
	}
	list()
	p := Plan{ID: "r", Kind: Server, From: "v1", To: "v2", Steps: []float64{1}, ChangeTimeout: 60000}
	list("s2", "s3")
	r.must(Command{StartRelease: &p})
	r.advance(10)
	if n := len(r.Orders()); n != 0 {
		t.Errorf("%d servers are ordered out where each is its segment's last replica", n)
	}
	list("s3")
	r.advance(10)
	if n := len(r.Orders()); n != 1 {
		t.Errorf("%d servers are ordered out where one may be", n)
	}
}
