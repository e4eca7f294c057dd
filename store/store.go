// Package store keeps a small key-value state across restarts and crashes: an append-only log in segments, an index in
// memory, compaction into snapshots, and recovery. A store owns the files of one directory and one goroutine that writes them.
//
// A commit is acknowledged once its record is durable in both of two mirrors, directories whose files have the same bytes. No
// acknowledged record is lost if any one file is truncated at any byte, damaged or removed: recovery reads it from the other
// mirror, repairs the first and reports that. Records that neither mirror holds are reported as lost; such a store opens only
// with Options.AcceptLoss.
//
// Commits that arrive during a write are written together afterwards (group commit). A commit waits at most for the write in
// progress, Options.CommitDelay, and its own write.
package store

import (
	"crypto/rand"
	"errors"
	"maps"
	"sync"
	"time"
)

// Defaults of Options.
const (
	defaultSegmentSize         = 4 << 20
	defaultCompactionThreshold = 1 << 20
)

// Options configure a store. The zero value is usable.
type Options struct {
	// SegmentSize is the size in bytes from which on a log is followed by a new one; 0 = 4 MiB.
	SegmentSize int64
	// MaxBytes is the most that the files of one mirror may take; a commit beyond it is rejected with ErrFull. 0 = no limit.
	MaxBytes int64
	// CommitDelay is how long a commit waits for others to be written with it; 0 = only for a write in progress.
	CommitDelay time.Duration
	// CompactionThreshold is the size in bytes of one mirror's files from which on they are compacted, if it is also at least
	// four times the size of the live data; 0 = 1 MiB.
	CompactionThreshold int64
	// AcceptLoss opens a store although records are lost.
	AcceptLoss bool
	// ID is the identity of a new store, for tests that need the same files each time; zero = random.
	ID [storeIDSize]byte
}

func (o Options) withDefaults() Options {
	if o.SegmentSize <= 0 {
		o.SegmentSize = defaultSegmentSize
	}
	if o.CompactionThreshold <= 0 {
		o.CompactionThreshold = defaultCompactionThreshold
	}
	return o
}

// mirrors are the directories of the mirrors.
var mirrors = [2]string{"a", "b"}

// Stats describe the state of a store and its work since it was opened.
type Stats struct {
	LastRecord  uint64 // number of the last record
	Keys        int
	LiveBytes   int64 // keys, values and the index's overhead
	MirrorBytes int64 // files of one mirror
	Files       int   // of one mirror
	Commits     int64
	Syncs       int64 // groups of commits written
	Failure     error // why further commits are rejected; nil = they are accepted
}

// tables is the index: values by key, by table. Values are never changed in place.
type tables map[Table]map[string][]byte

// Store is an open store. Its methods may be called concurrently.
type Store struct {
	files   Files
	options Options
	unlock  func()
	report  Report

	wake chan struct{} // there is something in queue
	quit chan struct{} // closed by Close
	done chan struct{} // closed when the writer has ended

	mu        sync.Mutex
	index     tables
	liveBytes int64
	queue     []*pendingCommit // not yet written
	closing   bool
	failure   error
	stats     Stats

	// The following belong to the writer's goroutine.
	id           [storeIDSize]byte
	nextRecord   uint64
	lastChecksum checksum // of record nextRecord-1; zero if that is in a snapshot
	logNumber    uint64   // current log
	logs         [2]File  // current log in each mirror
	logSize      int64
	logWork      sync.WaitGroup // concurrent operations on logs, and their errors
	logErrors    [2]error
	salt         checksum                // of the current log's records
	fileSizes    map[string]int64        // of one mirror's other files, by name
	compaction   <-chan compactionResult // nil = no compaction is in progress
}

// Open opens a store and recovers it, or creates it if there is none. The report is valid if there is an error as well.
func Open(files Files, o Options) (*Store, Report, error) {
	unlock, err := files.Lock()
	if err != nil {
		return nil, Report{}, err
	}
	s := &Store{files: files, options: o.withDefaults(), unlock: unlock, wake: make(chan struct{}, 1),
		quit: make(chan struct{}), done: make(chan struct{})}
	if err := s.open(); err != nil {
		s.closeLogs()
		unlock()
		return nil, s.report, err
	}
	go s.run()
	return s, s.report, nil
}

