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
	ErrFailed = errors.New("the store could not be written and takes nothing more until it is opened anew")
	ErrClosed = errors.New("the store is closed")
)

// Options are how a store is kept. The zero value is usable.
type Options struct {
	SegmentSize         int64         // bytes of a log's segment; 0 = 4 MiB
	MaxBytes            int64         // bytes of a lane's files; a commit past it is refused with ErrFull. 0 = no limit
	CommitDelay         time.Duration // a commit waits so long for others to go with it; 0 = only for the write under way
	CompactionThreshold int64         // bytes of a lane's logs from which on they are compacted, if that is four times what lives; 0 = 1 MiB
	// AcceptLoss opens a store although records are lost, and notes that in the store.
	AcceptLoss bool
	// ID, where set, is the only identity that is opened or made; tests set it, so that files are the same each time.
	ID [16]byte
}

func (o Options) withDefaults() Options {
	if o.SegmentSize <= 0 {
		o.SegmentSize = 4 << 20
	}
	if o.CompactionThreshold <= 0 {
		o.CompactionThreshold = 1 << 20
	}
	return o
}

var mirrors = [2]string{"a", "b"}

// Stats are figures of a store.
type Stats struct {
	LastRecord  uint64 // the number of the last record
	Keys        int    // keys
	LiveBytes   int64
	MirrorBytes int64 // of one lane's files
	Files       int   // of one lane
	Commits     int64 // since it was opened
	Syncs       int64 // groups written
	Failure     error // why it takes nothing more; nil = it does
}

// Store is an open store. All its methods may be used from several goroutines.
type Store struct {
	files   Files
	options Options
	unlock  func()
	report  Report

	mu        sync.Mutex
	index     map[Table]map[string][]byte
	liveBytes int64
	queue     []*pendingCommit // not yet written; emptied by run
	wake      chan struct{}
	quit      chan struct{} // closed by Close
	closing   bool
	failure   error
	stats     Stats
	done      chan struct{}

	// The writer's alone.
	id           [16]byte
	nextRecord   uint64 // record
	logNumber    uint64 // the log that is written
	salt         checksum
	lastChecksum checksum
	logs         [2]File
	logSize      int64                 // of the present log
	fileSizes    map[string]int64      // of the other files of a lane, by name without it
	compaction   chan compactionResult // not nil = a compaction is under way
}

type pendingCommit struct {
	ops        []Op
	done       func(error)
	compaction bool // no changes: a compaction is asked for
}

type compactionResult struct {
	covered uint64 // file
	size    int64
	err     error
}

// Open opens a store, which it makes where there is none, and recovers it. The report says what it found, also with an error.
func Open(files Files, o Options) (*Store, Report, error) {
	o = o.withDefaults()
	unlock, err := files.Lock()
	if err != nil {
		return nil, Report{}, err
	}
	s := &Store{files: files, options: o, unlock: unlock, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), fileSizes: map[string]int64{}}
	if err := s.open(); err != nil {
		for _, f := range s.logs {
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
	r, err := recoverStore(s.files)
	s.report = r.Report
	if err != nil {
		return err
	}
	if len(r.Lost) > 0 && !s.options.AcceptLoss {
		return &LossError{r.Lost}
	}
	s.index, s.id, s.nextRecord, s.lastChecksum = r.index, r.id, r.nextRecord, r.lastChecksum
	for _, t := range s.index {
		for k, v := range t {
			s.liveBytes += entrySize(k, v)
		}
	}
	if s.id == [16]byte{} {
		if s.id = s.options.ID; s.id == [16]byte{} {
			rand.Read(s.id[:])
		}
	}
	for _, mirror := range mirrors {
		if err := s.files.MakeDir(mirror); err != nil {
			return err
		}
	}
	if err := s.files.SyncDir("."); err != nil {
		return err
	}
	// Whatever is not whole and the same in both lanes is written anew, whole, before anything is added; and only then are the
	// old files taken away.
	s.logNumber = r.highestFile
	if r.Repaired = !r.identical || len(r.Lost) > 0; r.Repaired {
		s.report.Repaired = true
		s.logNumber++ // the base stands for all up to and with this number, which no log has
		size, err := s.writeSnapshot(s.logNumber, s.nextRecord, s.index)
		if err != nil {
			return err
		}
		if err := s.removeCovered(s.logNumber, r.names); err != nil {
			return err
		}
		s.fileSizes = map[string]int64{snapshotName("", s.logNumber): size}
		s.lastChecksum = checksum{}
	} else {
		s.fileSizes = r.fileSizes
		if err := s.removeCovered(r.snapshot, r.names); err != nil { // left over by a crash behind a compaction
			return err
		}
	}
	if err := s.startLog(); err != nil {
		return err
	}
	if s.options.AcceptLoss && len(r.Lost) > 0 {
		s.report.LossAccepted = true
	}
	return nil
}

func entrySize(key string, value []byte) int64 { return int64(len(key)+len(value)) + 64 }

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
	st.LiveBytes, st.Failure, st.Keys = s.liveBytes, s.failure, 0
	for _, t := range s.index {
		st.Keys += len(t)
	}
	return st
}

