package acceptorstore

import (
	"os"

	"github.com/rotisserie/eris"
)

// syncDirectory makes the names in a directory durable: without it a loss of power may undo the creation or renaming of a file.
// Tests replace it.
var syncDirectory = func(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// syncName makes the name of a store's file durable, or closes the file. An earlier run may have ended before it did.
func syncName(s *Store, dir string) error {
	if err := syncDirectory(dir); err != nil {
		s.db.Close()
		s.db = nil
		return eris.Wrap(err, "syncing the data directory")
	}
	return nil
}
