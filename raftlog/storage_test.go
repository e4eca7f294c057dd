package raftlog

import (
	"errors"
	"maps"
	"slices"
)

// storageFailure says how Write of a memoryStorage fails.
type storageFailure int

// The failures.
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

func (d *memoryStorage) Load() (StoredLog, error) {
	k := StoredLog{HardState: d.hardState, Snapshot: d.snapshot}
	for _, no := range slices.Sorted(maps.Keys(d.entries)) {
		k.Entries = append(k.Entries, Entry{no, d.entries[no]})
	}
	return k, nil
}

func (d *memoryStorage) Write(c WriteBatch) error {
	if d.failure == failsUnstored {
		return errors.New("injected failure, not stored")
	}
	if c.HardState != nil {
		d.hardState = c.HardState
	}
	if c.Snapshot != nil {
		d.snapshot = c.Snapshot
	}
	if c.TruncateFrom > 0 {
		maps.DeleteFunc(d.entries, func(no uint64, _ []byte) bool { return no >= c.TruncateFrom })
	}
	maps.DeleteFunc(d.entries, func(no uint64, _ []byte) bool { return no <= c.CompactTo })
	for _, e := range c.Entries {
		d.entries[e.Index] = e.Data
	}
	if d.failure == failsStored {
		return errors.New("injected failure, stored")
	}
	return nil
}
