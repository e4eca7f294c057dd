package connadmission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// known is a connection as the plain walk sees it.
type known struct {
	id       ID
	since    Time
	class    class
	searched bool
	customer int
}

// walk finds the victim by looking at all, as was done before there were lists.
func walk(f Figures, all map[ID]*known, now Time) ID {
	held := make([]int, len(f.Shares)+1)
	total := 0.0
	for _, s := range f.Shares {
		total += s
	}
	for _, k := range all {
		held[k.customer]++
	}
	over := func(k *known) float64 {
		if k.customer >= len(f.Shares) || f.Shares[k.customer] <= 0 || total <= 0 {
			return 1
		}
		return max(1, float64(held[k.customer])/(f.Shares[k.customer]/total*float64(f.Limit)))
	}
	rank := func(k *known) int {
		age := now - k.since
		switch {
		case k.class == trickler:
			return 7
		case k.class == visitor && age >= f.IdleLong:
			return 6
		case k.class == idle && age >= f.IdleLong:
			return 5
		case k.class == stranger && age >= f.HeadLate:
			return 4
		case k.class == visitor:
			return 3
		case k.class == idle:
			return 2
		case k.class == stranger:
			return 1
		}
		return 0
	}
	var best *known
	for _, k := range all {
		r := rank(k)
		if r == 0 {
			continue
		}
		if best == nil || r > rank(best) || r == rank(best) && k.class == idle && over(k) > over(best) ||
			r == rank(best) && (k.class != idle || over(k) == over(best)) && k.since < best.since {
			best = k
		}
	}
	if best == nil {
		return None
	}
	return best.id
}

func TestTheVictimIsThatOfThePlainWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Figures{Limit: rapid.IntRange(1, 12).Draw(t, "limit"), IdleLong: 20, HeadLate: 10,
			Shares: rapid.SampledFrom([][]float64{nil, {1}, {3, 1}, {5, 0, 2}}).Draw(t, "shares")}
		a := New(f)
		all := map[ID]*known{}
		now := Time(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now++ // no two enter a class at one moment: the walk could not tell them apart
			var some *known
			if len(all) > 0 {
				n := rapid.IntRange(0, len(a.conns)-1).Draw(t, "which")
				some = all[ID(n)]
			}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				want := None
				if len(all) >= f.Limit {
					want = walk(f, all, now)
				}
				victim := None
				if a.Full() {
					victim = a.Victim(now)
				}
				if victim != want {
					t.Fatalf("the victim is %d, the walk says %d", victim, want)
				}
				id := a.Came(now)
				if all[id] != nil {
					t.Fatalf("%d is given out twice", id)
				}
				all[id] = &known{id: id, since: now, class: stranger, customer: len(f.Shares)}
				if victim != None {
					a.Gone(victim)
					a.Gone(victim)
					delete(all, victim)
				}
			case 2:
				if some != nil {
					a.Asks(some.id)
					some.class = active
				}
			case 3:
				if some != nil && some.class == active {
					of := rapid.IntRange(-1, len(f.Shares)).Draw(t, "customer")
					a.Searches(some.id, Customer(of))
					some.searched, some.customer = true, len(f.Shares)
					if of >= 0 && of < len(f.Shares) {
						some.customer = of
					}
				}
			case 4:
				if some != nil && some.class == active {
					a.Rests(some.id, now)
					if some.class, some.since = visitor, now; some.searched {
						some.class = idle
					}
				}
			case 6:
				if some != nil {
					a.Parks(some.id)
					if rapid.Bool().Draw(t, "trickles") {
						if a.Trickles(some.id, now); some.class != trickler {
							some.class, some.since = trickler, now
						}
					}
				}
			case 5:
				if some != nil && rapid.Bool().Draw(t, "goes") {
					a.Gone(some.id)
					delete(all, some.id)
				}
				now += Time(rapid.IntRange(0, 15).Draw(t, "later"))
			}
			if got, want := a.Victim(now), walk(f, all, now); got != want {
				t.Fatalf("the victim is %d, the walk says %d", got, want)
			}
			if a.Len() != len(all) {
				t.Fatalf("%d held, want %d", a.Len(), len(all))
			}
		}
	})
}

func TestWakingPastTheLimitIsTurnedAwayButForThoseWhoHoldLittle(t *testing.T) {
	a := New(Figures{Limit: 1000, IdleLong: 2000, HeadLate: 1000, Shares: []float64{1, 1}, MostOpen: 16})
	var parked []ID
	for i := range 100 {
		id := a.Came(Time(i))
		of := Customer(0)
		if i%10 == 0 {
			of = 1
		}
		a.Asks(id)
		a.Searches(id, of)
		a.Rests(id, Time(i))
		parked = append(parked, id)
	}
	var woken, turned [2]int
	for i, id := range parked { // all at once
		of := 0
		if i%10 == 0 {
			of = 1
		}
		if a.Wake(id) {
			woken[of]++
		} else {
			turned[of]++
		}
	}
	if _, _, _, open := a.Counts(); open > 18 || open != woken[0]+woken[1] || woken[1] < 4 || woken[0] < 12 || turned[0] < 70 {
		t.Errorf("woken %v, turned away %v", woken, turned)
	}
	for _, id := range parked {
		a.Gone(id)
	}
	if _, _, _, open := a.Counts(); a.Len() != 0 || open != 0 {
		t.Errorf("%d held, %d open once all are gone", a.Len(), open)
	}
}

