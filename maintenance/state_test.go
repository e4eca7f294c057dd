package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// rig is a state with commands given one by one.
type rig struct {
	*State
	t *testing.T
	n Epoch
}

func newRig(t *testing.T, l Limits) *rig {
	if l.LeaseSpan == 0 {
		l.LeaseSpan = 3000
	}
	return &rig{State: New(l), t: t}
}

func (r *rig) do(c Command) (Result, error) {
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

func (r *rig) must(c Command) Result {
	r.t.Helper()
	got, err := r.do(c)
	if err != nil {
		r.t.Fatal(err)
	}
	return got
}

func (r *rig) refused(c Command, want string) {
	r.t.Helper()
	if _, err := r.do(c); err == nil || !strings.Contains(err.Error(), want) {
		r.t.Errorf("got %v, want an error with %q", err, want)
	}
}

// gatherers joins so many, in zones in turn, and makes them ready.
func (r *rig) gatherers(n int, zones ...Zone) {
	for i := range n {
		z := Zone("a")
		if len(zones) > 0 {
			z = zones[i%len(zones)]
		}
		r.run(i, 1, z, "v1")
	}
}

func name(i int) Name { return Name(fmt.Sprintf("n%02d", i)) }

func (r *rig) run(i int, inc Incarnation, z Zone, v Version) {
	r.must(Command{At: r.Now, Join: &Join{Name: name(i), Zone: z, Version: v, Incarnation: inc}})
	r.renew(i, inc, Figures{})
}

func (r *rig) renew(i int, inc Incarnation, f Figures, suspects ...Name) {
	r.must(Command{At: r.Now, Renew: &Renew{Name: name(i), Incarnation: inc, Status: Ready, Figures: f, Suspects: suspects}})
}

func (r *rig) pass(d Span) { r.must(Command{At: r.Now + Moment(d), Turn: &Turn{}}) }

func ask(i int, inc Incarnation) Command {
	return Command{Ask: &Ask{Name: name(i), Incarnation: inc, Why: "asked"}}
}

func TestAPermitCountsUntilItIsGivenBack(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(3)
	p := r.must(ask(0, 1)).Permit
	r.refused(ask(1, 1), "1 of at most 1 gatherers are out")
	if again := r.must(ask(0, 1)).Permit; again.Epoch != p.Epoch {
		t.Errorf("asked again after a lost answer: %v, first %v", again, p)
	}
	// The holder is frozen past its lease. It may wake and drain, so its permit still counts.
	r.pass(10000)
	for i := range 2 {
		r.renew(i+1, 1, Figures{})
	}
	r.refused(ask(1, 1), "1 of at most 1")
	r.refused(Command{Return: &Return{Name: name(0), Epoch: p.Epoch - 1}}, "earlier")
	r.renew(0, 1, Figures{})
	r.must(Command{Return: &Return{Name: name(0), Epoch: p.Epoch}})
	r.must(ask(1, 1))
}

// A run that begins cold while the permit of the one before stands is not to go out again for it; nobody else may go either until it is
// ready. What is asked of the new run is its own.
func TestAPermitIsNotTheNextRuns(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(2)
	r.pass(100)
	r.must(Command{Ask: &Ask{Name: name(0), Why: "an operator's word"}})
	if r.Members[name(0)].Due() == nil {
		t.Fatal("the run that it was granted to is not told of it")
	}
	r.pass(100)
	r.must(Command{At: r.Now, Join: &Join{Name: name(0), Zone: "a", Version: "v1", Incarnation: 2}})
	r.must(Command{At: r.Now, Renew: &Renew{Name: name(0), Incarnation: 2, Status: Cold}})
	if p := r.Members[name(0)].Due(); p != nil {
		t.Errorf("a run that has just begun is to go out by %v", p)
	}
	r.refused(ask(1, 1), "1 of at most 1")
	r.renew(0, 2, Figures{})
	r.must(ask(0, 2))
	if r.Members[name(0)].Due() == nil {
		t.Error("the new run is not told of its own")
	}
}

func TestWhoIsOutCountsWhateverTheReason(t *testing.T) {
	for what, out := range map[string]func(*rig){
		"dead":   func(r *rig) { r.pass(2900); r.renew(1, 1, Figures{}); r.renew(2, 1, Figures{}); r.pass(200) },
		"leaves": func(r *rig) { r.must(Command{Leave: &Leave{Name: name(0), Incarnation: 1}}) },
		"cold": func(r *rig) {
			r.must(Command{Join: &Join{Name: name(0), Zone: "a", Version: "v1", Incarnation: 2}})
		},
		"suspected by most": func(r *rig) { r.renew(1, 1, Figures{}, name(0)); r.renew(2, 1, Figures{}, name(0)) },
	} {
		r := newRig(t, Limits{MostGatherers: 1, ShareGatherers: 0.9})
		r.gatherers(3)
		out(r)
		if _, err := r.do(ask(1, 1)); !errors.Is(err, ErrRefused) {
			t.Errorf("%s: got %v, want a refusal", what, err)
		}
	}
}

func TestOneThatSuspectsMostOthersIsNotBelieved(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1, SuspectedByMost: 0.1})
	r.gatherers(5)
	r.renew(4, 1, Figures{}, name(0), name(1), name(2))
	r.must(ask(3, 1))
}

