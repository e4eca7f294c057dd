package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// harness is a state with commands given one by one.
type harness struct {
	*State
	t *testing.T
	n Epoch
}

func newHarness(t *testing.T, l Limits) *harness {
	if l.LeaseDuration == 0 {
		l.LeaseDuration = 3000
	}
	return &harness{State: New(l), t: t}
}

func (r *harness) apply(c Command) (Result, error) {
	r.n++
	b, err := c.Encode()
	if err != nil {
		r.t.Fatal(err)
	}
	back, err := Decode(b)
	if err != nil {
		r.t.Fatal(err)
	}
	return r.Apply(r.n, back)
}

func (r *harness) must(c Command) Result {
	r.t.Helper()
	got, err := r.apply(c)
	if err != nil {
		r.t.Fatal(err)
	}
	return got
}

func (r *harness) mustFail(c Command, want string) {
	r.t.Helper()
	if _, err := r.apply(c); err == nil || !strings.Contains(err.Error(), want) {
		r.t.Errorf("got %v, want an error with %q", err, want)
	}
}

// gatherers joins so many, in zones in turn, and makes them ready.
func (r *harness) gatherers(n int, zones ...Zone) {
	for i := range n {
		z := Zone("a")
		if len(zones) > 0 {
			z = zones[i%len(zones)]
		}
		r.run(i, 1, z, "v1")
	}
}

func memberName(i int) MemberName { return MemberName(fmt.Sprintf("n%02d", i)) }

func (r *harness) run(i int, inc Incarnation, z Zone, v Version) {
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(i), Zone: z, Version: v, Incarnation: inc}})
	r.renew(i, inc, RequestCounts{})
}

func (r *harness) renew(i int, inc Incarnation, f RequestCounts, suspects ...MemberName) {
	r.must(Command{At: r.Now, Renew: &Renew{Name: memberName(i), Incarnation: inc, Status: Ready, Counts: f, Suspects: suspects}})
}

func (r *harness) pass(d Duration) { r.must(Command{At: r.Now + Time(d), AdvanceTime: &AdvanceTime{}}) }

func permitRequest(i int, inc Incarnation) Command {
	return Command{RequestPermit: &RequestPermit{Name: memberName(i), Incarnation: inc, Reason: "asked"}}
}

func TestPermitCountsUntilReturned(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(3)
	p := r.must(permitRequest(0, 1)).Permit
	r.mustFail(permitRequest(1, 1), "1 of at most 1 gatherers are out")
	if again := r.must(permitRequest(0, 1)).Permit; again.Epoch != p.Epoch {
		t.Errorf("asked again after a lost answer: %v, first %v", again, p)
	}
	// The holder is frozen past its lease. It may wake and drain, so its permit still counts.
	r.pass(10000)
	for i := range 2 {
		r.renew(i+1, 1, RequestCounts{})
	}
	r.mustFail(permitRequest(1, 1), "1 of at most 1")
	r.mustFail(Command{ReturnPermit: &ReturnPermit{Name: memberName(0), Epoch: p.Epoch - 1}}, "earlier")
	r.renew(0, 1, RequestCounts{})
	r.must(Command{ReturnPermit: &ReturnPermit{Name: memberName(0), Epoch: p.Epoch}})
	r.must(permitRequest(1, 1))
}

// A run that begins cold while the permit of the one before stands is not to go out again for it; nobody else may go either until it is
// ready. What is asked of the new run is its own.
func TestPermitIsNotInheritedByNextRun(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(2)
	r.pass(100)
	r.must(Command{RequestPermit: &RequestPermit{Name: memberName(0), Reason: "an operator's word"}})
	if r.Members[memberName(0)].ActivePermit() == nil {
		t.Fatal("the run that it was granted to is not told of it")
	}
	r.pass(100)
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v1", Incarnation: 2}})
	r.must(Command{At: r.Now, Renew: &Renew{Name: memberName(0), Incarnation: 2, Status: WarmingUp}})
	if p := r.Members[memberName(0)].ActivePermit(); p != nil {
		t.Errorf("a run that has just begun is to go out by %v", p)
	}
	r.mustFail(permitRequest(1, 1), "1 of at most 1")
	r.renew(0, 2, RequestCounts{})
	r.must(permitRequest(0, 2))
	if r.Members[memberName(0)].ActivePermit() == nil {
		t.Error("the new run is not told of its own")
	}
}

