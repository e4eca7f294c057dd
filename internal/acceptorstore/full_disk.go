package acceptorstore

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// createRetryInterval is the minimum time between attempts to create a missing file.
const createRetryInterval = 200 * time.Millisecond

// ErrFileNotCreated is wrapped by the errors of updates while the file can't be created.
var ErrFileNotCreated = errors.New("the disk does not take the state file")

// isWriteRefused reports whether an error means that the disk currently accepts no writes (no space, quota exceeded,
// read-only). Such an error is no evidence that the stored data is damaged.
func isWriteRefused(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EROFS)
}

// isNonEmpty reports whether a file exists and is not empty. An empty file cannot contain promises.
func isNonEmpty(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() > 0
}

// ensureFile opens or creates the file of a store that was opened without one, under the identity that State has returned. It
// must be called on the store's goroutine.
func (s *Store) ensureFile() error {
	if s.db != nil {
		return nil
	}
	if time.Since(s.lastCreateAttempt) < createRetryInterval {
		return errors.Join(ErrFileNotCreated, s.openErr)
	}
	s.lastCreateAttempt = time.Now()
	previous := s.state
	err := s.create()
	if err != nil {
		s.state = previous
		return errors.Join(ErrFileNotCreated, err)
	}
	return nil
}

// create opens or creates the file and makes its directory entry durable. It removes an incomplete new file after a failure.
func (s *Store) create() error {
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(s.dir, fileName)
	isNew := !isNonEmpty(path)
	if err := s.openFile(path, s.state.ID); err != nil {
		if isNew {
			removeIncomplete(path)
		}
		return err
	}
	return syncDirectoryOrClose(s, s.dir)
}

// removeIncomplete removes a partially created file, so that it is not treated as a damaged file later.
func removeIncomplete(path string) {
	if info, err := os.Lstat(path); err == nil && info.Mode().IsRegular() {
		os.Remove(path)
	}
}
