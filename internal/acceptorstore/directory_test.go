package acceptorstore

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A new file may be lost in a power failure until its directory has been synced, so Open must not return a store before that.
func TestDirectoryIsSyncedBeforeUse(t *testing.T) {
	realSync := syncDirectory
	defer func() { syncDirectory = realSync }()
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for _, test := range []struct { // run in order, in the same directory
		name    string
		prepare func()
	}{
		{"new file", func() {}},
		{"file of an earlier run", func() {}},
		{"file that replaces a damaged one", func() {
			if err := os.WriteFile(path, make([]byte, 64<<10), 0o644); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.prepare()
			syncDirectory = func(string) error { return errors.New("no") }
			if s, _, err := Open(dir, 0); err == nil {
				s.Close()
				t.Error("Open returned a store although its directory could not be synced")
			}
			files, synced := countFiles(t, path), 0
			syncDirectory = func(syncedDir string) error {
				if synced = countFiles(t, path); syncedDir != dir {
					t.Errorf("%s was synced, want %s", syncedDir, dir)
				}
				return realSync(syncedDir)
			}
			s, _, err := Open(dir, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if count := countFiles(t, path); synced != files || count != files {
				t.Errorf("the directory was synced with %d files, it has %d now", synced, count)
			}
		})
	}
}

// countFiles returns the number of files whose paths begin with a prefix.
func countFiles(t *testing.T, prefix string) int {
	t.Helper()
	names, err := filepath.Glob(prefix + "*")
	if err != nil {
		t.Fatal(err)
	}
	return len(names)
}
