package raftlog

import (
	"errors"
	"maps"
	"slices"
)

// storageFailure is the way in which Write of a memoryStorage fails.
type storageFailure int

// The kinds of storage failures.
const (
	noFailure     storageFailure = iota
	failsStored                  // the batch is stored and an error is returned
	failsUnstored                // the batch is not stored and an error is returned
)

// memoryStorage is a Storage in memory whose writes can be made to fail.
type memoryStorage struct {
	hardState, snapshot []byte
	entries             map[uint64][]byte
	failure             storageFailure
}

func (s *memoryStorage) Load() (StoredLog, error) {
	stored := StoredLog{HardState: s.hardState, Snapshot: s.snapshot}
	for _, index := range slices.Sorted(maps.Keys(s.entries)) {
		stored.Entries = append(stored.Entries, Entry{index, s.entries[index]})
	}
	return stored, nil
}

func (s *memoryStorage) Write(batch WriteBatch) error {
	if s.failure == failsUnstored {
		return errors.New("injected failure, not stored")
	}
	if batch.HardState != nil {
		s.hardState = batch.HardState
	}
	if batch.Snapshot != nil {
		s.snapshot = batch.Snapshot
	}
	if batch.TruncateFrom > 0 {
		maps.DeleteFunc(s.entries, func(index uint64, _ []byte) bool { return index >= batch.TruncateFrom })
	}
	maps.DeleteFunc(s.entries, func(index uint64, _ []byte) bool { return index <= batch.CompactTo })
	for _, e := range batch.Entries {
		s.entries[e.Index] = e.Data
	}
	if s.failure == failsStored {
		return errors.New("injected failure, stored")
	}
	return nil
}
