package maintenance

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestPermitCountsUntilReturned(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(3)
	p := h.must(permitRequest(0, 1)).Permit
	h.mustFail(permitRequest(1, 1), "1 of at most 1 gatherers are out")
	if again := h.must(permitRequest(0, 1)).Permit; again.Epoch != p.Epoch {
		t.Errorf("permit after a repeated request: %v, first %v", again, p)
	}
	// The holder is suspended beyond the end of its lease. It may resume and drain, so its permit still counts.
	h.advance(10000)
	for i := range 2 {
		h.renew(i+1, 1, RequestCounts{})
	}
	h.mustFail(permitRequest(1, 1), "1 of at most 1")
	h.mustFail(Command{ReturnPermit: &ReturnPermit{Name: memberName(0), Epoch: p.Epoch - 1}}, "earlier")
	h.renew(0, 1, RequestCounts{})
	h.must(Command{ReturnPermit: &ReturnPermit{Name: memberName(0), Epoch: p.Epoch}})
	h.must(permitRequest(1, 1))
}

// An incarnation that starts while its predecessor holds a permit must not go out under that permit, and no other
// member may go out until the new incarnation is ready. A permit that the new incarnation requests afterwards is valid
// for it.
func TestPermitIsNotInheritedByNextIncarnation(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1})
	h.startGatherers(2)
	h.advance(100)
	h.must(Command{RequestPermit: &RequestPermit{Name: memberName(0), Reason: "requested by an operator"}})
	if h.Members[memberName(0)].ActivePermit() == nil {
		t.Fatal("the permit is not active for the incarnation to which it was granted")
	}
	h.advance(100)
	h.must(Command{At: h.Now, Join: &Join{Name: memberName(0), Zone: "a", Version: "v1", Incarnation: 2}})
	h.must(Command{At: h.Now, Renew: &Renew{Name: memberName(0), Incarnation: 2, Status: WarmingUp}})
	if p := h.Members[memberName(0)].ActivePermit(); p != nil {
		t.Errorf("the next incarnation has the active permit %v", p)
	}
	h.mustFail(permitRequest(1, 1), "1 of at most 1")
	h.renew(0, 2, RequestCounts{})
	h.must(permitRequest(0, 2))
	if h.Members[memberName(0)].ActivePermit() == nil {
		t.Error("the new incarnation's own permit is not active")
	}
}

func TestStaleCommandsChangeNothing(t *testing.T) {
	h := newHarness(t, Limits{})
	h.startGatherers(2)
	h.start(0, 7, "a", "v2")
	for _, c := range []Command{
		{Renew: &Renew{Name: memberName(0), Incarnation: 1, Status: Draining}},
		{Leave: &Leave{Name: memberName(0), Incarnation: 1}},
		{Join: &Join{Name: memberName(0), Incarnation: 6, Version: "v1"}},
		permitRequest(0, 1),
	} {
		before, _ := json.Marshal(h.Members)
		if _, err := h.apply(c); !errors.Is(err, ErrStale) {
			t.Errorf("%+v: got %v, want ErrStale", c, err)
		}
		if after, _ := json.Marshal(h.Members); string(after) != string(before) {
			t.Errorf("%+v: the members changed", c)
		}
	}
	if _, err := h.Apply(h.n, permitRequest(0, 7)); !errors.Is(err, ErrStale) || h.Members[memberName(0)].Permit != nil {
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
	h := newHarness(t, Limits{})
	h.startGatherers(2)
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
			h.mustFail(Command{StartRelease: &p}, want)
		})
	}
	for _, c := range []Command{{HaltRelease: &HaltRelease{ID: "x"}}, {ResumeRelease: &ResumeRelease{ID: "x"}}, {RollBack: &RollBack{ID: "x"}}} {
		h.mustFail(c, "release x: no such release")
	}
	h.mustFail(Command{RemoveMember: &Forget{Name: "x"}}, "x: not a member")
	h.mustFail(Command{Renew: &Renew{Name: "x"}}, "x: not a member")
}
