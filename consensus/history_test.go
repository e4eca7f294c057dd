package consensus

import (
	"fmt"
	"runtime"
	"testing"
	"unsafe"
)

func changeRequest(n int) ChangeRequest {
	return ChangeRequest{Version: Version(n), BasedOn: Version(n - 1), Digest: fmt.Sprintf("%032d", n)}
}

// commitUpTo has versions 1 to n agreed, and tells the ledger of every step-th value only.
func commitUpTo(l *History, v *Value, n, step int) *Value {
	for i := int(v.Version) + 1; i <= n; i++ {
		v, _ = changeRequest(i).Evaluate(v)
		if i%step == 0 {
			l.Learn(v)
		}
	}
	return v
}

// However many changes came since, a call that was taken is never refused: the ledger of a machine that was there knows it, and
// any other leaves it unclear. One that lost is refused while the value remembers its time, and unclear afterwards.
func TestOldChangeRequestIsUnknownNotConflict(t *testing.T) {
	v, l := Genesis([]Member{{1, "a"}}), &History{}
	const changes = 10 * RetainedRevisions
	v = commitUpTo(l, v, changes, RetainedRevisions/2)
	for i := 1; i <= changes; i++ {
		c := changeRequest(i)
		next, fate := c.Evaluate(v)
		remembered := i >= changes-RetainedRevisions
		if next != v || remembered && fate != OutcomeCommitted || !remembered && fate != OutcomeUnknown {
			t.Fatalf("version %d of %d: fate %d", i, changes, fate)
		}
		if !l.ContainsChange(c) {
			t.Fatalf("version %d is not in the ledger", i)
		}
		other := c
		other.Digest = "another operator's"
		_, fate = other.Evaluate(v)
		if remembered && fate != OutcomeConflict || !remembered && fate != OutcomeUnknown || l.ContainsChange(other) {
			t.Fatalf("another version %d of %d: fate %d", i, changes, fate)
		}
	}
	if _, fate := (ChangeRequest{Version: changes + 9, BasedOn: 3, Digest: "x"}).Evaluate(v); fate != OutcomeConflict {
		t.Errorf("a new version on an old base: fate %d", fate)
	}
	if _, fate := (ChangeRequest{Version: changes + 9, BasedOn: changes + 1, Digest: "x"}).Evaluate(v); fate != OutcomeUnknown {
		t.Errorf("a version on one that is not there yet: fate %d", fate)
	}
	if _, fate := (ChangeRequest{Version: changes, BasedOn: changes, Digest: "x"}).Evaluate(v); fate != OutcomeVersionTooLow {
		t.Errorf("a version that is not above: fate %d", fate)
	}
}

// The ledger keeps over a day of 24,000 changes, and no more than its bound.
func TestHistoryIsBounded(t *testing.T) {
	const day = 24000
	if MinHistoryEntries < day {
		t.Fatalf("it holds %d", MinHistoryEntries)
	}
	l := &History{}
	v := commitUpTo(l, Genesis([]Member{{1, "a"}}), 3*day, RetainedRevisions)
	entries := 0
	for _, block := range l.configurations.blocks {
		entries += cap(block)
	}
	if entries > historyBlockSize*historyBlockCount {
		t.Errorf("it has room for %d entries", entries)
	}
	newest := int(v.Version) / RetainedRevisions * RetainedRevisions
	for _, i := range []int{newest, newest - day + 1, newest - MinHistoryEntries + 1} {
		if !l.ContainsChange(changeRequest(i)) {
			t.Errorf("version %d of %d is not in it", i, newest)
		}
	}
	if l.ContainsChange(changeRequest(1)) {
		t.Error("the oldest was not dropped")
	}
}

// Notes have sequences of their own.
func TestHistoryContainsDocumentChanges(t *testing.T) {
	v, l := Genesis([]Member{{1, "a"}}), &History{}
	note := func(name string, n int) DocumentChangeRequest {
		return DocumentChangeRequest{Name: name, BasedOn: Version(n - 1), Digest: fmt.Sprint(name, n)}
	}
	for i := 1; i <= 5*RetainedDocumentRevisions; i++ {
		v, _, _ = note("x", i).Evaluate(v)
		v, _, _ = note("y", i).Evaluate(v)
		l.Learn(v)
	}
	for i := 1; i <= 5*RetainedDocumentRevisions; i++ {
		if !l.ContainsDocumentChange(note("x", i)) || !l.ContainsDocumentChange(note("y", i)) || l.ContainsDocumentChange(note("z", i)) {
			t.Fatalf("version %d", i)
		}
		other := note("x", i)
		other.Digest = "y"
		_, _, fate := note("x", i).Evaluate(v)
		_, _, others := other.Evaluate(v)
		if remembered := i >= 4*RetainedDocumentRevisions; remembered && (fate != OutcomeCommitted || others != OutcomeConflict) || !remembered && (fate != OutcomeUnknown || others != OutcomeUnknown) {
			t.Fatalf("version %d: fates %d, %d", i, fate, others)
		}
	}
}

// What was taken is not held against what came later; what would be new is.
func TestDocumentCompatibilityCheckedOnlyForNewVersions(t *testing.T) {
	fits := func(v *Value) bool { return v.Version < 2 }
	c := DocumentChangeRequest{Name: "x", Digest: "d", Compatible: fits}
	v := Genesis([]Member{{1, "a"}}).WithConfiguration(1, 0, "c1", nil)
	v, at, fate := c.Evaluate(v)
	if at != 1 || fate != OutcomeCommitted {
		t.Fatalf("a note that fits: version %d, fate %d", at, fate)
	}
	v = v.WithConfiguration(2, 1, "c2", nil)
	if next, at, fate := c.Evaluate(v); next != v || at != 1 || fate != OutcomeCommitted {
		t.Errorf("the same again, beside another configuration: version %d, fate %d", at, fate)
	}
	if next, _, fate := (DocumentChangeRequest{Name: "x", BasedOn: 1, Digest: "e", Compatible: fits}).Evaluate(v); next != v || fate != OutcomeIncompatible {
		t.Errorf("one that does not fit: fate %d", fate)
	}
}

// BenchmarkHistory tells what a day's changes take in memory, and what learning and asking take.
func BenchmarkHistory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := &History{}
	v := commitUpTo(l, Genesis([]Member{{1, "a"}}), 24000, RetainedRevisions/2)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("learn", func(b *testing.B) {
		for range b.N {
			l.Learn(v)
		}
	})
	b.Run("holds", func(b *testing.B) {
		c := changeRequest(12000)
		for range b.N {
			if !l.ContainsChange(c) {
				b.Fatal("it is not there")
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "heap-KiB-at-24000")
		b.ReportMetric(float64(unsafe.Sizeof(historyEntry{})), "B/entry")
	})
}
