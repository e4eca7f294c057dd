package acceptorstore

import (
	"errors"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is how long an attempt to open the state file waits for the lock of another process. Tests shorten it.
var lockTimeout = time.Second

// ErrLocked is returned by OpenWhile if another process holds the lock of the state file.
var ErrLocked = errors.New("another process holds the lock of the state file")

// openUnlocked opens the database once no other process holds its lock. A process that was killed holds it until its last access to the
// disk has ended.
func (s *Store) openUnlocked(path string) (*bbolt.DB, error) {
	for {
		db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout, InitialMmapSize: initialMmapSize})
		if !errors.Is(err, bbolterrors.ErrTimeout) {
			return db, err
		}
		if !s.keepWaiting() {
			return nil, ErrLocked
		}
	}
}

// isDamage reports whether an error of openFile shows that the contents of the file are invalid. A held lock and an error of the operating
// system, such as for a lack of permissions or descriptors, say nothing about the contents.
func isDamage(err error) bool {
	var systemError syscall.Errno
	return !errors.Is(err, ErrLocked) && !errors.As(err, &systemError)
}
