package degradation

import "testing"

func TestGateSharesAreEqualAndRetryAfterIsSpread(t *testing.T) {
	config := testConfig()
	m := New(config, 0)
	g := NewGate(m, 2, 2)
	if ok, _ := g.Admit(0, 0, 1, 0); !ok {
		t.Error("a request was rejected at full service")
	}
	for _, c := range run(m, 0, 10_000, func(Time) Readings { return signalReadings(LostCapacity, 0.2) }) {
		g.RecordChange(c)
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
			t.Fatal("a request of a query type that is served in full was rejected")
		}
	}
	if served[0] < 1300 || served[0] > 1400 || served[1] < 130 || served[1] > 142 || served[2] < 14 {
		t.Errorf("%v requests served by customer, want half of each customer's requests", served)
	}
	for tenth, n := range retryAfter {
		if n > 2*1500/10 {
			t.Errorf("%d rejected requests have a Retry-After in the tenth of a second from %d ms, want at most 300", n, tenth*100)
		}
	}
	// A request that needs a segment with a worse level is admitted or rejected by that level.
	if ok, delay := g.Admit(10_000, 3, 0, 0); ok || delay < 5000 {
		t.Errorf("request for a segment at the level closed: served %t, Retry-After %d ms, want false and at least 5000", ok, delay)
	}
	// After an upgrade the share ramps up.
	upgrades := run(m, 10_000, 30_000, func(Time) Readings { return signalReadings(LostCapacity, 0) })
	for _, c := range upgrades {
		g.RecordChange(c)
	}
	at := upgrades[len(upgrades)-1].At
	if first, mid, last := g.Share(at, 1), g.Share(at+config.RampUp/2, 1), g.Share(at+config.RampUp, 1); first != 0.5 || mid != 0.75 || last != 1 {
		t.Errorf("shares at the start, in the middle and at the end of the ramp: %g, %g, %g, want 0.5, 0.75, 1", first, mid, last)
	}
}