func TestLimitsByZoneShareAndSegment(t *testing.T) {
	r := newRig(t, Limits{MostGatherersZone: 1})
	r.gatherers(4, "a", "b")
	r.must(ask(0, 1))
	r.refused(ask(2, 1), "gatherers of zone a")
	r.must(ask(1, 1))
	r = newRig(t, Limits{ShareGatherers: 0.2})
	r.gatherers(4)
	r.refused(ask(0, 1), "less than one")
	r = newRig(t, Limits{LeastReplicas: 1, MostServers: 9})
	list := func(status Status) *Listed {
		return &Listed{[]ListedServer{{"s1", "a", "v1", 5, Ready, []Segment{0, 1}}, {"s2", "b", "v1", 5, status, []Segment{1, 2}},
			{"s3", "b", "v1", 5, Ready, []Segment{2, 0}}}}
	}
	r.must(Command{Listed: list(Cold)})
	r.refused(Command{Ask: &Ask{Name: "s1", Why: "disk"}}, "segment 1 would have 0 ready replicas of at least 1")
	r.must(Command{Listed: list(Ready)})
	r.must(Command{Ask: &Ask{Name: "s1", Why: "disk"}})
	r.refused(Command{Ask: &Ask{Name: "s3", Why: "disk"}}, "segment 0")
	// It leaves the list and comes back under its name with a later birth: its permit ends when it is ready.
	l := list(Ready)
	l.Servers = l.Servers[1:]
	r.pass(10)
	r.must(Command{At: r.Now, Listed: l})
	r.refused(Command{Ask: &Ask{Name: "s3", Why: "disk"}}, "segment 0")
	r.pass(10)
	l = list(Ready)
	l.Servers[0].Incarnation = 6
	r.must(Command{At: r.Now, Listed: l})
	r.must(Command{Ask: &Ask{Name: "s3", Why: "disk"}})
}

func TestWhatIsOldChangesNothing(t *testing.T) {
	r := newRig(t, Limits{})
	r.gatherers(2)
	r.run(0, 7, "a", "v2")
	for _, c := range []Command{
		{Renew: &Renew{Name: name(0), Incarnation: 1, Status: Draining}},
		{Leave: &Leave{Name: name(0), Incarnation: 1}},
		{Join: &Join{Name: name(0), Incarnation: 6, Version: "v1"}},
		ask(0, 1),
	} {
		before, _ := json.Marshal(r.Members)
		if _, err := r.do(c); !errors.Is(err, ErrStale) {
			t.Errorf("%+v: got %v", c, err)
		}
		if after, _ := json.Marshal(r.Members); string(after) != string(before) {
			t.Errorf("%+v changed the members", c)
		}
	}
	if _, err := r.Apply(r.n, ask(0, 7)); !errors.Is(err, ErrStale) || r.Members[name(0)].Permit != nil {
		t.Errorf("a command applied twice: %v", err)
	}
}

