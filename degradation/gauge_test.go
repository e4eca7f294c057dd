package degradation

import (
	"math"
	"testing"
)

func TestTheGauge(t *testing.T) {
	g := NewGauge(4, 1, 2)
	servers := make([]Seen, 8)
	for i := range servers {
		servers[i] = Seen{Cell: i % 4, Ready: true}
	}
	read := func(now Time, s []Seen) Readings { return g.Read(now, s, 0.5, Reading{}) }
	near := func(what string, got Reading, want float64) {
		t.Helper()
		if !got.Known || math.Abs(got.Value-want) > 0.015 { // what is usual fades a little meanwhile
			t.Errorf("%s: %+v, want %g", what, got, want)
		}
	}
	r := read(1000, servers)
	near("all there", r[Lost], 0)
	near("load", r[Load], 0.5)
	if r[Store].Known || r[SegmentLost].Known {
		t.Errorf("known of nothing: %+v", r)
	}
	servers[0].OutUntil, servers[4].Ready = 5000, false // cell 0: one taken out, one draining
	servers[1].Cold = true
	r = read(2000, servers)
	near("a quarter gone", r[Lost], 0.25)
	near("one of six cold", r[Cold], 1.0/6)
	near("cell 0", g.Segment(0)[SegmentLost], 1)
	near("cell 1", g.Segment(1)[SegmentLost], 0)
	near("it is tried again", read(7000, servers)[Lost], 0.25)
	near("and has not failed since", read(8100, servers)[Lost], 0.125)
	near("the list is shorter", read(9000, servers[:4])[Lost], 0.5)
	near("for good: an hour later that is usual", read(9000+3600*Second, servers[:4])[Lost], 0)

	g.List(10_000, false)
	g.List(12_000, false)
	now := 9000 + 3600*Second
	near("the list service is silent", read(now, servers)[ListAge], float64(now-10_000)/1000)
	g.List(now, true)
	near("and back", read(now, servers)[ListAge], 0)

	for i := range 40 { // type 0 is well; a quarter of type 1 is late, a quarter is not answered
		g.Ended(0, true, 100, 200)
		g.Ended(1, i%4 != 0, Time(100+150*(i%4/3)), 200)
	}
	near("the worst type", read(now, servers)[Late], 0.5)
	near("later too few to tell", read(now+10*lateFades, servers)[Late], 0)
}
