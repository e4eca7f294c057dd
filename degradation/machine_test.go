package degradation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{
		SmoothingTime: 500, EnterAfter: 1000, ExitAfter: 5000, FlapWindow: 60_000, MaxBackoff: 16, MaxUpgradesPerMinute: 4,
		StaleAfter: 3000, RampUp: 2000,
		Levels: []Level{
			{Name: "full"},
			{Name: "trimmed",
				Conditions: []Condition{{LostCapacity, 0.15, 0.1}, {LoadRatio, 0.9, 0.7}, {LateRatio, 0.2, 0.1}, {StoreUnavailable, 0.5, 0.4}},
				Policy:     Policy{ServedShares: []float64{1, 0.5}, RetryAfter: 1000}},
			{Name: "essential",
				Conditions: []Condition{{LostCapacity, 0.3, 0.2}, {LoadRatio, 1.2, 0.8}, {LateRatio, 0.4, 0.2}},
				Policy:     Policy{ServedShares: []float64{1, 0}, RetryAfter: 2000}},
			{Name: "closed",
				Conditions: []Condition{{LostCapacity, 0.9, 0.7}},
				Policy:     Policy{ServedShares: []float64{0, 0}, RetryAfter: 5000}},
		},
	}
}

// signalReadings returns readings in which all signals are known and all but one are 0.
func signalReadings(s Signal, v float64) (r Readings) {
	for i := range r {
		r[i] = Reading{0, true}
	}
	r[s] = Reading{v, true}
	return r
}

// play observes and evaluates ten times a second, and returns the changes.
func play(m *Machine, from, to Time, signal func(Time) Readings) (out []Change) {
	for now := from; now < to; now += 100 {
		m.Observe(now, signal(now))
		if c, ok := m.Evaluate(now); ok {
			out = append(out, c)
		}
	}
	return out
}

// countThresholdChanges counts the level changes of plain thresholds, without hysteresis or dwell times, on the same signal.
func countThresholdChanges(f Config, from, to Time, signal func(Time) Readings) (n int) {
	was := 0
	for now := from; now < to; now += 100 {
		r, rank := signal(now), 0
		for i, l := range f.Levels {
			for _, c := range l.Conditions {
				if r[c.Signal].Value >= c.Enter {
					rank = i
				}
			}
		}
		if rank != was {
			n++
		}
		was = rank
	}
	return n
}

// ranks returns the rank after each change, a digit each.
func ranks(all []Change) string {
	var b strings.Builder
	for _, c := range all {
		fmt.Fprintf(&b, "%d", c.To)
	}
	return b.String()
}

func TestLevelFollowsLostCapacity(t *testing.T) {
	m := New(testConfig(), 0)
	got := play(m, 0, 60_000, func(now Time) Readings {
		if now >= 5000 && now < 20_000 {
			return signalReadings(LostCapacity, 0.25)
		}
		return signalReadings(LostCapacity, 0)
	})
	if ranks(got) != "10" || got[0].At < 6000 || got[0].At > 7000 || got[1].At < 25_000 || got[1].At > 27_000 ||
		!strings.Contains(got[0].Reason, "lost 0.") {
		t.Errorf("changes with a quarter lost: %+v", got)
	}
	// When nearly all servers fail, several levels are skipped on the way down, none on the way up.
	m = New(testConfig(), 0)
	got = play(m, 0, 120_000, func(now Time) Readings {
		if now < 20_000 {
			return signalReadings(LostCapacity, 1)
		}
		return signalReadings(LostCapacity, 0)
	})
	if ranks(got) != "3210" {
		t.Errorf("changes while all servers fail and recover: %s", ranks(got))
	}
	for i := 1; i < len(got); i++ {
		if got[i].At-got[i-1].At < 5000 && got[i-1].To < got[i-1].From {
			t.Errorf("two upgrades within %d ms", got[i].At-got[i-1].At)
		}
	}
}

