package acceptorstore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"oxbowspan/consensus"
)

const genesisIdentity consensus.AcceptorID = 77

// A process that is killed at any step of its first start, and started again without being told that it is the first one, has the genesis
// identity: otherwise the processes of a core that are killed together then would be strangers to each other for good. A disk that may have
// replaced a lost one, and a damaged file, get an identity of their own, as their promises may be lost.
func TestIdentityAfterInterruptedFirstStart(t *testing.T) {
	marker := fmt.Sprintf("%016x\n", uint64(genesisIdentity))
	write := func(t *testing.T, dir, name, content string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	emptyDatabase := func(t *testing.T, dir string) {
		t.Helper()
		db, err := bbolt.Open(filepath.Join(dir, fileName), 0o644, nil)
		if err != nil {
			t.Fatal(err)
		}
		db.Close()
	}
	for _, test := range []struct {
		name    string
		prepare func(t *testing.T, dir string)
		genesis bool // the identity is the genesis identity
	}{
		{"nothing written", func(*testing.T, string) {}, false},
		{"identity incomplete", func(t *testing.T, dir string) { write(t, dir, genesisFileName, marker[:9]) }, false},
		{"identity stored", func(t *testing.T, dir string) { write(t, dir, genesisFileName, marker) }, true},
		{"state file empty", func(t *testing.T, dir string) {
			write(t, dir, genesisFileName, marker)
			write(t, dir, fileName, "")
		}, true},
		{"state file without contents", func(t *testing.T, dir string) {
			write(t, dir, genesisFileName, marker)
			emptyDatabase(t, dir)
		}, true},
		{"state file without contents on another disk", emptyDatabase, false},
		{"state file complete", func(t *testing.T, dir string) {
			s, _, err := Open(dir, genesisIdentity)
			if err != nil {
				t.Fatal(err)
			}
			s.Close()
			write(t, dir, genesisFileName, marker)
		}, true},
		{"state file damaged", func(t *testing.T, dir string) {
			write(t, dir, genesisFileName, marker)
			write(t, dir, fileName, string(make([]byte, 64<<10)))
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			test.prepare(t, dir)
			var identities []consensus.AcceptorID
			for range 2 { // it stays the same
				s, _, err := Open(dir, 0)
				if err != nil {
					t.Fatal(err)
				}
				identities = append(identities, s.State().ID)
				s.Close()
				if _, err := os.Stat(filepath.Join(dir, genesisFileName)); err == nil {
					t.Error("the identity of the first start is still stored although the state file contains one")
				}
			}
			if isGenesis := identities[0] == genesisIdentity; isGenesis != test.genesis || identities[1] != identities[0] {
				t.Errorf("identities %x, want the genesis identity: %t", identities, test.genesis)
			}
		})
	}
}

// The identity of the first start is on the disk before the state file exists.
func TestIdentityIsStoredBeforeStateFile(t *testing.T) {
	realSync := syncDirectory
	defer func() { syncDirectory = realSync }()
	dir := t.TempDir()
	synced := 0
	syncDirectory = func(string) error {
		if synced++; synced == 1 {
			_, err := os.Stat(filepath.Join(dir, fileName))
			if stored := readGenesis(filepath.Join(dir, genesisFileName)); stored != genesisIdentity || err == nil {
				t.Errorf("at the first sync the stored identity is %x, and the state file's status is %v", stored, err)
			}
		}
		return nil
	}
	s, _, err := Open(dir, genesisIdentity)
	if err != nil || s.State().ID != genesisIdentity {
		t.Fatal(err)
	}
	s.Close()
}
