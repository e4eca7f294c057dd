package acceptorstore

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A name lasts through a loss of power only once its folder was synced: no store is handed out before, whether its file was just made,
// was made by a run that may have ended too soon, or was put in the place of one that is damaged.
func TestDirectoryIsSyncedBeforeUse(t *testing.T) {
	real := syncDirectory
	defer func() { syncDirectory = real }()
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for _, k := range []struct {
		what   string
		before func()
	}{
		{"a new file", func() {}},
		{"one of an earlier run", func() {}},
		{"one in place of a damaged one", func() {
			if err := os.WriteFile(path, make([]byte, 64<<10), 0o644); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		k.before()
		setAsidePath := func() int {
			names, err := filepath.Glob(path + "*")
			if err != nil {
				t.Fatal(err)
			}
			return len(names)
		}
		syncDirectory = func(string) error { return errors.New("no") }
		if s, _, err := Open(dir, 0); err == nil {
			s.Close()
			t.Errorf("%s: handed out though its folder could not be synced", k.what)
		}
		files, synced := setAsidePath(), 0
		syncDirectory = func(of string) error {
			if synced = setAsidePath(); of != dir {
				t.Errorf("%s: %s was synced", k.what, of)
			}
			return real(of)
		}
		s, _, err := Open(dir, 0)
		if err != nil {
			t.Fatalf("%s: %v", k.what, err)
		}
		if synced != files || setAsidePath() != files {
			t.Errorf("%s: the folder was synced with %d files, there are %d", k.what, synced, setAsidePath())
		}
		s.Close()
	}
}
