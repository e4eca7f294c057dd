package raftlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"oxbowspan/maintenance"
)

// readStoredLog reads a log that the first release stored: the log of the only voter of a new fleet, compacted once.
func readStoredLog(t *testing.T) (stored StoredLog) {
	t.Helper()
	raw, err := os.ReadFile("testdata/log.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &stored); err != nil {
		t.Fatal(err)
	}
	return stored
}

// A log that was stored by the first release must be restored to the same state.
func TestRestoreStoredLog(t *testing.T) {
	stored := readStoredLog(t)
	storage := &memoryStorage{hardState: stored.HardState, snapshot: stored.Snapshot, entries: map[uint64][]byte{}}
	for _, e := range stored.Entries {
		storage.entries[e.Index] = e.Data
	}
	n, err := New(Config{ID: 1, Voters: []ID{1}, Storage: storage})
	if err != nil {
		t.Fatal(err)
	}
	for range 10 * defaultElectionTicks {
		n.Tick(0)
		n.Process()
	}
	state := n.State()
	if p := state.Members["g1"].Permit; len(state.Members) != 4 || state.Limits.MaxGatherers != 2 || p == nil || p.Epoch != 11 || state.Now != 900 {
		t.Errorf("restored %d members, limits %+v, permit %+v, time %d", len(state.Members), state.Limits, p, state.Now)
	}
}

// Commands must be stored as the same bytes as by the first release: voters of both versions run side by side, and
// after a downgrade the older version must be able to read the log.
func TestStoredBytesAreUnchanged(t *testing.T) {
	want := readStoredLog(t)
	storage := &memoryStorage{entries: map[uint64][]byte{}}
	n, err := New(Config{ID: 1, Voters: []ID{1}, Storage: storage, Bootstrap: true, CompactAfter: 6,
		Limits: maintenance.Limits{MaxGatherers: 2, LeaseDuration: 3000}})
	if err != nil {
		t.Fatal(err)
	}
	for !n.IsLeader() {
		n.Tick(0)
		n.Process()
	}
	now := maintenance.Time(0)
	propose := func(c maintenance.Command) {
		t.Helper()
		now += 100
		n.Tick(now)
		n.Process()
		n.Propose(c, func(_ maintenance.Result, err error) {
			if err != nil {
				t.Fatal(err)
			}
		})
		n.Process()
	}
	for i := range 4 {
		name := maintenance.MemberName(fmt.Sprint("g", i))
		propose(maintenance.Command{Join: &maintenance.Join{Name: name, Zone: "a", Version: "v1", Incarnation: 1}})
		propose(maintenance.Command{Renew: &maintenance.Renew{Name: name, Incarnation: 1, Status: maintenance.Ready}})
	}
	propose(maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: "g1", Incarnation: 1, Reason: "told to end"}})
	if !bytes.Equal(storage.hardState, want.HardState) || !bytes.Equal(storage.snapshot, want.Snapshot) {
		t.Errorf("hard state %x, want %x; snapshot %q, want %q", storage.hardState, want.HardState, storage.snapshot, want.Snapshot)
	}
	var indexes []uint64
	for _, e := range want.Entries {
		indexes = append(indexes, e.Index)
		if !bytes.Equal(storage.entries[e.Index], e.Data) {
			t.Errorf("entry %d is stored as %q, want %q", e.Index, storage.entries[e.Index], e.Data)
		}
	}
	if got := slices.Sorted(maps.Keys(storage.entries)); !slices.Equal(got, indexes) {
		t.Errorf("entries %v are stored, want %v", got, indexes)
	}
}

func TestUnwrapProposalRejectsMalformedData(t *testing.T) {
	id := proposalID{proposer: 3, term: 300, sequence: 70_000}
	data := wrapProposal(id, []byte("command"))
	if got, command, err := unwrapProposal(data); err != nil || got != id || string(command) != "command" {
		t.Errorf("unwrapped %+v, %q, %v", got, command, err)
	}
	for end := range len(data) - len("command") {
		if _, _, err := unwrapProposal(data[:end]); !errors.Is(err, ErrMalformedEntry) {
			t.Errorf("data cut to %d bytes: %v", end, err)
		}
	}
}
