package acceptorstore

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// createRetryInterval is how long a store without a file waits at least before it tries to create it again.
const createRetryInterval = 200 * time.Millisecond

// ErrNoFile is wrapped by the errors of updates while the disk refuses to create the file.
var ErrNoFile = errors.New("the disk does not take the state file")

// isWriteRefused reports whether an error says that the disk takes no writes now, and nothing about what is on it.
func isWriteRefused(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EROFS)
}

// isUsed reports whether a file holds anything. Only a file that holds something may have promised anything to anybody.
func isUsed(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() > 0
}

// createMissing opens the file of a store that was opened without one, or creates it under the identity that the store has told.
// On the store's goroutine.
func (s *Store) createMissing() error {
	if s.db != nil {
		return nil
	}
	if time.Since(s.createdAt) < createRetryInterval {
		return errors.Join(ErrNoFile, s.refused)
	}
	s.createdAt = time.Now()
	known := s.state
	err := s.create()
	if err != nil {
		s.state = known
		return errors.Join(ErrNoFile, err)
	}
	return nil
}

func (s *Store) create() error {
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(s.dir, fileName)
	isNew := !isUsed(path)
	if err := s.openFile(path, s.state.ID); err != nil {
		if isNew {
			removeUnfinished(path)
		}
		return err
	}
	return syncName(s, s.dir)
}

// removeUnfinished removes what a failed creation left, so that it is not taken for a damaged file later.
func removeUnfinished(path string) {
	if info, err := os.Lstat(path); err == nil && info.Mode().IsRegular() {
		os.Remove(path)
	}
}
