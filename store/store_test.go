package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oxbowspan/internal/testing/faultdisk"
	"oxbowspan/store"
)

var identity = [16]byte{1, 2, 3}

func small() store.Options {
	return store.Options{SegmentSize: 900, CompactionThreshold: 1 << 40, ID: identity}
}

// contents is what a store should hold.
type contents map[string]string

// check compares a store with what it should hold.
func (w contents) check(t interface{ Fatalf(string, ...any) }, s *store.Store, when string) {
	got := s.All(1)
	for k, v := range w {
		if string(got[k]) != v {
			t.Fatalf("%s: %s is %q, acknowledged was %q", when, k, got[k], v)
		}
	}
	for k := range got {
		if _, ok := w[k]; !ok {
			t.Fatalf("%s: %s is there and was never committed, or was taken out", when, k)
		}
	}
}

func set(k, v string) store.Op { return store.Op{Table: 1, Key: k, Value: []byte(v)} }
func del(k string) store.Op    { return store.Op{Table: 1, Key: k, Delete: true} }

// fill commits some work, with a compaction within, and says what should be there.
func fill(t *testing.T, s *store.Store, n int) contents {
	t.Helper()
	want := contents{}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		k, v := fmt.Sprintf("key-%d", i%9), fmt.Sprintf("value %d %s", i, strings.Repeat("x", i%40))
		if i%7 == 6 {
			must(s.Commit(del(k), set("last", v)))
			delete(want, k)
			want["last"] = v
		} else {
			must(s.Commit(set(k, v)))
			want[k] = v
		}
		if i == n/2 {
			must(s.Compact())
		}
	}
	return want
}

func open(t *testing.T, d store.Files) (*store.Store, store.Report) {
	t.Helper()
	s, r, err := store.Open(d, small())
	if err != nil {
		t.Fatalf("open: %v; %+v", err, r)
	}
	return s, r
}

// Any one file, cut at any byte or taken away: every acknowledged record is there, nothing else is, what was wrong is said,
// and the store is whole again afterwards.
func TestOneFileTruncated(t *testing.T) {
	for _, closed := range []bool{true, false} {
		d := faultdisk.New(1)
		s, _ := open(t, d)
		want := fill(t, s, 40)
		files := d.Files() // as a kill leaves them
		if s.Close(); closed {
			files = d.Files()
		}
		cuts := 0
		for name, b := range files {
			for at := -1; at < len(b); at++ { // -1 = taken away
				cut := maps.Clone(files)
				if cut[name] = b[:max(at, 0)]; at < 0 {
					delete(cut, name)
				}
				d := faultdisk.NewWithFiles(uint64(at+1), cut)
				when := fmt.Sprintf("%s cut at %d of %d", name, at, len(b))
				s, r := open(t, d)
				want.check(t, s, when)
				if len(r.Damage) == 0 && (name != "mark" || at >= 0) {
					t.Fatalf("%s: not said", when)
				}
				if len(r.Lost) > 0 {
					t.Fatalf("%s: %v are called lost", when, r.Lost)
				}
				if err := s.Close(); err != nil {
					t.Fatalf("%s: close: %v", when, err)
				}
				if r, err := store.Check(d); err != nil || len(r.Damage) > 0 {
					t.Fatalf("%s: not mended: %v, %v", when, r.Damage, err)
				}
				cuts++
			}
		}
		if cuts < 3000 {
			t.Errorf("only %d cuts were tried", cuts)
		}
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
		for at := range b {
			flipped := maps.Clone(files)
			flipped[name] = bytes.Clone(b)
			flipped[name][at] ^= 1 << (at % 8)
			s, r := open(t, faultdisk.NewWithFiles(1, flipped))
			when := fmt.Sprintf("%s, byte %d", name, at)
			if want.check(t, s, when); len(r.Damage) == 0 {
				t.Fatalf("%s: not said", when)
			}
			s.Close()
		}
	}
}

