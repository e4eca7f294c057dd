package degradation

import (
	"math"
	"testing"
)

func TestMonitorMeasuresSignals(t *testing.T) {
	g := NewMonitor(4, 1, 2)
	servers := make([]Server, 8)
	for i := range servers {
		servers[i] = Server{Cell: i % 4, Ready: true}
	}
	read := func(now Time, s []Server) Readings { return g.Measure(now, s, 0.5, Reading{}) }
	near := func(what string, got Reading, want float64) {
		t.Helper()
		if !got.Known || math.Abs(got.Value-want) > 0.015 { // what is usual fades a little meanwhile
			t.Errorf("%s: %+v, want %g", what, got, want)
		}
	}
	r := read(1000, servers)
	near("all there", r[LostCapacity], 0)
	near("load", r[LoadRatio], 0.5)
	if r[StoreUnavailable].Known || r[SegmentLostCapacity].Known {
		t.Errorf("known of nothing: %+v", r)
	}
	servers[0].EjectedUntil, servers[4].Ready = 5000, false // cell 0: one taken out, one draining
	servers[1].WarmingUp = true
	r = read(2000, servers)
	near("a quarter gone", r[LostCapacity], 0.25)
	near("one of six cold", r[WarmingUp], 1.0/6)
	near("cell 0", g.MeasureSegment(0)[SegmentLostCapacity], 1)
	near("cell 1", g.MeasureSegment(1)[SegmentLostCapacity], 0)
	near("it is tried again", read(7000, servers)[LostCapacity], 0.25)
	near("and has not failed since", read(8100, servers)[LostCapacity], 0.125)
	near("the list is shorter", read(9000, servers[:4])[LostCapacity], 0.5)
	near("for good: an hour later that is usual", read(9000+3600*Second, servers[:4])[LostCapacity], 0)

	g.RecordListResult(10_000, false)
	g.RecordListResult(12_000, false)
	now := 9000 + 3600*Second
	near("the list service is silent", read(now, servers)[ServerListAge], float64(now-10_000)/1000)
	g.RecordListResult(now, true)
	near("and back", read(now, servers)[ServerListAge], 0)

	for i := range 40 { // type 0 is well; a quarter of type 1 is late, a quarter is not answered
		g.RecordRequest(0, true, 100, 200)
		g.RecordRequest(1, i%4 != 0, Time(100+150*(i%4/3)), 200)
	}
	near("the worst type", read(now, servers)[LateRatio], 0.5)
	near("later too few to tell", read(now+10*latenessDecay, servers)[LateRatio], 0)
}