// Commit makes changes, all or none of them, and returns once they are sure to outlive a crash.
func (s *Store) Commit(ops ...Op) error {
	err := make(chan error, 1)
	s.CommitAsync(func(e error) { err <- e }, ops...)
	return <-err
}

// CommitAsync makes changes without waiting. done is called once, when they are sure to outlive a crash, or with the reason why they
// are not in force; in the store's own goroutine, and must not wait.
func (s *Store) CommitAsync(done func(error), ops ...Op) {
	s.enqueue(&pendingCommit{ops: ops, done: done})
}

func (s *Store) enqueue(p *pendingCommit) {
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
	if s.failure != nil && !errors.Is(s.failure, ErrClosed) {
		return s.failure
	}
	return nil
}

func (s *Store) run() {
	defer close(s.done)
	defer s.unlock()
	for open := true; open; {
		select {
		case <-s.wake:
			if s.options.CommitDelay > 0 {
				time.Sleep(s.options.CommitDelay)
			}
			s.writeQueued()
		case c := <-s.compaction:
			s.finishCompaction(c)
		case <-s.quit:
			open = false
		}
	}
	s.writeQueued()
	if s.compaction != nil {
		s.finishCompaction(<-s.compaction)
	}
	if s.failed() == nil {
		s.writeWatermark()
	}
	for _, f := range s.logs {
		if f != nil {
			f.Close()
		}
	}
	s.mu.Lock()
	if s.failure == nil {
		s.failure = ErrClosed
	}
	s.mu.Unlock()
}

func (s *Store) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// maxGroupSize bounds what one write takes.
const maxGroupSize = 1 << 20