func TestEveryOutReasonCounts(t *testing.T) {
	for what, out := range map[string]func(*harness){
		"dead": func(r *harness) {
			r.pass(2900)
			r.renew(1, 1, RequestCounts{})
			r.renew(2, 1, RequestCounts{})
			r.pass(200)
		},
		"leaves": func(r *harness) { r.must(Command{Leave: &Leave{Name: memberName(0), Incarnation: 1}}) },
		"cold": func(r *harness) {
			r.must(Command{Join: &Join{Name: memberName(0), Zone: "a", Version: "v1", Incarnation: 2}})
		},
		"suspected by most": func(r *harness) {
			r.renew(1, 1, RequestCounts{}, memberName(0))
			r.renew(2, 1, RequestCounts{}, memberName(0))
		},
	} {
		r := newHarness(t, Limits{MaxGatherers: 1, MaxGathererShare: 0.9})
		r.gatherers(3)
		out(r)
		if _, err := r.apply(permitRequest(1, 1)); !errors.Is(err, ErrRefused) {
			t.Errorf("%s: got %v, want a refusal", what, err)
		}
	}
}

func TestSuspectingMostMembersIsIgnored(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1, SuspicionShare: 0.1})
	r.gatherers(5)
	r.renew(4, 1, RequestCounts{}, memberName(0), memberName(1), memberName(2))
	r.must(permitRequest(3, 1))
}

func TestLimitsByZoneShareAndSegment(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherersPerZone: 1})
	r.gatherers(4, "a", "b")
	r.must(permitRequest(0, 1))
	r.mustFail(permitRequest(2, 1), "gatherers of zone a")
	r.must(permitRequest(1, 1))
	r = newHarness(t, Limits{MaxGathererShare: 0.2})
	r.gatherers(4)
	r.mustFail(permitRequest(0, 1), "less than one")
	r = newHarness(t, Limits{MinReplicas: 1, MaxServers: 9})
	list := func(status Status) *UpdateServers {
		return &UpdateServers{[]ListedServer{{"s1", "a", "v1", 5, Ready, []Segment{0, 1}}, {"s2", "b", "v1", 5, status, []Segment{1, 2}},
			{"s3", "b", "v1", 5, Ready, []Segment{2, 0}}}}
	}
	r.must(Command{UpdateServers: list(WarmingUp)})
	r.mustFail(Command{RequestPermit: &RequestPermit{Name: "s1", Reason: "disk"}}, "segment 1 would have 0 ready replicas of at least 1")
	r.must(Command{UpdateServers: list(Ready)})
	r.must(Command{RequestPermit: &RequestPermit{Name: "s1", Reason: "disk"}})
	r.mustFail(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}}, "segment 0")
	// It leaves the list and comes back under its name with a later birth: its permit ends when it is ready.
	l := list(Ready)
	l.Servers = l.Servers[1:]
	r.pass(10)
	r.must(Command{At: r.Now, UpdateServers: l})
	r.mustFail(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}}, "segment 0")
	r.pass(10)
	l = list(Ready)
	l.Servers[0].Incarnation = 6
	r.must(Command{At: r.Now, UpdateServers: l})
	r.must(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}})
}

