package memorybudget

import (
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// referenceCanReserve is the definition of Reserve: free for an account is what the others neither use nor have reserved.
func referenceCanReserve(options Options, used [AccountCount]Bytes, a Account, n Bytes) bool {
	sum, reserved := Bytes(0), Bytes(0)
	for b := range AccountCount {
		h := used[b]
		if b == a {
			h += n
		}
		sum += h
		reserved += max(h, options.Limits[b].Reserved)
	}
	if m := options.Limits[a].Max; m > 0 && used[a]+n > m {
		return false
	}
	if options.MaxTotal <= 0 {
		return true
	}
	within := used[a]+n <= options.Limits[a].Reserved
	return sum <= options.MaxTotal && (within || reserved <= options.MaxTotal)
}

func TestReserveMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var options Options
		options.MaxTotal = Bytes(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "most"))
		for a := range AccountCount {
			options.Limits[a].Reserved = Bytes(rapid.IntRange(0, 12).Draw(t, "least"))
			options.Limits[a].Max = Bytes(rapid.SampledFrom([]int{0, 40, 300}).Draw(t, "most of one"))
		}
		budget := New(options, nil)
		var used [AccountCount]Bytes
		forced := false
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a := Account(rapid.IntRange(0, int(AccountCount)-1).Draw(t, "account"))
			n := Bytes(rapid.IntRange(0, 60).Draw(t, "bytes"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				want := referenceCanReserve(options, used, a, n)
				if got := budget.Reserve(a, n); got != want {
					t.Fatalf("reserve %d for %s with %v in use: %t, by definition %t", n, a, used, got, want)
				}
				if want {
					used[a] += n
				}
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "force") == 0 {
					budget.ForceReserve(a, n)
					used[a] += n
					forced = true
				}
			case 6:
				n = min(n, used[a])
				b := Account(rapid.IntRange(0, int(AccountCount)-1).Draw(t, "to"))
				budget.Transfer(a, b, n)
				used[a] -= n
				used[b] += n
			default:
				n = min(n, used[a])
				budget.Release(a, n)
				used[a] -= n
			}
			s := budget.Snapshot()
			sum := Bytes(0)
			for _, h := range used {
				sum += h
			}
			if s.Used != used || s.Total != sum || s.Peak < sum {
				t.Fatalf("%+v, want %v in use", s, used)
			}
			if !forced && options.MaxTotal > 0 && s.Total > options.MaxTotal {
				t.Fatalf("%d of %d in use, and nothing was forced", s.Total, options.MaxTotal)
			}
		}
	})
}

// A reservation is available whatever the others use.
func TestReservedBytesAreAvailable(t *testing.T) {
	options := Options{MaxTotal: 1000}
	options.Limits[Bodies].Reserved, options.Limits[Answers].Reserved = 100, 50
	budget := New(options, nil)
	for budget.Reserve(Merges, 7) {
	}
	if used := budget.Snapshot().Used[Merges]; used < 840 || used > 850 {
		t.Errorf("merges use %d of 1000 with 150 reserved by others", used)
	}
	if budget.Reserve(ActiveConns, 10) {
		t.Error("an account without a reservation uses that of others")
	}
	if !budget.Reserve(Bodies, 100) || !budget.Reserve(Answers, 50) {
		t.Errorf("reservations are not available: %+v", budget.Snapshot())
	}
	if budget.Reserve(Bodies, 10) || budget.Snapshot().Rejections[Bodies] != 1 {
		t.Errorf("beyond its reservation: %+v", budget.Snapshot())
	}
	// What is forced beyond the limit uses up reservations too: the limit is the machine's.
	budget.Release(Bodies, 100)
	budget.ForceReserve(ServerConns, 200)
	if budget.Reserve(Bodies, 60) {
		t.Errorf("reserved beyond the limit: %+v", budget.Snapshot())
	}
	if s := budget.Snapshot(); s.MaxOvercommit != s.Total-1000 || s.MaxOvercommit <= 0 {
		t.Errorf("forced: %+v", s)
	}
}