// Noise at a threshold, and square waves and sawtooths at the dwell times, must cause few changes compared with plain thresholds.
func TestHysteresisLimitsChanges(t *testing.T) {
	f := testConfig()
	rng := rand.New(rand.NewPCG(1, 2))
	noise := make([]float64, 6000)
	for i := range noise {
		noise[i] = rng.NormFloat64()
	}
	for name, signal := range map[string]func(Time) Readings{
		"noise at a threshold":       func(now Time) Readings { return signalReadings(LoadRatio, 0.9+0.1*noise[now/100]) },
		"square wave at the dwell":   func(now Time) Readings { return signalReadings(LoadRatio, 0.5+0.8*float64(now/1100%2)) },
		"square wave at the exit":    func(now Time) Readings { return signalReadings(LoadRatio, 0.5+0.8*float64(now/6500%2)) },
		"sawtooth over all levels":   func(now Time) Readings { return signalReadings(LostCapacity, float64(now%12_000)/12_000) },
		"one query type alone fails": func(now Time) Readings { return signalReadings(LateRatio, 0.3+0.2*noise[now/100]) },
	} {
		t.Run(name, func(t *testing.T) {
			const minutes = 10
			got, base := play(New(f, 0), 0, minutes*minute, signal), countThresholdChanges(f, 0, minutes*minute, signal)
			t.Logf("%d changes in %d minutes, plain thresholds %d", len(got), minutes, base)
			if len(got) > minutes*f.MaxChangesPerMinute() || len(got) > 30 || len(got)*3 > base {
				t.Errorf("%d changes, plain thresholds make %d", len(got), base)
			}
		})
	}
}

// While discovery is down the lost capacity becomes unknown: that must neither hold the level for ever nor lift it at once.
func TestUnknownSignalDelaysExit(t *testing.T) {
	f := testConfig()
	m := New(f, 0)
	got := play(m, 0, 200_000, func(now Time) Readings {
		r := signalReadings(LostCapacity, 0.25)
		if now > 10_000 {
			r[LostCapacity] = Reading{}
		}
		return r
	})
	if ranks(got) != "10" {
		t.Fatalf("changes: %s", ranks(got))
	}
	if after := got[1].At - 10_000; after < missingSignalFactor*f.ExitAfter || after > 2*missingSignalFactor*f.ExitAfter {
		t.Errorf("the level is left %d ms after the signal became unknown", after)
	}
	// A known signal above its exit threshold holds the level, whatever else is unknown.
	m = New(f, 0)
	got = play(m, 0, 600_000, func(now Time) Readings {
		r := signalReadings(LoadRatio, 0.95)
		if now > 10_000 {
			r[LostCapacity] = Reading{}
		}
		return r
	})
	if ranks(got) != "1" {
		t.Errorf("changes under load: %s", ranks(got))
	}
	// No signal was ever known.
	m = New(f, 0)
	if got := play(m, 0, 100_000, func(Time) Readings { return Readings{} }); len(got) > 0 {
		t.Errorf("changes without any known signal: %s", ranks(got))
	}
}

func TestPinExpires(t *testing.T) {
	m := New(testConfig(), 0)
	if m.Pin(9, 1000) {
		t.Error("a level that does not exist was pinned")
	}
	m.Pin(2, 30_000)
	got := play(m, 0, 120_000, func(Time) Readings { return signalReadings(LostCapacity, 0) })
	if ranks(got) != "210" || got[0].Reason != "pinned" || got[1].At < 30_000 {
		t.Errorf("changes after a pin to level 2: %+v", got)
	}
	m.Pin(0, 1<<40)
	if got := play(m, 120_000, 200_000, func(Time) Readings { return signalReadings(LostCapacity, 1) }); len(got) > 0 {
		t.Errorf("changes while pinned to full service: %s", ranks(got))
	}
	m.Unpin()
	if got := play(m, 200_000, 210_000, func(Time) Readings { return signalReadings(LostCapacity, 1) }); ranks(got) != "3" {
		t.Errorf("changes after unpinning: %s", ranks(got))
	}
}

// A reload at a reduced level keeps the level of the same name and the smoothed signals.
func TestReconfigureKeepsLevelByName(t *testing.T) {
	m := New(testConfig(), 0)
	play(m, 0, 10_000, func(Time) Readings { return signalReadings(LostCapacity, 0.35) })
	if m.Level().Name != "essential" {
		t.Fatal(m.Level().Name)
	}
	f := testConfig()
	f.Levels = append(f.Levels[:1], f.Levels[2:]...)
	m.Reconfigure(f)
	if m.Level().Name != "essential" || m.Rank() != 1 {
		t.Errorf("%s, rank %d", m.Level().Name, m.Rank())
	}
	if got := play(m, 10_000, 60_000, func(Time) Readings { return signalReadings(LostCapacity, 0.35) }); len(got) > 0 {
		t.Errorf("changes after the reload: %s", ranks(got))
	}
	f.Levels = f.Levels[:1]
	m.Reconfigure(f)
	if m.Rank() != 0 {
		t.Errorf("rank %d, want 0 where only full service is left", m.Rank())
	}
}

