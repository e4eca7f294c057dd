package faultdisk_test

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"syscall"
	"testing"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

func create(t *testing.T, d *faultdisk.Disk, name, content string) store.File {
	t.Helper()
	f, err := d.Create(name)
	if err != nil {
		t.Fatalf("create %s: %v", name, err)
	}
	if _, err := f.Write([]byte(content)); err != nil {
		t.Fatalf("write %s: %v", name, err)
	}
	return f
}

func TestCrashKeepsWhatWasSynced(t *testing.T) {
	for seed := range uint64(50) {
		d := faultdisk.New(seed)
		if err := create(t, d, "a/synced", "durable").Sync(); err != nil {
			t.Fatal(err)
		}
		if err := d.SyncDir("a"); err != nil {
			t.Fatal(err)
		}
		create(t, d, "a/unsynced", "volatile")
		found := d.Crash().Files()
		if got := string(found["a/synced"]); got != "durable" {
			t.Errorf("seed %d: the synced file holds %q", seed, got)
		}
		if got := found["a/unsynced"]; len(got) > len("volatile") {
			t.Errorf("seed %d: the unsynced file holds %q", seed, got)
		}
		if _, err := d.Read("a/synced"); !errors.Is(err, faultdisk.ErrCrashed) {
			t.Errorf("seed %d: reading after the crash returned %v", seed, err)
		}
	}
}

// TestCrashIsDeterministic checks that the same seed leads to the same disk after a crash, as failing crash tests are
// reproduced by their seed.
func TestCrashIsDeterministic(t *testing.T) {
	crash := func(seed uint64) map[string][]byte {
		d := faultdisk.NewWithFiles(seed, map[string][]byte{"a/old": bytes.Repeat([]byte("o"), 300)})
		create(t, d, "a/new", string(bytes.Repeat([]byte("n"), 500)))
		create(t, d, "a/old", "short")
		if err := d.Rename("a/new", "a/renamed"); err != nil {
			t.Fatal(err)
		}
		return d.Crash().Files()
	}
	outcomes := map[string]bool{}
	for seed := range uint64(30) {
		first, second := crash(seed), crash(seed)
		if !maps.EqualFunc(first, second, bytes.Equal) {
			t.Errorf("seed %d: two crashes left %q and %q", seed, first, second)
		}
		var summary []byte
		for _, name := range slices.Sorted(maps.Keys(first)) {
			summary = append(append(summary, name...), first[name]...)
		}
		outcomes[string(summary)] = true
	}
	if len(outcomes) < 10 {
		t.Errorf("30 seeds led to %d different disks, want at least 10", len(outcomes))
	}
}

func TestFaults(t *testing.T) {
	injected := errors.New("injected")
	for _, test := range []struct {
		name    string
		prepare func(d *faultdisk.Disk)
		written int
		err     error
	}{
		{"none", func(*faultdisk.Disk) {}, 10, nil},
		{"short write", func(d *faultdisk.Disk) {
			d.Inject = func(op faultdisk.Operation) faultdisk.Fault {
				if op.Kind == faultdisk.OpWrite {
					return faultdisk.Fault{Err: injected, ShortWrite: 4}
				}
				return faultdisk.Fault{}
			}
		}, 4, injected},
		{"disk full", func(d *faultdisk.Disk) { d.Capacity = 7 }, 7, syscall.ENOSPC},
		{"crash", func(d *faultdisk.Disk) { d.CrashAt = 2 }, 0, faultdisk.ErrCrashed},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := faultdisk.New(1)
			test.prepare(d)
			f, err := d.Create("a/file")
			if err != nil {
				t.Fatal(err)
			}
			n, err := f.Write([]byte("0123456789"))
			if n != test.written || !errors.Is(err, test.err) {
				t.Errorf("write returned %d, %v; want %d, %v", n, err, test.written, test.err)
			}
		})
	}
}

func TestFalseSuccessMakesNothingDurable(t *testing.T) {
	lost := 0
	for seed := range uint64(50) {
		d := faultdisk.New(seed)
		d.Inject = func(op faultdisk.Operation) faultdisk.Fault {
			return faultdisk.Fault{FalseSuccess: op.Kind == faultdisk.OpSync}
		}
		if err := create(t, d, "a/file", "content").Sync(); err != nil {
			t.Fatal(err)
		}
		if err := d.SyncDir("a"); err != nil {
			t.Fatal(err)
		}
		if string(d.Crash().Files()["a/file"]) != "content" {
			lost++
		}
	}
	if lost == 0 {
		t.Error("no crash lost what a sync falsely reported as durable")
	}
}

func TestMissingFiles(t *testing.T) {
	d := faultdisk.New(1)
	for name, err := range map[string]error{
		"read":   func() error { _, err := d.Read("a/none"); return err }(),
		"rename": d.Rename("a/none", "a/other"),
		"remove": d.Remove("a/none"),
	} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%s of a missing file returned %v", name, err)
		}
	}
	if names, err := d.List("a"); len(names) != 0 || err != nil {
		t.Errorf("a missing directory lists %v, %v", names, err)
	}
	if got := d.OperationCount(); got != 4 {
		t.Errorf("%d operations are counted, want 4", got)
	}
}

func TestLockIsExclusive(t *testing.T) {
	d := faultdisk.New(1)
	unlock, err := d.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Lock(); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second lock returned %v", err)
	}
	unlock()
	if _, err := d.Lock(); err != nil {
		t.Errorf("a released lock returned %v", err)
	}
}
