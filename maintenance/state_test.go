package maintenance

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestPermitCountsUntilReturned(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(3)
	p := r.must(permitRequest(0, 1)).Permit
	r.mustFail(permitRequest(1, 1), "1 of at most 1 gatherers are out")
	if again := r.must(permitRequest(0, 1)).Permit; again.Epoch != p.Epoch {
		t.Errorf("permit after a repeated request: %v, first %v", again, p)
	}
	// The holder is suspended past its lease. It may resume and drain, so its permit still counts.
	r.advance(10000)
	for i := range 2 {
		r.renew(i+1, 1, RequestCounts{})
	}
	r.mustFail(permitRequest(1, 1), "1 of at most 1")
	r.mustFail(Command{ReturnPermit: &ReturnPermit{Name: memberName(0), Epoch: p.Epoch - 1}}, "earlier")
	r.renew(0, 1, RequestCounts{})
	r.must(Command{ReturnPermit: &ReturnPermit{Name: memberName(0), Epoch: p.Epoch}})
	r.must(permitRequest(1, 1))
}

// An incarnation that starts while its predecessor's permit stands must not go out by it, and nobody else may go out until it is ready.
// A permit requested afterwards is its own.
func TestPermitIsNotInheritedByNextRun(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1})
	r.startGatherers(2)
	r.advance(100)
	r.must(Command{RequestPermit: &RequestPermit{Name: memberName(0), Reason: "requested by an operator"}})
	if r.Members[memberName(0)].ActivePermit() == nil {
		t.Fatal("the permit is not active for the incarnation to which it was granted")
	}
	r.advance(100)
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v1", Incarnation: 2}})
	r.must(Command{At: r.Now, Renew: &Renew{Name: memberName(0), Incarnation: 2, Status: WarmingUp}})
	if p := r.Members[memberName(0)].ActivePermit(); p != nil {
		t.Errorf("the next incarnation has the active permit %v", p)
	}
	r.mustFail(permitRequest(1, 1), "1 of at most 1")
	r.renew(0, 2, RequestCounts{})
	r.must(permitRequest(0, 2))
	if r.Members[memberName(0)].ActivePermit() == nil {
		t.Error("the new incarnation's own permit is not active")
	}
}

func TestStaleCommandsChangeNothing(t *testing.T) {
	r := newHarness(t, Limits{})
	r.startGatherers(2)
	r.start(0, 7, "a", "v2")
	for _, c := range []Command{
		{Renew: &Renew{Name: memberName(0), Incarnation: 1, Status: Draining}},
		{Leave: &Leave{Name: memberName(0), Incarnation: 1}},
		{Join: &Join{Name: memberName(0), Incarnation: 6, Version: "v1"}},
		permitRequest(0, 1),
	} {
		before, _ := json.Marshal(r.Members)
		if _, err := r.apply(c); !errors.Is(err, ErrStale) {
			t.Errorf("%+v: got %v, want ErrStale", c, err)
		}
		if after, _ := json.Marshal(r.Members); string(after) != string(before) {
			t.Errorf("%+v: the members changed", c)
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
		t.Errorf("malformed command: %v", err)
	}
}

func TestInvalidCommandsAreRejected(t *testing.T) {
	r := newHarness(t, Limits{})
	r.startGatherers(2)
	for want, change := range map[string]func(*Plan){
		"needs a name":            func(p *Plan) { p.ID = "" },
		"of gatherers or":         func(p *Plan) { p.Kind = "cells" },
		"two versions":            func(p *Plan) { p.To = "v1" },
		"the last step":           func(p *Plan) { p.Steps = []float64{0.5} },
		"shares that rise":        func(p *Plan) { p.Steps = []float64{0.5, 0.5, 1} },
		"no gatherer runs":        func(p *Plan) { p.From = "v0" },
		"how long one change may": func(p *Plan) { p.ChangeTimeout = 0 },
	} {
		t.Run(want, func(t *testing.T) {
			p := testPlan(0.5, 1)
			change(&p)
			r.mustFail(Command{StartRelease: &p}, want)
		})
	}
	for _, c := range []Command{{HaltRelease: &HaltRelease{ID: "x"}}, {ResumeRelease: &ResumeRelease{ID: "x"}}, {RollBack: &RollBack{ID: "x"}}} {
		r.mustFail(c, "release x: no such release")
	}
	r.mustFail(Command{Forget: &Forget{Name: "x"}}, "x: not a member")
	r.mustFail(Command{Renew: &Renew{Name: "x"}}, "x: not a member")
}