func TestStaleCommandsChangeNothing(t *testing.T) {
	r := newHarness(t, Limits{})
	r.gatherers(2)
	r.run(0, 7, "a", "v2")
	for _, c := range []Command{
		{Renew: &Renew{Name: memberName(0), Incarnation: 1, Status: Draining}},
		{Leave: &Leave{Name: memberName(0), Incarnation: 1}},
		{Join: &Join{Name: memberName(0), Incarnation: 6, Version: "v1"}},
		permitRequest(0, 1),
	} {
		before, _ := json.Marshal(r.Members)
		if _, err := r.apply(c); !errors.Is(err, ErrStale) {
			t.Errorf("%+v: got %v", c, err)
		}
		if after, _ := json.Marshal(r.Members); string(after) != string(before) {
			t.Errorf("%+v changed the members", c)
		}
	}
	if _, err := r.Apply(r.n, permitRequest(0, 7)); !errors.Is(err, ErrStale) || r.Members[memberName(0)].Permit != nil {
		t.Errorf("a command applied twice: %v", err)
	}
}

func TestNewerFormatsAreRejected(t *testing.T) {
	if _, err := Decode([]byte(`{"v":2,"grow":{}}`)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("command: %v", err)
	}
	if _, err := Restore([]byte(`{"v":2}`)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("snapshot: %v", err)
	}
	if _, err := Decode([]byte(`{`)); err == nil || errors.Is(err, ErrNewerFormat) {
		t.Errorf("no command: %v", err)
	}
}

func plan(steps ...float64) Plan {
	return Plan{ID: "r", Kind: Gatherer, From: "v1", To: "v2", Steps: steps, Dwell: 1000, ChangeTimeout: 5000, MaxLoss: 0.02, MinRequests: 10}
}

// runHooks does what the orders say, as a hook that works: each member runs anew with the version ordered.
func (r *harness) runHooks(good func(Version) bool) {
	for _, o := range r.Orders() {
		var i int
		fmt.Sscanf(string(o.Name), "n%d", &i)
		r.pass(1)
		r.run(i, r.Members[o.Name].Incarnation+1, r.Members[o.Name].Zone, o.Version)
	}
	r.pass(500)
	for _, m := range r.sortedMembers(Gatherer) {
		f := m.Counts
		if good(m.Version) {
			f.Answered += 100
		} else {
			f.Answered, f.Errored = f.Answered+50, f.Errored+50
		}
		if m.LeaseEnd > r.Now {
			r.must(Command{At: r.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready, Counts: f}})
		}
	}
}

func (r *harness) until(phase Phase, good func(Version) bool) *Release {
	r.t.Helper()
	for range 200 {
		if rel := r.Release("r"); rel.Phase == phase {
			return rel
		}
		r.runHooks(good)
		if n := len(r.Orders()); r.Limits.MaxGatherers > 0 && n > r.Limits.MaxGatherers {
			r.t.Fatalf("%d changes at once, at most %d may be out", n, r.Limits.MaxGatherers)
		}
	}
	b, _ := json.Marshal(r.Release("r"))
	r.t.Fatalf("the release never came to be %s: %s", phase, b)
	return nil
}

func allSucceed(Version) bool { return true }

func TestReleaseStepsStayWithinLimit(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.gatherers(9, "a", "b", "c")
	steps, err := r.PlanSteps(plan(0.1, 0.5, 1))
	if err != nil || len(steps) != 3 || len(steps[0]) != 1 || len(steps[1]) != 4 || len(steps[2]) != 4 {
		t.Fatalf("steps %v, %v", steps, err)
	}
	r.must(Command{StartRelease: &Plan{ID: "r", Kind: Gatherer, From: "v1", To: "v2", Steps: []float64{0.1, 0.5, 1}, Dwell: 1000, ChangeTimeout: 5000, MaxLoss: 0.02, MinRequests: 10}})
	second := plan(1)
	second.ID = "other"
	r.mustFail(Command{StartRelease: &second}, "two at once")
	rel := r.until(Completed, allSucceed)
	for _, m := range r.sortedMembers(Gatherer) {
		if m.Version != "v2" || m.Permit != nil {
			t.Errorf("%s runs %s, permit %v", m.Name, m.Version, m.Permit)
		}
	}
	if len(r.Baselines) > 0 || rel.EndedAt == 0 {
		t.Errorf("left over: %v, ended %d", r.Baselines, rel.EndedAt)
	}
}

