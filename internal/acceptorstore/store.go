// Package acceptorstore persists the state of a consensus acceptor in a bbolt file. Only the store's own goroutine blocks on
// disk I/O: an update that does not fit into the bounded queue is rejected at once with ErrBusy, so that a slow disk does not
// block the rest of the program.
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
	queueLength     = 64      // updates that may be queued for the disk
	initialMmapSize = 4 << 20 // bytes of address space; avoids most remappings as the file grows
)

var (
	// ErrBusy is returned for an update when the queue is full or the store is closed.
	ErrBusy = errors.New("the disk is busy")

	// ErrCorrupt is wrapped by the errors for a file with invalid contents.
	ErrCorrupt = errors.New("the state file is corrupt")
)

// UnsupportedFormatError reports a file whose format version this program does not support.
type UnsupportedFormatError struct{ Format uint64 }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("the state file has format version %d, this program supports versions %d and %d", e.Format, formatInlineBodies, FormatVersion)
}

// StepFunc computes the next state from the current one.
type StepFunc func(consensus.AcceptorState) consensus.AcceptorState

// StoredFunc is called after an update with the state that is on the disk, and with the error if the new state could not be
// stored.
type StoredFunc func(consensus.AcceptorState, error)

// Store is the state file of one acceptor. Its methods may be called from any goroutine unless their documentation restricts
// it.
type Store struct {
	dir        string
	queue      chan func()
	closing    chan struct{}
	done       chan struct{}             // closed when the store's goroutine has ended
	hints      []byte                    // as read by Open
	history    []consensus.HistoryRecord // as read by Open
	departures []Departure               // as read by Open
	openErr    error                     // why Open could not create the file; nil if the file was opened

	keepWaiting func() bool // reports whether to wait longer for the lock of another process

	// The following fields belong to the store's goroutine.
	db                *bbolt.DB               // nil while the file could not be created or its directory not be synced
	lastCreateAttempt time.Time               // when opening or creating the file was last attempted
	state             consensus.AcceptorState // the last state known to be on the disk; only the identity if there is no file
	historyCounts     map[string]int          // numbers of stored revisions, by document
	writeUncertain    bool                    // the last write failed: the file may or may not contain its data

	commit func(func(*bbolt.Tx) error) error // db.Update; tests replace it
}

// Open opens or creates the state file in a directory, which it creates if necessary. A file without an identity gets the
// genesis identity, or a random one if genesis is 0 and no first start on this disk was interrupted before its identity was in the
// file. A file with invalid contents is renamed to setAsidePath, and a new one is created
// with a random identity: the promises made under the old identity are lost, so that identity must not vote again. A file that can't be
// opened for another reason is left as it is.
//
// While another process holds the file's lock, Open waits: the file is in use, not damaged.
//
// If a new file can't be created because the disk is full or read-only, or its directory entry can't be made durable for that
// reason, the store is opened without a file (see OpenError): every update fails until the file can be created. An existing
// non-empty file is never replaced because the disk rejects writes.
func Open(dir string, genesis consensus.AcceptorID) (s *Store, setAsidePath string, err error) {
	return OpenWhile(dir, genesis, func() bool { return true })
}

// OpenWhile is Open with a limited wait for the file's lock. While another process holds the lock, keepWaiting is called about once a
// second. Once it returns false, OpenWhile returns ErrLocked and leaves the file as it is.
func OpenWhile(dir string, genesis consensus.AcceptorID, keepWaiting func() bool) (s *Store, setAsidePath string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil && !isWriteRefused(err) {
		return nil, "", eris.Wrap(err, "creating the data directory")
	}
	s = newStore(dir)
	s.keepWaiting = keepWaiting
	genesis, err = claimGenesis(dir, genesis)
	if err != nil && !isWriteRefused(err) {
		return nil, "", err
	}
	setAsidePath, err = s.openOrReplace(filepath.Join(dir, fileName), genesis)
	if err == nil {
		err = syncDirectoryOrClose(s, dir)
	} else if isWriteRefused(err) && !isNonEmpty(filepath.Join(dir, fileName)) {
		s.state = consensus.AcceptorState{ID: initialIdentity(genesis, setAsidePath)}
	} else {
		return nil, setAsidePath, err
	}
	if err != nil && !isWriteRefused(err) {
		return nil, setAsidePath, err
	}
	s.openErr = err
	s.keepWaiting = func() bool { return false } // the store's goroutine must not block
	s.lastCreateAttempt = time.Now()
	go s.run()
	return s, setAsidePath, nil
}

func newStore(dir string) *Store {
	return &Store{dir: dir, historyCounts: map[string]int{}, queue: make(chan func(), queueLength), closing: make(chan struct{}), done: make(chan struct{})}
}

// OpenError returns why Open could not create the file or sync its directory; nil if the file was opened. Later updates
// retry the creation.
func (s *Store) OpenError() error { return s.openErr }