func TestNewerFormatsAreNotGuessedAt(t *testing.T) {
	if _, err := Decode([]byte(`{"v":2,"grow":{}}`)); !errors.Is(err, ErrNewer) {
		t.Errorf("command: %v", err)
	}
	if _, err := Restore([]byte(`{"v":2}`)); !errors.Is(err, ErrNewer) {
		t.Errorf("snapshot: %v", err)
	}
	if _, err := Decode([]byte(`{`)); err == nil || errors.Is(err, ErrNewer) {
		t.Errorf("no command: %v", err)
	}
}

func plan(steps ...float64) Plan {
	return Plan{ID: "r", Kind: Gatherer, From: "v1", To: "v2", Steps: steps, Dwell: 1000, Within: 5000, MostLoss: 0.02, Least: 10}
}

// carry does what the orders say, as a hook that works: each member runs anew with the version ordered.
func (r *rig) carry(good func(Version) bool) {
	for _, o := range r.Orders() {
		var i int
		fmt.Sscanf(string(o.Name), "n%d", &i)
		r.pass(1)
		r.run(i, r.Members[o.Name].Incarnation+1, r.Members[o.Name].Zone, o.Version)
	}
	r.pass(500)
	for _, m := range r.order(Gatherer) {
		f := m.Figures
		if good(m.Version) {
			f.Answered += 100
		} else {
			f.Answered, f.Errored = f.Answered+50, f.Errored+50
		}
		if m.Until > r.Now {
			r.must(Command{At: r.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready, Figures: f}})
		}
	}
}

func (r *rig) until(phase Phase, good func(Version) bool) *Release {
	r.t.Helper()
	for range 200 {
		if rel := r.Release("r"); rel.Phase == phase {
			return rel
		}
		r.carry(good)
		if n := len(r.Orders()); r.Limits.MostGatherers > 0 && n > r.Limits.MostGatherers {
			r.t.Fatalf("%d changes at once, at most %d may be out", n, r.Limits.MostGatherers)
		}
	}
	b, _ := json.Marshal(r.Release("r"))
	r.t.Fatalf("the release never came to be %s: %s", phase, b)
	return nil
}

func fine(Version) bool { return true }

func TestReleaseGoesInStepsUnderTheLimit(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 2})
	r.gatherers(9, "a", "b", "c")
	steps, err := r.Steps(plan(0.1, 0.5, 1))
	if err != nil || len(steps) != 3 || len(steps[0]) != 1 || len(steps[1]) != 4 || len(steps[2]) != 4 {
		t.Fatalf("steps %v, %v", steps, err)
	}
	r.must(Command{Start: &Plan{ID: "r", Kind: Gatherer, From: "v1", To: "v2", Steps: []float64{0.1, 0.5, 1}, Dwell: 1000, Within: 5000, MostLoss: 0.02, Least: 10}})
	second := plan(1)
	second.ID = "other"
	r.refused(Command{Start: &second}, "two at once")
	rel := r.until(Done, fine)
	for _, m := range r.order(Gatherer) {
		if m.Version != "v2" || m.Permit != nil {
			t.Errorf("%s runs %s, permit %v", m.Name, m.Version, m.Permit)
		}
	}
	if len(r.Before) > 0 || rel.Ended == 0 {
		t.Errorf("left over: %v, ended %d", r.Before, rel.Ended)
	}
}

