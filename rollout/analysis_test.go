package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

// traffic describes the requests to a service and the responses of its two versions.
type traffic struct {
	perSecond      float64                        // requests per second to the service
	share          float64                        // share of the requests that reach the target version
	oldBad, newBad func(at time.Duration) float64 // share of bad responses of each version over time
}

// constant returns a share that does not change over time.
func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// detect simulates traffic in steps of a tenth of a second, after each of which eight gateways report in turn. It returns when the target
// version is classified as bad, and the number of its bad responses by then. found is false if that does not happen within the duration.
func detect(t traffic, duration time.Duration, seed uint64) (at time.Duration, bad uint64, found bool) {
	const interval = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 7))
	a := NewAnalysis()
	counts := make([]RouteCounts, 8)
	pending := 0.0
	for now := time.Duration(0); now < duration; now += interval {
		for pending += t.perSecond * interval.Seconds(); pending >= 1; pending-- {
			c := &counts[random.IntN(len(counts))]
			arm, share := &c.Stable, t.oldBad(now)
			if random.Float64() < t.share {
				arm, share = &c.Target, t.newBad(now)
			}
			arm.Responses++
			if random.Float64() < share {
				arm.Bad++
				if arm == &c.Target {
					bad++
				}
			}
		}
		for i, c := range counts {
			a.Report(uint64(i), "route", c)
		}
		if a.FailureReason() != "" {
			return now, bad, true
		}
	}
	return 0, bad, false
}

// Bad versions must be detected before their 50th bad response, also those that turn bad late. Good versions must not be classified as
// bad, also during a fault that affects both versions.
func TestAnalysisDetectsBadVersions(t *testing.T) {
	lateFault := func(at time.Duration) float64 {
		if at < 3*time.Second {
			return 0
		}
		return 0.3
	}
	outage := func(at time.Duration) float64 {
		if at > 2*time.Second && at < 4*time.Second {
			return 0.3
		}
		return 0.01
	}
	const seeds = 300
	for _, test := range []struct {
		name          string
		traffic       traffic
		duration      time.Duration
		bad           bool // the target version must be classified as bad
		maxMismatches int  // highest number of seeds that may have another result
	}{
		{"30 percent fail", traffic{333, 0.05, constant(0.01), constant(0.3)}, 4 * time.Second, true, 6},
		{"half are slow", traffic{333, 0.05, constant(0.02), constant(0.5)}, 4 * time.Second, true, 0},
		{"both versions turn bad late", traffic{333, 0.15, lateFault, lateFault}, 4 * time.Second, false, 3},
		{"target version turns bad late", traffic{333, 0.15, constant(0.01), lateFault}, 6 * time.Second, true, 0},
		{"all traffic on a bad version", traffic{333, 1, constant(0.01), constant(0.3)}, time.Second, true, 0},
		{"good", traffic{333, 0.35, constant(0.01), constant(0.01)}, 20 * time.Second, false, 0},
		{"good, more bad responses", traffic{333, 0.35, constant(0.03), constant(0.03)}, 20 * time.Second, false, 3},
		{"a fault that affects both versions", traffic{333, 0.35, outage, outage}, 10 * time.Second, false, 3},
		{"good, all traffic", traffic{333, 1, constant(0), constant(0.02)}, 20 * time.Second, false, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			mismatches := 0
			for seed := range uint64(seeds) {
				_, bad, found := detect(test.traffic, test.duration, seed)
				if found != test.bad {
					mismatches++
				}
				if found && test.bad && bad >= 50 {
					t.Errorf("seed %d: detected after %d bad responses, want fewer than 50", seed, bad)
				}
			}
			if mismatches > test.maxMismatches {
				t.Errorf("%d of %d seeds have another result, want at most %d", mismatches, seeds, test.maxMismatches)
			}
			t.Logf("%d of %d seeds have another result", mismatches, seeds)
		})
	}
}

// A controller that starts during a rollout receives all earlier responses in one report, which must not lead to a false alarm.
func TestAnalysisAcceptsLateStart(t *testing.T) {
	a := NewAnalysis()
	for gateway := range uint64(3) {
		a.Report(gateway, "r", RouteCounts{Stable: Counts{4000, 80}, Target: Counts{400, 8}})
	}
	if reason := a.FailureReason(); reason != "" {
		t.Error(reason)
	}
	a.Report(0, "r", RouteCounts{Stable: Counts{4010, 80}, Target: Counts{412, 16}})
	if a.FailureReason() == "" {
		t.Error("8 bad responses of 12 are not detected")
	}
}

// Repeated and outdated reports of a gateway must not be counted again. A restarted gateway reports as another incarnation, and its counts
// are added. The number of analyzed routes is bounded.
func TestAnalysisCountsReportsOnce(t *testing.T) {
	a := NewAnalysis()
	for range 5 {
		a.Report(1, "r", RouteCounts{Stable: Counts{10, 1}, Target: Counts{4, 2}})
	}
	a.Report(1, "r", RouteCounts{Stable: Counts{9, 1}, Target: Counts{3, 2}}) // an older report that arrives late
	a.Report(1, "r", RouteCounts{Stable: Counts{12, 1}, Target: Counts{4, 2}})
	a.Report(2, "r", RouteCounts{Stable: Counts{1, 0}, Target: Counts{1, 0}})
	if other, target := a.Responses(); other != 13 || target != 5 {
		t.Errorf("%d and %d responses are counted, want 13 and 5", other, target)
	}
	for i := range 5 * maxRoutes {
		a.Report(3, string(rune('a'+i)), RouteCounts{Target: Counts{1, 0}})
	}
	if len(a.routes) > maxRoutes+1 {
		t.Errorf("%d routes are analyzed, want at most %d", len(a.routes), maxRoutes+1)
	}
}

// If the platform allows less exposure, the shares of all steps but the last must be reduced.
func TestExposureLimits(t *testing.T) {
	for _, test := range []struct{ allowed, canary, third float64 }{{0, 0.05, 0.35}, {0.1, 0.05, 0.35}, {0.5, 0.05, 0.35}, {0.04, 0.02, 0.14}} {
		r := Rollout{State: Running, DurationS: 15}
		first, ok := r.Next(Progress{TargetServers: 8, StableServers: 8}, Limits{test.allowed})
		if !ok || first.Share != test.canary {
			t.Errorf("allowed %v: first step %+v, want a share of %v", test.allowed, first, test.canary)
		}
		exposure := 0.0
		for number, s := range steps[:LastStep] {
			exposure += (Limits{test.allowed}).share(number) * s.hold
		}
		if limit := test.allowed; limit > 0 && exposure > 0.7*limit {
			t.Errorf("allowed %v: the exposure of the steps before the last is %v", test.allowed, exposure)
		}
		if got := (Limits{test.allowed}).share(3); got < test.third-1e-9 || got > test.third+1e-9 {
			t.Errorf("allowed %v: share %v of the third step, want %v", test.allowed, got, test.third)
		}
		if (Limits{test.allowed}).share(LastStep) != 1 {
			t.Errorf("allowed %v: the share of the last step is not 1", test.allowed)
		}
	}
}
