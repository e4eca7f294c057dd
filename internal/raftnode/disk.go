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
	tableVote     store.Table = 10 // the vote and the snapshot, under these keys
	tableCommands store.Table = 11 // the log, by number in hex
	keyHard                   = "hard"
	keySnapshot               = "snapshot"
)

// disk keeps a steward's log in a store: a Change is one commit, which is in force whole or not at all, in both lanes.
type disk struct {
	s     *store.Store
	first uint64 // numbers of the log that is kept; 0, 0 = none is
	last  uint64
}

func openDisk(path string) (*disk, error) {
	files, err := store.OpenDisk(path)
	if err != nil {
		return nil, fmt.Errorf("the fleet's log at %s: %w", path, err)
	}
	s, _, err := store.Open(files, store.Options{})
	if err != nil {
		return nil, fmt.Errorf("the fleet's log at %s: %w", path, err)
	}
	return &disk{s: s}, nil
}

func number(no uint64) string { return fmt.Sprintf("%016x", no) }

func (d *disk) Load() (raftlog.StoredLog, error) {
	var k raftlog.StoredLog
	k.HardState, _ = d.s.Get(tableVote, keyHard)
	k.Snapshot, _ = d.s.Get(tableVote, keySnapshot)
	all := d.s.All(tableCommands)
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

func (d *disk) Write(c raftlog.WriteBatch) error {
	var ops []store.Op
	put := func(t store.Table, key string, v []byte) { ops = append(ops, store.Op{Table: t, Key: key, Value: v}) }
	drop := func(no uint64) { ops = append(ops, store.Op{Table: tableCommands, Key: number(no), Delete: true}) }
	if c.HardState != nil {
		put(tableVote, keyHard, c.HardState)
	}
	if c.Snapshot != nil {
		put(tableVote, keySnapshot, c.Snapshot)
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
		put(tableCommands, number(e.Index), e.Data)
		if first == 0 {
			first = e.Index
		}
		last = e.Index
	}
	if err := d.s.Commit(ops...); err != nil {
		return err
	}
	d.first, d.last = first, last
	return nil
}
