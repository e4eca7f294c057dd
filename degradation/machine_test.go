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

// signalReadings returns readings in which signal s has value v and all others are known to be 0.
func signalReadings(s Signal, v float64) (r Readings) {
	for i := range r {
		r[i] = Reading{0, true}
	}
	r[s] = Reading{v, true}
	return r
}

// run passes the signals to a machine ten times per second of simulated time and returns the changes of level.
func run(m *Machine, from, to Time, signals func(Time) Readings) (changes []Change) {
	for now := from; now < to; now += 100 {
		m.Observe(now, signals(now))
		if c, ok := m.Evaluate(now); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// countPlainThresholdChanges counts the level changes that the entry thresholds alone, without hysteresis or dwell times,
// cause on the same signals.
func countPlainThresholdChanges(config Config, from, to Time, signals func(Time) Readings) (n int) {
	previous := 0
	for now := from; now < to; now += 100 {
		r, rank := signals(now), 0
		for i, l := range config.Levels {
			for _, c := range l.Conditions {
				if r[c.Signal].Value >= c.Enter {
					rank = i
				}
			}
		}
		if rank != previous {
			n++
		}
		previous = rank
	}
	return n
}

// ranks returns the rank after each change as one digit.
func ranks(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%d", c.To)
	}
	return b.String()
}

func TestLevelFollowsLostCapacity(t *testing.T) {
	m := New(testConfig(), 0)
	got := run(m, 0, 60_000, func(now Time) Readings {
		if now >= 5000 && now < 20_000 {
			return signalReadings(LostCapacity, 0.25)
		}
		return signalReadings(LostCapacity, 0)
	})
	if ranks(got) != "10" || got[0].At < 6000 || got[0].At > 7000 || got[1].At < 25_000 || got[1].At > 27_000 ||
		!strings.Contains(got[0].Reason, "lost 0.") {
		t.Errorf("changes while a quarter of the capacity is lost: %+v, want ranks 1 and 0", got)
	}
	// When all servers fail, the machine goes directly to the worst level, and it returns one rank at a time.
	m = New(testConfig(), 0)
	got = run(m, 0, 120_000, func(now Time) Readings {
		if now < 20_000 {
			return signalReadings(LostCapacity, 1)
		}
		return signalReadings(LostCapacity, 0)
	})
	if ranks(got) != "3210" {
		t.Errorf("ranks while all servers fail and recover: %s, want 3210", ranks(got))
	}
	for i := 1; i < len(got); i++ {
		if got[i].At-got[i-1].At < 5000 && got[i-1].To < got[i-1].From {
			t.Errorf("an upgrade follows another after %d ms, want at least 5000", got[i].At-got[i-1].At)
		}
	}
}

// Noise at a threshold, and square and sawtooth waves with periods near the dwell times, must cause at most a third of the
// changes of level that thresholds without hysteresis and dwell times cause.
func TestHysteresisLimitsChanges(t *testing.T) {
	config := testConfig()
	rng := rand.New(rand.NewPCG(1, 2))
	noise := make([]float64, 6000)
	for i := range noise {
		noise[i] = rng.NormFloat64()
	}
	for name, signals := range map[string]func(Time) Readings{
		"noise at a threshold":       func(now Time) Readings { return signalReadings(LoadRatio, 0.9+0.1*noise[now/100]) },
		"square wave at the dwell":   func(now Time) Readings { return signalReadings(LoadRatio, 0.5+0.8*float64(now/1100%2)) },
		"square wave at the exit":    func(now Time) Readings { return signalReadings(LoadRatio, 0.5+0.8*float64(now/6500%2)) },
		"sawtooth over all levels":   func(now Time) Readings { return signalReadings(LostCapacity, float64(now%12_000)/12_000) },
		"one query type alone fails": func(now Time) Readings { return signalReadings(LateRatio, 0.3+0.2*noise[now/100]) },
	} {
		t.Run(name, func(t *testing.T) {
			const minutes = 10
			got, plain := run(New(config, 0), 0, minutes*minute, signals), countPlainThresholdChanges(config, 0, minutes*minute, signals)
			t.Logf("%d changes in %d minutes, plain thresholds %d", len(got), minutes, plain)
			if len(got) > minutes*config.MaxChangesPerMinute() || len(got) > 30 || len(got)*3 > plain {
				t.Errorf("%d changes, plain thresholds cause %d", len(got), plain)
			}
		})
	}
}

// While the discovery service is unavailable the lost capacity becomes unknown. That must neither hold the level forever nor
// end it at once.
func TestUnknownSignalDelaysExit(t *testing.T) {
	config := testConfig()
	m := New(config, 0)
	got := run(m, 0, 200_000, func(now Time) Readings {
		r := signalReadings(LostCapacity, 0.25)
		if now > 10_000 {
			r[LostCapacity] = Reading{}
		}
		return r
	})
	if ranks(got) != "10" {
		t.Fatalf("ranks: %s, want 10", ranks(got))
	}
	if after := got[1].At - 10_000; after < missingSignalFactor*config.ExitAfter || after > 2*missingSignalFactor*config.ExitAfter {
		t.Errorf("the level is left %d ms after the last known reading", after)
	}
	// A known signal above its exit threshold holds the level, whatever else is unknown.
	m = New(config, 0)
	got = run(m, 0, 600_000, func(now Time) Readings {
		r := signalReadings(LoadRatio, 0.95)
		if now > 10_000 {
			r[LostCapacity] = Reading{}
		}
		return r
	})
	if ranks(got) != "1" {
		t.Errorf("ranks under load: %s, want 1", ranks(got))
	}
	// A machine without any known signal does not change its level.
	m = New(config, 0)
	if got := run(m, 0, 100_000, func(Time) Readings { return Readings{} }); len(got) > 0 {
		t.Errorf("ranks without any known signal: %s, want no change", ranks(got))
	}
}

func TestPinExpires(t *testing.T) {
	m := New(testConfig(), 0)
	if m.Pin(9, 1000) {
		t.Error("Pin accepts a rank without a level")
	}
	m.Pin(2, 30_000)
	got := run(m, 0, 120_000, func(Time) Readings { return signalReadings(LostCapacity, 0) })
	if ranks(got) != "210" || got[0].Reason != "pinned" || got[1].At < 30_000 {
		t.Errorf("changes after a pin to rank 2: %+v, want ranks 2, 1 and 0", got)
	}
	m.Pin(0, 1<<40)
	if got := run(m, 120_000, 200_000, func(Time) Readings { return signalReadings(LostCapacity, 1) }); len(got) > 0 {
		t.Errorf("ranks while pinned to full service: %s, want no change", ranks(got))
	}
	m.Unpin()
	if got := run(m, 200_000, 210_000, func(Time) Readings { return signalReadings(LostCapacity, 1) }); ranks(got) != "3" {
		t.Errorf("ranks after unpinning: %s, want 3", ranks(got))
	}
}

// A reload at a reduced level keeps the level with the same name and the smoothed signals.
func TestReconfigureKeepsLevelByName(t *testing.T) {
	m := New(testConfig(), 0)
	run(m, 0, 10_000, func(Time) Readings { return signalReadings(LostCapacity, 0.35) })
	if m.Level().Name != "essential" {
		t.Fatal(m.Level().Name)
	}
	config := testConfig()
	config.Levels = append(config.Levels[:1], config.Levels[2:]...)
	m.Reconfigure(config)
	if m.Level().Name != "essential" || m.Rank() != 1 {
		t.Errorf("level %s with rank %d after the reload, want essential with rank 1", m.Level().Name, m.Rank())
	}
	if got := run(m, 10_000, 60_000, func(Time) Readings { return signalReadings(LostCapacity, 0.35) }); len(got) > 0 {
		t.Errorf("ranks after the reload: %s, want no change", ranks(got))
	}
	config.Levels = config.Levels[:1]
	m.Reconfigure(config)
	if m.Rank() != 0 {
		t.Errorf("rank %d, want 0 after a reload that leaves only full service", m.Rank())
	}
}

// A backward step of the clock does not change the level.
func TestBackwardClockStepChangesNothing(t *testing.T) {
	m := New(testConfig(), 1_000_000)
	run(m, 1_000_000, 1_010_000, func(Time) Readings { return signalReadings(LostCapacity, 0.2) })
	if m.Rank() != 1 {
		t.Fatal(m.Rank())
	}
	if got := run(m, 0, 100_000, func(Time) Readings { return signalReadings(LostCapacity, 0) }); len(got) > 0 {
		t.Errorf("ranks after the clock was set back: %s, want no change", ranks(got))
	}
}

// On random traces the number of changes in any minute stays within MaxChangesPerMinute, upgrades skip no level, and signals
// that are clear or unknown lead back to full service within a bounded time.
func TestRandomTracesKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		if rapid.Bool().Draw(t, "short dwell times") { // so that the dwell times do not limit the changes
			config.SmoothingTime, config.EnterAfter, config.ExitAfter, config.MaxBackoff = 0, 0, 100, 1
		}
		m := New(config, 0)
		var changes []Change
		now := Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "stretches") {
			var r Readings
			for s := range r {
				value := rapid.SampledFrom([]float64{0, 0.05, 0.12, 0.25, 0.35, 0.75, 0.95, 1.3, math.Inf(1)}).Draw(t, "value")
				r[s] = Reading{value, rapid.IntRange(0, 5).Draw(t, "known") > 0}
			}
			end := now + Time(rapid.IntRange(1, 200).Draw(t, "tenths"))*100
			changes = append(changes, run(m, now, end, func(Time) Readings { return r })...)
			now = end
		}
		for i, c := range changes {
			if c.To < c.From-1 {
				t.Fatalf("an upgrade skips a level: %+v", c)
			}
			inMinute := 0
			for _, d := range changes[i:] {
				if d.At < c.At+60*Second {
					inMinute++
				}
			}
			if inMinute > config.MaxChangesPerMinute() {
				t.Fatalf("%d changes in a minute, want at most MaxChangesPerMinute = %d", inMinute, config.MaxChangesPerMinute())
			}
		}
		clearReadings := signalReadings(LostCapacity, 0)
		if rapid.Bool().Draw(t, "missing") {
			clearReadings = Readings{}
		}
		bound := Time(len(config.Levels))*missingSignalFactor*config.ExitAfter*Time(config.MaxBackoff) + 60*Second*Time(len(config.Levels))
		for end := now + bound; now < end && m.Rank() > 0; now += 1000 {
			m.Observe(now, clearReadings)
			m.Evaluate(now)
		}
		if m.Rank() > 0 {
			t.Fatalf("full service is not reached; level %s", m.Level().Name)
		}
	})
}