func TestWhoAskedOnceIsReleasedInACrowdOfIdleOnes(t *testing.T) {
	a := New(Figures{Limit: 100, Crowded: 5})
	rest := func() ID {
		id := a.Came(1)
		a.Asks(id)
		a.Searches(id, Unknown)
		a.Rests(id, 1)
		return id
	}
	for range 4 {
		rest()
	}
	id := a.Came(2)
	a.Asks(id)
	if a.Releases(id, 1, false) {
		t.Error("released while few lie idle")
	}
	last := rest()
	if !a.Releases(id, 1, false) || a.Releases(id, 2, false) {
		t.Error("in a crowd who asked once is to be released, who asks again is not")
	}
	a.Gone(last)
	if a.Releases(id, 1, false) || a.Releases(last, 1, false) {
		t.Error("released once the crowd is over, or after its end")
	}
	if none := New(Figures{Limit: 100}); none.Releases(none.Came(1), 1, false) {
		t.Error("released without a figure")
	}
}

func TestCounts(t *testing.T) {
	a := New(Figures{Limit: 10})
	var ids []ID
	for range 4 {
		id := a.Came(1)
		ids = append(ids, id)
	}
	a.Asks(ids[1])
	a.Asks(ids[2])
	a.Rests(ids[2], 2)
	a.Asks(ids[3])
	a.Searches(ids[3], Unknown)
	a.Rests(ids[3], 3)
	if s, v, i, act := a.Counts(); s != 1 || v != 1 || i != 1 || act != 1 {
		t.Errorf("%d strangers, %d visitors, %d idle, %d active", s, v, i, act)
	}
}

// BenchmarkVictim finds whom to close, and closes it for another.
//
//	go test -run xxx -bench Victim -benchmem ./admit
func BenchmarkVictim(b *testing.B) {
	for _, n := range []int{600, 10_000, 100_000} {
		f := Figures{Limit: n, IdleLong: 2000, HeadLate: 1000, Shares: []float64{5, 3, 2}}
		b.Run(fmt.Sprintf("connections=%d/index", n), func(b *testing.B) {
			a := New(f)
			now := Time(0)
			come := func() {
				now++
				if a.Full() {
					a.Gone(a.Victim(now))
				}
				id := a.Came(now)
				a.Asks(id)
				a.Searches(id, Customer(id%3))
				a.Rests(id, now)
			}
			for range n {
				come()
			}
			b.ReportAllocs()
			for b.Loop() {
				come()
			}
		})
		if n > 10_000 {
			continue // the walk takes seconds there
		}
		b.Run(fmt.Sprintf("connections=%d/walk", n), func(b *testing.B) {
			all := map[ID]*known{}
			for i := range n {
				all[ID(i)] = &known{id: ID(i), since: Time(i), class: idle, customer: i % 3}
			}
			now := Time(n)
			b.ReportAllocs()
			for b.Loop() {
				now++
				id := walk(f, all, now)
				all[id].since = now
			}
		})
	}
}

func TestCrowdsOfIdleConnectionsKeepTheirGoroutinesForLess(t *testing.T) {
	a := New(Figures{Limit: 1000, Linger: 250, MostIdle: 100})
	var ids []ID
	last := Time(250)
	for i := range 120 {
		got := a.Linger(false)
		if got > last || got < 250/20 || i < 50 && got != 250 || i >= 100 && got != 250/20 {
			t.Fatalf("with %d lingering a connection lingers for %d ms, before %d", i, got, last)
		}
		last = got
		id := a.Came(Time(i))
		a.Asks(id)
		a.Searches(id, Unknown)
		a.Rests(id, Time(i))
		ids = append(ids, id)
	}
	for _, id := range ids {
		a.Parks(id)
		a.Parks(id)
	}
	if a.Parked() != 120 || a.Linger(false) != 250 {
		t.Errorf("all parked: %d, linger %d ms", a.Parked(), a.Linger(false))
	}
	if a.Linger(true) != 250/20 {
		t.Errorf("memory short: linger %d ms", a.Linger(true))
	}
	a.Asks(ids[0])
	a.Wake(ids[1])
	a.Gone(ids[2])
	if a.Parked() != 117 {
		t.Errorf("%d parked after three went", a.Parked())
	}
}

func TestTheLeastRate(t *testing.T) {
	p := Pace{Rate: 100, Grace: 500}
	play := func(step Time, n int, until Time) (slowAt Time) {
		due := p.Begin(0)
		for now := Time(0); now < until; now += step {
			if p.Slow(due, now) {
				return now
			}
			due = p.Moved(due, now, n)
		}
		return -1
	}
	if at := play(10, 1, 60_000); at >= 0 {
		t.Errorf("who keeps to the rate exactly is too slow at %d ms", at)
	}
	if at := play(1000, 1, 60_000); at < 500 || at > 1000 {
		t.Errorf("a byte a second is found at %d ms", at)
	}
	if at := play(100, 5, 60_000); at < 900 || at > 1300 {
		t.Errorf("half of the rate is found at %d ms", at)
	}
	// A burst buys no more than twice the grace, however long.
	if due := p.Moved(p.Begin(0), 0, 1<<20); due != 1000 {
		t.Errorf("after a burst of a megabyte the next byte is due at %d ms", due)
	}
	if off := (Pace{}); off.On() || off.Slow(0, 1000) {
		t.Error("no least rate, and somebody is too slow")
	}
}
