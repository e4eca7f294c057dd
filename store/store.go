// Package store keeps a little state across restarts and crashes: a log of changes in segments, an index of what lives in
// memory, compaction, recovery. It owns the files of one directory and one goroutine that writes them.
//
// A commit is acknowledged once its record is on the disk in both of two lanes, which hold the same bytes in different files.
// So no acknowledged record is lost when any one file is cut at any byte, damaged or taken away: recovery finds it in the other
// lane, mends the first and says so. What neither lane holds is reported as lost; such a store does not open until somebody has
// said that the loss is accepted.
//
// Commits that come while others are being written go to the disk together. A commit waits for at most the write that is under
// way, Options.Linger, and its own.
package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The errors that callers tell apart.
var (
	ErrLocked = errors.New("the store is in use by another process")
	ErrFull   = errors.New("the disk is full, or the store has reached its size")
	ErrBroken = errors.New("the store could not be written and takes nothing more until it is opened anew")
	ErrClosed = errors.New("the store is closed")
)

// Options are how a store is kept. The zero value is usable.
type Options struct {
	Segment int64         // bytes of a log's segment; 0 = 4 MiB
	Most    int64         // bytes of a lane's files; a commit past it is refused with ErrFull. 0 = no limit
	Linger  time.Duration // a commit waits so long for others to go with it; 0 = only for the write under way
	Compact int64         // bytes of a lane's logs from which on they are compacted, if that is four times what lives; 0 = 1 MiB
	// AcceptLoss opens a store although records are lost, and notes that in the store.
	AcceptLoss bool
	// Store, where set, is the only identity that is opened or made; tests set it, so that files are the same each time.
	Store [16]byte
}

func (o Options) filled() Options {
	if o.Segment <= 0 {
		o.Segment = 4 << 20
	}
	if o.Compact <= 0 {
		o.Compact = 1 << 20
	}
	return o
}

var lanes = [2]string{"a", "b"}

// Stats are figures of a store.
type Stats struct {
	Records   uint64 // the number of the last record
	Live      int    // keys
	LiveBytes int64
	LaneBytes int64 // of one lane's files
	Files     int   // of one lane
	Commits   int64 // since it was opened
	Syncs     int64 // groups written
	Broken    error // why it takes nothing more; nil = it does
}

// Store is an open store. All its methods may be used from several goroutines.
type Store struct {
	files  Files
	o      Options
	unlock func()
	report Report

	mu      sync.Mutex
	index   map[Table]map[string][]byte
	live    int64
	queue   []*pending // not yet written; emptied by run
	wake    chan struct{}
	quit    chan struct{} // closed by Close
	closing bool
	broken  error
	stats   Stats
	done    chan struct{}

	// The writer's alone.
	id      [16]byte
	next    uint64 // record
	file    uint64 // the log that is written
	salt    sum
	last    sum
	out     [2]File
	size    int64            // of the present log
	sizes   map[string]int64 // of the other files of a lane, by name without it
	compact chan compacted   // not nil = a compaction is under way
}

type pending struct {
	ops     []Op
	done    func(error)
	compact bool // no changes: a compaction is asked for
}

type compacted struct {
	upTo uint64 // file
	size int64
	err  error
}

// Open opens a store, which it makes where there is none, and recovers it. The report says what it found, also with an error.
func Open(files Files, o Options) (*Store, Report, error) {
	o = o.filled()
	unlock, err := files.Lock()
	if err != nil {
		return nil, Report{}, err
	}
	s := &Store{files: files, o: o, unlock: unlock, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), sizes: map[string]int64{}}
	if err := s.open(); err != nil {
		for _, f := range s.out {
			if f != nil {
				f.Close()
			}
		}
		unlock()
		return nil, s.report, err
	}
	go s.run()
	return s, s.report, nil
}

