package memorybudget

import (
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// referenceCanReserve is a reference implementation of canReserve: an account may use the memory that the others neither use
// nor have reserved.
func referenceCanReserve(options Options, used [AccountCount]Bytes, a Account, n Bytes) bool {
	sum, usedOrReserved := Bytes(0), Bytes(0)
	for b := range AccountCount {
		usedNext := used[b]
		if b == a {
			usedNext += n
		}
		sum += usedNext
		usedOrReserved += max(usedNext, options.Limits[b].Reserved)
	}
	if limit := options.Limits[a].Max; limit > 0 && used[a]+n > limit {
		return false
	}
	if options.MaxTotal <= 0 {
		return true
	}
	withinReservation := used[a]+n <= options.Limits[a].Reserved
	return sum <= options.MaxTotal && (withinReservation || usedOrReserved <= options.MaxTotal)
}

func TestReserveMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var options Options
		options.MaxTotal = Bytes(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "MaxTotal"))
		for a := range AccountCount {
			options.Limits[a].Reserved = Bytes(rapid.IntRange(0, 12).Draw(t, "Reserved"))
			options.Limits[a].Max = Bytes(rapid.SampledFrom([]int{0, 40, 300}).Draw(t, "Max"))
		}
		budget := New(options, nil)
		var used [AccountCount]Bytes
		forced := false
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a := Account(rapid.IntRange(0, int(AccountCount)-1).Draw(t, "account"))
			n := Bytes(rapid.IntRange(0, 60).Draw(t, "bytes"))
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2, 3, 4:
				want := referenceCanReserve(options, used, a, n)
				if got := budget.Reserve(a, n); got != want {
					t.Fatalf("reserve %d for %s with %v in use: %t, want %t", n, a, used, got, want)
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
			for _, amount := range used {
				sum += amount
			}
			if s.Used != used || s.Total != sum || s.Peak < sum {
				t.Fatalf("snapshot %+v, want %v in use", s, used)
			}
			if !forced && options.MaxTotal > 0 && s.Total > options.MaxTotal {
				t.Fatalf("%d of %d bytes in use without ForceReserve", s.Total, options.MaxTotal)
			}
		}
	})
}

// A reservation is available regardless of the use by other accounts.
func TestReservedBytesAreAvailable(t *testing.T) {
	options := Options{MaxTotal: 1000}
	options.Limits[Bodies].Reserved, options.Limits[Answers].Reserved = 100, 50
	budget := New(options, nil)
	for budget.Reserve(Merges, 7) {
	}
	if used := budget.Snapshot().Used[Merges]; used < 840 || used > 850 {
		t.Errorf("merges use %d of 1000 bytes with 150 reserved by others, want 840 to 850", used)
	}
	if budget.Reserve(ActiveConns, 10) {
		t.Error("an account without a reservation uses that of another account")
	}
	if !budget.Reserve(Bodies, 100) || !budget.Reserve(Answers, 50) {
		t.Errorf("reservations are not available: %+v", budget.Snapshot())
	}
	if budget.Reserve(Bodies, 10) || budget.Snapshot().Rejections[Bodies] != 1 {
		t.Errorf("an account exceeds its reservation, or the rejection is not counted: %+v", budget.Snapshot())
	}
	// Memory forced beyond MaxTotal uses up reservations as well, because MaxTotal is derived from the memory of the machine.
	budget.Release(Bodies, 100)
	budget.ForceReserve(ServerConns, 200)
	if budget.Reserve(Bodies, 60) {
		t.Errorf("Reserve exceeds MaxTotal: %+v", budget.Snapshot())
	}
	if s := budget.Snapshot(); s.MaxOvercommit != s.Total-1000 || s.MaxOvercommit <= 0 {
		t.Errorf("MaxOvercommit is not the excess over MaxTotal: %+v", s)
	}
}

