package acceptorstore

import (
	"errors"
	"time"
)

// ErrCloseTimeout is returned by CloseWithin if the disk still stalls after the time limit.
var ErrCloseTimeout = errors.New("the disk does not respond, the state file stays open")

// Close executes the queued functions and closes the file. Either it or CloseWithin must be called, exactly once.
func (s *Store) Close() error {
	close(s.closing)
	<-s.done
	return s.closeFile()
}

// CloseWithin is Close with a time limit, for a disk that stalls. After the limit it returns ErrCloseTimeout; the queued functions
// continue, and the file is closed after the last one.
func (s *Store) CloseWithin(limit time.Duration) error {
	close(s.closing)
	select {
	case <-s.done:
		return s.closeFile()
	case <-time.After(limit):
		go func() {
			<-s.done
			s.closeFile()
		}()
		return ErrCloseTimeout
	}
}

// closeFile closes the file. It must be called after the store's goroutine has ended.
func (s *Store) closeFile() error {
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}
