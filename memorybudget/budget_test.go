package memorybudget

import (
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// plain is a ledger by the definition alone: what is free for an account is what the others neither hold nor are owed.
func plain(f Figures, held [Accounts]Bytes, a Account, n Bytes) bool {
	sum, reserved := Bytes(0), Bytes(0)
	for b := range Accounts {
		h := held[b]
		if b == a {
			h += n
		}
		sum += h
		reserved += max(h, f.Shares[b].Least)
	}
	if m := f.Shares[a].Most; m > 0 && held[a]+n > m {
		return false
	}
	if f.Most <= 0 {
		return true
	}
	within := held[a]+n <= f.Shares[a].Least
	return sum <= f.Most && (within || reserved <= f.Most)
}

func TestWhatIsTakenKeepsToTheSumTheFloorsAndTheCeilings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Figures
		f.Most = Bytes(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "most"))
		for a := range Accounts {
			f.Shares[a].Least = Bytes(rapid.IntRange(0, 12).Draw(t, "least"))
			f.Shares[a].Most = Bytes(rapid.SampledFrom([]int{0, 40, 300}).Draw(t, "most of one"))
		}
		l := New(f, nil)
		var held [Accounts]Bytes
		forced := false
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a := Account(rapid.IntRange(0, int(Accounts)-1).Draw(t, "account"))
			n := Bytes(rapid.IntRange(0, 60).Draw(t, "bytes"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				want := plain(f, held, a, n)
				if got := l.Take(a, n); got != want {
					t.Fatalf("take %d for %s with %v held: %t, by definition %t", n, a, held, got, want)
				}
				if want {
					held[a] += n
				}
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "may not be refused") == 0 {
					l.Force(a, n)
					held[a] += n
					forced = true
				}
			case 6:
				n = min(n, held[a])
				b := Account(rapid.IntRange(0, int(Accounts)-1).Draw(t, "to"))
				l.Move(a, b, n)
				held[a] -= n
				held[b] += n
			default:
				n = min(n, held[a])
				l.Give(a, n)
				held[a] -= n
			}
			s := l.State()
			sum := Bytes(0)
			for _, h := range held {
				sum += h
			}
			if s.Held != held || s.Sum != sum || s.Peak < sum {
				t.Fatalf("%+v, want %v held", s, held)
			}
			if !forced && f.Most > 0 && s.Sum > f.Most {
				t.Fatalf("%d held of %d, and nothing was forced", s.Sum, f.Most)
			}
		}
	})
}

// Whoever has a floor gets it, whatever the others took before.
func TestAFloorIsThereWhenItIsNeeded(t *testing.T) {
	f := Figures{Most: 1000}
	f.Shares[Bodies].Least, f.Shares[Answers].Least = 100, 50
	l := New(f, nil)
	for l.Take(Merges, 7) {
	}
	if held := l.State().Held[Merges]; held < 840 || held > 850 {
		t.Errorf("merges took %d of 1000 with 150 owed to others", held)
	}
	if l.Take(Awake, 10) {
		t.Error("an account without a floor took what is owed to others")
	}
	if !l.Take(Bodies, 100) || !l.Take(Answers, 50) {
		t.Errorf("floors are gone: %+v", l.State())
	}
	if l.Take(Bodies, 10) || l.State().Refused[Bodies] != 1 {
		t.Errorf("past its floor: %+v", l.State())
	}
	// What was forced past the limit uses floors up too: the limit is the machine's.
	l.Give(Bodies, 100)
	l.Force(Servers, 200)
	if l.Take(Bodies, 60) {
		t.Errorf("taken past the limit: %+v", l.State())
	}
	if s := l.State(); s.Forced != s.Sum-1000 || s.Forced <= 0 {
		t.Errorf("forced: %+v", s)
	}
}

