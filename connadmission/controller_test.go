package connadmission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// referenceConn is a connection as the plain walk sees it.
type referenceConn struct {
	id           ID
	since        Millis
	state        connState
	hasRequested bool
	customer     int
}

// referenceVictim finds the victim by looking at all, as was done before there were lists.
func referenceVictim(f Options, all map[ID]*referenceConn, now Millis) ID {
	held := make([]int, len(f.CustomerShares)+1)
	total := 0.0
	for _, s := range f.CustomerShares {
		total += s
	}
	for _, k := range all {
		held[k.customer]++
	}
	over := func(k *referenceConn) float64 {
		if k.customer >= len(f.CustomerShares) || f.CustomerShares[k.customer] <= 0 || total <= 0 {
			return 1
		}
		return max(1, float64(held[k.customer])/(f.CustomerShares[k.customer]/total*float64(f.MaxConns)))
	}
	rank := func(k *referenceConn) int {
		age := now - k.since
		switch {
		case k.state == stateSlowHeader:
			return 7
		case k.state == stateIdleWithoutRequest && age >= f.MinIdle:
			return 6
		case k.state == stateIdle && age >= f.MinIdle:
			return 5
		case k.state == stateNew && age >= f.HeaderTimeout:
			return 4
		case k.state == stateIdleWithoutRequest:
			return 3
		case k.state == stateIdle:
			return 2
		case k.state == stateNew:
			return 1
		}
		return 0
	}
	var best *referenceConn
	for _, k := range all {
		r := rank(k)
		if r == 0 {
			continue
		}
		if best == nil || r > rank(best) || r == rank(best) && k.state == stateIdle && over(k) > over(best) ||
			r == rank(best) && (k.state != stateIdle || over(k) == over(best)) && k.since < best.since {
			best = k
		}
	}
	if best == nil {
		return NoConn
	}
	return best.id
}

func TestVictimMatchesReferenceScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Options{MaxConns: rapid.IntRange(1, 12).Draw(t, "limit"), MinIdle: 20, HeaderTimeout: 10,
			CustomerShares: rapid.SampledFrom([][]float64{nil, {1}, {3, 1}, {5, 0, 2}}).Draw(t, "shares")}
		a := New(f)
		all := map[ID]*referenceConn{}
		now := Millis(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now++ // no two enter a class at one moment: the walk could not tell them apart
			var some *referenceConn
			if len(all) > 0 {
				n := rapid.IntRange(0, len(a.conns)-1).Draw(t, "which")
				some = all[ID(n)]
			}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				want := NoConn
				if len(all) >= f.MaxConns {
					want = referenceVictim(f, all, now)
				}
				victim := NoConn
				if a.Full() {
					victim = a.Victim(now)
				}
				if victim != want {
					t.Fatalf("the victim is %d, the walk says %d", victim, want)
				}
				id := a.Open(now)
				if all[id] != nil {
					t.Fatalf("%d is given out twice", id)
				}
				all[id] = &referenceConn{id: id, since: now, state: stateNew, customer: len(f.CustomerShares)}
				if victim != NoConn {
					a.Close(victim)
					a.Close(victim)
					delete(all, victim)
				}
			case 2:
				if some != nil {
					a.BeginRequest(some.id)
					some.state = stateActive
				}
			case 3:
				if some != nil && some.state == stateActive {
					customer := rapid.IntRange(-1, len(f.CustomerShares)).Draw(t, "customer")
					a.IdentifyRequest(some.id, CustomerIndex(customer))
					some.hasRequested, some.customer = true, len(f.CustomerShares)
					if customer >= 0 && customer < len(f.CustomerShares) {
						some.customer = customer
					}
				}
			case 4:
				if some != nil && some.state == stateActive {
					a.EndRequest(some.id, now)
					if some.state, some.since = stateIdleWithoutRequest, now; some.hasRequested {
						some.state = stateIdle
					}
				}
			case 6:
				if some != nil {
					a.Park(some.id)
					if rapid.Bool().Draw(t, "trickles") {
						if a.MarkSlowHeader(some.id, now); some.state != stateSlowHeader {
							some.state, some.since = stateSlowHeader, now
						}
					}
				}
			case 5:
				if some != nil && rapid.Bool().Draw(t, "goes") {
					a.Close(some.id)
					delete(all, some.id)
				}
				now += Millis(rapid.IntRange(0, 15).Draw(t, "later"))
			}
			if got, want := a.Victim(now), referenceVictim(f, all, now); got != want {
				t.Fatalf("the victim is %d, the walk says %d", got, want)
			}
			if a.Len() != len(all) {
				t.Fatalf("%d held, want %d", a.Len(), len(all))
			}
		}
	})
}

func TestWakePastLimitOnlyForCustomersUnderHalfShare(t *testing.T) {
	a := New(Options{MaxConns: 1000, MinIdle: 2000, HeaderTimeout: 1000, CustomerShares: []float64{1, 1}, MaxActive: 16})
	var parked []ID
	for i := range 100 {
		id := a.Open(Millis(i))
		customer := CustomerIndex(0)
		if i%10 == 0 {
			customer = 1
		}
		a.BeginRequest(id)
		a.IdentifyRequest(id, customer)
		a.EndRequest(id, Millis(i))
		parked = append(parked, id)
	}
	var woken, turned [2]int
	for i, id := range parked { // all at once
		customer := 0
		if i%10 == 0 {
			customer = 1
		}
		if a.Wake(id) {
			woken[customer]++
		} else {
			turned[customer]++
		}
	}
	if _, _, _, open := a.Counts(); open > 18 || open != woken[0]+woken[1] || woken[1] < 4 || woken[0] < 12 || turned[0] < 70 {
		t.Errorf("woken %v, turned away %v", woken, turned)
	}
	for _, id := range parked {
		a.Close(id)
	}
	if _, _, _, open := a.Counts(); a.Len() != 0 || open != 0 {
		t.Errorf("%d held, %d open once all are gone", a.Len(), open)
	}
}

