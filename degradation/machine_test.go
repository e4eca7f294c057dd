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
	return Config{SmoothingTime: 500, EnterAfter: 1000, ExitAfter: 5000, FlapWindow: 60_000, MaxBackoff: 16, MaxUpgradesPerMinute: 4, StaleAfter: 3000, RampUp: 2000,
		Levels: []Level{{Name: "full"},
			{Name: "trimmed", Conditions: []Condition{{LostCapacity, 0.15, 0.1}, {LoadRatio, 0.9, 0.7}, {LateRatio, 0.2, 0.1}, {StoreUnavailable, 0.5, 0.4}}, Policy: Policy{ServedShares: []float64{1, 0.5}, RetryAfter: 1000}},
			{Name: "essential", Conditions: []Condition{{LostCapacity, 0.3, 0.2}, {LoadRatio, 1.2, 0.8}, {LateRatio, 0.4, 0.2}}, Policy: Policy{ServedShares: []float64{1, 0}, RetryAfter: 2000}},
			{Name: "closed", Conditions: []Condition{{LostCapacity, 0.9, 0.7}}, Policy: Policy{ServedShares: []float64{0, 0}, RetryAfter: 5000}}}}
}

func signalReadings(s Signal, v float64) (r Readings) {
	for i := range r {
		r[i] = Reading{0, true}
	}
	r[s] = Reading{v, true}
	return r
}

// play feeds a signal for some time, ten times a second, and lists the changes.
func play(m *Machine, from, to Time, signal func(Time) Readings) (out []Change) {
	for now := from; now < to; now += 100 {
		m.Observe(now, signal(now))
		if c, ok := m.Evaluate(now); ok {
			out = append(out, c)
		}
	}
	return out
}

// countThresholdChanges counts the changes of plain thresholds on the same signal: a level while its entry holds.
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
	if ranks(got) != "10" || got[0].At < 6000 || got[0].At > 7000 || !strings.Contains(got[0].Reason, "lost 0.") || got[1].At < 25_000 || got[1].At > 27_000 {
		t.Errorf("changes: %+v", got)
	}
	// Nearly all at once: several levels down in one step, then up one by one.
	m = New(testConfig(), 0)
	got = play(m, 0, 120_000, func(now Time) Readings {
		if now < 20_000 {
			return signalReadings(LostCapacity, 1)
		}
		return signalReadings(LostCapacity, 0)
	})
	if ranks(got) != "3210" {
		t.Errorf("all dead, and back: %s", ranks(got))
	}
	for i := 1; i < len(got); i++ {
		if got[i].At-got[i-1].At < 5000 && got[i-1].To < got[i-1].From {
			t.Errorf("two steps up within %d ms", got[i].At-got[i-1].At)
		}
	}
}

// Load that hovers at a boundary, square waves and sawtooths at the dwell times: few changes, against plain thresholds.
func TestHysteresisLimitsChanges(t *testing.T) {
	f := testConfig()
	rng := rand.New(rand.NewPCG(1, 2))
	noise := make([]float64, 6000)
	for i := range noise {
		noise[i] = rng.NormFloat64()
	}
	for name, signal := range map[string]func(Time) Readings{
		"hovers at a boundary":       func(now Time) Readings { return signalReadings(LoadRatio, 0.9+0.1*noise[now/100]) },
		"square wave at the dwell":   func(now Time) Readings { return signalReadings(LoadRatio, 0.5+0.8*float64(now/1100%2)) },
		"square wave at the exit":    func(now Time) Readings { return signalReadings(LoadRatio, 0.5+0.8*float64(now/6500%2)) },
		"sawtooth over all levels":   func(now Time) Readings { return signalReadings(LostCapacity, float64(now%12_000)/12_000) },
		"one query type alone fails": func(now Time) Readings { return signalReadings(LateRatio, 0.3+0.2*noise[now/100]) },
	} {
		const minutes = 10
		got, base := play(New(f, 0), 0, minutes*60_000, signal), countThresholdChanges(f, 0, minutes*60_000, signal)
		t.Logf("%s: %d changes in %d minutes, plain thresholds %d", name, len(got), minutes, base)
		if len(got) > minutes*f.MaxChangesPerMinute() || len(got) > 30 || len(got)*3 > base {
			t.Errorf("%s: %d changes, plain thresholds make %d", name, len(got), base)
		}
	}
}

