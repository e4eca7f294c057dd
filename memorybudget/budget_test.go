package memorybudget

import (
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// referenceCanReserve is a ledger by the definition alone: what is free for an account is what the others neither hold nor are owed.
func referenceCanReserve(f Options, held [AccountCount]Bytes, a Account, n Bytes) bool {
	sum, reserved := Bytes(0), Bytes(0)
	for b := range AccountCount {
		h := held[b]
		if b == a {
			h += n
		}
		sum += h
		reserved += max(h, f.Limits[b].Reserved)
	}
	if m := f.Limits[a].Max; m > 0 && held[a]+n > m {
		return false
	}
	if f.MaxTotal <= 0 {
		return true
	}
	within := held[a]+n <= f.Limits[a].Reserved
	return sum <= f.MaxTotal && (within || reserved <= f.MaxTotal)
}

func TestReserveMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Options
		f.MaxTotal = Bytes(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "most"))
		for a := range AccountCount {
			f.Limits[a].Reserved = Bytes(rapid.IntRange(0, 12).Draw(t, "least"))
			f.Limits[a].Max = Bytes(rapid.SampledFrom([]int{0, 40, 300}).Draw(t, "most of one"))
		}
		l := New(f, nil)
		var held [AccountCount]Bytes
		forced := false
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a := Account(rapid.IntRange(0, int(AccountCount)-1).Draw(t, "account"))
			n := Bytes(rapid.IntRange(0, 60).Draw(t, "bytes"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				want := referenceCanReserve(f, held, a, n)
				if got := l.Reserve(a, n); got != want {
					t.Fatalf("take %d for %s with %v held: %t, by definition %t", n, a, held, got, want)
				}
				if want {
					held[a] += n
				}
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "may not be refused") == 0 {
					l.ForceReserve(a, n)
					held[a] += n
					forced = true
				}
			case 6:
				n = min(n, held[a])
				b := Account(rapid.IntRange(0, int(AccountCount)-1).Draw(t, "to"))
				l.Transfer(a, b, n)
				held[a] -= n
				held[b] += n
			default:
				n = min(n, held[a])
				l.Release(a, n)
				held[a] -= n
			}
			s := l.Snapshot()
			sum := Bytes(0)
			for _, h := range held {
				sum += h
			}
			if s.Used != held || s.Total != sum || s.Peak < sum {
				t.Fatalf("%+v, want %v held", s, held)
			}
			if !forced && f.MaxTotal > 0 && s.Total > f.MaxTotal {
				t.Fatalf("%d held of %d, and nothing was forced", s.Total, f.MaxTotal)
			}
		}
	})
}

// Whoever has a floor gets it, whatever the others took before.
func TestReservedBytesAreAvailable(t *testing.T) {
	f := Options{MaxTotal: 1000}
	f.Limits[Bodies].Reserved, f.Limits[Answers].Reserved = 100, 50
	l := New(f, nil)
	for l.Reserve(Merges, 7) {
	}
	if held := l.Snapshot().Used[Merges]; held < 840 || held > 850 {
		t.Errorf("merges took %d of 1000 with 150 owed to others", held)
	}
	if l.Reserve(ActiveConns, 10) {
		t.Error("an account without a floor took what is owed to others")
	}
	if !l.Reserve(Bodies, 100) || !l.Reserve(Answers, 50) {
		t.Errorf("floors are gone: %+v", l.Snapshot())
	}
	if l.Reserve(Bodies, 10) || l.Snapshot().Rejections[Bodies] != 1 {
		t.Errorf("past its floor: %+v", l.Snapshot())
	}
	// What was forced past the limit uses floors up too: the limit is the machine's.
	l.Release(Bodies, 100)
	l.ForceReserve(ServerConns, 200)
	if l.Reserve(Bodies, 60) {
		t.Errorf("taken past the limit: %+v", l.Snapshot())
	}
	if s := l.Snapshot(); s.MaxOvercommit != s.Total-1000 || s.MaxOvercommit <= 0 {
		t.Errorf("forced: %+v", s)
	}
}