func (s *Store) open() error {
	r, err := recoverFrom(s.files)
	s.report = r.Report
	if err != nil {
		return err
	}
	if len(r.Lost) > 0 && !s.o.AcceptLoss {
		return &LossError{r.Lost}
	}
	s.index, s.id, s.next, s.last = r.index, r.id, r.next, r.last
	for _, t := range s.index {
		for k, v := range t {
			s.live += cost(k, v)
		}
	}
	if s.id == [16]byte{} {
		if s.id = s.o.Store; s.id == [16]byte{} {
			rand.Read(s.id[:])
		}
	}
	for _, lane := range lanes {
		if err := s.files.MakeDir(lane); err != nil {
			return err
		}
	}
	if err := s.files.SyncDir("."); err != nil {
		return err
	}
	// Whatever is not whole and the same in both lanes is written anew, whole, before anything is added; and only then are the
	// old files taken away.
	s.file = r.highest
	if r.Mended = !r.same || len(r.Lost) > 0; r.Mended {
		s.report.Mended = true
		s.file++ // the base stands for all up to and with this number, which no log has
		size, err := s.writeBase(s.file, s.next, s.index)
		if err != nil {
			return err
		}
		if err := s.dropUpTo(s.file, r.names); err != nil {
			return err
		}
		s.sizes = map[string]int64{baseName("", s.file): size}
		s.last = sum{}
	} else {
		s.sizes = r.sizes
		if err := s.dropUpTo(r.base, r.names); err != nil { // left over by a crash behind a compaction
			return err
		}
	}
	if err := s.roll(); err != nil {
		return err
	}
	if s.o.AcceptLoss && len(r.Lost) > 0 {
		s.report.Accepted = true
	}
	return nil
}

func cost(key string, value []byte) int64 { return int64(len(key)+len(value)) + 64 }

// Report is what was found when the store was opened.
func (s *Store) Report() Report { return s.report }

// Get is a key's value; false = there is none. The value must not be changed.
func (s *Store) Get(t Table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.index[t][key]
	return v, ok
}

// All is a copy of a table. Its values must not be changed.
func (s *Store) All(t Table) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.index[t])
}

// Stats tells figures.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.LiveBytes, st.Broken, st.Live = s.live, s.broken, 0
	for _, t := range s.index {
		st.Live += len(t)
	}
	return st
}

// Commit makes changes, all or none of them, and returns once they are sure to outlive a crash.
func (s *Store) Commit(ops ...Op) error {
	err := make(chan error, 1)
	s.Begin(func(e error) { err <- e }, ops...)
	return <-err
}

// Begin makes changes without waiting. done is called once, when they are sure to outlive a crash, or with the reason why they
// are not in force; in the store's own goroutine, and must not wait.
func (s *Store) Begin(done func(error), ops ...Op) { s.begin(&pending{ops: ops, done: done}) }