// While the directory is out its age says nothing, and what it said of lost servers grows stale: that neither locks the level
// nor lifts it at once.
func TestUnknownSignalDelaysExit(t *testing.T) {
	f := testConfig()
	m := New(f, 0)
	got := play(m, 0, 200_000, func(now Time) Readings {
		r := signalReadings(LostCapacity, 0.25)
		if now > 10_000 {
			r[LostCapacity] = Reading{} // nobody knows
		}
		return r
	})
	if ranks(got) != "10" {
		t.Fatalf("changes: %s", ranks(got))
	}
	if after := got[1].At - 10_000; after < missingSignalFactor*f.ExitAfter || after > 2*missingSignalFactor*f.ExitAfter {
		t.Errorf("it is lifted %d ms after the news stopped", after)
	}
	// A known signal that still calls for it holds it, whatever is not known.
	m = New(f, 0)
	got = play(m, 0, 600_000, func(now Time) Readings {
		r := signalReadings(LoadRatio, 0.95)
		if now > 10_000 {
			r[LostCapacity] = Reading{}
		}
		return r
	})
	if ranks(got) != "1" {
		t.Errorf("under load: %s", ranks(got))
	}
	// All signals gone at once, or never there.
	m = New(f, 0)
	if got := play(m, 0, 100_000, func(Time) Readings { return Readings{} }); len(got) > 0 {
		t.Errorf("nothing known: %s", ranks(got))
	}
}

func TestPinExpires(t *testing.T) {
	m := New(testConfig(), 0)
	if m.Pin(9, 1000) {
		t.Error("there is no level 9")
	}
	m.Pin(2, 30_000)
	got := play(m, 0, 120_000, func(Time) Readings { return signalReadings(LostCapacity, 0) })
	if ranks(got) != "210" || got[0].Reason != "pinned" || got[1].At < 30_000 {
		t.Errorf("a pin left over: %+v", got)
	}
	m.Pin(0, 1<<40)
	if got := play(m, 120_000, 200_000, func(Time) Readings { return signalReadings(LostCapacity, 1) }); len(got) > 0 {
		t.Errorf("pinned to full: %s", ranks(got))
	}
	m.Unpin()
	if got := play(m, 200_000, 210_000, func(Time) Readings { return signalReadings(LostCapacity, 1) }); ranks(got) != "3" {
		t.Errorf("unpinned: %s", ranks(got))
	}
}

// A reload while a level is in force: the level of the same name stays, and signals go on as they were.
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
		t.Errorf("then: %s", ranks(got))
	}
	f.Levels = f.Levels[:1]
	m.Reconfigure(f)
	if m.Rank() != 0 {
		t.Error("no other level is left")
	}
}

// A clock that steps back or far ahead changes nothing by itself.
func TestBackwardClockStepChangesNothing(t *testing.T) {
	m := New(testConfig(), 1_000_000)
	play(m, 1_000_000, 1_010_000, func(Time) Readings { return signalReadings(LostCapacity, 0.2) })
	if m.Rank() != 1 {
		t.Fatal(m.Rank())
	}
	if got := play(m, 0, 100_000, func(Time) Readings { return signalReadings(LostCapacity, 0) }); len(got) > 0 {
		t.Errorf("with the clock back: %s", ranks(got))
	}
}

// For any trace: no more changes in a minute than stated, none skips a level on the way up, and from wherever it ends, clear
// signals lead back to full service in a bounded time, and missing ones too.
func TestRandomTracesKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := testConfig()
		if rapid.Bool().Draw(t, "quick") { // dwell times alone would let it change all the time
			f.SmoothingTime, f.EnterAfter, f.ExitAfter, f.MaxBackoff = 0, 0, 100, 1
		}
		m := New(f, 0)
		var all []Change
		now := Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "stretches") {
			var r Readings
			for s := range r {
				r[s] = Reading{rapid.SampledFrom([]float64{0, 0.05, 0.12, 0.25, 0.35, 0.75, 0.95, 1.3, math.Inf(1)}).Draw(t, "value"), rapid.IntRange(0, 5).Draw(t, "known") > 0}
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
				t.Fatalf("%d changes in a minute, %d are stated", in, f.MaxChangesPerMinute())
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
			t.Fatalf("no way back from %s", m.Level().Name)
		}
	})
}

