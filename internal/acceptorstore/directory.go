package acceptorstore

import (
	"os"

	"github.com/rotisserie/eris"
)

// syncDirectory has the names in a folder last: of a file that was made, renamed or removed since the last one, a loss of power may
// leave either. A test's may fail.
var syncDirectory = func(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// syncName hands a store out once its file's name is sure to last. An earlier run may have ended before it was.
func syncName(s *Store, dir string) (*Store, error) {
	if err := syncDirectory(dir); err != nil {
		s.Close()
		return nil, eris.Wrap(err, "the data directory can't be synced")
	}
	return s, nil
}
