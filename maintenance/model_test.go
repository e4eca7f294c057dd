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

// Random faults, operator actions and message losses must not lead to more gatherers being out with a permit than the
// limits allow, nor to replicas with different states.
func TestModelNeverExceedsLimits(t *testing.T) {
	grants, permittedDrains := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "gatherers")
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		f := newFleetModel(t, rapid.Uint64().Draw(t, "seed"), n, zones, rapid.IntRange(1, 3).Draw(t, "max out"),
			rapid.IntRange(0, 2).Draw(t, "max out per zone"), rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"))
		f.advance(3000)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			f.inject(fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fault")), rapid.IntRange(0, 8).Draw(t, "gatherer"))
			f.advance(Duration(rapid.SampledFrom([]int{0, 50, 700, 2500, 6000}).Draw(t, "duration")))
		}
		f.recover()
		grants, permittedDrains = grants+f.grants, permittedDrains+f.permittedDrains
	})
	if grants < 100 || permittedDrains < 100 {
		t.Errorf("only %d permits and %d permitted drains, want at least 100 of each for the checks to be meaningful", grants, permittedDrains)
	}
	t.Logf("%d permits, %d permitted drains", grants, permittedDrains)
}

// The checks of the model must hold with 300 gatherers when all of them are shut down at once during a release and one
// zone is partitioned.
func TestModelWithThreeHundredGatherers(t *testing.T) {
	f := newFleetModel(t, 7, 300, 3, 15, 10, 0.02)
	f.advance(3000)
	f.inject(startRelease, 0)
	f.advance(20000)
	f.inject(shutDownAll, 0)
	f.advance(3000)
	for _, g := range f.gatherers {
		if g.zone == "z1" {
			g.partitioned = true
		}
	}
	f.advance(6000)
	f.recover()
	if f.grants < 30 || f.permittedDrains < 30 {
		t.Errorf("%d permits, %d permitted drains", f.grants, f.permittedDrains)
	}
	t.Logf("%d permits, %d permitted drains, %d commands", f.grants, f.permittedDrains, len(f.log))
}