// All states of a coarse model, ranks by signals by backing off: from each of them full service can be reached, and so can each
// level.
func TestEveryStateRecovers(t *testing.T) {
	f := testConfig()
	values := []float64{0, 0.12, 0.25, 0.35, 0.95}
	reached := map[Rank]bool{}
	for rank := range f.Levels {
		for backoff := 1; backoff <= f.MaxBackoff; backoff *= 2 {
			for _, v := range values {
				for _, blinded := range []bool{false, true} {
					m := New(f, 0)
					m.rank, m.backoff, m.backoffChangedAt = Rank(rank), backoff, 0
					play(m, 0, 20_000, func(Time) Readings { return signalReadings(LostCapacity, v) })
					reached[m.Rank()] = true
					out := signalReadings(LostCapacity, 0)
					if blinded {
						out = Readings{}
					}
					now := Time(20_000)
					for ; m.Rank() > 0 && now < 3_000_000; now += 1000 {
						m.Observe(now, out)
						m.Evaluate(now)
					}
					if m.Rank() > 0 {
						t.Fatalf("rank %d, backed off %d times, %g, blind %t: no way out", rank, backoff, v, blinded)
					}
				}
			}
		}
	}
	if len(reached) != len(f.Levels) {
		t.Errorf("reached: %v", reached)
	}
}

func TestGateIsFairAndSpreadsRetryAfter(t *testing.T) {
	f := testConfig()
	m := New(f, 0)
	g := NewGate(m, 2, 2)
	if ok, _ := g.Admit(0, 0, 1, 0); !ok {
		t.Error("full service sheds")
	}
	for _, c := range play(m, 0, 10_000, func(Time) Readings { return signalReadings(LostCapacity, 0.2) }) {
		g.HandleChange(c)
	}
	served, advice := [3]int{}, map[Time]int{}
	for i := range 3000 { // one customer sends ten times what the other does
		customer := 0
		if i%11 == 10 {
			customer = 1
		}
		if i%100 == 99 {
			customer = 7 // unknown
		}
		ok, after := g.Admit(10_000, 0, 1, customer)
		if ok {
			served[min(customer, 2)]++
		} else {
			advice[after/100]++
			if after < 1000 || after >= 2000 {
				t.Fatalf("advice %d", after)
			}
		}
		if ok, _ := g.Admit(10_000, 0, 0, customer); !ok {
			t.Fatal("a look-up is shed")
		}
	}
	if served[0] < 1300 || served[0] > 1400 || served[1] < 130 || served[1] > 142 || served[2] < 14 {
		t.Errorf("half of each customer's: %v", served)
	}
	for tenth, n := range advice {
		if n > 2*1500/10 {
			t.Errorf("%d are told to come back after %d ms", n, tenth*100)
		}
	}
	// A segment that is worse off is served by its own level; the others by theirs.
	if ok, after := g.Admit(10_000, 3, 0, 0); ok || after < 5000 {
		t.Errorf("a segment with nothing left: %t, %d", ok, after)
	}
	// A step up widens slowly.
	back := play(m, 10_000, 30_000, func(Time) Readings { return signalReadings(LostCapacity, 0) })
	for _, c := range back {
		g.HandleChange(c)
	}
	at := back[len(back)-1].At
	if a, b, c := g.Share(at, 1), g.Share(at+f.RampUp/2, 1), g.Share(at+f.RampUp, 1); a != 0.5 || b != 0.75 || c != 1 {
		t.Errorf("shares after a step up: %g, %g, %g", a, b, c)
	}
}

func TestValidateReportsProblems(t *testing.T) {
	if bad := testConfig().Validate(); len(bad) > 0 {
		t.Error(bad)
	}
	for what, change := range map[string]func(*Config){
		"no level":           func(f *Config) { f.Levels = nil },
		"twice":              func(f *Config) { f.Levels[1].Name = "full" },
		"never entered":      func(f *Config) { f.Levels[2].Conditions = nil },
		"not under the":      func(f *Config) { f.Levels[1].Conditions[0].Exit = 0.5 },
		"has conditions":     func(f *Config) { f.Levels[0].Conditions = f.Levels[1].Conditions },
		"serves more":        func(f *Config) { f.Levels[3].Policy.ServedShares = []float64{0, 1} },
		"a time or a number": func(f *Config) { f.MaxUpgradesPerMinute = 0 },
	} {
		f := testConfig()
		f.Levels = append([]Level(nil), f.Levels...)
		change(&f)
		if bad := f.Validate(); len(bad) == 0 || !strings.Contains(strings.Join(bad, ";"), what) {
			t.Errorf("%s: %v", what, bad)
		}
	}
	if s, ok := ParseSignal("list_age"); !ok || s != ServerListAge {
		t.Error("list_age")
	}
	if _, ok := ParseSignal("weather"); ok {
		t.Error("weather")
	}
}
