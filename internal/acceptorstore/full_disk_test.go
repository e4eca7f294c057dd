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

// fullDevice refuses every write with ENOSPC.
const fullDevice = "/dev/full"

// A process that starts on a full disk without a file stays up, votes for nothing and keeps its identity. Once the disk takes
// writes it votes.
func TestNewFileOnFullDisk(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	if err := os.Symlink(fullDevice, path); err != nil {
		t.Fatal(err)
	}
	s, setAsidePath, err := Open(dir, 77)
	if err != nil || setAsidePath != "" {
		t.Fatalf("the store can't be opened on a full disk: %v, set aside %q", err, setAsidePath)
	}
	if !errors.Is(s.Refused(), syscall.ENOSPC) || s.State().ID != 77 || s.State().Value != nil {
		t.Fatalf("opened with %v, state %+v", s.Refused(), s.State())
	}
	if err := update(t, s, acceptStep(1)); !errors.Is(err, ErrNoFile) {
		t.Fatalf("an update on a full disk ends with %v", err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * createRetryInterval); update(t, s, acceptStep(2)) != nil; time.Sleep(createRetryInterval / 8) {
		if time.Now().After(end) {
			t.Fatal("no update is stored though the disk takes writes")
		}
	}
	s.Close()
	expectStored(t, dir, 77, 2)
}

// expectStored checks the identity and the slot that a file holds.
func expectStored(t *testing.T, dir string, id consensus.AcceptorID, slot consensus.Slot) {
	t.Helper()
	c, err := Inspect(dir)
	if err != nil || c.Identity != id || c.Slot != slot {
		t.Errorf("the file holds %+v, %v; want identity %d and slot %d", c, err, id, slot)
	}
}

// closedStore returns the directory of a closed store of identity 77 that accepted a value of a slot.
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

// A sound file is opened without a write, so that a full disk is no reason to set it aside.
func TestSoundFileIsOpenedWithoutWrites(t *testing.T) {
	dir := closedStore(t, 5)
	before := readFile(t, dir)
	s, setAsidePath, err := Open(dir, 0)
	if err != nil || setAsidePath != "" || s.State().Value.Slot != 5 {
		t.Fatal(err, setAsidePath)
	}
	s.Close()
	if !bytes.Equal(before, readFile(t, dir)) {
		t.Error("opening a sound file wrote to it")
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

// A directory that can't be synced for want of space: what the file holds is known, but nothing is voted for until its name is
// durable.
func TestDirectorySyncOnFullDisk(t *testing.T) {
	dir := closedStore(t, 5)
	original := syncDirectory
	defer func() { syncDirectory = original }()
	syncDirectory = func(string) error { return syscall.ENOSPC }
	s, setAsidePath, err := Open(dir, 0)
	if err != nil || setAsidePath != "" || s.State().Value == nil || s.State().Value.Slot != 5 {
		t.Fatalf("the store can't be opened: %v, set aside %q", err, setAsidePath)
	}
	if err := update(t, s, acceptStep(6)); !errors.Is(err, ErrNoFile) {
		t.Errorf("an update before the name is durable ends with %v", err)
	}
	s.Close()
	expectStored(t, dir, 77, 5)
}

// The note of a decision is kept with the accepted value, and says nothing of a later one.
func TestDecisionIsStored(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	replaced := &consensus.Value{Slot: 3, Members: []consensus.Member{{ID: 77}}, PriorMembers: []consensus.Member{{ID: 78}}}
	ballot := consensus.Ballot{Number: 9, By: 4}
	accept := func(state consensus.AcceptorState) consensus.AcceptorState {
		next, _ := state.HandleAccept(consensus.Accept{To: 77, Ballot: ballot, Value: replaced})
		return next
	}
	decide := func(state consensus.AcceptorState) consensus.AcceptorState {
		return state.WithDecision(consensus.Decision{Value: replaced}.WithBallot(ballot))
	}
	for _, step := range []StepFunc{accept, decide} {
		if err := update(t, s, step); err != nil {
			t.Fatal(err)
		}
	}
	s = reopen(t, s, dir)
	if state := s.State(); !state.HoldsDecision() || state.Value.Slot != 3 || state.Decided != ballot {
		t.Errorf("read as %+v", state)
	}
	if err := update(t, s, acceptStep(10)); err != nil {
		t.Fatal(err)
	}
	s = reopen(t, s, dir)
	defer s.Close()
	if state := s.State(); state.HoldsDecision() || state.Value.Slot != 10 {
		t.Errorf("a later value is read as %+v, decided %t", state, state.HoldsDecision())
	}
}

func reopen(t *testing.T, s *Store, dir string) *Store {
	t.Helper()
	s.Close()
	s, _, err := Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
