package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

// TestOneFileTruncated truncates each file at each byte, or removes it. Exactly the acknowledged records must be recovered,
// the damage reported and the store repaired.
func TestOneFileTruncated(t *testing.T) {
	for name, closed := range map[string]bool{"closed": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			d := faultdisk.New(1)
			s, _ := open(t, d)
			want := fill(t, s, 40)
			files := d.Files()
			if s.Close(); closed {
				files = d.Files()
			}
			cases := 0
			for file, b := range files {
				const removed = -1
				for size := removed; size < len(b); size++ {
					truncated := maps.Clone(files)
					if truncated[file] = b[:max(size, 0)]; size == removed {
						delete(truncated, file)
					}
					reported := file != "mark" || size >= 0 // a missing watermark file does not count as damage
					when := fmt.Sprintf("%s truncated to %d of %d", file, size, len(b))
					checkRepair(t, faultdisk.NewWithFiles(uint64(size+1), truncated), want, reported, when)
					cases++
				}
			}
			if cases < 3000 {
				t.Errorf("%d cases, want at least 3000", cases)
			}
		})
	}
}

// checkRepair opens a damaged store that has lost no records, and checks that it is recovered and repaired. reported states
// whether damage must be reported.
func checkRepair(t *testing.T, d *faultdisk.Disk, want contents, reported bool, when string) {
	t.Helper()
	s, report := open(t, d)
	want.check(t, s, when)
	if reported && len(report.Damage) == 0 {
		t.Fatalf("%s: the damage is not reported", when)
	}
	if len(report.Lost) > 0 {
		t.Fatalf("%s: %v are reported as lost", when, report.Lost)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("%s: close: %v", when, err)
	}
	if report, err := store.Check(d); err != nil || len(report.Damage) > 0 {
		t.Fatalf("%s: not repaired: damage %v, error %v", when, report.Damage, err)
	}
}

// TestOneByteFlipped flips one bit of each byte of each file. All records must be recovered and the damage reported.
func TestOneByteFlipped(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	want := fill(t, s, 30)
	s.Close()
	files := d.Files()
	for name, b := range files {
		for i := range b {
			flipped := maps.Clone(files)
			flipped[name] = bytes.Clone(b)
			flipped[name][i] ^= 1 << (i % 8)
			s, report := open(t, faultdisk.NewWithFiles(1, flipped))
			when := fmt.Sprintf("%s, byte %d", name, i)
			if want.check(t, s, when); len(report.Damage) == 0 {
				t.Fatalf("%s: the damage is not reported", when)
			}
			s.Close()
		}
	}
}

// The commits of TestBothMirrorsTruncated.
const (
	mirrorsTestCommits = 30
	mirrorsTestValue   = 30 // length of a value in bytes
)

// TestBothMirrorsTruncated truncates files in both mirrors. Exactly the records that either mirror still holds must be
// recovered, and all others reported as lost.
func TestBothMirrorsTruncated(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	for i := range mirrorsTestCommits {
		if err := s.Commit(set(fmt.Sprintf("k%02d", i), strings.Repeat("v", mirrorsTestValue))); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	files := d.Files()
	names := slices.Sorted(maps.Keys(files))
	rapid.Check(t, func(t *rapid.T) {
		truncated := maps.Clone(files)
		for range rapid.IntRange(1, 6).Draw(t, "truncations") {
			name := rapid.SampledFrom(names).Draw(t, "file")
			if name == "mark" {
				continue
			}
			truncated[name] = truncated[name][:rapid.IntRange(0, len(truncated[name])).Draw(t, "size")]
		}
		checkLoss(t, truncated, keysInFiles(files, truncated))
	})
}

// keysInFiles returns the keys whose records either mirror still holds. It searches the files without using the package's
// code.
func keysInFiles(files, truncated map[string][]byte) map[string]bool {
	const headerSize = 76
	keys := map[string]bool{}
	for i := range mirrorsTestCommits {
		key := fmt.Sprintf("k%02d", i)
		for name, b := range truncated {
			start := bytes.Index(files[name], []byte(key))
			if start >= 0 && len(b) >= start+len(key)+1+mirrorsTestValue && len(b) >= headerSize {
				keys[key] = true
			}
		}
	}
	return keys
}

// checkLoss opens a store of TestBothMirrorsTruncated that has lost all keys except the given ones, and checks that the
// loss is reported and that the store opens once it is accepted.
func checkLoss(t *rapid.T, files map[string][]byte, keys map[string]bool) {
	d := faultdisk.NewWithFiles(1, files)
	s, report, err := store.Open(d, smallSegments())
	var loss *store.LossError
	if (len(keys) < mirrorsTestCommits) != errors.As(err, &loss) {
		t.Fatalf("%d of %d records are in the files, open returns %v", len(keys), mirrorsTestCommits, err)
	}
	if err == nil {
		s.Close()
		return
	}
	lost := 0
	for _, r := range report.Lost {
		lost += int(r.Last - r.First + 1)
	}
	if lost != mirrorsTestCommits-len(keys) {
		t.Fatalf("%d of %d records are in the files, %v are reported as lost", len(keys), mirrorsTestCommits, report.Lost)
	}
	o := smallSegments()
	o.AcceptLoss = true
	if s, report, err = store.Open(d, o); err != nil || !report.LossAccepted {
		t.Fatalf("with the loss accepted: %v, %+v", err, report)
	}
	got := s.All(1)
	for key := range got {
		if !keys[key] {
			t.Fatalf("%s is recovered although neither mirror holds it", key)
		}
	}
	if len(got) != len(keys) {
		t.Fatalf("%d records are recovered, %d are in the files", len(got), len(keys))
	}
	s.Close()
	if s, _, err = store.Open(d, smallSegments()); err != nil {
		t.Fatalf("opened again: %v", err)
	}
	s.Close()
}

// TestNewerVersionRejected checks that a store with files of a newer format version is rejected and its files are not
// modified.
func TestNewerVersionRejected(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	fill(t, s, 5)
	s.Close()
	files := d.Files()
	for name, b := range files {
		if strings.HasSuffix(name, ".log") {
			files[name] = store.WithVersion(b, store.Version+1)
		}
	}
	d = faultdisk.NewWithFiles(1, files)
	var newer store.VersionError
	if _, _, err := store.Open(d, smallSegments()); !errors.As(err, &newer) || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("got error %v, want a VersionError of version 2", err)
	}
	after := d.Files()
	for name, b := range files {
		if !bytes.Equal(b, after[name]) {
			t.Errorf("%s was changed", name)
		}
	}
}

// TestForeignSegmentRejected checks that a store is rejected if one mirror holds a log file of another store, which
// contradicts the other mirror.
func TestForeignSegmentRejected(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	if err := s.Commit(set("a", "old")); err != nil {
		t.Fatal(err)
	}
	old := d.Files()
	s.Close()
	d = faultdisk.New(2)
	s, _ = open(t, d)
	if err := s.Commit(set("a", "new")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	files := d.Files()
	files["a/00000001.log"] = old["a/00000001.log"]
	if _, report, err := store.Open(faultdisk.NewWithFiles(1, files), smallSegments()); err == nil {
		t.Errorf("accepted: %+v", report)
	}
}