func TestPressureHysteresis(t *testing.T) {
	var changes []Pressure
	budget := New(Options{MaxTotal: 1000}, func(_, to Pressure, s Snapshot) {
		if s.Pressure != to {
			t.Errorf("notified of pressure %s with snapshot %+v", to, s)
		}
		changes = append(changes, to)
	})
	budget.ForceReserve(Requests, 800)
	for range 500 { // 80% to 95%: on both sides of the threshold
		budget.ForceReserve(Requests, 150)
		budget.Release(Requests, 150)
	}
	if want := []Pressure{PressureHigh}; !slices.Equal(changes, want) {
		t.Errorf("changes of pressure near one threshold: %v, want %v", changes, want)
	}
	budget.ForceReserve(Requests, 180)
	for range 500 { // 92% to 98%
		budget.Release(Requests, 60)
		budget.ForceReserve(Requests, 60)
	}
	budget.Release(Requests, 280)
	budget.Release(Requests, 50)
	if want := []Pressure{PressureHigh, PressureCritical, PressureHigh, PressureNone}; !slices.Equal(changes, want) {
		t.Errorf("changes of pressure: %v, want %v", changes, want)
	}
	budget.SetOptions(Options{MaxTotal: 650}) // exactly the memory in use
	if budget.Pressure() != PressureCritical {
		t.Errorf("pressure with MaxTotal equal to the memory in use: %s", budget.Pressure())
	}
	budget.SetOptions(Options{})
	if budget.Pressure() != PressureNone {
		t.Errorf("pressure without a limit: %s", budget.Pressure())
	}
}

func TestConcurrentUseReleasesAll(t *testing.T) {
	var mu sync.Mutex
	last := PressureNone
	budget := New(Options{MaxTotal: 5000}, func(from, to Pressure, _ Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		if from != last {
			t.Errorf("notified of a change from %s, want from %s", from, last)
		}
		last = to
	})
	var workers sync.WaitGroup
	for g := range 8 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			a := Account(g) % AccountCount
			for i := range 2000 {
				n := Bytes(i%900) + 1
				if budget.Reserve(a, n) {
					budget.Release(a, n)
				}
			}
		}()
	}
	workers.Wait()
	if s := budget.Snapshot(); s.Total != 0 || s.Used != [AccountCount]Bytes{} || s.Peak > 5000 || s.Pressure != PressureNone {
		t.Errorf("state after all memory was released: %+v", s)
	}
}

func TestSizeEstimator(t *testing.T) {
	e := NewSizeEstimator(2, 512)
	if e.Estimate(0) != 512 || e.Estimate(7) != 512 {
		t.Error("want the fallback before a value is observed, and for an unknown query type")
	}
	for range 200 {
		e.Observe(0, 1000)
	}
	if got := e.Estimate(0); got < 1000 || got > 1010 {
		t.Errorf("the estimate for values of 1000 bytes is %d, want 1000 to 1010", got)
	}
	exceeding, total := Bytes(0), Bytes(0)
	for i := range 1000 { // nine of ten values are small, one is large
		n := Bytes(1000)
		if i%10 == 0 {
			n = 4000
		}
		if i > 100 {
			exceeding += max(n-e.Estimate(0), 0)
			total += n
		}
		e.Observe(0, n)
	}
	if exceeding*20 > total {
		t.Errorf("%d of %d bytes exceeded the estimates, want at most a twentieth", exceeding, total)
	}
	for range 400 {
		e.Observe(0, 100)
	}
	if got := e.Estimate(0); got > 150 {
		t.Errorf("400 small values after the last large one the estimate is %d, want at most 150", got)
	}
	if e.Estimate(1) != 512 {
		t.Error("values of one query type change the estimate of another")
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
		t.Error("TotalFor returns a wrong total for 0, 48 MiB or 1 MiB")
	}
	if options := DefaultOptions(0, 99); options.MaxTotal != 0 || options.Limits != ([AccountCount]Limit{Bodies: {Max: 99}}) {
		t.Errorf("options without a total: %+v", options)
	}
	options, reserved := DefaultOptions(1<<20, 1<<30), Bytes(0)
	for _, limit := range options.Limits {
		reserved += limit.Reserved
	}
	if options.Limits[Bodies].Max != 1<<19 || reserved <= 0 || reserved > options.MaxTotal/2 {
		t.Errorf("options for a total: %+v", options)
	}
}