// open recovers the files, repairs them and starts a new log.
func (s *Store) open() error {
	r, err := recoverStore(s.files)
	s.report = r.Report
	if err != nil {
		return err
	}
	lossy := len(r.Lost) > 0
	if lossy && !s.options.AcceptLoss {
		return &LossError{r.Lost}
	}
	s.restore(&r)
	for _, mirror := range mirrors {
		if err := s.files.MakeDir(mirror); err != nil {
			return err
		}
	}
	if err := s.files.SyncDir("."); err != nil {
		return err
	}
	if err := s.repair(&r, lossy); err != nil {
		return err
	}
	if err := s.startLog(); err != nil {
		return err
	}
	s.report.LossAccepted = lossy
	return nil
}

// restore takes over the recovered state.
func (s *Store) restore(r *recovery) {
	s.index, s.id, s.nextRecord, s.lastChecksum = r.index, r.id, r.nextRecord, r.lastChecksum
	for _, table := range s.index {
		for key, value := range table {
			s.liveBytes += entrySize(key, value)
		}
	}
	if s.id == [storeIDSize]byte{} {
		s.id = s.options.ID
	}
	if s.id == [storeIDSize]byte{} {
		rand.Read(s.id[:])
	}
}

// repair makes both mirrors complete and identical before anything is appended: if they are not, the recovered state is
// written to a snapshot, and only then are the old files removed.
func (s *Store) repair(r *recovery, lossy bool) error {
	s.logNumber = r.highestFile
	if r.identical && !lossy {
		s.fileSizes = r.fileSizes
		return s.removeCovered(r.snapshot, r.names) // left by a crash after a compaction
	}
	s.report.Repaired = true
	s.logNumber++ // the snapshot covers all logs up to this number, which no log has
	size, err := s.writeSnapshot(s.logNumber, s.nextRecord, s.index)
	if err != nil {
		return err
	}
	if err := s.removeCovered(s.logNumber, r.names); err != nil {
		return err
	}
	s.fileSizes = map[string]int64{snapshotName(s.logNumber): size}
	s.lastChecksum = checksum{}
	return nil
}

// entrySize is the estimated memory of an entry in bytes.
func entrySize(key string, value []byte) int64 {
	const overhead = 64
	return int64(len(key)+len(value)) + overhead
}

// Report returns what recovery found when the store was opened.
func (s *Store) Report() Report { return s.report }

// Get returns the value of a key. The caller must not change it.
func (s *Store) Get(table Table, key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok = s.index[table][key]
	return value, ok
}

// All returns a copy of a table. The caller must not change its values.
func (s *Store) All(table Table) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.index[table])
}

// Stats returns the present figures.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.LiveBytes, stats.Failure, stats.Keys = s.liveBytes, s.failure, 0
	for _, table := range s.index {
		stats.Keys += len(table)
	}
	return stats
}

// Commit applies changes, all or none of them, and returns when they are durable.
func (s *Store) Commit(ops ...Op) error {
	result := make(chan error, 1)
	s.CommitAsync(func(err error) { result <- err }, ops...)
	return <-result
}

// CommitAsync applies changes without waiting. done is called once, when the changes are durable or with the reason why they
// are not applied. It is called in the store's own goroutine and must not block.
func (s *Store) CommitAsync(done func(error), ops ...Op) {
	s.enqueue(&pendingCommit{ops: ops, done: done})
}

// Compact compacts the store now and returns when that is done.
func (s *Store) Compact() error {
	result := make(chan error, 1)
	s.enqueue(&pendingCommit{done: func(err error) { result <- err }, compaction: true})
	return <-result
}

func (s *Store) enqueue(p *pendingCommit) {
	s.mu.Lock()
	closing := s.closing
	if !closing { // if the store has failed the writer reports that, in its own goroutine
		s.queue = append(s.queue, p)
	}
	s.mu.Unlock()
	if closing {
		go p.done(ErrClosed) // not in the caller's goroutine, which may hold a lock that done needs
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes the queued commits and closes the store.
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
