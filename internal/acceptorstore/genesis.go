package acceptorstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"oxbowspan/consensus"
)

// At the very first start the genesis identity is written to a file of its own before the state file is created, and removed once the state
// file contains it. If all processes are killed in between, they are started again without being told that this is the first start: the file
// then proves that this disk has been in use since the first start, and a state file without an identity that no promise was ever
// made. A disk without either may be one that replaced a lost disk, whose identity must not be used again.

const genesisFileName = "genesis-identity"

// claimGenesis returns the identity for a state file that has none. At the first start genesis is not 0, and claimGenesis stores it;
// otherwise it returns the identity that an interrupted first start has stored, 0 = none.
func claimGenesis(dir string, genesis consensus.AcceptorID) (consensus.AcceptorID, error) {
	path := filepath.Join(dir, genesisFileName)
	if genesis == 0 {
		return readGenesis(path), nil
	}
	if isNonEmpty(filepath.Join(dir, fileName)) {
		return genesis, nil
	}
	if err := writeGenesis(path, genesis); err != nil {
		return 0, eris.Wrap(err, "storing the identity of the first start")
	}
	return genesis, syncDirectory(dir)
}

func writeGenesis(path string, id consensus.AcceptorID) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := fmt.Fprintf(file, "%016x\n", uint64(id)); err != nil {
		return err
	}
	return file.Sync()
}

// readGenesis returns the identity in a file; 0 if there is no file or it is incomplete.
func readGenesis(path string) consensus.AcceptorID {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	var id uint64
	if n, err := fmt.Sscanf(string(text), "%016x\n", &id); n != 1 || err != nil || len(text) != len("0123456789abcdef\n") {
		return 0
	}
	return consensus.AcceptorID(id)
}

// removeGenesis removes the stored identity, so that it is never used again.
func removeGenesis(dir string) error {
	err := os.Remove(filepath.Join(dir, genesisFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return syncDirectory(dir)
}