// A clock that steps back changes nothing by itself.
func TestBackwardClockStepChangesNothing(t *testing.T) {
	m := New(testConfig(), 1_000_000)
	play(m, 1_000_000, 1_010_000, func(Time) Readings { return signalReadings(LostCapacity, 0.2) })
	if m.Rank() != 1 {
		t.Fatal(m.Rank())
	}
	if got := play(m, 0, 100_000, func(Time) Readings { return signalReadings(LostCapacity, 0) }); len(got) > 0 {
		t.Errorf("changes with the clock set back: %s", ranks(got))
	}
}

// On random traces the number of changes a minute stays within its bound, no level is skipped on the way up, and clear or unknown
// signals lead back to full service within a bounded time.
func TestRandomTracesKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := testConfig()
		if rapid.Bool().Draw(t, "quick") { // the dwell times alone would not limit the changes
			f.SmoothingTime, f.EnterAfter, f.ExitAfter, f.MaxBackoff = 0, 0, 100, 1
		}
		m := New(f, 0)
		var all []Change
		now := Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "stretches") {
			var r Readings
			for s := range r {
				value := rapid.SampledFrom([]float64{0, 0.05, 0.12, 0.25, 0.35, 0.75, 0.95, 1.3, math.Inf(1)}).Draw(t, "value")
				r[s] = Reading{value, rapid.IntRange(0, 5).Draw(t, "known") > 0}
			}
			end := now + Time(rapid.IntRange(1, 200).Draw(t, "tenths"))*100
			all = append(all, play(m, now, end, func(Time) Readings { return r })...)
			now = end
		}
		for i, c := range all {
			if c.To < c.From-1 {
				t.Fatalf("a level is skipped on the way up: %+v", c)
			}
			in := 0
			for _, d := range all[i:] {
				if d.At < c.At+60*Second {
					in++
				}
			}
			if in > f.MaxChangesPerMinute() {
				t.Fatalf("%d changes in a minute, at most %d are promised", in, f.MaxChangesPerMinute())
			}
		}
		clear := signalReadings(LostCapacity, 0)
		if rapid.Bool().Draw(t, "missing") {
			clear = Readings{}
		}
		bound := Time(len(f.Levels))*missingSignalFactor*f.ExitAfter*Time(f.MaxBackoff) + 60*Second*Time(len(f.Levels))
		for end := now + bound; now < end && m.Rank() > 0; now += 1000 {
			m.Observe(now, clear)
			m.Evaluate(now)
		}
		if m.Rank() > 0 {
			t.Fatalf("full service is not reached from %s", m.Level().Name)
		}
	})
}

// From every combination of rank, signal and backoff full service can be reached, and so can each level.
func TestEveryStateRecovers(t *testing.T) {
	f := testConfig()
	values := []float64{0, 0.12, 0.25, 0.35, 0.95}
	reached := map[Rank]bool{}
	for rank := range f.Levels {
		for backoff := 1; backoff <= f.MaxBackoff; backoff *= 2 {
			for _, v := range values {
				for _, unknown := range []bool{false, true} {
					m := New(f, 0)
					m.rank, m.backoff, m.backoffChangedAt = Rank(rank), backoff, 0
					play(m, 0, 20_000, func(Time) Readings { return signalReadings(LostCapacity, v) })
					reached[m.Rank()] = true
					out := signalReadings(LostCapacity, 0)
					if unknown {
						out = Readings{}
					}
					now := Time(20_000)
					for ; m.Rank() > 0 && now < 3_000_000; now += 1000 {
						m.Observe(now, out)
						m.Evaluate(now)
					}
					if m.Rank() > 0 {
						t.Fatalf("rank %d, backoff %d, signal %g, unknown %t: full service is not reached", rank, backoff, v, unknown)
					}
				}
			}
		}
	}
	if len(reached) != len(f.Levels) {
		t.Errorf("levels reached: %v", reached)
	}
}
