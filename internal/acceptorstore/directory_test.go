package acceptorstore

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A file's name survives a loss of power only once its directory was synced: no store is returned before that.
func TestDirectoryIsSyncedBeforeUse(t *testing.T) {
	realSync := syncDirectory
	defer func() { syncDirectory = realSync }()
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for _, test := range []struct { // in order, in one directory
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
				t.Error("a store is returned though its directory could not be synced")
			}
			files, synced := countFiles(t, path), 0
			syncDirectory = func(synchronized string) error {
				if synced = countFiles(t, path); synchronized != dir {
					t.Errorf("%s was synced", synchronized)
				}
				return realSync(synchronized)
			}
			s, _, err := Open(dir, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if count := countFiles(t, path); synced != files || count != files {
				t.Errorf("the directory was synced with %d files, there are %d", synced, count)
			}
		})
	}
}

// countFiles counts the files whose paths begin with one.
func countFiles(t *testing.T, path string) int {
	t.Helper()
	names, err := filepath.Glob(path + "*")
	if err != nil {
		t.Fatal(err)
	}
	return len(names)
}
