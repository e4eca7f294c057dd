package raftnode

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"oxbowspan/raftlog"
	"oxbowspan/store"
)

// Tables and keys of a voter's store.
const (
	tableState   store.Table = 10 // hard state and snapshot, under the keys below
	tableEntries store.Table = 11 // log entries, by entryKey

	keyHardState = "hard"
	keySnapshot  = "snapshot"
)

// logStorage implements raftlog.Storage with a store.Store. Each batch is one commit, which is stored atomically in
// both mirrors.
type logStorage struct {
	store *store.Store
	first uint64 // index of the first stored entry; 0 = none is stored
	last  uint64 // index of the last stored entry
}

// openStorage opens the store in the directory path, or creates it.
func openStorage(path string) (*logStorage, error) {
	files, err := store.OpenDisk(path)
	if err != nil {
		return nil, fmt.Errorf("open the fleet's log at %s: %w", path, err)
	}
	s, _, err := store.Open(files, store.Options{})
	if err != nil {
		return nil, fmt.Errorf("open the fleet's log at %s: %w", path, err)
	}
	return &logStorage{store: s}, nil
}

// entryKey returns the key of an entry: its index as 16 hex digits, so that keys sort by index.
func entryKey(index uint64) string { return fmt.Sprintf("%016x", index) }

// Load implements raftlog.Storage.
func (s *logStorage) Load() (raftlog.StoredLog, error) {
	var stored raftlog.StoredLog
	stored.HardState, _ = s.store.Get(tableState, keyHardState)
	stored.Snapshot, _ = s.store.Get(tableState, keySnapshot)
	entries := s.store.All(tableEntries)
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		index, err := strconv.ParseUint(key, 16, 64)
		if err != nil {
			return stored, fmt.Errorf("invalid entry key %.40q in the fleet's log, want an index in hex", key)
		}
		stored.Entries = append(stored.Entries, raftlog.Entry{Index: index, Data: entries[key]})
	}
	if n := len(stored.Entries); n > 0 {
		s.first, s.last = stored.Entries[0].Index, stored.Entries[n-1].Index
	}
	return stored, nil
}

// Write implements raftlog.Storage.
func (s *logStorage) Write(batch raftlog.WriteBatch) error {
	var ops []store.Op
	if batch.HardState != nil {
		ops = append(ops, store.Op{Table: tableState, Key: keyHardState, Value: batch.HardState})
	}
	if batch.Snapshot != nil {
		ops = append(ops, store.Op{Table: tableState, Key: keySnapshot, Value: batch.Snapshot})
	}
	removals, first, last := s.removals(batch)
	ops = append(ops, removals...)
	for _, e := range batch.Entries {
		ops = append(ops, store.Op{Table: tableEntries, Key: entryKey(e.Index), Value: e.Data})
		if first == 0 {
			first = e.Index
		}
		last = e.Index
	}
	if err := s.store.Commit(ops...); err != nil {
		return err
	}
	s.first, s.last = first, last
	return nil
}

// removals returns the operations that remove the entries which a batch removes, and the first and last index of the
// entries that remain.
func (s *logStorage) removals(batch raftlog.WriteBatch) (ops []store.Op, first, last uint64) {
	first, last = s.first, s.last
	if first == 0 {
		return nil, 0, 0
	}
	remove := func(index uint64) {
		ops = append(ops, store.Op{Table: tableEntries, Key: entryKey(index), Delete: true})
	}
	for ; first <= last && first <= batch.CompactTo; first++ {
		remove(first)
	}
	for ; batch.TruncateFrom > 0 && last >= max(batch.TruncateFrom, first); last-- {
		remove(last)
	}
	if first > last {
		return ops, 0, 0
	}
	return ops, first, last
}
