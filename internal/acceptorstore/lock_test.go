package acceptorstore

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// lockedStateFile creates a state file with an accepted value and locks it as another process does. unlock releases the lock.
func lockedStateFile(t *testing.T) (dir string, unlock func()) {
	t.Helper()
	dir = t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	update(t, s, acceptStep(5))
	s.Close()
	file, err := os.OpenFile(filepath.Join(dir, fileName), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
	original := lockTimeout
	lockTimeout = 10 * time.Millisecond
	t.Cleanup(func() {
		lockTimeout = original
		file.Close()
	})
	return dir, func() { file.Close() }
}

// A state file whose lock another process holds is not damaged: Open waits for the lock and continues with the identity and the promises in
// the file. It was set aside and replaced, and what the acceptor had accepted was lost.
func TestOpenWaitsForLock(t *testing.T) {
	dir, unlock := lockedStateFile(t)
	waits := 0
	s, setAsidePath, err := OpenWhile(dir, 0, func() bool {
		if waits++; waits == 3 {
			unlock()
		}
		return true
	})
	if err != nil || setAsidePath != "" || s.State().ID != 77 || s.State().Value == nil || s.State().Value.Slot != 5 {
		t.Fatalf("%v, set aside as %q", err, setAsidePath)
	}
	defer s.Close()
	if waits != 3 {
		t.Errorf("opened after %d waits, want 3", waits)
	}
	update(t, s, acceptStep(6))
}

func TestGivingUpTheLockLeavesTheFile(t *testing.T) {
	dir, unlock := lockedStateFile(t)
	if _, setAsidePath, err := OpenWhile(dir, 0, func() bool { return false }); !errors.Is(err, ErrLocked) || setAsidePath != "" {
		t.Fatalf("%v, set aside as %q, want %v", err, setAsidePath, ErrLocked)
	}
	unlock()
	s, setAsidePath, err := Open(dir, 0)
	if err != nil || setAsidePath != "" || s.State().ID != 77 {
		t.Fatalf("%v, set aside as %q", err, setAsidePath)
	}
	s.Close()
}

// An error of the operating system says nothing about the contents of the file, which must not be set aside.
func TestFileThatCannotBeOpenedIsLeft(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	if err := os.Mkdir(path, 0o755); err != nil { // opening it for writing fails with EISDIR
		t.Fatal(err)
	}
	if _, setAsidePath, err := Open(dir, 77); !errors.Is(err, syscall.EISDIR) || setAsidePath != "" {
		t.Errorf("%v, set aside as %q, want %v", err, setAsidePath, syscall.EISDIR)
	}
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		t.Errorf("the file was changed: %v", err)
	}
}
