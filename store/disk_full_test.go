package store_test

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

// commitUntilFull makes 60 commits and a compaction on a disk that may become full. It returns the acknowledged contents
// and the number of rejected commits.
func commitUntilFull(t *testing.T, s *store.Store) (acknowledged contents, rejected int) {
	t.Helper()
	acknowledged = contents{}
	for i := range 60 {
		key, value := fmt.Sprint(i%4), fmt.Sprintf("%d %s", i, strings.Repeat("z", 60))
		switch err := s.Commit(set(key, value)); {
		case err == nil:
			acknowledged[key] = value
		case errors.Is(err, store.ErrFull):
			rejected++
		case errors.Is(err, store.ErrFailed): // the next segment could not be started
			rejected++
		default:
			t.Fatal(err)
		}
		if i == 30 {
			s.Compact()
		}
	}
	return acknowledged, rejected
}

// TestDiskFull checks that commits are rejected and not applied if the disk becomes full during a commit or a compaction.
// Once there is free space again, commits must be accepted, unless the store has failed, and no acknowledged commit may be
// lost.
func TestDiskFull(t *testing.T) {
	for capacity := 1500; capacity < 9000; capacity += 37 {
		t.Run(fmt.Sprintf("capacity=%d", capacity), func(t *testing.T) {
			d := faultdisk.New(uint64(capacity))
			d.Capacity = capacity
			s, _, err := store.Open(d, smallSegments())
			if err != nil {
				return // the disk is too small for the first files
			}
			want, rejected := commitUntilFull(t, s)
			if rejected == 0 && capacity < 3000 {
				t.Fatal("the disk did not become full")
			}
			want.check(t, s, "full")
			failed := s.Stats().Failure != nil
			d.Capacity = 0
			if !failed {
				if err := s.Commit(set("space", "again")); err != nil {
					t.Fatalf("a commit after space was freed: %v", err)
				}
				want["space"] = "again"
			}
			d = d.Crash()
			s.Close()
			s, _ = open(t, d)
			want.check(t, s, "after a crash")
			s.Close()
		})
	}
}

// TestShortWriteIsTruncated checks that a record of which a full disk accepts only a part is truncated in both mirrors, so
// that the records written after it are recovered.
func TestShortWriteIsTruncated(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	short := 0
	d.Inject = func(op faultdisk.Operation) faultdisk.Fault {
		if op.Kind == "write" && short < 2 {
			short++
			return faultdisk.Fault{Err: syscall.ENOSPC, ShortWrite: 30}
		}
		return faultdisk.Fault{}
	}
	if err := s.Commit(set("a", "1")); !errors.Is(err, store.ErrFull) || short != 2 {
		t.Fatalf("%v, %d short writes", err, short)
	}
	want := contents{}
	for i := range 5 {
		key := fmt.Sprint(i)
		if err := s.Commit(set(key, key)); err != nil {
			t.Fatal(err)
		}
		want[key] = key
	}
	d = d.Crash()
	s.Close()
	s, report := open(t, d)
	if want.check(t, s, "after a crash"); len(report.Damage) > 0 {
		t.Errorf("damage: %v", report.Damage)
	}
	s.Close()
}
