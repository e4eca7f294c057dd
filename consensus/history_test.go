package consensus

import (
	"fmt"
	"runtime"
	"testing"
	"unsafe"
)

// changeRequest returns a request for version n based on version n-1.
func changeRequest(n int) ChangeRequest {
	return ChangeRequest{Version: Version(n), BasedOn: Version(n - 1), Digest: fmt.Sprintf("%032d", n)}
}

// commitUpTo commits versions up to n. The history learns only the values whose version is a multiple of step.
func commitUpTo(h *History, v *Value, n, step int) *Value {
	for i := int(v.Version) + 1; i <= n; i++ {
		v, _ = changeRequest(i).Evaluate(v)
		if i%step == 0 {
			h.Learn(v)
		}
	}
	return v
}

// A committed request must never be reported as a conflict, however many changes followed it: the history of a process that
// learned of it contains it, and for any other process its outcome is unknown. A request that lost to another one is a
// conflict while the value lists the revision that won, and unknown afterwards.
func TestOldChangeRequestIsUnknownNotConflict(t *testing.T) {
	const changes = 10 * RetainedRevisions
	h := &History{}
	v := commitUpTo(h, Genesis([]Member{{1, "a"}}), changes, RetainedRevisions/2)
	for i := 1; i <= changes; i++ {
		listed := i >= changes-RetainedRevisions
		wantCommitted, wantLost := OutcomeUnknown, OutcomeUnknown
		if listed {
			wantCommitted, wantLost = OutcomeCommitted, OutcomeConflict
		}
		committed := changeRequest(i)
		if next, outcome := committed.Evaluate(v); next != v || outcome != wantCommitted {
			t.Fatalf("version %d of %d: %s, want %s", i, changes, outcome, wantCommitted)
		}
		if !h.ContainsChange(committed) {
			t.Fatalf("version %d is not in the history", i)
		}
		lost := committed
		lost.Digest = "another operator's"
		if _, outcome := lost.Evaluate(v); outcome != wantLost || h.ContainsChange(lost) {
			t.Fatalf("another version %d of %d: %s, want %s", i, changes, outcome, wantLost)
		}
	}

	for name, c := range map[string]struct {
		request ChangeRequest
		want    Outcome
	}{
		"new version on an old base":             {ChangeRequest{Version: changes + 9, BasedOn: 3, Digest: "x"}, OutcomeConflict},
		"base that is not committed yet":         {ChangeRequest{Version: changes + 9, BasedOn: changes + 1, Digest: "x"}, OutcomeUnknown},
		"version that is not above its own base": {ChangeRequest{Version: changes, BasedOn: changes, Digest: "x"}, OutcomeVersionTooLow},
	} {
		t.Run(name, func(t *testing.T) {
			if _, outcome := c.request.Evaluate(v); outcome != c.want {
				t.Errorf("got %s, want %s", outcome, c.want)
			}
		})
	}
}

// A history must retain more than a day's changes at 24,000 a day, and its capacity must not exceed its limit.
func TestHistoryIsBounded(t *testing.T) {
	const day = 24000
	if MinHistoryEntries < day {
		t.Fatalf("a history retains %d entries, want at least %d", MinHistoryEntries, day)
	}
	h := &History{}
	v := commitUpTo(h, Genesis([]Member{{1, "a"}}), 3*day, RetainedRevisions)
	capacity := 0
	for _, block := range h.configurations.blocks {
		capacity += cap(block)
	}
	if capacity > historyBlockSize*historyBlockCount {
		t.Errorf("the history has capacity for %d entries, want at most %d", capacity, historyBlockSize*historyBlockCount)
	}
	newest := int(v.Version) / RetainedRevisions * RetainedRevisions
	for _, i := range []int{newest, newest - day + 1, newest - MinHistoryEntries + 1} {
		if !h.ContainsChange(changeRequest(i)) {
			t.Errorf("version %d of %d is not in the history", i, newest)
		}
	}
	if h.ContainsChange(changeRequest(1)) {
		t.Error("the oldest version was not dropped")
	}
}

// The history must record the revisions of each document separately.
func TestHistoryContainsDocumentChanges(t *testing.T) {
	const changes = 5 * RetainedDocumentRevisions
	request := func(name string, n int) DocumentChangeRequest {
		return DocumentChangeRequest{Name: name, BasedOn: Version(n - 1), Digest: fmt.Sprint(name, n)}
	}
	v, h := Genesis([]Member{{1, "a"}}), &History{}
	for i := 1; i <= changes; i++ {
		v, _, _ = request("x", i).Evaluate(v)
		v, _, _ = request("y", i).Evaluate(v)
		h.Learn(v)
	}
	for i := 1; i <= changes; i++ {
		if !h.ContainsDocumentChange(request("x", i)) || !h.ContainsDocumentChange(request("y", i)) {
			t.Fatalf("version %d is not in the history", i)
		}
		if h.ContainsDocumentChange(request("z", i)) {
			t.Fatalf("version %d of a document that does not exist is in the history", i)
		}
		wantCommitted, wantLost := OutcomeUnknown, OutcomeUnknown
		if i >= changes-RetainedDocumentRevisions {
			wantCommitted, wantLost = OutcomeCommitted, OutcomeConflict
		}
		lost := request("x", i)
		lost.Digest = "y"
		_, _, committedOutcome := request("x", i).Evaluate(v)
		_, _, lostOutcome := lost.Evaluate(v)
		if committedOutcome != wantCommitted || lostOutcome != wantLost {
			t.Fatalf("version %d: %s and %s, want %s and %s", i, committedOutcome, lostOutcome, wantCommitted, wantLost)
		}
	}
}

// BenchmarkHistory measures the memory used by a day's changes and the cost of learning and of looking up a revision.
func BenchmarkHistory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h := &History{}
	v := commitUpTo(h, Genesis([]Member{{1, "a"}}), 24000, RetainedRevisions/2)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("learn", func(b *testing.B) {
		for range b.N {
			h.Learn(v)
		}
	})
	b.Run("contains", func(b *testing.B) {
		request := changeRequest(12000)
		for range b.N {
			if !h.ContainsChange(request) {
				b.Fatal("version 12000 is not in the history")
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "heap-KiB-at-24000")
		b.ReportMetric(float64(unsafe.Sizeof(historyEntry{})), "B/entry")
	})
}