// writeQueued writes all that waits, a group at a time.
func (s *Store) writeQueued() {
	for {
		s.mu.Lock()
		group, size := 0, 0
		for group < len(s.queue) && size < maxGroupSize {
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
		s.writeGroup(now)
		select {
		case c := <-s.compaction:
			s.finishCompaction(c)
		default:
		}
	}
}

// writeGroup writes a group and acknowledges it.
func (s *Store) writeGroup(group []*pendingCommit) {
	err := s.failed()
	var b []byte
	next, last := s.nextRecord, s.lastChecksum
	var good []*pendingCommit
	for _, p := range group {
		if p.compaction {
			defer func() { p.done(s.compactAndWait()) }() // behind what was begun before it
			continue
		}
		body := encodeOps(p.ops)
		if len(body) > maxRecordSize {
			p.done(fmt.Errorf("a commit of %d bytes: %d are allowed", len(body), maxRecordSize))
			continue
		}
		b, last = appendRecord(b, s.salt, next, body)
		next++
		good = append(good, p)
	}
	if len(good) == 0 {
		return
	}
	if err == nil && s.options.MaxBytes > 0 && s.mirrorBytes()+int64(len(b)) > s.options.MaxBytes {
		err = ErrFull
	}
	if err == nil {
		err = s.appendToLogs(b)
	}
	if err != nil {
		for _, p := range good {
			p.done(err)
		}
		s.maybeCompact() // where it is full, this may make room
		return
	}
	s.nextRecord, s.lastChecksum, s.logSize = next, last, s.logSize+int64(len(b))
	s.mu.Lock()
	for _, p := range good {
		for _, o := range p.ops {
			s.apply(o)
		}
	}
	s.stats.Commits += int64(len(good))
	s.stats.Syncs++
	s.stats.LastRecord = s.nextRecord - 1
	s.stats.MirrorBytes, s.stats.Files = s.mirrorBytes(), len(s.fileSizes)+1
	s.mu.Unlock()
	for _, p := range good {
		p.done(nil)
	}
	if s.logSize >= s.options.SegmentSize {
		if err := s.startLog(); err != nil {
			s.fail(err)
		}
	}
	s.maybeCompact()
}

func (s *Store) apply(o Op) {
	t := s.index[o.Table]
	if was, ok := t[o.Key]; ok {
		s.liveBytes -= entrySize(o.Key, was)
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
	s.liveBytes += entrySize(o.Key, o.Value)
}

// appendToLogs appends bytes to both lanes and makes them last. A write that fails, as on a full disk, is taken back and may be tried
// again; a sync that fails never is: what it did is not known, and a second one may succeed without having written anything.
func (s *Store) appendToLogs(b []byte) error {
	var errs [2]error
	var both sync.WaitGroup
	for i, f := range s.logs {
		both.Add(1)
		go func() {
			defer both.Done()
			_, errs[i] = f.Write(b)
		}()
	}
	both.Wait()
	if err := errors.Join(errs[0], errs[1]); err != nil {
		for _, f := range s.logs {
			if cut := f.Truncate(s.logSize); cut != nil {
				s.fail(errors.Join(err, cut))
				return s.failed()
			}
		}
		if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		return err
	}
	for i, f := range s.logs {
		both.Add(1)
		go func() {
			defer both.Done()
			errs[i] = f.Sync()
		}()
	}
	both.Wait()
	if err := errors.Join(errs[0], errs[1]); err != nil {
		s.fail(err)
		return s.failed()
	}
	return nil
}

// fail ends writing for good.
func (s *Store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = fmt.Errorf("%w: %w", ErrFailed, err)
	}
}

// startLog begins a new log in both lanes.
func (s *Store) startLog() error {
	if s.logs[0] != nil {
		s.fileSizes[logName("", s.logNumber)] = s.logSize
	}
	for _, f := range s.logs {
		if f != nil {
			f.Close()
		}
	}
	s.logs = [2]File{}
	s.logNumber++
	h := header{version: Version, kind: kindLog, file: s.logNumber, first: s.nextRecord, storeID: s.id, chain: s.lastChecksum}
	b := h.encode()
	for i, mirror := range mirrors {
		f, err := s.files.Create(logName(mirror, s.logNumber))
		if err != nil {
			return err
		}
		s.logs[i] = f
		if _, err := f.Write(b); err != nil {
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
		if err := s.files.SyncDir(mirror); err != nil {
			return err
		}
	}
	copy(s.salt[:], b[headerSize-checksumSize:])
	s.logSize = headerSize
	return s.writeWatermark()
}

// writeWatermark notes, outside both lanes, up to which record there are acknowledged ones, so that a cut of both lanes' ends shows. It
// is written when a log begins and when the store closes; what was added since is not marked.
func (s *Store) writeWatermark() error {
	b := binary.BigEndian.AppendUint64(append([]byte(magic), s.id[:]...), s.nextRecord)
	m := checksumOf(b)
	b = append(b, m[:]...)
	err := s.writeAtomically("mark.new", "mark", b)
	if err != nil {
		s.fail(err)
	}
	return err
}

// writeAtomically writes a file under another name, makes it last, and gives it its name.
func (s *Store) writeAtomically(temporary, name string, b []byte) error {
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

func (s *Store) mirrorBytes() int64 {
	n := s.logSize
	for _, size := range s.fileSizes {
		n += size
	}
	return n
}

// maybeCompact begins a compaction where the logs are long and little of them lives. Commits go on meanwhile, in a new log.
func (s *Store) maybeCompact() {
	if s.compaction != nil || s.failed() != nil {
		return
	}
	s.mu.Lock()
	live := s.liveBytes
	s.mu.Unlock()
	if all := s.mirrorBytes(); all < s.options.CompactionThreshold || all < 4*live {
		return
	}
	s.beginCompaction()
}

func (s *Store) beginCompaction() {
	upTo, next := s.logNumber, s.nextRecord
	s.mu.Lock()
	index := map[Table]map[string][]byte{}
	for t, m := range s.index {
		index[t] = maps.Clone(m) // values are never changed in place
	}
	s.mu.Unlock()
	if err := s.startLog(); err != nil {
		s.fail(err)
		return
	}
	c := make(chan compactionResult, 1)
	s.compaction = c
	go func() {
		size, err := s.writeSnapshot(upTo, next, index)
		c <- compactionResult{upTo, size, err}
	}()
}

// Compact compacts now and returns once that is done.
func (s *Store) Compact() error {
	err := make(chan error, 1)
	s.enqueue(&pendingCommit{done: func(e error) { err <- e }, compaction: true})
	return <-err
}

// compactAndWait is the writer's side of Compact.
func (s *Store) compactAndWait() error {
	if s.compaction == nil {
		s.beginCompaction()
	}
	if s.compaction != nil {
		c := <-s.compaction
		s.finishCompaction(c)
		if c.err != nil {
			return c.err
		}
	}
	return s.failed()
}

// finishCompaction takes away what a compaction has made needless.
func (s *Store) finishCompaction(c compactionResult) {
	s.compaction = nil
	if c.err != nil {
		// The base is not there or not whole: the logs stay, and nothing is lost. The disk may only be full.
		if !errors.Is(c.err, syscall.ENOSPC) && !errors.Is(c.err, syscall.EDQUOT) {
			s.fail(c.err)
		}
		return
	}
	var names []string
	for name := range s.fileSizes {
		names = append(names, name[1:])
	}
	slices.Sort(names)
	s.fileSizes[snapshotName("", c.covered)] = c.size
	if err := s.removeCovered(c.covered, [2][]string{names, names}); err != nil {
		s.fail(err)
	}
	for name := range s.fileSizes {
		if n, k, _ := parseName(name[1:]); n < c.covered || n == c.covered && k == kindLog {
			delete(s.fileSizes, name)
		}
	}
	s.mu.Lock()
	s.stats.MirrorBytes, s.stats.Files = s.mirrorBytes(), len(s.fileSizes)+1
	s.mu.Unlock()
}

// writeSnapshot writes what lives as a base for all up to a file, in both lanes.
func (s *Store) writeSnapshot(file, next uint64, index map[Table]map[string][]byte) (int64, error) {
	h := header{version: Version, kind: kindSnapshot, file: file, first: next, storeID: s.id}
	b := h.encode()
	var salt checksum
	copy(salt[:], b[headerSize-checksumSize:])
	number := uint64(0)
	for _, t := range slices.Sorted(maps.Keys(index)) {
		for _, k := range slices.Sorted(maps.Keys(index[t])) {
			number++
			b, _ = appendRecord(b, salt, number, encodeOps([]Op{{Table: t, Key: k, Value: index[t][k]}}))
		}
	}
	// The last record says how many there were: a base that is cut between two is not whole.
	b, _ = appendRecord(b, salt, 0, binary.BigEndian.AppendUint64(nil, number))
	for _, mirror := range mirrors {
		if err := s.writeAtomically(mirror+"/base.new", snapshotName(mirror, file), b); err != nil {
			return 0, err
		}
	}
	return int64(len(b)), nil
}

// removeCovered takes away what a base stands for: logs up to its file, and older bases.
func (s *Store) removeCovered(file uint64, names [2][]string) error {
	for i, mirror := range mirrors {
		dropped := false
		for _, name := range names[i] {
			n, k, ok := parseName(name)
			if ok && (n > file || n == file && k == kindSnapshot) {
				continue
			}
			if !ok && name != "base.new" {
				continue
			}
			if err := s.files.Remove(mirror + "/" + name); errors.Is(err, fs.ErrNotExist) {
				continue // a broken-off base, written anew and named by now
			} else if err != nil {
				return err
			}
			dropped = true
		}
		if dropped {
			if err := s.files.SyncDir(mirror); err != nil {
				return err
			}
		}
	}
	return nil
}