func TestReleaseHaltsAndRollsBackTwice(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.gatherers(6, "a", "b")
	p := plan(0.3, 1)
	r.must(Command{StartRelease: &p})
	rel := r.until(Halted, func(v Version) bool { return v == "v1" })
	if !strings.Contains(rel.HaltReason, "0.5000 of the searches were answered in time, 1.0000") {
		t.Errorf("halted as %q", rel.HaltReason)
	}
	if len(r.Orders()) > 0 {
		t.Errorf("a halted release orders %v", r.Orders())
	}
	r.must(Command{RollBack: &RollBack{ID: "r"}})
	r.until(RolledBack, allSucceed)
	for _, m := range r.sortedMembers(Gatherer) {
		if m.Version != "v1" {
			t.Errorf("%s still runs %s", m.Name, m.Version)
		}
	}
	r.must(Command{RollBack: &RollBack{ID: "r"}}) // the way back of the way back
	r.until(Completed, allSucceed)
}

func TestReleaseHaltReasons(t *testing.T) {
	for want, spoil := range map[string]func(*harness, Order){
		"came back with version v9, though it was to be v2": func(r *harness, o Order) { r.pass(1); r.run(0, 2, "a", "v9") },
		"n00 is not back within 5000 ms": func(r *harness, o Order) {
			for range 6 {
				r.pass(1000)
				for i := range 4 {
					r.renew(i, 1, RequestCounts{})
				}
			}
		},
		"which runs version v2, is out: gone": func(r *harness, o Order) {
			r.runHooks(allSucceed)
			for range 4 {
				r.pass(900)
				for i := range 3 {
					r.renew(i+1, 1, RequestCounts{})
				}
			}
		},
	} {
		r := newHarness(t, Limits{MaxGatherers: 1})
		r.gatherers(4)
		p := plan(0.25, 1)
		r.must(Command{StartRelease: &p})
		for range 10 {
			if len(r.Orders()) > 0 {
				break
			}
			r.runHooks(allSucceed)
		}
		orders := r.Orders()
		if len(orders) != 1 {
			t.Fatalf("%s: orders %v", want, orders)
		}
		spoil(r, orders[0])
		if rel := r.Release("r"); rel.Phase != Halted || !strings.Contains(rel.HaltReason, want) {
			t.Errorf("want %q, is %s: %q", want, rel.Phase, rel.HaltReason)
		}
	}
}

func TestGateWithoutRequestsHalts(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(4)
	p := plan(0.25, 1)
	r.must(Command{StartRelease: &p})
	for range 40 {
		for _, o := range r.Orders() {
			var i int
			fmt.Sscanf(string(o.Name), "n%d", &i)
			r.pass(1)
			r.run(i, 2, "a", o.Version)
		}
		r.pass(500)
		for _, m := range r.sortedMembers(Gatherer) {
			r.must(Command{At: r.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready}})
		}
	}
	if rel := r.Release("r"); rel.Phase != Halted || !strings.Contains(rel.HaltReason, "needed to judge it") {
		t.Errorf("%s: %q", rel.Phase, rel.HaltReason)
	}
}

func TestRollBackReissuesOrders(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.gatherers(4)
	p := plan(0.5, 1)
	r.must(Command{StartRelease: &p})
	for range 10 {
		if len(r.Orders()) == 2 {
			break
		}
		r.runHooks(allSucceed)
	}
	first := r.Orders()
	r.must(Command{RollBack: &RollBack{ID: "r"}})
	now := r.Orders()
	if len(now) != 2 || now[0].Version != "v1" || now[0].Epoch == first[0].Epoch {
		t.Errorf("orders %v, before %v", now, first)
	}
	r.until(RolledBack, allSucceed)
}

func TestResumeDropsFormerMembers(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(3)
	p := plan(1)
	r.must(Command{StartRelease: &p})
	for range 4 {
		r.pass(900)
		r.renew(1, 1, RequestCounts{Answered: 100})
		r.renew(2, 1, RequestCounts{Answered: 100})
	}
	r.mustFail(Command{Forget: &Forget{Name: memberName(1)}}, "is alive")
	r.must(Command{Forget: &Forget{Name: memberName(0)}})
	if rel := r.Release("r"); rel.Phase != Halted {
		t.Fatalf("a target is no member any more and the release is %s", rel.Phase)
	}
	r.must(Command{ResumeRelease: &ResumeRelease{ID: "r"}})
	r.until(Completed, allSucceed)
}

