package wax

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"oxbowspan/swarm"
)

func update(t *testing.T, s *Store, step func(swarm.State) swarm.State) error {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Update(step, func(_ swarm.State, err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	return <-done
}

func vote(n uint64) func(swarm.State) swarm.State {
	return func(s swarm.State) swarm.State {
		next, _ := s.Accept(swarm.Accept{To: s.ID, Ballot: swarm.Ballot{Number: n, By: 1}, Value: &swarm.Value{Turn: swarm.Turn(n),
			Members: []swarm.Member{{ID: s.ID, Address: "a"}}, Prior: []swarm.Member{{ID: s.ID, Address: "a"}}, Version: swarm.Version(n),
			Digest: "d", Body: []byte("{}"), Past: []swarm.Past{{Version: 1, Digest: "x"}}}})
		return next
	}
}

func TestWhatIsStoredComesBack(t *testing.T) {
	dir := t.TempDir()
	s, aside, err := Open(dir, 77)
	if err != nil || aside != "" || s.State().ID != 77 {
		t.Fatal(err, aside, s.State().ID)
	}
	if err := update(t, s, vote(5)); err != nil {
		t.Fatal(err)
	}
	told := make(chan error, 1)
	if !s.KeepHints([]byte{}, func(err error) { told <- err }) || <-told != nil {
		t.Fatal("hints are not kept by an idle disk")
	}
	s.Close()
	c, err := Inspect(dir)
	if err != nil || c.Turn != 5 || c.Identity != 77 || c.Version != 5 || len(c.Past) != 1 || string(c.Body) != "{}" {
		t.Fatalf("inspected %+v, %v", c, err)
	}
	s, _, err = Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := s.State(); got.ID != 77 || got.Accepted.Number != 5 || got.Value.Turn != 5 || got.Value.Past[0].Version != 1 {
		t.Fatalf("came back as %+v", got)
	}
}

// A file that is damaged is set aside by name, and the machine is a stranger: it never votes under the old identity.
func TestADamagedFileMakesAStranger(t *testing.T) {
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
		update(t, s, vote(5))
		s.Close()
		path := filepath.Join(dir, fileName)
		text, _ := os.ReadFile(path)
		os.WriteFile(path, damage(text), 0o644)
		s, aside, err := Open(dir, 77)
		if err != nil || aside == "" || s.State().ID == 77 || s.State().Value != nil {
			t.Fatalf("%s: %v, set aside as %q, identity %v", name, err, aside, s.State().ID)
		}
		if _, err := os.Stat(aside); err != nil {
			t.Fatalf("%s: nothing was set aside: %v", name, err)
		}
		s.Close()
	}
}

// What waits for the disk is bounded: more is refused at once.
func TestADiskThatIsBehindSaysSo(t *testing.T) {
	s, _, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	held := make(chan struct{})
	s.Update(func(st swarm.State) swarm.State { <-held; return st }, func(swarm.State, error) {})
	refused := false
	for range 200 {
		if err := s.Update(func(st swarm.State) swarm.State { return st }, func(swarm.State, error) {}); errors.Is(err, ErrBusy) {
			refused = true
		}
	}
	if !refused || s.KeepHints(nil, func(error) {}) {
		t.Fatal("a disk that is behind takes everything")
	}
	close(held)
	s.Close()
}
