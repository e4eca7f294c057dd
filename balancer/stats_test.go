package balancer

import (
	"encoding/json"
	"slices"
	"testing"
)

// Records of an earlier run lose weight with age. They are ignored if they are too old, from the future, or of another
// incarnation of their server.
func TestRestoredRecordsAge(t *testing.T) {
	before := newHarness(2, nil)
	for range 40 { // server 1 is fast, server 2 slow
		s := before.arrive(1)[0]
		before.finish(s, Time(100*s.Server*s.Server*s.Server), Answered)
	}
	records := before.ServerRecords()
	failIf(t, len(records) != 2, "records of %d servers, want 2", len(records))
	start := func(later Time, change func(*ServerRecord)) *harness {
		b := newHarness(2, nil)
		b.clock = before.clock + later
		b.Handle(b.clock, TimerFired{})
		all := slices.Clone(records)
		for i := range all {
			if change != nil {
				change(&all[i])
			}
		}
		b.handle(RecordsRestored{all})
		return b
	}
	ratio := func(b *harness) float64 {
		call := &shardCall{req: &request{policy: b.types[0]}, size: 1}
		b.updateEstimates()
		return float64(b.predict(b.servers[2], call)) / float64(b.predict(b.servers[1], call))
	}
	now, soon, old := ratio(start(0, nil)), ratio(start(latencyMaxAge/2, nil)), ratio(start(2*latencyMaxAge, nil))
	failIf(t, now < 4 || soon >= now || soon <= 1 || old != 1,
		"predicted latency ratio of the slow to the fast server: %.2f at once, %.2f later, %.2f when old", now, soon, old)
	for what, change := range map[string]func(*ServerRecord){
		"from the future":        func(r *ServerRecord) { r.MeasuredAt += 1000 },
		"of another incarnation": func(r *ServerRecord) { r.StartedAt = 77 },
		"without work":           func(r *ServerRecord) { r.Work = 0 },
	} {
		if got := ratio(start(0, change)); got != 1 {
			t.Errorf("record %s: ratio %.2f, want 1", what, got)
		}
	}
	b := start(0, func(r *ServerRecord) {
		if r.ID == 1 {
			r.EjectedUntil = before.clock + 1<<40
		}
	})
	failIf(t, b.servers[1].ejectedUntil > b.now+maxEjectionFactor*b.baseEjection,
		"ejected for longer than the longest ejection time")
}

// Records stored by earlier versions must stay readable: the JSON keys are older than the field names.
func TestServerRecordJSON(t *testing.T) {
	const stored = `{"ID":3,"UpSince":10,"Took":2.5,"Size":40,"TaughtAt":20,"OutUntil":30,"Failing":0.25}`
	want := ServerRecord{ID: 3, StartedAt: 10, Latency: 2.5, Work: 40, MeasuredAt: 20, EjectedUntil: 30, FailureRate: 0.25}
	var record ServerRecord
	if err := json.Unmarshal([]byte(stored), &record); err != nil || record != want {
		t.Errorf("read %+v, %v, want %+v", record, err, want)
	}
	if raw, err := json.Marshal(want); err != nil || string(raw) != stored {
		t.Errorf("wrote %s, %v, want %s", raw, err, stored)
	}
}
