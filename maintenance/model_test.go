package maintenance

import (
	"errors"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	err := errors.Join(flag.Set("rapid.seed", "20261201"), flag.Set("rapid.checks", "120"), flag.Set("rapid.nofailfile", "true"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestModelNeverExceedsLimits(t *testing.T) {
	granted, agreed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "gatherers")
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		w := newFleetModel(t, rapid.Uint64().Draw(t, "seed"), n, zones, rapid.IntRange(1, 3).Draw(t, "most"),
			rapid.IntRange(0, 2).Draw(t, "in zone"), rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"))
		w.advance(3000)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.inject(fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fault")), rapid.IntRange(0, 8).Draw(t, "gatherer"))
			w.advance(Duration(rapid.SampledFrom([]int{0, 50, 700, 2500, 6000}).Draw(t, "for")))
		}
		w.recover()
		granted, agreed = granted+w.grants, agreed+w.permittedDrains
	})
	if granted < 100 || agreed < 100 {
		t.Errorf("only %d permits and %d permitted drains: too few to check anything", granted, agreed)
	}
	t.Logf("%d permits, %d permitted drains", granted, agreed)
}

// With three hundred gatherers: a release during a restart of all of them at once and a partition of one zone.
func TestModelWithThreeHundredGatherers(t *testing.T) {
	w := newFleetModel(t, 7, 300, 3, 15, 10, 0.02)
	w.advance(3000)
	w.inject(startRelease, 0)
	w.advance(20000)
	w.inject(shutDownAll, 0)
	w.advance(3000)
	for _, g := range w.gatherers {
		if g.zone == "z1" {
			g.partitioned = true
		}
	}
	w.advance(6000)
	w.recover()
	if w.grants < 30 || w.permittedDrains < 30 {
		t.Errorf("%d permits, %d permitted drains", w.grants, w.permittedDrains)
	}
	t.Logf("%d permits, %d permitted drains, %d commands", w.grants, w.permittedDrains, len(w.log))
}