// From every combination of rank, backoff and signal value the machine returns to full service once the signals are clear or
// unknown, and together the combinations reach every level.
func TestEveryStateReturnsToFullService(t *testing.T) {
	config := testConfig()
	values := []float64{0, 0.12, 0.25, 0.35, 0.95}
	reached := map[Rank]bool{}
	for rank := range config.Levels {
		for backoff := 1; backoff <= config.MaxBackoff; backoff *= 2 {
			for _, v := range values {
				for _, unknown := range []bool{false, true} {
					m := New(config, 0)
					m.rank, m.backoff, m.backoffChangedAt = Rank(rank), backoff, 0
					run(m, 0, 20_000, func(Time) Readings { return signalReadings(LostCapacity, v) })
					reached[m.Rank()] = true
					readings := signalReadings(LostCapacity, 0)
					if unknown {
						readings = Readings{}
					}
					now := Time(20_000)
					for ; m.Rank() > 0 && now < 3_000_000; now += 1000 {
						m.Observe(now, readings)
						m.Evaluate(now)
					}
					if m.Rank() > 0 {
						t.Fatalf("rank %d, backoff %d, signal %g, unknown %t: full service is not reached", rank, backoff, v, unknown)
					}
				}
			}
		}
	}
	if len(reached) != len(config.Levels) {
		t.Errorf("ranks reached: %v, want all", reached)
	}
}
