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

// Any one file, truncated at any byte or removed: every acknowledged record is recovered and nothing else is, the damage is
// reported, and the store is repaired.
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
					reported := file != "mark" || size >= 0 // a missing watermark is no damage
					when := fmt.Sprintf("%s truncated to %d of %d", file, size, len(b))
					checkRepair(t, faultdisk.NewWithFiles(uint64(size+1), truncated), want, reported, when)
					cases++
				}
			}
			if cases < 3000 {
				t.Errorf("only %d cases", cases)
			}
		})
	}
}

// checkRepair opens a damaged store that has lost nothing, and checks that it is recovered and repaired.
func checkRepair(t *testing.T, d *faultdisk.Disk, want contents, reported bool, when string) {
	t.Helper()
	s, report := open(t, d)
	want.check(t, s, when)
	if reported && len(report.Damage) == 0 {
		t.Fatalf("%s: not reported", when)
	}
	if len(report.Lost) > 0 {
		t.Fatalf("%s: %v are reported as lost", when, report.Lost)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("%s: close: %v", when, err)
	}
	if report, err := store.Check(d); err != nil || len(report.Damage) > 0 {
		t.Fatalf("%s: not repaired: %v, %v", when, report.Damage, err)
	}
}

// Any one byte changed in any one file.
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
				t.Fatalf("%s: not reported", when)
			}
			s.Close()
		}
	}
}

const (
	mirrorsTestCommits = 30
	mirrorsTestValue   = 30 // bytes
)

// Both mirrors truncated: what is recovered was committed, and what is not is reported.
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

// keysInFiles returns the keys whose records either mirror still holds, found without the package's code.
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

// checkLoss opens a store that has lost all keys of TestBothMirrorsTruncated but some, and accepts the loss.
func checkLoss(t *rapid.T, files map[string][]byte, keys map[string]bool) {
	d := faultdisk.NewWithFiles(1, files)
	s, report, err := store.Open(d, smallSegments())
	var loss *store.LossError
	if (len(keys) < mirrorsTestCommits) != errors.As(err, &loss) {
		t.Fatalf("%d of %d are in the files, open returns %v", len(keys), mirrorsTestCommits, err)
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
		t.Fatalf("%d of %d are in the files, reported as lost are %v", len(keys), mirrorsTestCommits, report.Lost)
	}
	o := smallSegments()
	o.AcceptLoss = true
	if s, report, err = store.Open(d, o); err != nil || !report.LossAccepted {
		t.Fatalf("with the loss accepted: %v, %+v", err, report)
	}
	got := s.All(1)
	for key := range got {
		if !keys[key] {
			t.Fatalf("%s is recovered, and neither mirror holds it", key)
		}
	}
	if len(got) != len(keys) {
		t.Fatalf("%d are recovered, %d are in the files", len(got), len(keys))
	}
	s.Close()
	if s, _, err = store.Open(d, smallSegments()); err != nil {
		t.Fatalf("opened again: %v", err)
	}
	s.Close()
}

// Files of a newer version are left unchanged.
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
		t.Errorf("got %v", err)
	}
	after := d.Files()
	for name, b := range files {
		if !bytes.Equal(b, after[name]) {
			t.Errorf("%s was changed", name)
		}
	}
}

// A log of another store in one mirror contradicts the other mirror.
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