func TestPressureHysteresis(t *testing.T) {
	var changes []Pressure
	budget := New(Options{MaxTotal: 1000}, func(_, to Pressure, s Snapshot) {
		if s.Pressure != to {
			t.Errorf("notified of %s with %+v", to, s)
		}
		changes = append(changes, to)
	})
	budget.ForceReserve(Requests, 800)
	for range 500 { // 80% to 95%: around the threshold
		budget.ForceReserve(Requests, 150)
		budget.Release(Requests, 150)
	}
	if want := []Pressure{PressureHigh}; !slices.Equal(changes, want) {
		t.Errorf("changes at one threshold: %v, want %v", changes, want)
	}
	budget.ForceReserve(Requests, 180)
	for range 500 { // 92% to 98%
		budget.Release(Requests, 60)
		budget.ForceReserve(Requests, 60)
	}
	budget.Release(Requests, 280)
	budget.Release(Requests, 50)
	if want := []Pressure{PressureHigh, PressureCritical, PressureHigh, PressureNone}; !slices.Equal(changes, want) {
		t.Errorf("changes: %v, want %v", changes, want)
	}
	budget.SetOptions(Options{MaxTotal: 650}) // it holds exactly that
	if budget.Pressure() != PressureCritical {
		t.Errorf("a lower limit: %s", budget.Pressure())
	}
	budget.SetOptions(Options{})
	if budget.Pressure() != PressureNone {
		t.Errorf("no limit: %s", budget.Pressure())
	}
}

func TestConcurrentUseReleasesAll(t *testing.T) {
	var mu sync.Mutex
	last := PressureNone
	budget := New(Options{MaxTotal: 5000}, func(from, to Pressure, _ Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		if from != last {
			t.Errorf("notified of %s after %s", from, last)
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
				if budget.Reserve(a, n) {
					budget.Release(a, n)
				}
			}
		}()
	}
	all.Wait()
	if s := budget.Snapshot(); s.Total != 0 || s.Used != [AccountCount]Bytes{} || s.Peak > 5000 || s.Pressure != PressureNone {
		t.Errorf("in use at the end: %+v", s)
	}
}

func TestSizeEstimator(t *testing.T) {
	e := NewSizeEstimator(2, 512)
	if e.Estimate(0) != 512 || e.Estimate(7) != 512 {
		t.Error("no value has been observed")
	}
	for range 200 {
		e.Observe(0, 1000)
	}
	if got := e.Estimate(0); got < 1000 || got > 1010 {
		t.Errorf("values of 1000 bytes: the estimate is %d", got)
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
		t.Errorf("%d of %d bytes exceeded the estimates", short, all)
	}
	for range 400 {
		e.Observe(0, 100)
	}
	if got := e.Estimate(0); got > 150 {
		t.Errorf("long after the last large value the estimate is %d", got)
	}
	if e.Estimate(1) != 512 {
		t.Error("a type's values change the estimate of another")
	}
	e.Observe(-1, 5)
	e.Observe(9, 5)
}

func BenchmarkReserveRelease(b *testing.B) {
	var options Options
	options.MaxTotal = 1 << 30
	budget := New(options, nil)
	b.ReportAllocs()
	for b.Loop() {
		if budget.Reserve(Bodies, 1000) {
			budget.Release(Bodies, 1000)
		}
	}
}

func TestDefaultOptions(t *testing.T) {
	if TotalFor(0) != 0 || TotalFor(48<<20) != 16<<20 || TotalFor(1<<20) != minTotal {
		t.Error("the total for a memory")
	}
	if options := DefaultOptions(0, 99); options.MaxTotal != 0 || options.Limits != ([AccountCount]Limit{Bodies: {Max: 99}}) {
		t.Errorf("no total: %+v", options)
	}
	options, reserved := DefaultOptions(1<<20, 1<<30), Bytes(0)
	for _, s := range options.Limits {
		reserved += s.Reserved
	}
	if options.Limits[Bodies].Max != 1<<19 || reserved <= 0 || reserved > options.MaxTotal/2 {
		t.Errorf("a total: %+v", options)
	}
}