func TestReleaseHaltsByItselfAndGoesBackAndBackAgain(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 2})
	r.gatherers(6, "a", "b")
	p := plan(0.3, 1)
	r.must(Command{Start: &p})
	rel := r.until(Halted, func(v Version) bool { return v == "v1" })
	if !strings.Contains(rel.Why, "0.5000 of the searches were answered in time, 1.0000") {
		t.Errorf("halted as %q", rel.Why)
	}
	if len(r.Orders()) > 0 {
		t.Errorf("a halted release orders %v", r.Orders())
	}
	r.must(Command{Back: &Back{ID: "r"}})
	r.until(WentBack, fine)
	for _, m := range r.order(Gatherer) {
		if m.Version != "v1" {
			t.Errorf("%s still runs %s", m.Name, m.Version)
		}
	}
	r.must(Command{Back: &Back{ID: "r"}}) // the way back of the way back
	r.until(Done, fine)
}

func TestReleaseHaltsWhere(t *testing.T) {
	for want, spoil := range map[string]func(*rig, Order){
		"came back with version v9, though it was to be v2": func(r *rig, o Order) { r.pass(1); r.run(0, 2, "a", "v9") },
		"n00 is not back within 5000 ms": func(r *rig, o Order) {
			for range 6 {
				r.pass(1000)
				for i := range 4 {
					r.renew(i, 1, Figures{})
				}
			}
		},
		"which runs version v2, is out: gone": func(r *rig, o Order) {
			r.carry(fine)
			for range 4 {
				r.pass(900)
				for i := range 3 {
					r.renew(i+1, 1, Figures{})
				}
			}
		},
	} {
		r := newRig(t, Limits{MostGatherers: 1})
		r.gatherers(4)
		p := plan(0.25, 1)
		r.must(Command{Start: &p})
		for range 10 {
			if len(r.Orders()) > 0 {
				break
			}
			r.carry(fine)
		}
		orders := r.Orders()
		if len(orders) != 1 {
			t.Fatalf("%s: orders %v", want, orders)
		}
		spoil(r, orders[0])
		if rel := r.Release("r"); rel.Phase != Halted || !strings.Contains(rel.Why, want) {
			t.Errorf("want %q, is %s: %q", want, rel.Phase, rel.Why)
		}
	}
}

func TestAGateWithoutSearchesHaltsInTheEnd(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(4)
	p := plan(0.25, 1)
	r.must(Command{Start: &p})
	for range 40 {
		for _, o := range r.Orders() {
			var i int
			fmt.Sscanf(string(o.Name), "n%d", &i)
			r.pass(1)
			r.run(i, 2, "a", o.Version)
		}
		r.pass(500)
		for _, m := range r.order(Gatherer) {
			r.must(Command{At: r.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready}})
		}
	}
	if rel := r.Release("r"); rel.Phase != Halted || !strings.Contains(rel.Why, "needed to judge it") {
		t.Errorf("%s: %q", rel.Phase, rel.Why)
	}
}

func TestBackWhileAStepIsUnderWayOrdersAnew(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 2})
	r.gatherers(4)
	p := plan(0.5, 1)
	r.must(Command{Start: &p})
	for range 10 {
		if len(r.Orders()) == 2 {
			break
		}
		r.carry(fine)
	}
	first := r.Orders()
	r.must(Command{Back: &Back{ID: "r"}})
	now := r.Orders()
	if len(now) != 2 || now[0].Version != "v1" || now[0].Epoch == first[0].Epoch {
		t.Errorf("orders %v, before %v", now, first)
	}
	r.until(WentBack, fine)
}

func TestResumeForgetsWhoIsGoneForGood(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(3)
	p := plan(1)
	r.must(Command{Start: &p})
	for range 4 {
		r.pass(900)
		r.renew(1, 1, Figures{Answered: 100})
		r.renew(2, 1, Figures{Answered: 100})
	}
	r.refused(Command{Forget: &Forget{Name: name(1)}}, "is alive")
	r.must(Command{Forget: &Forget{Name: name(0)}})
	if rel := r.Release("r"); rel.Phase != Halted {
		t.Fatalf("a target is no member any more and the release is %s", rel.Phase)
	}
	r.must(Command{Resume: &Resume{ID: "r"}})
	r.until(Done, fine)
}

