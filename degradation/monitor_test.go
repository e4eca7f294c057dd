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
	measure := func(now Time, s []Server) Readings { return monitor.Measure(now, s, 0.5, Reading{}) }
	expectNear := func(what string, got Reading, want float64) {
		t.Helper()
		if !got.Known || math.Abs(got.Value-want) > 0.015 { // tolerance for the decay of the baseline between measurements
			t.Errorf("%s: %+v, want %g", what, got, want)
		}
	}
	r := measure(1000, servers)
	expectNear("all servers ready", r[LostCapacity], 0)
	expectNear("load", r[LoadRatio], 0.5)
	if r[StoreUnavailable].Known || r[SegmentLostCapacity].Known {
		t.Errorf("signals are known without a source: %+v", r)
	}
	servers[0].EjectedUntil, servers[4].Ready = 5000, false // cell 0: one ejected, one draining
	servers[1].WarmingUp = true
	r = measure(2000, servers)
	expectNear("a quarter lost", r[LostCapacity], 0.25)
	expectNear("one of six warming up", r[WarmingUp], 1.0/6)
	expectNear("cell 0", monitor.MeasureSegment(0)[SegmentLostCapacity], 1)
	expectNear("cell 1", monitor.MeasureSegment(1)[SegmentLostCapacity], 0)
	expectNear("just after the ejection", measure(7000, servers)[LostCapacity], 0.25)
	expectNear("after the recovery delay", measure(8100, servers)[LostCapacity], 0.125)
	expectNear("half of the servers left the list", measure(9000, servers[:4])[LostCapacity], 0.5)
	expectNear("an hour later, with a new baseline", measure(9000+3600*Second, servers[:4])[LostCapacity], 0)

	monitor.RecordListResult(10_000, false)
	monitor.RecordListResult(12_000, false)
	now := 9000 + 3600*Second
	expectNear("the discovery service has failed for almost an hour", measure(now, servers)[ServerListAge], float64(now-10_000)/1000)
	monitor.RecordListResult(now, true)
	expectNear("the discovery service has recovered", measure(now, servers)[ServerListAge], 0)

	for i := range 40 { // all requests of type 0 are in time; of type 1, a quarter is late and a quarter is not answered
		monitor.RecordRequest(0, true, 100, 200)
		monitor.RecordRequest(1, i%4 != 0, Time(100+150*(i%4/3)), 200)
	}
	expectNear("lateness of the worst query type", measure(now, servers)[LateRatio], 0.5)
	expectNear("lateness with too few requests", measure(now+10*latenessDecay, servers)[LateRatio], 0)
}