func (s *Store) begin(p *pending) {
	s.mu.Lock()
	var err error
	switch {
	case s.closing:
		err = ErrClosed
	default: // also where it is broken: the writer says so, in its own goroutine
		s.queue = append(s.queue, p)
	}
	s.mu.Unlock()
	if err != nil {
		go p.done(err) // never in the caller's, which may hold what done wants
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes what has been begun and ends the store.
func (s *Store) Close() error {
	s.mu.Lock()
	first := !s.closing
	s.closing = true
	s.mu.Unlock()
	if first {
		close(s.quit)
	}
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil && !errors.Is(s.broken, ErrClosed) {
		return s.broken
	}
	return nil
}

func (s *Store) run() {
	defer close(s.done)
	defer s.unlock()
	for open := true; open; {
		select {
		case <-s.wake:
			if s.o.Linger > 0 {
				time.Sleep(s.o.Linger)
			}
			s.drain()
		case c := <-s.compact:
			s.compactionOver(c)
		case <-s.quit:
			open = false
		}
	}
	s.drain()
	if s.compact != nil {
		s.compactionOver(<-s.compact)
	}
	if s.brokenBy() == nil {
		s.mark()
	}
	for _, f := range s.out {
		if f != nil {
			f.Close()
		}
	}
	s.mu.Lock()
	if s.broken == nil {
		s.broken = ErrClosed
	}
	s.mu.Unlock()
}

func (s *Store) brokenBy() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// mostGroup bounds what one write takes.
const mostGroup = 1 << 20

// drain writes all that waits, a group at a time.
func (s *Store) drain() {
	for {
		s.mu.Lock()
		group, size := 0, 0
		for group < len(s.queue) && size < mostGroup {
			for _, o := range s.queue[group].ops {
				size += len(o.Key) + len(o.Value)
			}
			group++
		}
		now := s.queue[:group]
		s.queue = s.queue[group:]
		if len(s.queue) == 0 {
			s.queue = nil
		}
		s.mu.Unlock()
		if len(now) == 0 {
			return
		}
		s.write(now)
		select {
		case c := <-s.compact:
			s.compactionOver(c)
		default:
		}
	}
}

// write writes a group and acknowledges it.
func (s *Store) write(group []*pending) {
	err := s.brokenBy()
	var b []byte
	next, last := s.next, s.last
	var good []*pending
	for _, p := range group {
		if p.compact {
			defer func() { p.done(s.compactNow()) }() // behind what was begun before it
			continue
		}
		body := encodeOps(p.ops)
		if len(body) > mostRecord {
			p.done(fmt.Errorf("a commit of %d bytes: %d are allowed", len(body), mostRecord))
			continue
		}
		b, last = appendRecord(b, s.salt, next, body)
		next++
		good = append(good, p)
	}
	if len(good) == 0 {
		return
	}
	if err == nil && s.o.Most > 0 && s.laneBytes()+int64(len(b)) > s.o.Most {
		err = ErrFull
	}
	if err == nil {
		err = s.put(b)
	}
	if err != nil {
		for _, p := range good {
			p.done(err)
		}
		s.maybeCompact() // where it is full, this may make room
		return
	}
	s.next, s.last, s.size = next, last, s.size+int64(len(b))
	s.mu.Lock()
	for _, p := range good {
		for _, o := range p.ops {
			s.apply(o)
		}
	}
	s.stats.Commits += int64(len(good))
	s.stats.Syncs++
	s.stats.Records = s.next - 1
	s.stats.LaneBytes, s.stats.Files = s.laneBytes(), len(s.sizes)+1
	s.mu.Unlock()
	for _, p := range good {
		p.done(nil)
	}
	if s.size >= s.o.Segment {
		if err := s.roll(); err != nil {
			s.breaks(err)
		}
	}
	s.maybeCompact()
}

func (s *Store) apply(o Op) {
	t := s.index[o.Table]
	if was, ok := t[o.Key]; ok {
		s.live -= cost(o.Key, was)
		delete(t, o.Key)
	}
	if o.Delete {
		return
	}
	if t == nil {
		t = map[string][]byte{}
		s.index[o.Table] = t
	}
	t[o.Key] = slices.Clone(o.Value)
	s.live += cost(o.Key, o.Value)
}

// put appends bytes to both lanes and makes them last. A write that fails, as on a full disk, is taken back and may be tried
// again; a sync that fails never is: what it did is not known, and a second one may succeed without having written anything.
func (s *Store) put(b []byte) error {
	var errs [2]error
	var both sync.WaitGroup
	for i, f := range s.out {
		both.Add(1)
		go func() {
			defer both.Done()
			_, errs[i] = f.Write(b)
		}()
	}
	both.Wait()
	if err := errors.Join(errs[0], errs[1]); err != nil {
		for _, f := range s.out {
			if cut := f.Truncate(s.size); cut != nil {
				s.breaks(errors.Join(err, cut))
				return s.brokenBy()
			}
		}
		if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		return err
	}
	for i, f := range s.out {
		both.Add(1)
		go func() {
			defer both.Done()
			errs[i] = f.Sync()
		}()
	}
	both.Wait()
	if err := errors.Join(errs[0], errs[1]); err != nil {
		s.breaks(err)
		return s.brokenBy()
	}
	return nil
}

// breaks ends writing for good.
func (s *Store) breaks(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// roll begins a new log in both lanes.
func (s *Store) roll() error {
	if s.out[0] != nil {
		s.sizes[logName("", s.file)] = s.size
	}
	for _, f := range s.out {
		if f != nil {
			f.Close()
		}
	}
	s.out = [2]File{}
	s.file++
	h := head{version: Version, kind: kindLog, file: s.file, first: s.next, store: s.id, chain: s.last}
	b := h.encode()
	for i, lane := range lanes {
		f, err := s.files.Create(logName(lane, s.file))
		if err != nil {
			return err
		}
		s.out[i] = f
		if _, err := f.Write(b); err != nil {
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
		if err := s.files.SyncDir(lane); err != nil {
			return err
		}
	}
	copy(s.salt[:], b[headSize-sumSize:])
	s.size = headSize
	return s.mark()
}

// mark notes, outside both lanes, up to which record there are acknowledged ones, so that a cut of both lanes' ends shows. It
// is written when a log begins and when the store closes; what was added since is not marked.
func (s *Store) mark() error {
	b := binary.BigEndian.AppendUint64(append([]byte(magic), s.id[:]...), s.next)
	m := sumOf(b)
	b = append(b, m[:]...)
	err := s.whole("mark.new", "mark", b)
	if err != nil {
		s.breaks(err)
	}
	return err
}

// whole writes a file under another name, makes it last, and gives it its name.
func (s *Store) whole(temporary, name string, b []byte) error {
	f, err := s.files.Create(temporary)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.files.Rename(temporary, name); err != nil {
		return err
	}
	return s.files.SyncDir(path.Dir(name))
}

func (s *Store) laneBytes() int64 {
	n := s.size
	for _, size := range s.sizes {
		n += size
	}
	return n
}

// maybeCompact begins a compaction where the logs are long and little of them lives. Commits go on meanwhile, in a new log.
func (s *Store) maybeCompact() {
	if s.compact != nil || s.brokenBy() != nil {
		return
	}
	s.mu.Lock()
	live := s.live
	s.mu.Unlock()
	if all := s.laneBytes(); all < s.o.Compact || all < 4*live {
		return
	}
	s.beginCompaction()
}

func (s *Store) beginCompaction() {
	upTo, next := s.file, s.next
	s.mu.Lock()
	index := map[Table]map[string][]byte{}
	for t, m := range s.index {
		index[t] = maps.Clone(m) // values are never changed in place
	}
	s.mu.Unlock()
	if err := s.roll(); err != nil {
		s.breaks(err)
		return
	}
	c := make(chan compacted, 1)
	s.compact = c
	go func() {
		size, err := s.writeBase(upTo, next, index)
		c <- compacted{upTo, size, err}
	}()
}

// Compact compacts now and returns once that is done.
func (s *Store) Compact() error {
	err := make(chan error, 1)
	s.begin(&pending{done: func(e error) { err <- e }, compact: true})
	return <-err
}

// compactNow is the writer's side of Compact.
func (s *Store) compactNow() error {
	if s.compact == nil {
		s.beginCompaction()
	}
	if s.compact != nil {
		c := <-s.compact
		s.compactionOver(c)
		if c.err != nil {
			return c.err
		}
	}
	return s.brokenBy()
}

// compactionOver takes away what a compaction has made needless.
func (s *Store) compactionOver(c compacted) {
	s.compact = nil
	if c.err != nil {
		// The base is not there or not whole: the logs stay, and nothing is lost. The disk may only be full.
		if !errors.Is(c.err, syscall.ENOSPC) && !errors.Is(c.err, syscall.EDQUOT) {
			s.breaks(c.err)
		}
		return
	}
	var names []string
	for name := range s.sizes {
		names = append(names, name[1:])
	}
	slices.Sort(names)
	s.sizes[baseName("", c.upTo)] = c.size
	if err := s.dropUpTo(c.upTo, [2][]string{names, names}); err != nil {
		s.breaks(err)
	}
	for name := range s.sizes {
		if n, k, _ := parseName(name[1:]); n < c.upTo || n == c.upTo && k == kindLog {
			delete(s.sizes, name)
		}
	}
	s.mu.Lock()
	s.stats.LaneBytes, s.stats.Files = s.laneBytes(), len(s.sizes)+1
	s.mu.Unlock()
}

// writeBase writes what lives as a base for all up to a file, in both lanes.
func (s *Store) writeBase(file, next uint64, index map[Table]map[string][]byte) (int64, error) {
	h := head{version: Version, kind: kindBase, file: file, first: next, store: s.id}
	b := h.encode()
	var salt sum
	copy(salt[:], b[headSize-sumSize:])
	number := uint64(0)
	for _, t := range slices.Sorted(maps.Keys(index)) {
		for _, k := range slices.Sorted(maps.Keys(index[t])) {
			number++
			b, _ = appendRecord(b, salt, number, encodeOps([]Op{{Table: t, Key: k, Value: index[t][k]}}))
		}
	}
	// The last record says how many there were: a base that is cut between two is not whole.
	b, _ = appendRecord(b, salt, 0, binary.BigEndian.AppendUint64(nil, number))
	for _, lane := range lanes {
		if err := s.whole(lane+"/base.new", baseName(lane, file), b); err != nil {
			return 0, err
		}
	}
	return int64(len(b)), nil
}

// dropUpTo takes away what a base stands for: logs up to its file, and older bases.
func (s *Store) dropUpTo(file uint64, names [2][]string) error {
	for i, lane := range lanes {
		dropped := false
		for _, name := range names[i] {
			n, k, ok := parseName(name)
			if ok && (n > file || n == file && k == kindBase) {
				continue
			}
			if !ok && name != "base.new" {
				continue
			}
			if err := s.files.Remove(lane + "/" + name); errors.Is(err, fs.ErrNotExist) {
				continue // a broken-off base, written anew and named by now
			} else if err != nil {
				return err
			}
			dropped = true
		}
		if dropped {
			if err := s.files.SyncDir(lane); err != nil {
				return err
			}
		}
	}
	return nil
}
