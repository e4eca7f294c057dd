package degradation

import (
	"math"
	"testing"
)

func TestMonitorMeasuresSignals(t *testing.T) {
	monitor := NewMonitor(4, 1, 2)
	servers := make([]Server, 8)
	for i := range servers {
		servers[i] = Server{Cell: i % 4, Ready: true}
	}
	read := func(now Time, s []Server) Readings { return monitor.Measure(now, s, 0.5, Reading{}) }
	near := func(what string, got Reading, want float64) {
		t.Helper()
		if !got.Known || math.Abs(got.Value-want) > 0.015 { // the baseline decays a little meanwhile
			t.Errorf("%s: %+v, want %g", what, got, want)
		}
	}
	r := read(1000, servers)
	near("all servers ready", r[LostCapacity], 0)
	near("load", r[LoadRatio], 0.5)
	if r[StoreUnavailable].Known || r[SegmentLostCapacity].Known {
		t.Errorf("signals known without a source: %+v", r)
	}
	servers[0].EjectedUntil, servers[4].Ready = 5000, false // cell 0: one ejected, one draining
	servers[1].WarmingUp = true
	r = read(2000, servers)
	near("a quarter lost", r[LostCapacity], 0.25)
	near("one of six warming up", r[WarmingUp], 1.0/6)
	near("cell 0", monitor.MeasureSegment(0)[SegmentLostCapacity], 1)
	near("cell 1", monitor.MeasureSegment(1)[SegmentLostCapacity], 0)
	near("just after the ejection", read(7000, servers)[LostCapacity], 0.25)
	near("after the recovery delay", read(8100, servers)[LostCapacity], 0.125)
	near("half of the servers left the list", read(9000, servers[:4])[LostCapacity], 0.5)
	near("an hour later, with a new baseline", read(9000+3600*Second, servers[:4])[LostCapacity], 0)

	monitor.RecordListResult(10_000, false)
	monitor.RecordListResult(12_000, false)
	now := 9000 + 3600*Second
	near("discovery has failed for an hour", read(now, servers)[ServerListAge], float64(now-10_000)/1000)
	monitor.RecordListResult(now, true)
	near("discovery is back", read(now, servers)[ServerListAge], 0)

	for i := range 40 { // type 0 is in time; a quarter of type 1 is late, a quarter is not answered
		monitor.RecordRequest(0, true, 100, 200)
		monitor.RecordRequest(1, i%4 != 0, Time(100+150*(i%4/3)), 200)
	}
	near("of the worst query type", read(now, servers)[LateRatio], 0.5)
	near("with too few requests", read(now+10*latenessDecay, servers)[LateRatio], 0)
}
