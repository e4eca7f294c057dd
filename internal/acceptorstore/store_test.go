package acceptorstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"go.etcd.io/bbolt"

	"oxbowspan/consensus"
)

func update(t *testing.T, s *Store, step StepFunc) error {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Update(step, func(_ consensus.AcceptorState, err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	return <-done
}

func acceptStep(n uint64) StepFunc {
	return func(s consensus.AcceptorState) consensus.AcceptorState {
		next, _ := s.HandleAccept(consensus.Accept{To: s.ID, Ballot: consensus.Ballot{Number: n, Proposer: 1}, Value: &consensus.Value{Slot: consensus.Slot(n),
			Members: []consensus.Member{{ID: s.ID, Address: "a"}}, PriorMembers: []consensus.Member{{ID: s.ID, Address: "a"}}, Version: consensus.Version(n),
			Digest: "d", Body: []byte("{}"), PriorRevisions: []consensus.Revision{{Version: 1, Digest: "x"}}}})
		return next
	}
}

func TestReopenRestoresState(t *testing.T) {
	dir := t.TempDir()
	s, setAsidePath, err := Open(dir, 77)
	if err != nil || setAsidePath != "" || s.State().ID != 77 {
		t.Fatal(err, setAsidePath, s.State().ID)
	}
	if err := update(t, s, acceptStep(5)); err != nil {
		t.Fatal(err)
	}
	saved := make(chan error, 1)
	if !s.SaveHints([]byte{}, nil, func(err error) { saved <- err }) || <-saved != nil {
		t.Fatal("an idle store does not save hints")
	}
	s.Close()
	c, err := Inspect(dir)
	if err != nil || c.Slot != 5 || c.Identity != 77 || c.Version != 5 || len(c.PriorVersions) != 1 || string(c.Body) != "{}" {
		t.Fatalf("Inspect returned %+v, %v", c, err)
	}
	s, _, err = Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := s.State(); got.ID != 77 || got.Accepted.Number != 5 || got.Value.Slot != 5 || got.Value.PriorRevisions[0].Version != 1 {
		t.Fatalf("Open read %+v", got)
	}
}

// The promises in a damaged file may be lost, so the acceptor must not vote under the old identity.
func TestCorruptFileIsSetAsideWithNewIdentity(t *testing.T) {
	for name, damage := range map[string]func(content []byte) []byte{
		"truncated": func(b []byte) []byte { return b[:3*4096] },
		"overwritten": func(b []byte) []byte {
			for i := range b {
				b[i] ^= 0x5a
			}
			return b
		},
		"first three pages": func(b []byte) []byte {
			for i := 0; i < 3*4096; i++ {
				b[i] = 0xff
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, err := Open(dir, 77)
			if err != nil {
				t.Fatal(err)
			}
			update(t, s, acceptStep(5))
			s.Close()
			path := filepath.Join(dir, fileName)
			content, _ := os.ReadFile(path)
			os.WriteFile(path, damage(content), 0o644)
			s, setAsidePath, err := Open(dir, 77)
			if err != nil || setAsidePath == "" || s.State().ID == 77 || s.State().Value != nil {
				t.Fatalf("%v, set aside as %q, identity %v", err, setAsidePath, s.State().ID)
			}
			defer s.Close()
			if _, err := os.Stat(setAsidePath); err != nil {
				t.Fatalf("the damaged file was not set aside: %v", err)
			}
		})
	}
}

func TestFullQueueReturnsErrBusy(t *testing.T) {
	s, _, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { <-release; return st }, func(consensus.AcceptorState, error) {})
	rejected := false
	for range 200 {
		if err := s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { return st }, func(consensus.AcceptorState, error) {}); errors.Is(err, ErrBusy) {
			rejected = true
		}
	}
	if !rejected || s.SaveHints(nil, nil, func(error) {}) {
		t.Fatal("a store with a full queue accepted all updates or saved hints")
	}
	close(release)
	s.Close()
}

// A write may reach the file although its sync failed, so that it is not acknowledged. The next write must not combine its
// ballots with the value of the failed one.
func TestFailedWriteLeavesConsistentState(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	must(update(t, s, acceptStep(5)))
	s.commit = func(f func(*bbolt.Tx) error) error {
		must(s.db.Update(f)) // only the sync fails
		return errors.New("input/output error")
	}
	if update(t, s, acceptStep(6)) == nil {
		t.Fatal("an update whose sync failed returned no error")
	}
	s.commit = s.db.Update
	must(update(t, s, func(st consensus.AcceptorState) consensus.AcceptorState {
		next, p := st.HandlePrepare(consensus.Prepare{To: st.ID, Ballot: consensus.Ballot{Number: 9, Proposer: 2}})
		if !p.OK || p.Value.Slot != 5 {
			t.Errorf("the promise after the failed write returned the value of slot %d, want 5", p.Value.Slot)
		}
		return next
	}))
	s.Close()
	s, _, err = Open(dir, 0)
	must(err)
	defer s.Close()
	if got := s.State(); got.Accepted.Number != 5 || got.Value.Slot != 5 || got.Promised.Number != 9 {
		t.Fatalf("the file has ballot %d and the value of slot %d, want 5 and 5", got.Accepted.Number, got.Value.Slot)
	}
}