func TestBadPlansAreRefusedInASentence(t *testing.T) {
	r := newRig(t, Limits{})
	r.gatherers(2)
	for want, spoil := range map[string]func(*Plan){
		"needs a name":            func(p *Plan) { p.ID = "" },
		"of gatherers or":         func(p *Plan) { p.Kind = "cells" },
		"two versions":            func(p *Plan) { p.To = "v1" },
		"the last step":           func(p *Plan) { p.Steps = []float64{0.5} },
		"shares that rise":        func(p *Plan) { p.Steps = []float64{0.5, 0.5, 1} },
		"no gatherer runs":        func(p *Plan) { p.From = "v0" },
		"how long one change may": func(p *Plan) { p.Within = 0 },
	} {
		p := plan(0.5, 1)
		spoil(&p)
		r.refused(Command{Start: &p}, want)
	}
	for _, c := range []Command{{Halt: &Halt{ID: "x"}}, {Resume: &Resume{ID: "x"}}, {Back: &Back{ID: "x"}}} {
		r.refused(c, "there is no release x")
	}
	r.refused(Command{Forget: &Forget{Name: "x"}}, "x is no member")
	r.refused(Command{Renew: &Renew{Name: "x"}}, "x is no member")
}

func TestHolderAsksAndEndsInAnyCase(t *testing.T) {
	h := NewHolder(1000)
	if got := h.End(0); !got.Ask || got.Drain {
		t.Fatalf("told to end: %+v", got)
	}
	if got := h.Answered(10, nil); got.Drain || got.Ask || got.At != 50 {
		t.Errorf("refused: %+v", got)
	}
	if got := h.Look(50); !got.Ask {
		t.Errorf("later: %+v", got)
	}
	if got := h.Look(1000); !got.Drain || got.Agreed {
		t.Errorf("after its wait: %+v", got)
	}
	if got := h.Answered(1001, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("drains twice: %+v", got)
	}
	h = NewHolder(1000)
	h.End(0)
	if got := h.Answered(5, &Permit{Epoch: 4}); !got.Drain || !got.Agreed {
		t.Errorf("granted: %+v", got)
	}
	// Called off before its answer came; that answer, coming late, is of a permit that was given back.
	h = NewHolder(1000)
	h.End(0)
	h.permit = &Permit{Epoch: 4}
	if p := h.Stay(); p == nil || p.Epoch != 4 {
		t.Errorf("gives back %+v", p)
	}
	h.End(10)
	if got := h.Answered(11, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("drains by a permit that was given back: %+v", got)
	}
}

// Two changes that one command began bear its epoch alike: whoever carries them out must tell them by name too. What was under way when
// the release halts comes to its end all the same, whichever target it halted for.
func TestChangesUnderWayEndThoughTheReleaseHalts(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 2})
	r.gatherers(4)
	p := plan(0.5, 1)
	r.must(Command{Start: &p})
	for range 10 {
		if len(r.Orders()) == 2 {
			break
		}
		r.carry(fine)
	}
	orders := r.Orders()
	if len(orders) != 2 || orders[0].Name == orders[1].Name || orders[0].Epoch != orders[1].Epoch {
		t.Fatalf("orders %v", orders)
	}
	r.pass(1)
	r.must(Command{At: r.Now, Join: &Join{Name: name(1), Zone: "a", Version: "v2", Incarnation: 2}})
	if now := r.Orders(); len(now) != 1 || now[0].Name != name(0) {
		t.Errorf("one that runs anew is ordered again: %v", now)
	}
	r.run(0, 2, "a", "v9") // the first one's hook lies
	if rel := r.Release("r"); rel.Phase != Halted {
		t.Fatalf("the release is %s", rel.Phase)
	}
	r.run(1, 2, "a", "v2")
	if m := r.Members[name(1)]; m.Permit != nil || r.Release("r").Targets[1].State != changed {
		t.Errorf("%s is back with its version and still counts as out: %v", m.Name, m.Permit)
	}
}