func TestPressureDoesNotChangeWithEachSearchAtAMark(t *testing.T) {
	var turns []Pressure
	l := New(Figures{Most: 1000}, func(_, to Pressure, s State) {
		if s.Pressure != to {
			t.Errorf("told %s with %+v", to, s)
		}
		turns = append(turns, to)
	})
	l.Force(Searches, 800)
	for range 500 { // 80% to 95%: hovers over the mark
		l.Force(Searches, 150)
		l.Give(Searches, 150)
	}
	if want := []Pressure{Tight}; !slices.Equal(turns, want) {
		t.Errorf("changes at one mark: %v, want %v", turns, want)
	}
	l.Force(Searches, 180)
	for range 500 { // 92% to 98%
		l.Give(Searches, 60)
		l.Force(Searches, 60)
	}
	l.Give(Searches, 280)
	l.Give(Searches, 50)
	if want := []Pressure{Tight, Full, Tight, Calm}; !slices.Equal(turns, want) {
		t.Errorf("changes: %v, want %v", turns, want)
	}
	l.Limit(Figures{Most: 650}) // it holds exactly that
	if l.Pressure() != Full {
		t.Errorf("a lower limit: %s", l.Pressure())
	}
	l.Limit(Figures{})
	if l.Pressure() != Calm {
		t.Errorf("no limit: %s", l.Pressure())
	}
}

func TestManyAtOnceLeaveNothingBehind(t *testing.T) {
	var mu sync.Mutex
	last := Calm
	l := New(Figures{Most: 5000}, func(from, to Pressure, _ State) {
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
			a := Account(g) % Accounts
			for i := range 2000 {
				n := Bytes(i%900) + 1
				if l.Take(a, n) {
					l.Give(a, n)
				}
			}
		}()
	}
	all.Wait()
	if s := l.State(); s.Sum != 0 || s.Held != [Accounts]Bytes{} || s.Peak > 5000 || s.Pressure != Calm {
		t.Errorf("left behind: %+v", s)
	}
}

func TestExpectedValuesFollowWhatCame(t *testing.T) {
	e := NewExpect(2, 512)
	if e.Each(0) != 512 || e.Each(7) != 512 {
		t.Error("nothing has been seen")
	}
	for range 200 {
		e.Saw(0, 1000)
	}
	if got := e.Each(0); got < 1000 || got > 1010 {
		t.Errorf("values of 1000 bytes: %d set aside", got)
	}
	short, all := Bytes(0), Bytes(0)
	for i := range 1000 { // nine of ten are short, one is long
		n := Bytes(1000)
		if i%10 == 0 {
			n = 4000
		}
		if i > 100 {
			short += max(n-e.Each(0), 0)
			all += n
		}
		e.Saw(0, n)
	}
	if short*20 > all {
		t.Errorf("%d of %d bytes came beyond what was set aside", short, all)
	}
	for range 400 {
		e.Saw(0, 100)
	}
	if got := e.Each(0); got > 150 {
		t.Errorf("long after the last long value %d bytes are set aside", got)
	}
	if e.Each(1) != 512 {
		t.Error("one type's values count for another")
	}
	e.Saw(-1, 5)
	e.Saw(9, 5)
}

func BenchmarkTakeAndGive(b *testing.B) {
	var f Figures
	f.Most = 1 << 30
	l := New(f, nil)
	b.ReportAllocs()
	for b.Loop() {
		if l.Take(Bodies, 1000) {
			l.Give(Bodies, 1000)
		}
	}
}

func TestFiguresOfAMemory(t *testing.T) {
	if SumFor(0) != 0 || SumFor(48<<20) != 16<<20 || SumFor(1<<20) != least {
		t.Error("the sum of a memory")
	}
	if f := For(0, 99); f.Most != 0 || f.Shares != ([Accounts]Share{Bodies: {Most: 99}}) {
		t.Errorf("no sum: %+v", f)
	}
	f, floors := For(1<<20, 1<<30), Bytes(0)
	for _, s := range f.Shares {
		floors += s.Least
	}
	if f.Shares[Bodies].Most != 1<<19 || floors <= 0 || floors > f.Most/2 {
		t.Errorf("a sum: %+v", f)
	}
}