func TestPressureHysteresis(t *testing.T) {
	var turns []Pressure
	l := New(Options{MaxTotal: 1000}, func(_, to Pressure, s Snapshot) {
		if s.Pressure != to {
			t.Errorf("told %s with %+v", to, s)
		}
		turns = append(turns, to)
	})
	l.ForceReserve(Requests, 800)
	for range 500 { // 80% to 95%: hovers over the mark
		l.ForceReserve(Requests, 150)
		l.Release(Requests, 150)
	}
	if want := []Pressure{PressureHigh}; !slices.Equal(turns, want) {
		t.Errorf("changes at one mark: %v, want %v", turns, want)
	}
	l.ForceReserve(Requests, 180)
	for range 500 { // 92% to 98%
		l.Release(Requests, 60)
		l.ForceReserve(Requests, 60)
	}
	l.Release(Requests, 280)
	l.Release(Requests, 50)
	if want := []Pressure{PressureHigh, PressureCritical, PressureHigh, PressureNone}; !slices.Equal(turns, want) {
		t.Errorf("changes: %v, want %v", turns, want)
	}
	l.SetOptions(Options{MaxTotal: 650}) // it holds exactly that
	if l.Pressure() != PressureCritical {
		t.Errorf("a lower limit: %s", l.Pressure())
	}
	l.SetOptions(Options{})
	if l.Pressure() != PressureNone {
		t.Errorf("no limit: %s", l.Pressure())
	}
}

func TestConcurrentUseReleasesAll(t *testing.T) {
	var mu sync.Mutex
	last := PressureNone
	l := New(Options{MaxTotal: 5000}, func(from, to Pressure, _ Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		if from != last {
			t.Errorf("told of %s after %s", from, last)
		}
		last = to
	})
	var all sync.WaitGroup
	for g := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			a := Account(g) % AccountCount
			for i := range 2000 {
				n := Bytes(i%900) + 1
				if l.Reserve(a, n) {
					l.Release(a, n)
				}
			}
		}()
	}
	all.Wait()
	if s := l.Snapshot(); s.Total != 0 || s.Used != [AccountCount]Bytes{} || s.Peak > 5000 || s.Pressure != PressureNone {
		t.Errorf("left behind: %+v", s)
	}
}

func TestSizeEstimator(t *testing.T) {
	e := NewSizeEstimator(2, 512)
	if e.Estimate(0) != 512 || e.Estimate(7) != 512 {
		t.Error("nothing has been seen")
	}
	for range 200 {
		e.Observe(0, 1000)
	}
	if got := e.Estimate(0); got < 1000 || got > 1010 {
		t.Errorf("values of 1000 bytes: %d set aside", got)
	}
	short, all := Bytes(0), Bytes(0)
	for i := range 1000 { // nine of ten are short, one is long
		n := Bytes(1000)
		if i%10 == 0 {
			n = 4000
		}
		if i > 100 {
			short += max(n-e.Estimate(0), 0)
			all += n
		}
		e.Observe(0, n)
	}
	if short*20 > all {
		t.Errorf("%d of %d bytes came beyond what was set aside", short, all)
	}
	for range 400 {
		e.Observe(0, 100)
	}
	if got := e.Estimate(0); got > 150 {
		t.Errorf("long after the last long value %d bytes are set aside", got)
	}
	if e.Estimate(1) != 512 {
		t.Error("one type's values count for another")
	}
	e.Observe(-1, 5)
	e.Observe(9, 5)
}

func BenchmarkReserveRelease(b *testing.B) {
	var f Options
	f.MaxTotal = 1 << 30
	l := New(f, nil)
	b.ReportAllocs()
	for b.Loop() {
		if l.Reserve(Bodies, 1000) {
			l.Release(Bodies, 1000)
		}
	}
}

func TestDefaultOptions(t *testing.T) {
	if TotalFor(0) != 0 || TotalFor(48<<20) != 16<<20 || TotalFor(1<<20) != minTotal {
		t.Error("the sum of a memory")
	}
	if f := DefaultOptions(0, 99); f.MaxTotal != 0 || f.Limits != ([AccountCount]Limit{Bodies: {Max: 99}}) {
		t.Errorf("no sum: %+v", f)
	}
	f, floors := DefaultOptions(1<<20, 1<<30), Bytes(0)
	for _, s := range f.Limits {
		floors += s.Reserved
	}
	if f.Limits[Bodies].Max != 1<<19 || floors <= 0 || floors > f.MaxTotal/2 {
		t.Errorf("a sum: %+v", f)
	}
}
