package acceptorstore

import (
	"os"

	"github.com/rotisserie/eris"
)

// syncDirectory makes the entries of a directory durable: without it a power loss may undo the creation or renaming of a file.
// Tests replace it.
var syncDirectory = func(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// syncDirectoryOrClose makes the directory entry of a store's file durable, and closes the file if that fails. This is needed
// for existing files as well, as an earlier run may have ended before its sync. From then on the identity of the first start is not needed.
func syncDirectoryOrClose(s *Store, dir string) error {
	if err := syncDirectory(dir); err != nil {
		s.db.Close()
		s.db = nil
		return eris.Wrap(err, "syncing the data directory")
	}
	removeGenesis(s.dir) // the file contains the identity; a failure is repaired by the next start
	return nil
}