func TestInvalidCommandsAreRejected(t *testing.T) {
	r := newHarness(t, Limits{})
	r.gatherers(2)
	for want, spoil := range map[string]func(*Plan){
		"needs a name":            func(p *Plan) { p.ID = "" },
		"of gatherers or":         func(p *Plan) { p.Kind = "cells" },
		"two versions":            func(p *Plan) { p.To = "v1" },
		"the last step":           func(p *Plan) { p.Steps = []float64{0.5} },
		"shares that rise":        func(p *Plan) { p.Steps = []float64{0.5, 0.5, 1} },
		"no gatherer runs":        func(p *Plan) { p.From = "v0" },
		"how long one change may": func(p *Plan) { p.ChangeTimeout = 0 },
	} {
		p := plan(0.5, 1)
		spoil(&p)
		r.mustFail(Command{StartRelease: &p}, want)
	}
	for _, c := range []Command{{HaltRelease: &HaltRelease{ID: "x"}}, {ResumeRelease: &ResumeRelease{ID: "x"}}, {RollBack: &RollBack{ID: "x"}}} {
		r.mustFail(c, "there is no release x")
	}
	r.mustFail(Command{Forget: &Forget{Name: "x"}}, "x is no member")
	r.mustFail(Command{Renew: &Renew{Name: "x"}}, "x is no member")
}

func TestDrainerRequestsThenDrains(t *testing.T) {
	h := NewDrainer(1000)
	if got := h.Begin(0); !got.RequestPermit || got.Drain {
		t.Fatalf("told to end: %+v", got)
	}
	if got := h.HandleReply(10, nil); got.Drain || got.RequestPermit || got.PollAt != 50 {
		t.Errorf("refused: %+v", got)
	}
	if got := h.Poll(50); !got.RequestPermit {
		t.Errorf("later: %+v", got)
	}
	if got := h.Poll(1000); !got.Drain || got.Permitted {
		t.Errorf("after its wait: %+v", got)
	}
	if got := h.HandleReply(1001, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("drains twice: %+v", got)
	}
	h = NewDrainer(1000)
	h.Begin(0)
	if got := h.HandleReply(5, &Permit{Epoch: 4}); !got.Drain || !got.Permitted {
		t.Errorf("granted: %+v", got)
	}
	// Called off before its answer came; that answer, coming late, is of a permit that was given back.
	h = NewDrainer(1000)
	h.Begin(0)
	h.permit = &Permit{Epoch: 4}
	if p := h.Cancel(); p == nil || p.Epoch != 4 {
		t.Errorf("gives back %+v", p)
	}
	h.Begin(10)
	if got := h.HandleReply(11, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("drains by a permit that was given back: %+v", got)
	}
}

// Two changes that one command began bear its epoch alike: whoever carries them out must tell them by name too. What was under way when
// the release halts comes to its end all the same, whichever target it halted for.
func TestOngoingChangesCompleteAfterHalt(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.gatherers(4)
	p := plan(0.5, 1)
	r.must(Command{StartRelease: &p})
	for range 10 {
		if len(r.Orders()) == 2 {
			break
		}
		r.runHooks(allSucceed)
	}
	orders := r.Orders()
	if len(orders) != 2 || orders[0].Name == orders[1].Name || orders[0].Epoch != orders[1].Epoch {
		t.Fatalf("orders %v", orders)
	}
	r.pass(1)
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(1), Zone: "a", Version: "v2", Incarnation: 2}})
	if now := r.Orders(); len(now) != 1 || now[0].Name != memberName(0) {
		t.Errorf("one that runs anew is ordered again: %v", now)
	}
	r.run(0, 2, "a", "v9") // the first one's hook lies
	if rel := r.Release("r"); rel.Phase != Halted {
		t.Fatalf("the release is %s", rel.Phase)
	}
	r.run(1, 2, "a", "v2")
	if m := r.Members[memberName(1)]; m.Permit != nil || r.Release("r").Targets[1].State != TargetChanged {
		t.Errorf("%s is back with its version and still counts as out: %v", m.Name, m.Permit)
	}
}

