package raftlog

import (
	"errors"
	"maps"
	"slices"

	"oxbowspan/maintenance"
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

func (w *testCluster) start(s *simNode, found bool) {
	s.storage.failure = noFailure
	node, err := New(Config{ID: s.id, Voters: w.ids, Limits: testLimits, Storage: s.storage, Bootstrap: found, CompactAfter: 6})
	if err != nil {
		w.t.Fatalf("voter %d does not start: %v", s.id, err)
	}
	// Each run has a clock of its own: a new leader continues the state's time from where it stood.
	s.node, s.suspended, s.clock = node, false, maintenance.Time(w.rand.IntN(864_000_000))
}
