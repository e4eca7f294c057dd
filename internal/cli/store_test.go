package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oxbowspan/idempotency"
	"oxbowspan/internal/command"
	"oxbowspan/store"
)

// run runs the program and returns its exit code and its combined output.
func run(args ...string) (code int, out string) {
	var b bytes.Buffer
	code = Main(args, &b, &b)
	return code, b.String()
}

// expectRun runs the program and checks its exit code and that its output contains want.
func expectRun(t *testing.T, code int, want string, args ...string) {
	t.Helper()
	if got, out := run(args...); got != code || !strings.Contains(out, want) {
		t.Errorf("%v: exit code %d, want %d and %q in\n%s", args, got, code, want, out)
	}
}

// openTestStore creates a store with three records, each of which holds the same request's intent and the same server.
func openTestStore(t *testing.T, dir string) *store.Store {
	t.Helper()
	disk, err := store.OpenDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := store.Open(disk, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	table := idempotency.New(idempotency.Config{Retention: 1000})
	_, _, changes := table.Admit(5, "the-key", 1, 10)
	for range 3 {
		intent := store.Op{Table: 1, Key: string(changes[0].Key), Value: changes[0].Value}
		if err := s.Commit(intent, store.Op{Table: 2, Key: "host", Value: []byte(`{"host":"s-1"}`)}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// truncateFiles truncates all files of a mirror to 10 bytes.
func truncateFiles(t *testing.T, mirror string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(mirror, "*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", mirror, err)
	}
	for _, file := range files {
		if err := os.Truncate(file, 10); err != nil {
			t.Fatal(err)
		}
	}
}

func TestStoreCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	s := openTestStore(t, dir)
	expectRun(t, exitFailure, "in use by another process", "store", "check", dir)
	expectRun(t, exitFailure, "in use by another process", "store", "repair", dir)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	expectRun(t, 0, "intact: 3 records, 2 live keys", "store", "check", dir)
	expectRun(t, 0, `request "the-key": intended, may have run; arrived 5, kept until 1015`, "store", "dump", dir)
	expectRun(t, 0, `server "host": {"host":"s-1"}`, "store", "dump", dir)
	expectRun(t, 0, "server 1 keys", "store", "stats", dir)
	expectRun(t, 0, "compacted: 2 live keys", "store", "compact", dir)
	expectRun(t, command.ExitUsage, "DIR", "store", "check")
}

func TestStoreRepair(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("compacted=%t", compacted), func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "store")
			if err := openTestStore(t, dir).Close(); err != nil {
				t.Fatal(err)
			}
			if compacted {
				expectRun(t, 0, "compacted: 2 live keys", "store", "compact", dir)
			}
			checkStoreRepair(t, dir)
		})
	}
}

// checkStoreRepair damages one mirror of a store that openTestStore created, then both, and repairs the store each time.
func checkStoreRepair(t *testing.T, dir string) {
	t.Helper()
	// Damage in one mirror loses nothing.
	truncateFiles(t, filepath.Join(dir, "a"))
	expectRun(t, exitFailure, "damaged: a/", "store", "check", dir)
	expectRun(t, exitFailure, "nothing is lost", "store", "check", dir)
	expectRun(t, 0, "repaired: nothing is lost", "store", "repair", dir)
	expectRun(t, 0, "2 live keys", "store", "check", dir)

	// Damage in both mirrors is repaired only if the loss is accepted.
	truncateFiles(t, filepath.Join(dir, "a"))
	truncateFiles(t, filepath.Join(dir, "b"))
	expectRun(t, exitFailure, "lost: records 1 to 3", "store", "check", dir)
	expectRun(t, exitFailure, "--accept-loss", "store", "repair", dir)
	expectRun(t, 0, "requests among them may be dispatched again", "store", "repair", "--accept-loss", dir)
	expectRun(t, 0, "intact: 3 records, 0 live keys", "store", "check", dir)
}

func TestStoreCommandsDoNotModifyOtherDirectories(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "letters.txt"), "")
	expectRun(t, exitFailure, "letters.txt lies in it", "store", "check", dir)
	expectRun(t, exitFailure, "no such file", "store", "check", filepath.Join(dir, "none"))
	expectRun(t, exitFailure, "no such file", "store", "compact", filepath.Join(dir, "none"))
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 {
		t.Errorf("the directory holds %v, %v", entries, err)
	}
}
