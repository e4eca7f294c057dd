package experiment

import (
	"context"
	"testing"
)

func TestRuntimeMetrics(t *testing.T) {
	var m runtimeMetrics
	m.observeLine("time=1 event=listening addr=127.0.0.1:80")
	if _, count := m.latest(); count != 0 {
		t.Errorf("%d reports are counted for a line of another event", count)
	}
	m.observeLine("time=1 event=memory pressure=none heap=1000 stacks=200 goroutines=7 peak=50 most=80 forced=3 refused=2")
	want := runtimeReport{heap: 1000, stacks: 200, goroutines: 7, peak: 50, limit: 80, forced: 3, refused: 2}
	if got, count := m.latest(); got != want || count != 1 {
		t.Errorf("got %d reports, the last is %+v, want %+v", count, got, want)
	}
	if used := want.used(); used != 1200 {
		t.Errorf("heap and stacks are %d bytes, want 1200", used)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if got := m.next(cancelled); got != want {
		t.Errorf("without a new report the last one is %+v, want %+v", got, want)
	}
}
