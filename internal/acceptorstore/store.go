// Package acceptorstore keeps an acceptor's state in a file. Only its own goroutine waits for the disk: an update that can't be
// stored soon is refused, and the rest of the program goes on.
package acceptorstore

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"

	"oxbowspan/consensus"
)

const (
	queueLength     = 64          // of updates that wait for the disk
	lockTimeout     = time.Second // for another process that has the file open
	initialMmapSize = 4 << 20     // bytes of address space, so that the file seldom has to be mapped anew
)

var (
	// ErrBusy is returned for an update that the disk has no time for, or that comes after Close.
	ErrBusy = errors.New("the disk is busy")

	// ErrCorrupt is wrapped by errors of a file whose contents can't be right.
	ErrCorrupt = errors.New("the state file is corrupt")
)

// UnsupportedFormatError is the error for a file of a format that this program doesn't read.
type UnsupportedFormatError struct{ Format uint64 }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("the state file has format %d, this program reads %d and %d", e.Format, formatInlineBodies, FormatVersion)
}

// StepFunc returns the state that follows from one.
type StepFunc func(consensus.AcceptorState) consensus.AcceptorState

// StoredFunc takes the state that is on the disk, and the error of a state that could not be stored.
type StoredFunc func(consensus.AcceptorState, error)

// Store is one acceptor's file. Its methods may be called from any goroutine, except where they say otherwise.
type Store struct {
	dir     string
	queue   chan func()
	closing chan struct{}
	done    chan struct{}             // closed when the store's goroutine has ended
	hints   []byte                    // as found by Open
	history []consensus.HistoryRecord // as found by Open
	refused error                     // why Open could not create the file; nil = it is open

	// The store's goroutine's.
	db             *bbolt.DB               // nil while the disk refuses to create the file
	createdAt      time.Time               // when that was tried last
	state          consensus.AcceptorState // the last that is known to be on the disk; without a file its identity alone
	historyCounts  map[string]int          // of stored revisions, by document
	writeUncertain bool                    // a write failed: the file may hold what it wrote, or not

	commit func(func(*bbolt.Tx) error) error // db.Update; tests replace it
}

// Open opens or creates the file in a directory, which it creates if necessary. A file without an identity gets the genesis one,
// or a random one if that is 0. A file that can't be read is renamed to setAsidePath, and a new one is created with a random
// identity: the old identity's promises are lost, so it must not vote again.
//
// Where the disk is full and a new file can't be created, or its name not be made durable, the store is opened without it
// (Refused): it refuses every update until the disk takes the file. A file that is there is never given up for a disk that
// refuses writes.
func Open(dir string, genesis consensus.AcceptorID) (s *Store, setAsidePath string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil && !isWriteRefused(err) {
		return nil, "", eris.Wrap(err, "creating the data directory")
	}
	s = newStore(dir)
	setAsidePath, err = s.openOrReplace(filepath.Join(dir, fileName), genesis)
	if err == nil {
		err = syncName(s, dir)
	} else if isWriteRefused(err) && !isUsed(filepath.Join(dir, fileName)) {
		s.state = consensus.AcceptorState{ID: firstIdentity(genesis, setAsidePath)}
	} else {
		return nil, setAsidePath, err
	}
	if err != nil && !isWriteRefused(err) {
		return nil, setAsidePath, err
	}
	s.refused = err
	s.createdAt = time.Now()
	go s.run()
	return s, setAsidePath, nil
}

func newStore(dir string) *Store {
	return &Store{dir: dir, historyCounts: map[string]int{}, queue: make(chan func(), queueLength), closing: make(chan struct{}), done: make(chan struct{})}
}

// Refused returns why the disk did not take a new file at Open; nil = the file was opened. It is created with the first update that
// the disk takes.
func (s *Store) Refused() error { return s.refused }

// openOrReplace opens the file. One whose contents can't be right is set aside.
func (s *Store) openOrReplace(path string, genesis consensus.AcceptorID) (setAsidePath string, err error) {
	if _, err := os.Stat(path); err == nil {
		// The file is from an earlier run. If it has no identity, that run ended before it accepted anything.
		err = s.openFile(path, genesis)
		if err == nil || isWriteRefused(err) {
			return "", err
		}
		setAsidePath = path + ".damaged-" + time.Now().UTC().Format("20060102T150405")
		if renameErr := os.Rename(path, setAsidePath); renameErr != nil {
			return "", eris.Wrapf(err, "the state file can't be read, nor set aside (%v)", renameErr)
		}
	}
	err = s.openFile(path, firstIdentity(genesis, setAsidePath))
	if err != nil {
		removeUnfinished(path)
	}
	return setAsidePath, err
}

// firstIdentity returns the identity of a new file: the genesis one, unless a file that may have had it was set aside.
func firstIdentity(genesis consensus.AcceptorID, setAsidePath string) consensus.AcceptorID {
	if genesis == 0 || setAsidePath != "" {
		return NewAcceptorID()
	}
	return genesis
}

func (s *Store) openFile(path string, genesis consensus.AcceptorID) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading a page beyond the file's end must not end the process
	defer func() {
		if r := recover(); r != nil { // bbolt panics on malformed pages
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout, InitialMmapSize: initialMmapSize})
	if err != nil {
		return err
	}
	if err = checkIntegrity(db, path); err == nil {
		err = s.load(db, genesis)
	}
	if err != nil {
		db.Close()
		return err
	}
	db.View(func(tx *bbolt.Tx) error {
		s.history = readHistory(tx)
		return nil
	})
	s.historyCounts = map[string]int{}
	s.countHistory(s.history)
	s.db, s.commit = db, db.Update
	return nil
}