// A halted release that goes on gives more time to what is under way, and still knows what had come back by then.
func TestResumeKeepsRestartsDuringHalt(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(3)
	p := plan(0.3, 1)
	r.must(Command{StartRelease: &p})
	for range 10 {
		if len(r.Orders()) > 0 {
			break
		}
		r.runHooks(allSucceed)
	}
	r.must(Command{HaltRelease: &HaltRelease{ID: "r"}})
	r.pass(1)
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v2", Incarnation: 2}})
	r.pass(1)
	r.must(Command{At: r.Now, ResumeRelease: &ResumeRelease{ID: "r"}})
	r.pass(1)
	r.renew(0, 2, RequestCounts{})
	if rel := r.Release("r"); rel.Targets[0].State != TargetChanged {
		t.Errorf("it is %s, though it came back with its version", rel.Targets[0].State)
	}
}

// A gatherer that was killed and runs again is cold for a moment: no reason to halt.
func TestWarmingUpTargetDoesNotHaltRelease(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(3)
	p := plan(0.3, 1)
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

func TestReplayFilterAcceptsNothingTwice(t *testing.T) {
	f := NewReplayFilter(100, 4)
	passed := map[string]uint64{}
	for no := uint64(90); no < 400; no++ {
		who := fmt.Sprint("s", no%9)
		if ok, _ := f.Accept(who, no); ok {
			passed[who] = no
		}
		for who, no := range passed {
			if ok, least := f.Accept(who, no); ok || least < no {
				t.Fatalf("%s said %d twice, and is told %d", who, no, least)
			}
		}
		if len(f.last) > 4 {
			t.Fatalf("%d speakers are held, at most 4 may be", len(f.last))
		}
	}
	if len(passed) < 9 {
		t.Errorf("only %d speakers of 9 were ever heard", len(passed))
	}
}

// A gate that flaps: once it halted, better figures do not let the release go on by itself.
func TestHaltedReleaseStaysHalted(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 2})
	r.gatherers(6)
	p := plan(0.3, 1)
	r.must(Command{StartRelease: &p})
	rel := r.until(Halted, func(v Version) bool { return v == "v1" })
	why := rel.HaltReason
	for range 10 {
		r.runHooks(allSucceed)
	}
	if rel.Phase != Halted || rel.HaltReason != why || len(r.Orders()) > 0 {
		t.Errorf("the release is %s: %s, orders %v", rel.Phase, rel.HaltReason, r.Orders())
	}
}

// A halt that crosses a grant: the permit stands, nothing is ordered, and the way on orders it again.
func TestHaltAfterGrantKeepsPermit(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.gatherers(3)
	p := plan(1)
	r.must(Command{StartRelease: &p})
	for range 10 {
		if len(r.Orders()) > 0 {
			break
		}
		r.runHooks(allSucceed)
	}
	r.must(Command{HaltRelease: &HaltRelease{ID: "r"}})
	if len(r.Orders()) > 0 || r.Members[memberName(0)].Permit == nil {
		t.Errorf("orders %v, permit %v", r.Orders(), r.Members[memberName(0)].Permit)
	}
	r.mustFail(permitRequest(1, 1), "1 of at most 1")
	r.must(Command{ResumeRelease: &ResumeRelease{ID: "r"}})
	r.until(Completed, allSucceed)
}

// Servers die until a segment is down to its least replicas in the middle of a release of servers: it waits, and goes on once they are back.
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
	r.pass(10)
	if n := len(r.Orders()); n != 0 {
		t.Errorf("%d servers are ordered out where each is its segment's last", n)
	}
	list("s3")
	r.pass(10)
	if n := len(r.Orders()); n != 1 {
		t.Errorf("%d servers are ordered out where one may be", n)
	}
}
