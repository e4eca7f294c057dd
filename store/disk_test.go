package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oxbowspan/store"
)

// TestDisk checks locking, closing and opening again on the operating system's file system.
func TestDisk(t *testing.T) {
	disk, err := store.OpenDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s, _ := open(t, disk)
	want := fill(t, s, 60)
	if _, _, err := store.Open(disk, smallSegments()); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened while it is open: got error %v, want ErrLocked", err)
	}
	s.Close()
	if err := s.Commit(set("a", "b")); !errors.Is(err, store.ErrClosed) {
		t.Errorf("a commit after Close: %v", err)
	}
	s, report := open(t, disk)
	want.check(t, s, "opened again")
	if len(report.Damage) > 0 || report.Repaired {
		t.Errorf("after a clean shutdown: %+v", report)
	}
	s.Close()
}

// TestDiskWithForeignFiles checks that no store is created in a directory with other files, and that a file is not accepted
// as a directory.
func TestDiskWithForeignFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "letters.txt")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	disk, err := store.OpenDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	var foreign *store.ForeignError
	if _, _, err := store.Open(disk, smallSegments()); !errors.As(err, &foreign) || !strings.Contains(err.Error(), "letters.txt") {
		t.Errorf("a directory with another file: %v", err)
	}
	if _, err := store.OpenDiskReadOnly(file); err == nil {
		t.Error("a file is accepted as a directory")
	}
}
