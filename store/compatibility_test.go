package store_test

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

// writeVersion1 makes the commits with which an earlier revision of this package wrote testdata/v1, and returns the
// contents that result from them.
func writeVersion1(t *testing.T, s *store.Store) map[store.Table]map[string]string {
	t.Helper()
	want := map[store.Table]map[string]string{1: {}, 2: {}}
	for i := range 30 {
		key, value := fmt.Sprintf("key-%d", i%9), fmt.Sprintf("value %d %s", i, strings.Repeat("x", i%40))
		op := store.Op{Table: 1, Key: key, Value: []byte(value)}
		ops := []store.Op{op}
		want[1][key] = value
		if i%7 == 6 {
			ops = []store.Op{{Table: 1, Key: key, Delete: true}, {Table: 2, Key: "last", Value: []byte(value)}}
			delete(want[1], key)
			want[2]["last"] = value
		}
		if err := s.Commit(ops...); err != nil {
			t.Fatal(err)
		}
		if i == 15 {
			if err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	return want
}

// readTestdata returns the files in a directory and in its mirrors by their names relative to the directory.
func readTestdata(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	paths, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	mirrorPaths, err := filepath.Glob(filepath.Join(dir, "?", "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range append(paths, mirrorPaths...) {
		if info, err := os.Stat(path); err != nil || info.IsDir() {
			continue
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.ToSlash(name)] = b
	}
	if len(files) != 7 {
		t.Fatalf("%s has the files %v, want 7 files", dir, slices.Sorted(maps.Keys(files)))
	}
	return files
}

// checkTables compares the tables of a store with the expected ones.
func checkTables(t *testing.T, got map[store.Table]map[string][]byte, want map[store.Table]map[string]string) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%d tables, want %d", len(got), len(want))
	}
	for table, values := range want {
		same := maps.EqualFunc(got[table], values, func(a []byte, b string) bool { return string(a) == b })
		if !same {
			t.Errorf("table %d is %q, want %q", table, got[table], values)
		}
	}
}

// TestVersion1Files checks that files of format version 1 are read and opened unchanged, and that the same commits still
// write the same bytes.
func TestVersion1Files(t *testing.T) {
	files := readTestdata(t, filepath.Join("testdata", "v1"))
	d := faultdisk.New(1)
	s, _ := open(t, d)
	want := writeVersion1(t, s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	t.Run("read", func(t *testing.T) {
		got, report, err := store.Contents(faultdisk.NewWithFiles(1, files))
		if err != nil || len(report.Damage) > 0 || len(report.Lost) > 0 || report.LastRecord != 30 {
			t.Fatalf("%v, %+v", err, report)
		}
		checkTables(t, got, want)
	})
	t.Run("open", func(t *testing.T) {
		d := faultdisk.NewWithFiles(1, files)
		s, report := open(t, d)
		if report.Repaired || len(report.Damage) > 0 {
			t.Errorf("%+v", report)
		}
		checkTables(t, map[store.Table]map[string][]byte{1: s.All(1), 2: s.All(2)}, want)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		for name, b := range d.Files() {
			if old, ok := files[name]; ok && !bytes.Equal(b, old) {
				t.Errorf("%s has been changed", name)
			}
		}
	})
	t.Run("write", func(t *testing.T) {
		written := d.Files()
		for name, b := range files {
			if !bytes.Equal(written[name], b) {
				t.Errorf("%s is %x, want %x", name, written[name], b)
			}
		}
		if len(written) != len(files) {
			t.Errorf("files %v, want %v", slices.Sorted(maps.Keys(written)), slices.Sorted(maps.Keys(files)))
		}
	})
}