// A halted release that goes on gives more time to what is under way, and still knows what had come back by then.
func TestResumeKnowsWhoRanAnewBefore(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(3)
	p := plan(0.3, 1)
	r.must(Command{Start: &p})
	for range 10 {
		if len(r.Orders()) > 0 {
			break
		}
		r.carry(fine)
	}
	r.must(Command{Halt: &Halt{ID: "r"}})
	r.pass(1)
	r.must(Command{At: r.Now, Join: &Join{Name: name(0), Zone: "a", Version: "v2", Incarnation: 2}})
	r.pass(1)
	r.must(Command{At: r.Now, Resume: &Resume{ID: "r"}})
	r.pass(1)
	r.renew(0, 2, Figures{})
	if rel := r.Release("r"); rel.Targets[0].State != changed {
		t.Errorf("it is %s, though it came back with its version", rel.Targets[0].State)
	}
}

// A gatherer that was killed and runs again is cold for a moment: no reason to halt.
func TestAColdOneDoesNotHaltARelease(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(3)
	p := plan(0.3, 1)
	r.must(Command{Start: &p})
	for range 20 {
		if r.Release("r").Targets[0].State == changed {
			break
		}
		r.carry(fine)
	}
	r.must(Command{At: r.Now, Join: &Join{Name: name(0), Zone: "a", Version: "v2", Incarnation: 9}})
	if rel := r.Release("r"); rel.Phase != Going || rel.Targets[0].State != changed {
		t.Errorf("the release is %s: %s", rel.Phase, rel.Why)
	}
}

func TestFenceLetsNothingPassTwice(t *testing.T) {
	f := NewFence(100, 4)
	passed := map[string]uint64{}
	for no := uint64(90); no < 400; no++ {
		who := fmt.Sprint("s", no%9)
		if ok, _ := f.Pass(who, no); ok {
			passed[who] = no
		}
		for who, no := range passed {
			if ok, least := f.Pass(who, no); ok || least < no {
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
func TestAHaltedReleaseStaysHalted(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 2})
	r.gatherers(6)
	p := plan(0.3, 1)
	r.must(Command{Start: &p})
	rel := r.until(Halted, func(v Version) bool { return v == "v1" })
	why := rel.Why
	for range 10 {
		r.carry(fine)
	}
	if rel.Phase != Halted || rel.Why != why || len(r.Orders()) > 0 {
		t.Errorf("the release is %s: %s, orders %v", rel.Phase, rel.Why, r.Orders())
	}
}

// A halt that crosses a grant: the permit stands, nothing is ordered, and the way on orders it again.
func TestAHaltRightBehindAGrant(t *testing.T) {
	r := newRig(t, Limits{MostGatherers: 1})
	r.gatherers(3)
	p := plan(1)
	r.must(Command{Start: &p})
	for range 10 {
		if len(r.Orders()) > 0 {
			break
		}
		r.carry(fine)
	}
	r.must(Command{Halt: &Halt{ID: "r"}})
	if len(r.Orders()) > 0 || r.Members[name(0)].Permit == nil {
		t.Errorf("orders %v, permit %v", r.Orders(), r.Members[name(0)].Permit)
	}
	r.refused(ask(1, 1), "1 of at most 1")
	r.must(Command{Resume: &Resume{ID: "r"}})
	r.until(Done, fine)
}

// Servers die until a segment is down to its least replicas in the middle of a release of servers: it waits, and goes on once they are back.
func TestServersDyingInMidReleaseHoldIt(t *testing.T) {
	r := newRig(t, Limits{LeastReplicas: 1, MostServers: 3})
	list := func(dead ...Name) {
		l := &Listed{}
		for i, n := range []Name{"s1", "s2", "s3"} {
			status := Ready
			for _, d := range dead {
				if d == n {
					status = Cold
				}
			}
			l.Servers = append(l.Servers, ListedServer{n, "a", "v1", Incarnation(i + 1), status, []Segment{0}})
		}
		r.must(Command{At: r.Now, Listed: l})
	}
	list()
	p := Plan{ID: "r", Kind: Server, From: "v1", To: "v2", Steps: []float64{1}, Within: 60000}
	list("s2", "s3")
	r.must(Command{Start: &p})
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