// load reads the file. It writes only to a file that is new or of an earlier format, so that a sound one is read on a full disk.
func (s *Store) load(db *bbolt.DB, genesis consensus.AcceptorID) error {
	current := false
	err := db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if b == nil || readFormat(b) != FormatVersion || tx.Bucket(hintsBucket) == nil {
			return nil
		}
		id, ok := readIdentity(b)
		if !ok {
			return nil
		}
		current = true
		s.state = consensus.AcceptorState{ID: id}
		s.hints = bytes.Clone(readHints(tx, b))
		return readState(tx, b, &s.state)
	})
	if current || err != nil {
		return err
	}
	return db.Update(func(tx *bbolt.Tx) error { return s.loadOrInitialize(tx, genesis) })
}

// loadOrInitialize reads the file, converts it to the current format, and gives it an identity if it has none.
func (s *Store) loadOrInitialize(tx *bbolt.Tx, genesis consensus.AcceptorID) error {
	b, err := tx.CreateBucketIfNotExists(stateBucket)
	if err != nil {
		return err
	}
	format := readFormat(b)
	if format != 0 && !isReadable(format) {
		return &UnsupportedFormatError{format}
	}
	if s.hints, err = migrateHints(tx, b); err != nil {
		return err
	}
	if id, ok := readIdentity(b); ok {
		s.state.ID = id
		if err := readState(tx, b, &s.state); err != nil || format == FormatVersion {
			return err
		}
		return writeState(tx, s.state, true)
	}
	if s.state.ID = genesis; genesis == 0 {
		s.state.ID = NewAcceptorID()
	}
	if err := writeFormat(b); err != nil {
		return err
	}
	return writeIdentity(b, s.state.ID)
}

// NewAcceptorID draws a random identifier. It is never 0.
func NewAcceptorID() consensus.AcceptorID {
	var b [8]byte
	rand.Read(b[:])
	return consensus.AcceptorID(binary.BigEndian.Uint64(b[:]) | 1)
}

// run executes what is queued until the store is closed. What was queued before that is executed still.
func (s *Store) run() {
	defer close(s.done)
	for {
		select {
		case f := <-s.queue:
			f()
		case <-s.closing:
			for range len(s.queue) {
				(<-s.queue)()
			}
			return
		}
	}
}

// enqueue queues a function for the store's goroutine, unless the queue is full.
func (s *Store) enqueue(f func()) bool {
	select {
	case s.queue <- f:
		return true
	default:
		return false
	}
}

// Update has step return the next state, stores that and calls after. Updates run in the order of the calls. Both functions run on the store's goroutine and must
// not wait. ErrBusy is returned at once, and neither is called, when the queue is full or the store closed.
func (s *Store) Update(step StepFunc, after StoredFunc) error {
	select {
	case <-s.closing:
		return ErrBusy
	default:
	}
	if !s.enqueue(func() { s.update(step, after) }) {
		return ErrBusy
	}
	return nil
}

func (s *Store) update(step StepFunc, after StoredFunc) {
	if err := s.createMissing(); err != nil {
		after(s.state, err)
		return
	}
	next := step(s.state)
	if !next.DiffersFrom(s.state) {
		after(s.state, nil)
		return
	}
	err := s.commitState(next)
	s.writeUncertain = err != nil
	if err == nil {
		s.state = next
	}
	after(s.state, err)
}

// commitState stores a state. After a failed write the file may hold what it wrote nevertheless: the value is then written again
// with the next state, as otherwise that state's ballots might stand beside another state's value.
func (s *Store) commitState(next consensus.AcceptorState) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	withValue := next.Value != s.state.Value || s.writeUncertain
	return s.commit(func(tx *bbolt.Tx) error { return writeState(tx, next, withValue) })
}

// Hints returns what SaveHints stored last before Open; nil = nothing. Nothing depends on hints.
func (s *Store) Hints() []byte { return s.hints }

// History returns the revisions that SaveHints had stored before Open, by document and version.
func (s *Store) History() []consensus.HistoryRecord { return s.history }

// SaveHints stores hints, in place of those before, and further committed revisions if the disk is idle, and calls after on the
// store's goroutine. It reports whether it does.
func (s *Store) SaveHints(hints []byte, history []consensus.HistoryRecord, after func(error)) bool {
	if len(s.queue) > 0 {
		return false
	}
	return s.enqueue(func() {
		if err := s.createMissing(); err != nil {
			after(err)
			return
		}
		err := s.commit(func(tx *bbolt.Tx) error {
			if err := tx.Bucket(hintsBucket).Put(hintsKey, hints); err != nil {
				return err
			}
			return s.saveHistory(tx, history)
		})
		if err == nil {
			s.countHistory(history)
		}
		after(err)
	})
}

// State returns the state as found by Open. It must not be called after the first Update.
func (s *Store) State() consensus.AcceptorState { return s.state }

// Close executes what is queued and closes the file. It must be called once.
func (s *Store) Close() error {
	close(s.closing)
	<-s.done
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}