// openOrReplace opens the file, or creates it if it does not exist. A file with invalid contents is set aside and replaced.
func (s *Store) openOrReplace(path string, genesis consensus.AcceptorID) (setAsidePath string, err error) {
	if _, err := os.Stat(path); err == nil {
		// The file is from an earlier run. If it has no identity, that run ended before it accepted a value or made a promise,
		// so that the genesis identity may be used.
		err = s.openFile(path, genesis)
		if err == nil || !isDamage(err) {
			return "", err
		}
		if removeErr := removeGenesis(s.dir); removeErr != nil {
			return "", eris.Wrapf(err, "the state file can't be read, and the identity of the first start was not removed (%v)", removeErr)
		}
		setAsidePath = path + ".damaged-" + time.Now().UTC().Format("20060102T150405")
		if renameErr := os.Rename(path, setAsidePath); renameErr != nil {
			return "", eris.Wrapf(err, "the state file can't be read, and renaming it failed (%v)", renameErr)
		}
	}
	err = s.openFile(path, initialIdentity(genesis, setAsidePath))
	if err != nil {
		removeIncomplete(path)
	}
	return setAsidePath, err
}

// initialIdentity returns the identity for a new file: the genesis identity, or a random one if genesis is 0 or a file that may
// have had the genesis identity was set aside.
func initialIdentity(genesis consensus.AcceptorID, setAsidePath string) consensus.AcceptorID {
	if genesis == 0 || setAsidePath != "" {
		return NewAcceptorID()
	}
	return genesis
}

// openFile opens or creates the file, checks its integrity and loads its contents into the store.
func (s *Store) openFile(path string, genesis consensus.AcceptorID) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // turns the fault of reading a mapped page beyond the end of the file into a panic
	defer func() {
		if r := recover(); r != nil { // bbolt panics on malformed pages
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	db, err := s.openUnlocked(path)
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
		s.departures = readDepartures(tx)
		return nil
	})
	s.historyCounts = map[string]int{}
	s.countHistory(s.history)
	s.db, s.commit = db, db.Update
	return nil
}

// load reads the file. It writes only to a file that is new or has an earlier format, so that an intact file of the current
// format can be opened on a full disk.
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

// loadOrInitialize reads the file, converts it to the current format, and writes an identity if it has none.
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

// NewAcceptorID returns a random identifier, which is never 0.
func NewAcceptorID() consensus.AcceptorID {
	var b [8]byte
	rand.Read(b[:])
	return consensus.AcceptorID(binary.BigEndian.Uint64(b[:]) | 1)
}

// run executes queued functions until the store is closed, including those that were queued before that.
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

// enqueue queues a function for the store's goroutine. It reports false if the queue is full.
func (s *Store) enqueue(f func()) bool {
	select {
	case s.queue <- f:
		return true
	default:
		return false
	}
}

// Update calls step, stores the state that it returns, and calls after with the result. Updates are processed in the order of
// the calls. Both functions run on the store's goroutine and must not block. If the queue is full or the store is closed,
// Update returns ErrBusy at once and calls neither.
func (s *Store) Update(step StepFunc, after StoredFunc) error {
	return s.enqueueWrite(func() { s.update(step, after) })
}

// enqueueWrite queues a function for the store's goroutine. It returns ErrBusy if the queue is full or the store is closed.
func (s *Store) enqueueWrite(f func()) error {
	select {
	case <-s.closing:
		return ErrBusy
	default:
	}
	if !s.enqueue(f) {
		return ErrBusy
	}
	return nil
}

// update executes one update on the store's goroutine. A state that equals the stored one is not written.
func (s *Store) update(step StepFunc, after StoredFunc) {
	if err := s.ensureFile(); err != nil {
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

// commitState writes a state to the file. A failed write may nevertheless have reached the file, so the next write includes the
// value even if it has not changed: otherwise the file could combine the ballots of one state with the value of another.
func (s *Store) commitState(next consensus.AcceptorState) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	withValue := next.Value != s.state.Value || s.writeUncertain
	return s.commit(func(tx *bbolt.Tx) error { return writeState(tx, next, withValue) })
}

// Hints returns the hints that were last saved before Open; nil if there are none. Hints may be out of date, except that they and
// Departures together contain every departure whose save has succeeded.
func (s *Store) Hints() []byte { return s.hints }

// History returns the committed revisions that were saved before Open, ordered by document and version.
func (s *Store) History() []consensus.HistoryRecord { return s.history }

// SaveHints queues a write that replaces the hints, deletes the departures and adds committed revisions, and calls after on the
// store's goroutine when it has ended. If the disk is not idle, i.e. other work is queued, it does nothing and returns false.
func (s *Store) SaveHints(hints []byte, history []consensus.HistoryRecord, after func(error)) bool {
	if len(s.queue) > 0 {
		return false
	}
	return s.enqueue(func() {
		if err := s.ensureFile(); err != nil {
			after(err)
			return
		}
		err := s.commit(func(tx *bbolt.Tx) error {
			if err := tx.Bucket(hintsBucket).Put(hintsKey, hints); err != nil {
				return err
			}
			if err := deleteDepartures(tx); err != nil {
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

// State returns the state as read by Open. It must not be called after the first Update.
func (s *Store) State() consensus.AcceptorState { return s.state }
