package acceptorstore

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"oxbowspan/consensus"
)

// fullDevice is a device that fails every write with ENOSPC.
const fullDevice = "/dev/full"

// A process that starts on a full disk without a state file keeps running and keeps its identity, but rejects every update, so
// that it does not vote. It creates the file and accepts updates once the disk accepts writes.
func TestNewFileOnFullDisk(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	if err := os.Symlink(fullDevice, path); err != nil {
		t.Fatal(err)
	}
	s, setAsidePath, err := Open(dir, 77)
	if err != nil || setAsidePath != "" {
		t.Fatalf("Open on a full disk: %v, set aside as %q", err, setAsidePath)
	}
	if !errors.Is(s.OpenError(), syscall.ENOSPC) || s.State().ID != 77 || s.State().Value != nil {
		t.Fatalf("OpenError returned %v, state %+v", s.OpenError(), s.State())
	}
	if err := update(t, s, acceptStep(1)); !errors.Is(err, ErrFileNotCreated) {
		t.Fatalf("an update on a full disk returned %v, want ErrFileNotCreated", err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * createRetryInterval); update(t, s, acceptStep(2)) != nil; time.Sleep(createRetryInterval / 8) {
		if time.Now().After(end) {
			t.Fatal("updates still fail although the disk accepts writes")
		}
	}
	s.Close()
	expectStored(t, dir, 77, 2)
}

// expectStored checks the identity and the slot in a file.
func expectStored(t *testing.T, dir string, id consensus.AcceptorID, slot consensus.Slot) {
	t.Helper()
	c, err := Inspect(dir)
	if err != nil || c.Identity != id || c.Slot != slot {
		t.Errorf("Inspect returned %+v, %v; want identity %d and slot %d", c, err, id, slot)
	}
}

// closedStore returns the directory of a closed store of identity 77 that accepted a value in a slot.
func closedStore(t *testing.T, slot uint64) (dir string) {
	t.Helper()
	dir = t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	if err := update(t, s, acceptStep(slot)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	return dir
}

// Opening an intact file writes nothing, so that it succeeds on a full disk and the file is not set aside.
func TestIntactFileIsOpenedWithoutWrites(t *testing.T) {
	dir := closedStore(t, 5)
	before := readFile(t, dir)
	s, setAsidePath, err := Open(dir, 0)
	if err != nil || setAsidePath != "" || s.State().Value.Slot != 5 {
		t.Fatal(err, setAsidePath)
	}
	s.Close()
	if !bytes.Equal(before, readFile(t, dir)) {
		t.Error("opening an intact file changed it")
	}
}

func readFile(t *testing.T, dir string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// If the directory can't be synced for lack of space, the state of an existing file is read, but updates fail until the
// directory entry is durable.
func TestDirectorySyncOnFullDisk(t *testing.T) {
	dir := closedStore(t, 5)
	original := syncDirectory
	defer func() { syncDirectory = original }()
	syncDirectory = func(string) error { return syscall.ENOSPC }
	s, setAsidePath, err := Open(dir, 0)
	if err != nil || setAsidePath != "" || s.State().Value == nil || s.State().Value.Slot != 5 {
		t.Fatalf("Open: %v, set aside as %q", err, setAsidePath)
	}
	if err := update(t, s, acceptStep(6)); !errors.Is(err, ErrFileNotCreated) {
		t.Errorf("an update before the directory was synced returned %v, want ErrFileNotCreated", err)
	}
	s.Close()
	expectStored(t, dir, 77, 5)
}

// A stored decision applies to the value accepted at its ballot, and not to a value accepted later.
func TestDecisionIsStored(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	decided := &consensus.Value{Slot: 3, Members: []consensus.Member{{ID: 77}}, PriorMembers: []consensus.Member{{ID: 78}}}
	ballot := consensus.Ballot{Number: 9, Proposer: 4}
	accept := func(state consensus.AcceptorState) consensus.AcceptorState {
		next, _ := state.HandleAccept(consensus.Accept{To: 77, Ballot: ballot, Value: decided})
		return next
	}
	decide := func(state consensus.AcceptorState) consensus.AcceptorState {
		return state.WithDecision(consensus.Decision{Value: decided}.WithBallot(ballot))
	}
	for _, step := range []StepFunc{accept, decide} {
		if err := update(t, s, step); err != nil {
			t.Fatal(err)
		}
	}
	s = reopen(t, s, dir)
	if state := s.State(); !state.RecordsDecision() || state.Value.Slot != 3 || state.Decided != ballot {
		t.Errorf("Open read %+v", state)
	}
	if err := update(t, s, acceptStep(10)); err != nil {
		t.Fatal(err)
	}
	s = reopen(t, s, dir)
	defer s.Close()
	if state := s.State(); state.RecordsDecision() || state.Value.Slot != 10 {
		t.Errorf("after a later value Open read %+v, decided %t", state, state.RecordsDecision())
	}
}

// reopen closes a store and opens its file again.
func reopen(t *testing.T, s *Store, dir string) *Store {
	t.Helper()
	s.Close()
	s, _, err := Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
