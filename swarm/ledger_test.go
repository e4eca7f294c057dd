package swarm

import (
	"fmt"
	"runtime"
	"testing"
	"unsafe"
)

func agreedCall(n int) Call {
	return Call{Version: Version(n), BasedOn: Version(n - 1), Digest: fmt.Sprintf("%032d", n)}
}

// agreeUpTo has versions 1 to n agreed, and tells the ledger of every step-th value only.
func agreeUpTo(l *Ledger, v *Value, n, step int) *Value {
	for i := int(v.Version) + 1; i <= n; i++ {
		v, _ = agreedCall(i).Meet(v)
		if i%step == 0 {
			l.Learn(v)
		}
	}
	return v
}

// However many changes came since, a call that was taken is never refused: the ledger of a machine that was there knows it, and
// any other leaves it unclear. One that lost is refused while the value remembers its time, and unclear afterwards.
func TestAFateIsNeverForgottenIntoARefusal(t *testing.T) {
	v, l := Genesis([]Member{{1, "a"}}), &Ledger{}
	const changes = 10 * KeptPasts
	v = agreeUpTo(l, v, changes, KeptPasts/2)
	for i := 1; i <= changes; i++ {
		c := agreedCall(i)
		next, fate := c.Meet(v)
		remembered := i >= changes-KeptPasts
		if next != v || remembered && fate != Taken || !remembered && fate != Unclear {
			t.Fatalf("version %d of %d: fate %d", i, changes, fate)
		}
		if !l.HoldsCall(c) {
			t.Fatalf("version %d is not in the ledger", i)
		}
		other := c
		other.Digest = "another operator's"
		_, fate = other.Meet(v)
		if remembered && fate != Outrun || !remembered && fate != Unclear || l.HoldsCall(other) {
			t.Fatalf("another version %d of %d: fate %d", i, changes, fate)
		}
	}
	if _, fate := (Call{Version: changes + 9, BasedOn: 3, Digest: "x"}).Meet(v); fate != Outrun {
		t.Errorf("a new version on an old base: fate %d", fate)
	}
	if _, fate := (Call{Version: changes + 9, BasedOn: changes + 1, Digest: "x"}).Meet(v); fate != Unclear {
		t.Errorf("a version on one that is not there yet: fate %d", fate)
	}
	if _, fate := (Call{Version: changes, BasedOn: changes, Digest: "x"}).Meet(v); fate != NotAbove {
		t.Errorf("a version that is not above: fate %d", fate)
	}
}

// The ledger keeps over a day of 24,000 changes, and no more than its bound.
func TestALedgerIsBounded(t *testing.T) {
	const day = 24000
	if LedgerEntries < day {
		t.Fatalf("it holds %d", LedgerEntries)
	}
	l := &Ledger{}
	v := agreeUpTo(l, Genesis([]Member{{1, "a"}}), 3*day, KeptPasts)
	entries := 0
	for _, block := range l.configurations.blocks {
		entries += cap(block)
	}
	if entries > ledgerBlock*ledgerBlocks {
		t.Errorf("it has room for %d entries", entries)
	}
	newest := int(v.Version) / KeptPasts * KeptPasts
	for _, i := range []int{newest, newest - day + 1, newest - LedgerEntries + 1} {
		if !l.HoldsCall(agreedCall(i)) {
			t.Errorf("version %d of %d is not in it", i, newest)
		}
	}
	if l.HoldsCall(agreedCall(1)) {
		t.Error("the oldest was not dropped")
	}
}

// Notes have sequences of their own.
func TestALedgerHoldsNotes(t *testing.T) {
	v, l := Genesis([]Member{{1, "a"}}), &Ledger{}
	note := func(name string, n int) NoteCall {
		return NoteCall{Name: name, BasedOn: Version(n - 1), Digest: fmt.Sprint(name, n)}
	}
	for i := 1; i <= 5*KeptNotes; i++ {
		v, _, _ = note("x", i).Meet(v)
		v, _, _ = note("y", i).Meet(v)
		l.Learn(v)
	}
	for i := 1; i <= 5*KeptNotes; i++ {
		if !l.HoldsNote(note("x", i)) || !l.HoldsNote(note("y", i)) || l.HoldsNote(note("z", i)) {
			t.Fatalf("version %d", i)
		}
		other := note("x", i)
		other.Digest = "y"
		_, _, fate := note("x", i).Meet(v)
		_, _, others := other.Meet(v)
		if remembered := i >= 4*KeptNotes; remembered && (fate != Taken || others != Outrun) || !remembered && (fate != Unclear || others != Unclear) {
			t.Fatalf("version %d: fates %d, %d", i, fate, others)
		}
	}
}

// What was taken is not held against what came later; what would be new is.
func TestANoteIsHeldAgainstTheConfigurationOnce(t *testing.T) {
	fits := func(v *Value) bool { return v.Version < 2 }
	c := NoteCall{Name: "x", Digest: "d", Fits: fits}
	v := Genesis([]Member{{1, "a"}}).WithConfig(1, 0, "c1", nil)
	v, at, fate := c.Meet(v)
	if at != 1 || fate != Taken {
		t.Fatalf("a note that fits: version %d, fate %d", at, fate)
	}
	v = v.WithConfig(2, 1, "c2", nil)
	if next, at, fate := c.Meet(v); next != v || at != 1 || fate != Taken {
		t.Errorf("the same again, beside another configuration: version %d, fate %d", at, fate)
	}
	if next, _, fate := (NoteCall{Name: "x", BasedOn: 1, Digest: "e", Fits: fits}).Meet(v); next != v || fate != Unfit {
		t.Errorf("one that does not fit: fate %d", fate)
	}
}

// BenchmarkLedger tells what a day's changes take in memory, and what learning and asking take.
func BenchmarkLedger(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := &Ledger{}
	v := agreeUpTo(l, Genesis([]Member{{1, "a"}}), 24000, KeptPasts/2)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("learn", func(b *testing.B) {
		for range b.N {
			l.Learn(v)
		}
	})
	b.Run("holds", func(b *testing.B) {
		c := agreedCall(12000)
		for range b.N {
			if !l.HoldsCall(c) {
				b.Fatal("it is not there")
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "heap-KiB-at-24000")
		b.ReportMetric(float64(unsafe.Sizeof(ledgerEntry{})), "B/entry")
	})
}
