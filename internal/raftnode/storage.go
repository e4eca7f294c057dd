package raftnode

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"oxbowspan/raftlog"
	"oxbowspan/store"
)

// Tables of a steward's store.
const (
	tableState   store.Table = 10 // the vote and the snapshot, under these keys
	tableEntries store.Table = 11 // the log, by number in hex
	keyHardState             = "hard"
	keySnapshot              = "snapshot"
)

// logStorage keeps a steward's log in a store: a Change is one commit, which is in force whole or not at all, in both lanes.
type logStorage struct {
	store *store.Store
	first uint64 // numbers of the log that is kept; 0, 0 = none is
	last  uint64
}

func openStorage(path string) (*logStorage, error) {
	files, err := store.OpenDisk(path)
	if err != nil {
		return nil, fmt.Errorf("the fleet's log at %s: %w", path, err)
	}
	s, _, err := store.Open(files, store.Options{})
	if err != nil {
		return nil, fmt.Errorf("the fleet's log at %s: %w", path, err)
	}
	return &logStorage{store: s}, nil
}

func entryKey(no uint64) string { return fmt.Sprintf("%016x", no) }

func (d *logStorage) Load() (raftlog.StoredLog, error) {
	var k raftlog.StoredLog
	k.HardState, _ = d.store.Get(tableState, keyHardState)
	k.Snapshot, _ = d.store.Get(tableState, keySnapshot)
	all := d.store.All(tableEntries)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		no, err := strconv.ParseUint(key, 16, 64)
		if err != nil {
			return k, fmt.Errorf("the fleet's log has a command under %.40q", key)
		}
		k.Entries = append(k.Entries, raftlog.Entry{Index: no, Data: all[key]})
	}
	if n := len(k.Entries); n > 0 {
		d.first, d.last = k.Entries[0].Index, k.Entries[n-1].Index
	}
	return k, nil
}

func (d *logStorage) Write(c raftlog.WriteBatch) error {
	var ops []store.Op
	put := func(t store.Table, key string, v []byte) { ops = append(ops, store.Op{Table: t, Key: key, Value: v}) }
	drop := func(no uint64) { ops = append(ops, store.Op{Table: tableEntries, Key: entryKey(no), Delete: true}) }
	if c.HardState != nil {
		put(tableState, keyHardState, c.HardState)
	}
	if c.Snapshot != nil {
		put(tableState, keySnapshot, c.Snapshot)
	}
	first, last := d.first, d.last
	if first > 0 {
		for ; first <= last && first <= c.CompactTo; first++ {
			drop(first)
		}
		for ; c.TruncateFrom > 0 && last >= max(c.TruncateFrom, first); last-- {
			drop(last)
		}
		if first > last {
			first, last = 0, 0
		}
	}
	for _, e := range c.Entries {
		put(tableEntries, entryKey(e.Index), e.Data)
		if first == 0 {
			first = e.Index
		}
		last = e.Index
	}
	if err := d.store.Commit(ops...); err != nil {
		return err
	}
	d.first, d.last = first, last
	return nil
}