func TestOneShotConnsCloseWhenManyAreIdle(t *testing.T) {
	a := New(Options{MaxConns: 100, MaxIdleOneShot: 5})
	rest := func() ID {
		id := a.Open(1)
		a.BeginRequest(id)
		a.IdentifyRequest(id, UnknownCustomer)
		a.EndRequest(id, 1)
		return id
	}
	for range 4 {
		rest()
	}
	id := a.Open(2)
	a.BeginRequest(id)
	if a.ShouldCloseAfterResponse(id, 1, false) {
		t.Error("released while few lie idle")
	}
	last := rest()
	if !a.ShouldCloseAfterResponse(id, 1, false) || a.ShouldCloseAfterResponse(id, 2, false) {
		t.Error("in a crowd who asked once is to be released, who asks again is not")
	}
	a.Close(last)
	if a.ShouldCloseAfterResponse(id, 1, false) || a.ShouldCloseAfterResponse(last, 1, false) {
		t.Error("released once the crowd is over, or after its end")
	}
	if none := New(Options{MaxConns: 100}); none.ShouldCloseAfterResponse(none.Open(1), 1, false) {
		t.Error("released without a figure")
	}
}

func TestCounts(t *testing.T) {
	a := New(Options{MaxConns: 10})
	var ids []ID
	for range 4 {
		id := a.Open(1)
		ids = append(ids, id)
	}
	a.BeginRequest(ids[1])
	a.BeginRequest(ids[2])
	a.EndRequest(ids[2], 2)
	a.BeginRequest(ids[3])
	a.IdentifyRequest(ids[3], UnknownCustomer)
	a.EndRequest(ids[3], 3)
	if s, v, i, act := a.Counts(); s != 1 || v != 1 || i != 1 || act != 1 {
		t.Errorf("%d strangers, %d visitors, %d idle, %d active", s, v, i, act)
	}
}

// BenchmarkVictim finds whom to close, and closes it for another.
//
//	go test -run xxx -bench Victim -benchmem ./admit
func BenchmarkVictim(b *testing.B) {
	for _, n := range []int{600, 10_000, 100_000} {
		f := Options{MaxConns: n, MinIdle: 2000, HeaderTimeout: 1000, CustomerShares: []float64{5, 3, 2}}
		b.Run(fmt.Sprintf("connections=%d/index", n), func(b *testing.B) {
			a := New(f)
			now := Millis(0)
			come := func() {
				now++
				if a.Full() {
					a.Close(a.Victim(now))
				}
				id := a.Open(now)
				a.BeginRequest(id)
				a.IdentifyRequest(id, CustomerIndex(id%3))
				a.EndRequest(id, now)
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
			all := map[ID]*referenceConn{}
			for i := range n {
				all[ID(i)] = &referenceConn{id: ID(i), since: Millis(i), state: stateIdle, customer: i % 3}
			}
			now := Millis(n)
			b.ReportAllocs()
			for b.Loop() {
				now++
				id := referenceVictim(f, all, now)
				all[id].since = now
			}
		})
	}
}

func TestParkDelayShrinksWithIdleConns(t *testing.T) {
	a := New(Options{MaxConns: 1000, ParkDelay: 250, MaxIdleGoroutines: 100})
	var ids []ID
	last := Millis(250)
	for i := range 120 {
		got := a.ParkDelay(false)
		if got > last || got < 250/20 || i < 50 && got != 250 || i >= 100 && got != 250/20 {
			t.Fatalf("with %d lingering a connection lingers for %d ms, before %d", i, got, last)
		}
		last = got
		id := a.Open(Millis(i))
		a.BeginRequest(id)
		a.IdentifyRequest(id, UnknownCustomer)
		a.EndRequest(id, Millis(i))
		ids = append(ids, id)
	}
	for _, id := range ids {
		a.Park(id)
		a.Park(id)
	}
	if a.ParkedCount() != 120 || a.ParkDelay(false) != 250 {
		t.Errorf("all parked: %d, linger %d ms", a.ParkedCount(), a.ParkDelay(false))
	}
	if a.ParkDelay(true) != 250/20 {
		t.Errorf("memory short: linger %d ms", a.ParkDelay(true))
	}
	a.BeginRequest(ids[0])
	a.Wake(ids[1])
	a.Close(ids[2])
	if a.ParkedCount() != 117 {
		t.Errorf("%d parked after three went", a.ParkedCount())
	}
}

func TestMinRate(t *testing.T) {
	p := MinRate{BytesPerSecond: 100, Grace: 500}
	play := func(step Millis, n int, until Millis) (slowAt Millis) {
		due := p.FirstDeadline(0)
		for now := Millis(0); now < until; now += step {
			if p.Exceeded(due, now) {
				return now
			}
			due = p.NextDeadline(due, now, n)
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
	if due := p.NextDeadline(p.FirstDeadline(0), 0, 1<<20); due != 1000 {
		t.Errorf("after a burst of a megabyte the next byte is due at %d ms", due)
	}
	if off := (MinRate{}); off.Enabled() || off.Exceeded(0, 1000) {
		t.Error("no least rate, and somebody is too slow")
	}
}
