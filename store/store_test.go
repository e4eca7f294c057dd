package store_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

var testID = [16]byte{1, 2, 3}

// smallSegments returns options with which a few commits fill a segment and only Compact starts a compaction.
func smallSegments() store.Options {
	return store.Options{SegmentSize: 900, CompactionThreshold: 1 << 40, ID: testID}
}

// contents holds the expected contents of table 1 of a store.
type contents map[string]string

// check compares table 1 of a store with the expected contents.
func (want contents) check(t *testing.T, s *store.Store, when string) {
	t.Helper()
	got := s.All(1)
	for key, value := range want {
		if string(got[key]) != value {
			t.Fatalf("%s: %s is %q, want the acknowledged value %q", when, key, got[key], value)
		}
	}
	for key := range got {
		if _, ok := want[key]; !ok {
			t.Fatalf("%s: %s exists although it was never committed or was deleted", when, key)
		}
	}
}

func set(key, value string) store.Op { return store.Op{Table: 1, Key: key, Value: []byte(value)} }
func del(key string) store.Op        { return store.Op{Table: 1, Key: key, Delete: true} }

// fill makes commits, with a compaction halfway, and returns the contents that result from them.
func fill(t *testing.T, s *store.Store, commits int) contents {
	t.Helper()
	want := contents{}
	for i := range commits {
		key, value := fmt.Sprintf("key-%d", i%9), fmt.Sprintf("value %d %s", i, strings.Repeat("x", i%40))
		ops := []store.Op{set(key, value)}
		want[key] = value
		if i%7 == 6 {
			ops = []store.Op{del(key), set("last", value)}
			delete(want, key)
			want["last"] = value
		}
		if err := s.Commit(ops...); err != nil {
			t.Fatal(err)
		}
		if i == commits/2 {
			if err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	return want
}

func open(t *testing.T, files store.Files) (*store.Store, store.Report) {
	t.Helper()
	return openWith(t, files, smallSegments())
}

func openWith(t *testing.T, files store.Files, o store.Options) (*store.Store, store.Report) {
	t.Helper()
	s, report, err := store.Open(files, o)
	if err != nil {
		t.Fatalf("open: %v; %+v", err, report)
	}
	return s, report
}

func TestCompactionDuringCommits(t *testing.T) {
	d := faultdisk.New(1)
	o := smallSegments()
	o.CompactionThreshold = 3000
	s, _ := openWith(t, d, o)
	want := contents{}
	var mu sync.Mutex
	var writers sync.WaitGroup
	for g := range 8 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for i := range 100 {
				key, value := fmt.Sprintf("%d-%d", g, i%3), strings.Repeat("v", 20+i)
				if err := s.Commit(set(key, value)); err != nil {
					t.Error(err)
				}
				mu.Lock()
				want[key] = value
				mu.Unlock()
			}
		}()
	}
	writers.Wait()
	stats := awaitCompaction(s, 20_000)
	if stats.MirrorBytes > 20_000 || stats.Commits != 800 || stats.Syncs > 800 {
		t.Errorf("after 800 commits of 24 keys: %+v", stats)
	}
	want.check(t, s, "running")
	d = d.Crash()
	s.Close()
	s, _ = open(t, d)
	want.check(t, s, "after a crash")
	s.Close()
}

// compactionTimeout limits how long a test waits for compactions, which need a few milliseconds, on a machine of any load.
const compactionTimeout = 20 * time.Second

// awaitCompaction waits until compactions have reduced the files of one mirror to a size, and returns the statistics.
func awaitCompaction(s *store.Store, size int64) store.Stats {
	deadline := time.Now().Add(compactionTimeout)
	for s.Stats().MirrorBytes > size && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return s.Stats()
}

// snapshotGate is a disk on which the first snapshot is not created before release is closed.
type snapshotGate struct {
	store.Files
	once             sync.Once
	reached, release chan struct{}
}

func (g *snapshotGate) Create(name string) (store.File, error) {
	if strings.HasSuffix(name, "/base.new") {
		g.once.Do(func() {
			close(g.reached)
			<-g.release
		})
	}
	return g.Files.Create(name)
}

// Commits that are written while a compaction is in progress, the last ones included, must be compacted when it has ended: no later
// commit may come to start the next compaction.
func TestCompactionFollowsSlowCompaction(t *testing.T) {
	gate := &snapshotGate{Files: faultdisk.New(1), reached: make(chan struct{}), release: make(chan struct{})}
	o := smallSegments()
	o.CompactionThreshold = 3000
	s, _ := openWith(t, gate, o)
	defer s.Close()
	for i := range 400 {
		if err := s.Commit(set(fmt.Sprint(i%3), strings.Repeat("v", 100))); err != nil {
			t.Fatal(err)
		}
	}
	<-gate.reached
	before := s.Stats().MirrorBytes
	close(gate.release)
	if stats := awaitCompaction(s, o.CompactionThreshold); stats.MirrorBytes > o.CompactionThreshold {
		t.Errorf("%d bytes of files remain of %d after the last compaction, want at most %d", stats.MirrorBytes, before, o.CompactionThreshold)
	}
}

func TestReplayOfManyRecords(t *testing.T) {
	n := 100_000
	if testing.Short() {
		n = 5000
	}
	d := faultdisk.New(1)
	o := store.Options{ID: testID, CompactionThreshold: 1 << 40}
	s, _ := openWith(t, d, o)
	var pending sync.WaitGroup
	pending.Add(n)
	for i := range n {
		s.CommitAsync(func(err error) {
			if err != nil {
				t.Error(err)
			}
			pending.Done()
		}, set(fmt.Sprint(i%1000), fmt.Sprint(i)))
	}
	pending.Wait()
	d = d.Crash()
	s.Close()
	start := time.Now()
	s, report, err := store.Open(d, o)
	if err != nil || report.LastRecord != uint64(n) || report.Keys != 1000 {
		t.Fatalf("%v, %+v", err, report)
	}
	t.Logf("%d records in %s", n, time.Since(start))
	s.Close()
}

func TestCommitTooLarge(t *testing.T) {
	s, _ := open(t, faultdisk.New(1))
	defer s.Close()
	if err := s.Commit(set("k", strings.Repeat("x", 2<<20))); err == nil {
		t.Error("a commit of 2 MiB was accepted")
	}
	if err := s.Commit(set("k", "small")); err != nil {
		t.Error(err)
	}
}

func TestMaxBytes(t *testing.T) {
	o := smallSegments()
	o.MaxBytes, o.CompactionThreshold = 6000, 2000
	s, _ := openWith(t, faultdisk.New(1), o)
	defer s.Close()
	rejected := 0
	for i := range 300 {
		if err := s.Commit(set(fmt.Sprint(i), strings.Repeat("x", 40))); errors.Is(err, store.ErrFull) {
			rejected++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if rejected == 0 || s.Stats().MirrorBytes > 6000+1000 {
		t.Errorf("%d rejected, %+v", rejected, s.Stats())
	}
	// After all keys have been deleted a compaction frees space.
	for i := range 300 {
		s.Commit(del(fmt.Sprint(i)))
	}
	s.Compact()
	if err := s.Commit(set("new", "x")); err != nil {
		t.Errorf("with all keys deleted: %v", err)
	}
}