// After a power loss during a write, each page that was not synced is written, not written, or torn. Open must then read
// either the previous or the new state, never a mixture, and must not set the file aside.
func TestPowerLossDuringWrite(t *testing.T) {
	t.Run("one body", func(t *testing.T) {
		testPowerLoss(t, 60, acceptStep, func(v *consensus.Value) bool { return string(v.Body) == "{}" })
	})
	t.Run("a new body each time", func(t *testing.T) {
		testPowerLoss(t, 24, func(n uint64) StepFunc {
			return acceptBodyStep(n, consensus.Version(n), 10000)
		}, func(v *consensus.Value) bool {
			return len(v.Body) == 10000 && strings.HasPrefix(string(v.Body), fmt.Sprint(v.Version, " "))
		})
	})
}

// loseWrites returns a possible content of a file after a power loss during a write, given its content before and after the
// write.
func loseWrites(r *rand.Rand, before, after []byte) []byte {
	const page = 4096
	content := append(append([]byte(nil), before...), after[len(before):]...) // bbolt syncs the length first
	phase := r.IntN(3)                                                        // of the power loss: 0 = writing data, 1 = writing meta pages, 2 = after both
	for at := 0; at < len(after); at += page {
		meta := at < 2*page // bbolt writes the two meta pages after all others are synced
		switch keep := r.IntN(3); {
		case meta && phase == 0, !meta && phase == 0 && keep == 0:
		case meta && phase == 1:
			cut := at + r.IntN(page/8)*8
			copy(content[at:cut], after[at:cut])
		case !meta && phase == 0 && keep == 1:
			cut := at + r.IntN(page)
			copy(content[at:cut], after[at:cut])
		default:
			copy(content[at:at+page], after[at:at+page])
		}
	}
	return content
}

// testPowerLoss stores a sequence of states, simulates a power loss during each write, and checks the state that Open reads.
func testPowerLoss(t *testing.T, writes uint64, step func(n uint64) StepFunc, complete func(v *consensus.Value) bool) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	read := func() []byte {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := rand.New(rand.NewPCG(1, 2))
	oldStates, newStates := 0, 0
	for n := uint64(1); n <= writes; n++ {
		before := read()
		if err := update(t, s, step(n)); err != nil {
			t.Fatal(err)
		}
		after := read()
		copyPath := filepath.Join(t.TempDir(), fileName)
		if err := os.WriteFile(copyPath, loseWrites(r, before, after), 0o644); err != nil {
			t.Fatal(err)
		}
		reopened, setAsidePath, err := Open(filepath.Dir(copyPath), 1)
		if err != nil || setAsidePath != "" {
			t.Fatalf("write %d: %v, set aside as %q", n, err, setAsidePath)
		}
		switch got := reopened.State(); {
		case got.Value != nil && !complete(got.Value):
			t.Fatalf("write %d: Open read version %d with a body of %d bytes", n, got.Value.Version, len(got.Value.Body))
		case got.ID != 77:
			t.Fatalf("write %d: Open read identity %d, want 77", n, got.ID)
		case got.Accepted.Number == n && got.Value.Slot == consensus.Slot(n):
			newStates++
		case n == 1 && got.Value == nil, got.Accepted.Number == n-1 && got.Value.Slot == consensus.Slot(n-1):
			oldStates++
		default:
			t.Fatalf("write %d: Open read ballot %d", n, got.Accepted.Number)
		}
		reopened.Close()
	}
	if oldStates < int(writes/6) || newStates < int(writes/6) {
		t.Fatalf("Open read the state before the write %d times and the state after it %d times: too few of one kind", oldStates, newStates)
	}
}

// Update may be called concurrently with Close, and must return ErrBusy after it.
func TestUpdateAfterCloseReturnsErrBusy(t *testing.T) {
	for range 20 {
		s, _, err := Open(t.TempDir(), 1)
		if err != nil {
			t.Fatal(err)
		}
		var updaters sync.WaitGroup
		for range 4 {
			updaters.Go(func() {
				for range 200 {
					s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { return st }, func(consensus.AcceptorState, error) {})
				}
			})
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		updaters.Wait()
		if err := s.Update(acceptStep(1), func(consensus.AcceptorState, error) {}); !errors.Is(err, ErrBusy) {
			t.Fatalf("an update after Close returned %v, want ErrBusy", err)
		}
	}
}
