package acceptorstore

import (
	"errors"
	"testing"
	"time"

	"oxbowspan/consensus"
)

// A close with a limit returns while the disk stalls. The queued update is stored nevertheless, and the file can be opened after it.
func TestCloseWithinLimitOfStalledDisk(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	resume := make(chan struct{})
	ballot := consensus.Ballot{Number: 7, Proposer: 1}
	s.Update(func(state consensus.AcceptorState) consensus.AcceptorState {
		<-resume
		state.Promised = ballot
		return state
	}, func(consensus.AcceptorState, error) {})
	if err := s.CloseWithin(20 * time.Millisecond); !errors.Is(err, ErrCloseTimeout) {
		t.Errorf("close beside a stalled disk: %v, want ErrCloseTimeout", err)
	}
	close(resume)
	reopened, _, err := Open(dir, 0) // waits for the lock
	if err != nil {
		t.Fatal(err)
	}
	if promised := reopened.State().Promised; promised != ballot {
		t.Errorf("the file holds the ballot %v, want %v", promised, ballot)
	}
	if err := reopened.CloseWithin(time.Second); err != nil {
		t.Errorf("close of an idle store: %v", err)
	}
}