// Both lanes damaged: what is there was committed, in order, and what is not is reported.
func TestBothMirrorsTruncated(t *testing.T) {
	const n = 30
	d := faultdisk.New(1)
	s, _ := open(t, d)
	for i := range n {
		if err := s.Commit(set(fmt.Sprintf("k%02d", i), strings.Repeat("v", 30))); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	files := d.Files()
	names := slices.Sorted(maps.Keys(files))
	rapid.Check(t, func(t *rapid.T) {
		cut := maps.Clone(files)
		for range rapid.IntRange(1, 6).Draw(t, "cuts") {
			name := rapid.SampledFrom(names).Draw(t, "file")
			if name == "mark" {
				continue
			}
			cut[name] = cut[name][:rapid.IntRange(0, len(cut[name])).Draw(t, "at")]
		}
		// By the plain definition: a record is there if either lane's file still holds its key and value whole.
		held := map[string]bool{}
		for i := range n {
			k := fmt.Sprintf("k%02d", i)
			for name, b := range cut {
				whole := bytes.Index(files[name], []byte(k))
				if whole >= 0 && len(b) >= whole+len(k)+1+30 && len(b) >= 80 {
					held[k] = true
				}
			}
		}
		d := faultdisk.NewWithFiles(1, cut)
		s, r, err := store.Open(d, small())
		var loss *store.LossError
		if (len(held) < n) != errors.As(err, &loss) {
			t.Fatalf("%d of %d are held, open says %v", len(held), n, err)
		}
		if err == nil {
			s.Close()
			return
		}
		lost := 0
		for _, g := range r.Lost {
			lost += int(g.Last - g.First + 1)
		}
		if lost != n-len(held) {
			t.Fatalf("%d of %d are held, lost are said to be %v", len(held), n, r.Lost)
		}
		o := small()
		o.AcceptLoss = true
		if s, r, err = store.Open(d, o); err != nil || !r.LossAccepted {
			t.Fatalf("the loss is accepted: %v, %+v", err, r)
		}
		for k := range s.All(1) {
			if !held[k] {
				t.Fatalf("%s is there, and neither lane holds it", k)
			}
		}
		if got := len(s.All(1)); got != len(held) {
			t.Fatalf("%d are there, %d are held", got, len(held))
		}
		s.Close()
		if s, _, err = store.Open(d, small()); err != nil {
			t.Fatalf("after that: %v", err)
		}
		s.Close()
	})
}

// The machine crashes before any one operation of commits, of a new segment and of a compaction, and again at any one of the
// recovery from that.
func TestCrashAtAnyOperation(t *testing.T) {
	work := func(d *faultdisk.Disk) (acked contents, doubtful []contents) {
		s, _, err := store.Open(d, small())
		if err != nil {
			return contents{}, nil
		}
		defer s.Close()
		acked = contents{}
		for i := range 24 {
			ops := []store.Op{set(fmt.Sprintf("key-%d", i%5), fmt.Sprintf("value %d %s", i, strings.Repeat("y", 50)))}
			if i%6 == 5 {
				ops = append(ops, del(fmt.Sprintf("key-%d", (i+2)%5)))
			}
			after := maps.Clone(acked)
			for _, o := range ops {
				if after[o.Key] = string(o.Value); o.Delete {
					delete(after, o.Key)
				}
			}
			if s.Commit(ops...) != nil {
				return acked, []contents{after}
			}
			acked = after
			if i%10 == 9 && s.Compact() != nil {
				return acked, nil
			}
		}
		return acked, nil
	}
	whole := faultdisk.New(0)
	work(whole)
	calls := whole.OperationCount()
	same := func(got map[string][]byte, w contents) bool {
		if len(got) != len(w) {
			return false
		}
		for k, v := range w {
			if string(got[k]) != v {
				return false
			}
		}
		return true
	}
	for at := 1; at <= calls; at++ {
		for seed := range uint64(3) {
			d := faultdisk.New(uint64(at)*10 + seed)
			d.CrashAt = at
			acked, doubtful := work(d)
			d = d.Crash()
			again := d.Files()
			// The second crash, within recovery; then one that ends well.
			if seed > 0 {
				d.CrashAt = 1 + rand.New(rand.NewPCG(uint64(at), seed)).IntN(30)
				if s, _, err := store.Open(d, small()); err == nil {
					s.Close()
				}
				d = d.Crash()
			}
			s, r, err := store.Open(d, small())
			if err != nil {
				t.Fatalf("crash at %d of %d, seed %d: %v; %+v; files %v", at, calls, seed, err, r, slices.Sorted(maps.Keys(again)))
			}
			got := s.All(1)
			ok := same(got, acked)
			for _, w := range doubtful {
				ok = ok || same(got, w)
			}
			if !ok {
				t.Fatalf("crash at %d of %d, seed %d: %q, acknowledged is %q", at, calls, seed, got, acked)
			}
			if err := s.Commit(set("after", "all")); err != nil {
				t.Fatalf("crash at %d: it takes nothing more: %v", at, err)
			}
			s.Close()
		}
	}
}

// A sync that fails once: the commit is not acknowledged, and nothing is from then on, although the next sync would succeed.
func TestFailedSyncStopsWrites(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	if err := s.Commit(set("a", "1")); err != nil {
		t.Fatal(err)
	}
	failed := false
	d.Inject = func(c faultdisk.Operation) faultdisk.Fault {
		if c.Kind == "sync" && strings.HasPrefix(c.Name, "b/") && !failed {
			failed = true
			return faultdisk.Fault{Err: syscall.EIO}
		}
		return faultdisk.Fault{}
	}
	for i := range 3 {
		if err := s.Commit(set("b", "2")); !errors.Is(err, store.ErrFailed) || i == 0 && !errors.Is(err, syscall.EIO) {
			t.Errorf("commit %d after the failed sync: %v", i, err)
		}
	}
	if _, ok := s.Get(1, "b"); ok {
		t.Error("what was not acknowledged is read")
	}
	if err := s.Close(); !errors.Is(err, store.ErrFailed) {
		t.Errorf("close: %v", err)
	}
	s, _ = open(t, d.Crash())
	defer s.Close()
	if v, _ := s.Get(1, "a"); string(v) != "1" {
		t.Error("what was acknowledged before is gone")
	}
}

// One lane's disk lies about syncs: after a crash the other lane has it all.
func TestMirrorWithFalseSyncs(t *testing.T) {
	for seed := range uint64(20) {
		d := faultdisk.New(seed)
		d.Inject = func(c faultdisk.Operation) faultdisk.Fault {
			return faultdisk.Fault{FalseSuccess: strings.HasPrefix(c.Name, "a/") && c.Kind == "sync"}
		}
		s, _ := open(t, d)
		want := fill(t, s, 25)
		d = d.Crash()
		s.Close()
		s, _ = open(t, d)
		want.check(t, s, "lane a lied")
		s.Close()
	}
}

// The disk fills up within a record, and within a compaction: commits say so and are not in force; once there is space all goes
// on, and nothing that was acknowledged is gone.
func TestDiskFull(t *testing.T) {
	for space := 1500; space < 9000; space += 37 {
		d := faultdisk.New(uint64(space))
		d.Capacity = space
		s, _, err := store.Open(d, small())
		if err != nil {
			continue // not even the first files fit
		}
		want, full := contents{}, 0
		for i := range 60 {
			k, v := fmt.Sprint(i%4), fmt.Sprintf("%d %s", i, strings.Repeat("z", 60))
			switch err := s.Commit(set(k, v)); {
			case err == nil:
				want[k] = v
			case errors.Is(err, store.ErrFull):
				full++
			case errors.Is(err, store.ErrFailed): // a new segment could not be begun
				full++
			default:
				t.Fatalf("with %d bytes: %v", space, err)
			}
			if i == 30 {
				s.Compact()
			}
		}
		if full == 0 && space < 3000 {
			t.Fatalf("%d bytes were enough", space)
		}
		want.check(t, s, fmt.Sprintf("full at %d bytes", space))
		broken := s.Stats().Failure != nil
		d.Capacity = 0
		if !broken {
			if err := s.Commit(set("room", "again")); err != nil {
				t.Fatalf("with %d bytes and then more: %v", space, err)
			}
			want["room"] = "again"
		}
		d = d.Crash()
		s.Close()
		s, _ = open(t, d)
		want.check(t, s, fmt.Sprintf("full at %d bytes, after a crash", space))
		s.Close()
	}
}

// A record cut short by a full disk in both lanes is taken back in both: what comes after it is read again.
func TestShortWriteIsTruncated(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	short := 0
	d.Inject = func(c faultdisk.Operation) faultdisk.Fault {
		if c.Kind == "write" && short < 2 {
			short++
			return faultdisk.Fault{Err: syscall.ENOSPC, ShortWrite: 30}
		}
		return faultdisk.Fault{}
	}
	if err := s.Commit(set("a", "1")); !errors.Is(err, store.ErrFull) || short != 2 {
		t.Fatalf("%v, %d writes cut short", err, short)
	}
	want := contents{}
	for i := range 5 {
		k := fmt.Sprint(i)
		if err := s.Commit(set(k, k)); err != nil {
			t.Fatal(err)
		}
		want[k] = k
	}
	d = d.Crash()
	s.Close()
	s, r := open(t, d)
	if want.check(t, s, "after it"); len(r.Damage) > 0 {
		t.Errorf("damage: %v", r.Damage)
	}
	s.Close()
}

func TestMaxBytes(t *testing.T) {
	d := faultdisk.New(1)
	o := small()
	o.MaxBytes, o.CompactionThreshold = 6000, 2000
	s, _, err := store.Open(d, o)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	refused := 0
	for i := range 300 {
		if err := s.Commit(set(fmt.Sprint(i), strings.Repeat("x", 40))); errors.Is(err, store.ErrFull) {
			refused++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if refused == 0 || s.Stats().MirrorBytes > 6000+1000 {
		t.Errorf("%d refused, %+v", refused, s.Stats())
	}
	// What lives no longer makes room, by compaction.
	for i := range 300 {
		s.Commit(del(fmt.Sprint(i)))
	}
	s.Compact()
	if err := s.Commit(set("new", "x")); err != nil {
		t.Errorf("with all taken out: %v", err)
	}
}

func TestCompactionDuringCommits(t *testing.T) {
	d := faultdisk.New(1)
	o := small()
	o.CompactionThreshold = 3000
	s, _, err := store.Open(d, o)
	if err != nil {
		t.Fatal(err)
	}
	want := contents{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for g := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range 100 {
				k, v := fmt.Sprintf("%d-%d", g, i%3), strings.Repeat("v", 20+i)
				if err := s.Commit(set(k, v)); err != nil {
					t.Error(err)
				}
				mu.Lock()
				want[k] = v
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	st := s.Stats()
	if st.MirrorBytes > 20_000 || st.Commits != 800 || st.Syncs > 800 {
		t.Errorf("after 800 commits of 24 keys: %+v", st)
	}
	want.check(t, s, "running")
	d = d.Crash()
	s.Close()
	s, _ = open(t, d)
	want.check(t, s, "after a crash")
	s.Close()
}

func TestDisk(t *testing.T) {
	dir := t.TempDir()
	disk, err := store.OpenDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _ := open(t, disk)
	want := fill(t, s, 60)
	if _, _, err := store.Open(disk, small()); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	if err := s.Commit(set("a", "b")); !errors.Is(err, store.ErrClosed) {
		t.Errorf("a commit after the end: %v", err)
	}
	s, r := open(t, disk)
	want.check(t, s, "opened again")
	if len(r.Damage) > 0 || r.Repaired {
		t.Errorf("after a clean end: %+v", r)
	}
	s.Close()
	// A foreign directory, a newer version, another store's file.
	other := t.TempDir()
	os.WriteFile(other+"/letters.txt", []byte("x"), 0o600)
	foreign, _ := store.OpenDisk(other)
	var f *store.ForeignError
	if _, _, err := store.Open(foreign, small()); !errors.As(err, &f) || !strings.Contains(err.Error(), "letters.txt") {
		t.Errorf("a foreign directory: %v", err)
	}
	if _, err := store.OpenDiskReadOnly(other + "/letters.txt"); err == nil {
		t.Error("a file is taken for a directory")
	}
}

// What a later version has written is not touched.
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
	if _, _, err := store.Open(d, small()); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("got %v", err)
	}
	after := d.Files()
	for name, b := range files {
		if !bytes.Equal(b, after[name]) {
			t.Errorf("%s was changed", name)
		}
	}
}

// A file of another time, put back: it does not join on, or contradicts, and is not taken for the present one.
func TestForeignSegmentRejected(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	if err := s.Commit(set("a", "old")); err != nil {
		t.Fatal(err)
	}
	old := d.Files()
	s.Close()
	d2 := faultdisk.New(2)
	s, _ = open(t, d2)
	if err := s.Commit(set("a", "new")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	files := d2.Files()
	files["a/00000001.log"] = old["a/00000001.log"]
	if _, r, err := store.Open(faultdisk.NewWithFiles(1, files), small()); err == nil {
		t.Errorf("taken for one store: %+v", r)
	}
}

func TestReplayOfManyRecords(t *testing.T) {
	n := 100_000
	if testing.Short() {
		n = 5000
	}
	d := faultdisk.New(1)
	o := store.Options{ID: identity, CompactionThreshold: 1 << 40}
	s, _, err := store.Open(d, o)
	if err != nil {
		t.Fatal(err)
	}
	var last sync.WaitGroup
	last.Add(n)
	for i := range n {
		s.CommitAsync(func(err error) {
			if err != nil {
				t.Error(err)
			}
			last.Done()
		}, set(fmt.Sprint(i%1000), fmt.Sprint(i)))
	}
	last.Wait()
	d = d.Crash()
	s.Close()
	began := time.Now()
	s, r, err := store.Open(d, o)
	if err != nil || r.LastRecord != uint64(n) || r.Keys != 1000 {
		t.Fatalf("%v, %+v", err, r)
	}
	t.Logf("%d records in %s", n, time.Since(began))
	s.Close()
}

func TestCommitTooLarge(t *testing.T) {
	d := faultdisk.New(1)
	s, _ := open(t, d)
	defer s.Close()
	if err := s.Commit(set("k", strings.Repeat("x", 2<<20))); err == nil {
		t.Error("two megabytes were taken")
	}
	if err := s.Commit(set("k", "small")); err != nil {
		t.Error(err)
	}
}
