package store

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"maps"
	"path"
	"slices"
)

// compactionFactor is the smallest ratio of the size of one mirror's files to that of the live data at which they are
// compacted.
const compactionFactor = 4

// compactionResult is the outcome of a compaction.
type compactionResult struct {
	covered    uint64 // number of the last log file that the snapshot covers
	nextRecord uint64 // number of the first record that the snapshot doesn't cover
	size       int64  // size of the snapshot in bytes
	err        error
}

// maybeCompact starts a compaction if the files have reached Options.CompactionThreshold and compactionFactor times the
// size of the live data, unless a compaction is in progress.
func (s *Store) maybeCompact() {
	if s.compaction != nil || s.failureReason() != nil {
		return
	}
	s.mu.Lock()
	live := s.liveBytes
	s.mu.Unlock()
	if size := s.mirrorBytes(); size < s.options.CompactionThreshold || size < compactionFactor*live {
		return
	}
	s.startCompaction()
}

// startCompaction starts a new log file and writes a snapshot of the index in another goroutine. Meanwhile commits continue
// in the new log file.
func (s *Store) startCompaction() {
	covered, next := s.logNumber, s.nextRecord
	s.mu.Lock()
	index := tables{}
	for t, table := range s.index {
		index[t] = maps.Clone(table)
	}
	s.mu.Unlock()
	if err := s.startLog(); err != nil {
		s.fail(err)
		return
	}
	result := make(chan compactionResult, 1)
	s.compaction = result
	go func() {
		size, err := s.writeSnapshot(covered, next, index)
		result <- compactionResult{covered, next, size, err}
	}()
}

// compactAndWait waits for the compaction in progress, or starts one and waits for it.
func (s *Store) compactAndWait() error {
	if s.compaction == nil {
		s.startCompaction()
	}
	if s.compaction != nil {
		result := <-s.compaction
		s.finishCompaction(result)
		if result.err != nil {
			return result.err
		}
	}
	return s.failureReason()
}

// endCompaction finishes a compaction, and starts the next one if commits that were written meanwhile require it: there may be no later
// commit that would start it.
func (s *Store) endCompaction(result compactionResult) {
	s.finishCompaction(result)
	if result.err == nil && s.nextRecord > result.nextRecord {
		s.maybeCompact()
	}
}

// finishCompaction removes the files that a compaction has made obsolete. If it has failed, all files remain.
func (s *Store) finishCompaction(result compactionResult) {
	s.compaction = nil
	if result.err != nil {
		// There is no complete snapshot, so the logs remain and no record is lost. The store need not fail if the disk is
		// full.
		if !isDiskFull(result.err) {
			s.fail(result.err)
		}
		return
	}
	names := slices.Sorted(maps.Keys(s.fileSizes))
	s.fileSizes[snapshotName(result.covered)] = result.size
	if err := s.removeCovered(result.covered, [2][]string{names, names}); err != nil {
		s.fail(err)
	}
	for name := range s.fileSizes {
		number, kind, _ := parseName(name)
		if number < result.covered || number == result.covered && kind == kindLog {
			delete(s.fileSizes, name)
		}
	}
	s.mu.Lock()
	s.stats.MirrorBytes, s.stats.Files = s.mirrorBytes(), len(s.fileSizes)+1
	s.mu.Unlock()
}

// writeSnapshot writes an index to both mirrors as a snapshot that covers the log files up to number covered and all
// records before nextRecord. It returns the snapshot's size in bytes.
func (s *Store) writeSnapshot(covered, nextRecord uint64, index tables) (int64, error) {
	h := header{version: Version, kind: kindSnapshot, file: covered, first: nextRecord, storeID: s.id}
	b := h.encode()
	salt := headerChecksum(b)
	count := uint64(0)
	for _, t := range slices.Sorted(maps.Keys(index)) {
		for _, key := range slices.Sorted(maps.Keys(index[t])) {
			count++
			b, _ = appendRecord(b, salt, count, encodeOps([]Op{{Table: t, Key: key, Value: index[t][key]}}))
		}
	}
	// The last record holds the number of the other records, so that a truncation between two records is detected.
	b, _ = appendRecord(b, salt, 0, binary.BigEndian.AppendUint64(nil, count))
	for _, mirror := range mirrors {
		temporary, name := path.Join(mirror, temporarySnapshotName), path.Join(mirror, snapshotName(covered))
		if err := s.writeAtomically(temporary, name, b); err != nil {
			return 0, err
		}
	}
	return int64(len(b)), nil
}

// removeCovered removes the files that the snapshot with a number makes obsolete: log files up to that number, older
// snapshots and incomplete snapshots. names are the files of each mirror.
func (s *Store) removeCovered(snapshot uint64, names [2][]string) error {
	for i, mirror := range mirrors {
		removed := false
		for _, name := range names[i] {
			if !isCovered(name, snapshot) {
				continue
			}
			err := s.files.Remove(path.Join(mirror, name))
			if errors.Is(err, fs.ErrNotExist) {
				continue // the temporary file of a snapshot that has been written again and renamed since
			}
			if err != nil {
				return err
			}
			removed = true
		}
		if removed {
			if err := s.files.SyncDir(mirror); err != nil {
				return err
			}
		}
	}
	return nil
}

// isCovered reports whether the snapshot with a number makes a mirror's file obsolete.
func isCovered(name string, snapshot uint64) bool {
	number, kind, ok := parseName(name)
	if !ok {
		return name == temporarySnapshotName
	}
	return number < snapshot || number == snapshot && kind == kindLog
}
