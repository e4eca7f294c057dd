// Package store is a small embedded key-value store whose commits survive restarts and crashes. It consists of an
// append-only log in segments, an index in memory, compaction into snapshots, and recovery. A store owns the files of one
// directory and one goroutine that writes commits to them.
//
// Each file exists in two mirrors: directories whose files have the same names and bytes. A commit is acknowledged once its
// record is durable in both. No acknowledged record is lost if any one file is truncated at any byte, damaged or removed:
// recovery reads the record from the other mirror, repairs the damaged one and reports that. Records that neither mirror
// holds are reported as lost, and such a store opens only with Options.AcceptLoss.
//
// Commits that arrive during a write are written together in the next one (group commit). A commit waits at most for the
// write in progress, Options.CommitDelay, and its own write.
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

// Options configures a store. The zero value selects the defaults.
type Options struct {
	// SegmentSize is the size in bytes at which a new segment of the log is started; 0 = 4 MiB.
	SegmentSize int64
	// MaxBytes is the limit of the total size of one mirror's files in bytes. Commits beyond it are rejected with ErrFull.
	// 0 = no limit.
	MaxBytes int64
	// CommitDelay is the time for which a commit waits for others that are then written with it. 0 = commits wait only for
	// the write in progress.
	CommitDelay time.Duration
	// CompactionThreshold is the total size of one mirror's files in bytes at which they are compacted, provided that it is
	// at least four times the size of the live data; 0 = 1 MiB.
	CompactionThreshold int64
	// AcceptLoss opens a store even if records are lost.
	AcceptLoss bool
	// ID is the id of a new store, for tests that need reproducible files; zero = random.
	ID [storeIDSize]byte
}

// withDefaults returns the options with defaults in place of zero values.
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

// Stats holds the state of a store and counters since it was opened.
type Stats struct {
	LastRecord  uint64 // number of the last record
	Keys        int    // number of live keys
	LiveBytes   int64  // estimated memory of live keys and values, with the overhead of the index
	MirrorBytes int64  // total size of one mirror's files
	Files       int    // number of one mirror's files
	Commits     int64  // number of durable commits
	Syncs       int64  // number of groups of commits written and synced
	Failure     error  // reason why commits are rejected; nil = they are accepted
}

// tables is the index: for each table its values by key. Values are never modified in place.
type tables map[Table]map[string][]byte

// Store is an open store. It is safe for concurrent use.
type Store struct {
	files   Files
	options Options
	unlock  func()
	report  Report

	wake chan struct{} // signals the writer that queue is not empty
	quit chan struct{} // closed by Close to stop the writer
	done chan struct{} // closed when the writer has stopped

	mu        sync.Mutex
	index     tables
	liveBytes int64
	queue     []*pendingCommit // waiting for the writer
	closing   bool             // Close has been called
	failure   error            // reason why commits are rejected, or nil
	stats     Stats

	// The remaining fields are owned by the writer's goroutine.
	id           [storeIDSize]byte
	nextRecord   uint64
	lastChecksum checksum                // of record nextRecord-1; zero if that record is in a snapshot
	logNumber    uint64                  // number of the current log file
	logs         [2]File                 // current log file in each mirror
	logSize      int64                   // size of the current log file in bytes
	logWork      sync.WaitGroup          // operations in progress on logs
	logErrors    [2]error                // results of the operations on logs
	salt         checksum                // of the checksums of the current log's records
	fileSizes    map[string]int64        // sizes of one mirror's files except the current log, by name
	compaction   <-chan compactionResult // result of the compaction in progress; nil = there is none
}

// Open opens and recovers a store, or creates it if there is none. The Report is valid even if an error is returned, except
// if the directory cannot be locked: it is then empty.
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

// open recovers the store, repairs the mirrors if they are damaged or differ, and starts a new log file.
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
	s.adoptRecovered(&r)
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

// adoptRecovered initializes the store from the recovered state. A new store gets Options.ID or a random id.
func (s *Store) adoptRecovered(r *recovery) {
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

// repair makes both mirrors complete and identical before anything is appended. If they are damaged or differ, or records
// are lost, it writes the recovered state to a new snapshot and only then removes the old files.
func (s *Store) repair(r *recovery, lossy bool) error {
	s.logNumber = r.highestFile
	if r.identical && !lossy {
		s.fileSizes = r.fileSizes
		return s.removeCovered(r.snapshot, r.names) // files that a crash after a compaction left behind
	}
	s.report.Repaired = true
	s.logNumber++ // the snapshot covers all logs up to this number, which no log file has
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

// entrySize returns the estimated memory of an index entry in bytes.
func entrySize(key string, value []byte) int64 {
	const overhead = 64
	return int64(len(key)+len(value)) + overhead
}

// Report returns the findings of recovery when the store was opened.
func (s *Store) Report() Report { return s.report }

// Get returns the value of a key. The caller must not modify it.
func (s *Store) Get(table Table, key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok = s.index[table][key]
	return value, ok
}

// All returns a copy of a table. The caller must not modify the values.
func (s *Store) All(table Table) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.index[table])
}

// Stats returns the current statistics.
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

// Commit applies changes atomically and returns when they are durable. After an error none of them is applied, except that
// if the store has failed during the commit, they may be found applied when the store is opened again.
func (s *Store) Commit(ops ...Op) error {
	result := make(chan error, 1)
	s.CommitAsync(func(err error) { result <- err }, ops...)
	return <-result
}

// CommitAsync applies changes atomically without waiting. done is called exactly once: with nil when the changes are
// durable, or with the reason why they are not applied. It is called in a goroutine of the store and must not block.
func (s *Store) CommitAsync(done func(error), ops ...Op) {
	s.enqueue(&pendingCommit{ops: ops, done: done})
}

// Compact compacts the store and returns when the compaction is complete.
func (s *Store) Compact() error {
	result := make(chan error, 1)
	s.enqueue(&pendingCommit{done: func(err error) { result <- err }, compaction: true})
	return <-result
}

// enqueue adds a commit to the queue and wakes the writer. If the store is closed it calls done with ErrClosed.
func (s *Store) enqueue(p *pendingCommit) {
	s.mu.Lock()
	closing := s.closing
	if !closing { // if the store has failed, the writer reports the error in its own goroutine
		s.queue = append(s.queue, p)
	}
	s.mu.Unlock()
	if closing {
		go p.done(ErrClosed) // not in the caller's goroutine, which may hold a lock that done acquires
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes the queued commits and closes the store. It returns the error with which the store has failed, if any.
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
