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

func update(t *testing.T, s *Store, step func(consensus.AcceptorState) consensus.AcceptorState) error {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Update(step, func(_ consensus.AcceptorState, err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	return <-done
}

func acceptStep(n uint64) func(consensus.AcceptorState) consensus.AcceptorState {
	return func(s consensus.AcceptorState) consensus.AcceptorState {
		next, _ := s.HandleAccept(consensus.Accept{To: s.ID, Ballot: consensus.Ballot{Number: n, By: 1}, Value: &consensus.Value{Slot: consensus.Slot(n),
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
	told := make(chan error, 1)
	if !s.SaveHints([]byte{}, func(err error) { told <- err }) || <-told != nil {
		t.Fatal("hints are not kept by an idle disk")
	}
	s.Close()
	c, err := Inspect(dir)
	if err != nil || c.Slot != 5 || c.Identity != 77 || c.Version != 5 || len(c.History) != 1 || string(c.Body) != "{}" {
		t.Fatalf("inspected %+v, %v", c, err)
	}
	s, _, err = Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := s.State(); got.ID != 77 || got.Accepted.Number != 5 || got.Value.Slot != 5 || got.Value.PriorRevisions[0].Version != 1 {
		t.Fatalf("came back as %+v", got)
	}
}

// A file that is damaged is set aside by name, and the machine is a stranger: it never votes under the old identity.
func TestCorruptFileIsSetAsideWithNewIdentity(t *testing.T) {
	for name, damage := range map[string]func(text []byte) []byte{
		"cut short": func(b []byte) []byte { return b[:3*4096] },
		"overwritten": func(b []byte) []byte {
			for i := range b {
				b[i] ^= 0x5a
			}
			return b
		},
		"one page": func(b []byte) []byte {
			for i := 0; i < 3*4096; i++ {
				b[i] = 0xff
			}
			return b
		},
	} {
		dir := t.TempDir()
		s, _, err := Open(dir, 77)
		if err != nil {
			t.Fatal(err)
		}
		update(t, s, acceptStep(5))
		s.Close()
		path := filepath.Join(dir, fileName)
		text, _ := os.ReadFile(path)
		os.WriteFile(path, damage(text), 0o644)
		s, setAsidePath, err := Open(dir, 77)
		if err != nil || setAsidePath == "" || s.State().ID == 77 || s.State().Value != nil {
			t.Fatalf("%s: %v, set aside as %q, identity %v", name, err, setAsidePath, s.State().ID)
		}
		if _, err := os.Stat(setAsidePath); err != nil {
			t.Fatalf("%s: nothing was set aside: %v", name, err)
		}
		s.Close()
	}
}

// What waits for the disk is bounded: more is refused at once.
func TestFullQueueReturnsErrBusy(t *testing.T) {
	s, _, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	held := make(chan struct{})
	s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { <-held; return st }, func(consensus.AcceptorState, error) {})
	refused := false
	for range 200 {
		if err := s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { return st }, func(consensus.AcceptorState, error) {}); errors.Is(err, ErrBusy) {
			refused = true
		}
	}
	if !refused || s.SaveHints(nil, func(error) {}) {
		t.Fatal("a disk that is behind takes everything")
	}
	close(held)
	s.Close()
}

// A vote is written, and the disk fails before it says that it is synced. What was not told may lie there or not; what comes
// after must not stand beside the value of another ballot.
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
		must(s.db.Update(f)) // it is in the file, and only the sync fails
		return errors.New("input/output error")
	}
	if update(t, s, acceptStep(6)) == nil {
		t.Fatal("a vote whose sync failed is told as stored")
	}
	s.commit = s.db.Update
	must(update(t, s, func(st consensus.AcceptorState) consensus.AcceptorState {
		next, p := st.HandlePrepare(consensus.Prepare{To: st.ID, Ballot: consensus.Ballot{Number: 9, By: 2}})
		if !p.OK || p.Value.Slot != 5 {
			t.Errorf("after the failure it promises beside turn %d", p.Value.Slot)
		}
		return next
	}))
	s.Close()
	s, _, err = Open(dir, 0)
	must(err)
	defer s.Close()
	if got := s.State(); got.Accepted.Number != 5 || got.Value.Slot != 5 || got.Promised.Number != 9 {
		t.Fatalf("ballot %d stands beside the value of turn %d", got.Accepted.Number, got.Value.Slot)
	}
}

// Power fails while a vote is written: of the pages that were not synced, each is there or not or torn. The state before or
// the one after comes back, never a stranger and never a mixture.
func TestPowerLossDuringWrite(t *testing.T) {
	t.Run("one body", func(t *testing.T) {
		testPowerLoss(t, 60, acceptStep, func(v *consensus.Value) bool { return string(v.Body) == "{}" })
	})
	t.Run("a body of its own for each", func(t *testing.T) {
		testPowerLoss(t, 24, func(n uint64) func(consensus.AcceptorState) consensus.AcceptorState {
			return acceptBodyStep(n, consensus.Version(n), 10000)
		}, func(v *consensus.Value) bool {
			return len(v.Body) == 10000 && strings.HasPrefix(string(v.Body), fmt.Sprint(v.Version, " "))
		})
	})
}

func testPowerLoss(t *testing.T, votes uint64, vote func(n uint64) func(consensus.AcceptorState) consensus.AcceptorState, whole func(v *consensus.Value) bool) {
	const page = 4096
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	read := func() []byte {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := rand.New(rand.NewPCG(1, 2))
	olds, news := 0, 0
	for n := uint64(1); n <= votes; n++ {
		before := read()
		if err := update(t, s, vote(n)); err != nil {
			t.Fatal(err)
		}
		after := read()
		lost := filepath.Join(t.TempDir(), fileName)
		text := append(append([]byte(nil), before...), after[len(before):]...) // the length is synced first
		first := r.IntN(3)                                                     // cut off among the data, in the head, or past all
		for at := 0; at < len(after); at += page {
			head := at < 2*page // bbolt's two heads: written once all else is synced
			switch keep := r.IntN(3); {
			case head && first == 0, !head && first == 0 && keep == 0:
			case head && first == 1:
				cut := at + r.IntN(page/8)*8
				copy(text[at:cut], after[at:cut])
			case !head && first == 0 && keep == 1:
				cut := at + r.IntN(page)
				copy(text[at:cut], after[at:cut])
			default:
				copy(text[at:at+page], after[at:at+page])
			}
		}
		if err := os.WriteFile(lost, text, 0o644); err != nil {
			t.Fatal(err)
		}
		back, setAsidePath, err := Open(filepath.Dir(lost), 1)
		if err != nil || setAsidePath != "" {
			t.Fatalf("vote %d cut off: %v, set aside as %q", n, err, setAsidePath)
		}
		switch got := back.State(); {
		case got.Value != nil && !whole(got.Value):
			t.Fatalf("vote %d cut off: version %d comes back with a body of %d bytes", n, got.Value.Version, len(got.Value.Body))
		case got.ID != 77:
			t.Fatalf("vote %d cut off: comes back as %d", n, got.ID)
		case got.Accepted.Number == n && got.Value.Slot == consensus.Slot(n):
			news++
		case n == 1 && got.Value == nil, got.Accepted.Number == n-1 && got.Value.Slot == consensus.Slot(n-1):
			olds++
		default:
			t.Fatalf("vote %d cut off: ballot %d", n, got.Accepted.Number)
		}
		back.Close()
	}
	if olds < int(votes/6) || news < int(votes/6) {
		t.Fatalf("%d came back before the vote and %d after it: too few to tell", olds, news)
	}
}

// A call that is still on its way when the program ends finds the disk closed, and nothing breaks.
func TestUpdateAfterCloseReturnsErrBusy(t *testing.T) {
	for range 20 {
		s, _, err := Open(t.TempDir(), 1)
		if err != nil {
			t.Fatal(err)
		}
		var late sync.WaitGroup
		for range 4 {
			late.Go(func() {
				for range 200 {
					s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { return st }, func(consensus.AcceptorState, error) {})
				}
			})
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		late.Wait()
		if err := s.Update(acceptStep(1), func(consensus.AcceptorState, error) {}); !errors.Is(err, ErrBusy) {
			t.Fatalf("an update after the end gives %v", err)
		}
	}
}
