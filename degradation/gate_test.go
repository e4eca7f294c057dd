package degradation

import "testing"

func TestGateIsFairAndSpreadsRetryAfter(t *testing.T) {
	f := testConfig()
	m := New(f, 0)
	g := NewGate(m, 2, 2)
	if ok, _ := g.Admit(0, 0, 1, 0); !ok {
		t.Error("a request is rejected at full service")
	}
	for _, c := range play(m, 0, 10_000, func(Time) Readings { return signalReadings(LostCapacity, 0.2) }) {
		g.HandleChange(c)
	}
	served, retryAfter := [3]int{}, map[Time]int{}
	for i := range 3000 { // the first customer sends ten times as many requests as the second
		customer := 0
		if i%11 == 10 {
			customer = 1
		}
		if i%100 == 99 {
			customer = 7 // an unknown customer
		}
		ok, delay := g.Admit(10_000, 0, 1, customer)
		if ok {
			served[min(customer, 2)]++
		} else {
			retryAfter[delay/100]++
			if delay < 1000 || delay >= 2000 {
				t.Fatalf("Retry-After %d ms, want 1000 to 1999", delay)
			}
		}
		if ok, _ := g.Admit(10_000, 0, 0, customer); !ok {
			t.Fatal("a look-up is rejected")
		}
	}
	if served[0] < 1300 || served[0] > 1400 || served[1] < 130 || served[1] > 142 || served[2] < 14 {
		t.Errorf("served %v, want half of each customer's requests", served)
	}
	for tenth, n := range retryAfter {
		if n > 2*1500/10 {
			t.Errorf("%d rejected requests have a Retry-After of about %d ms", n, tenth*100)
		}
	}
	// A request for a segment with a worse level is decided by that level.
	if ok, delay := g.Admit(10_000, 3, 0, 0); ok || delay < 5000 {
		t.Errorf("segment without capacity: served %t, Retry-After %d", ok, delay)
	}
	// After a change to a better level the share ramps up.
	back := play(m, 10_000, 30_000, func(Time) Readings { return signalReadings(LostCapacity, 0) })
	for _, c := range back {
		g.HandleChange(c)
	}
	at := back[len(back)-1].At
	if a, b, c := g.Share(at, 1), g.Share(at+f.RampUp/2, 1), g.Share(at+f.RampUp, 1); a != 0.5 || b != 0.75 || c != 1 {
		t.Errorf("shares while ramping up: %g, %g, %g", a, b, c)
	}
}
