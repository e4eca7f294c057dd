package store_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

// crashWorkload makes commits and compactions until one fails. It returns the acknowledged contents. If a commit failed, it
// also returns the contents with that commit, which the store may hold as well after recovery.
func crashWorkload(d *faultdisk.Disk) (acknowledged, alternative contents) {
	acknowledged = contents{}
	s, _, err := store.Open(d, smallSegments())
	if err != nil {
		return acknowledged, nil
	}
	defer s.Close()
	for i := range 24 {
		ops := []store.Op{set(fmt.Sprintf("key-%d", i%5), fmt.Sprintf("value %d %s", i, strings.Repeat("y", 50)))}
		if i%6 == 5 {
			ops = append(ops, del(fmt.Sprintf("key-%d", (i+2)%5)))
		}
		after := maps.Clone(acknowledged)
		for _, op := range ops {
			if after[op.Key] = string(op.Value); op.Delete {
				delete(after, op.Key)
			}
		}
		if s.Commit(ops...) != nil {
			return acknowledged, after
		}
		acknowledged = after
		if i%10 == 9 && s.Compact() != nil {
			return acknowledged, nil
		}
	}
	return acknowledged, nil
}

// equal reports whether a table holds exactly these contents.
func (want contents) equal(got map[string][]byte) bool {
	return maps.EqualFunc(got, want, func(a []byte, b string) bool { return string(a) == b })
}

// TestCrashAtAnyOperation crashes the machine before each file operation of commits, of the start of a segment and of
// compactions, and for some seeds again before an operation of the following recovery. All acknowledged commits must be
// recovered.
func TestCrashAtAnyOperation(t *testing.T) {
	reference := faultdisk.New(0)
	crashWorkload(reference)
	operations := reference.OperationCount()
	for operation := 1; operation <= operations; operation++ {
		for seed := range uint64(3) {
			d := faultdisk.New(uint64(operation)*10 + seed)
			d.CrashAt = operation
			acknowledged, alternative := crashWorkload(d)
			d = d.Crash()
			files := slices.Sorted(maps.Keys(d.Files()))
			if seed > 0 { // a second crash, during recovery
				d.CrashAt = 1 + rand.New(rand.NewPCG(uint64(operation), seed)).IntN(30)
				if s, _, err := store.Open(d, smallSegments()); err == nil {
					s.Close()
				}
				d = d.Crash()
			}
			when := fmt.Sprintf("crash at %d of %d, seed %d", operation, operations, seed)
			s, report, err := store.Open(d, smallSegments())
			if err != nil {
				t.Fatalf("%s: %v; %+v; files %v", when, err, report, files)
			}
			got := s.All(1)
			if !acknowledged.equal(got) && (alternative == nil || !alternative.equal(got)) {
				t.Fatalf("%s: recovered %q, acknowledged %q", when, got, acknowledged)
			}
			if err := s.Commit(set("after", "all")); err != nil {
				t.Fatalf("%s: a commit after recovery: %v", when, err)
			}
			s.Close()
		}
	}
}

// TestFailedSyncStopsWrites checks that after one failed sync that commit and all later ones are rejected, although the
// next sync would succeed: after a failed sync it is unknown which bytes are durable.
func TestFailedSyncStopsWrites(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	if err := s.Commit(set("a", "1")); err != nil {
		t.Fatal(err)
	}
	failed := false
	d.Inject = func(op faultdisk.Operation) faultdisk.Fault {
		if op.Kind == "sync" && strings.HasPrefix(op.Name, "b/") && !failed {
			failed = true
			return faultdisk.Fault{Err: syscall.EIO}
		}
		return faultdisk.Fault{}
	}
	for i := range 3 {
		if err := s.Commit(set("b", "2")); !errors.Is(err, store.ErrFailed) || i == 0 && !errors.Is(err, syscall.EIO) {
			t.Errorf("commit %d after the failed sync: %v", i, err)
		}
	}
	if _, ok := s.Get(1, "b"); ok {
		t.Error("a commit that was not acknowledged is visible")
	}
	if err := s.Close(); !errors.Is(err, store.ErrFailed) {
		t.Errorf("close: %v", err)
	}
	s, _ = open(t, d.Crash())
	defer s.Close()
	if value, _ := s.Get(1, "a"); string(value) != "1" {
		t.Error("a commit acknowledged before the failed sync is lost")
	}
}

// TestMirrorWithFalseSyncs checks that no commit is lost in a crash if syncs of one mirror report success without effect,
// because the other mirror holds all commits.
func TestMirrorWithFalseSyncs(t *testing.T) {
	for seed := range uint64(20) {
		d := faultdisk.New(seed)
		d.Inject = func(op faultdisk.Operation) faultdisk.Fault {
			return faultdisk.Fault{FalseSuccess: strings.HasPrefix(op.Name, "a/") && op.Kind == "sync"}
		}
		s, _ := open(t, d)
		want := fill(t, s, 25)
		d = d.Crash()
		s.Close()
		s, _ = open(t, d)
		want.check(t, s, fmt.Sprintf("seed %d", seed))
		s.Close()
	}
}
