// Package wax keeps an acceptor's state on its disk. One goroutine waits for the disk; nobody else does: what can't be
// stored in time is refused, and the rest of the program goes on.
package wax

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oxbowspan/dance"
	"oxbowspan/swarm"
)

// Format is the number of the file's form; a file of another is not read.
const Format = 1

const fileName = "hive.db"

var (
	bucket   = []byte("hive")
	keyForm  = []byte("format")
	keyID    = []byte("identity")
	keyState = []byte("state")
	keyValue = []byte("value")
	keyHints = []byte("hints")
)

// ErrBusy says that the disk is behind.
var ErrBusy = errors.New("the disk is behind")

// Store is one acceptor's file.
type Store struct {
	db    *bbolt.DB
	work  chan func()
	quit  chan struct{}
	done  chan struct{}
	state swarm.State // the last that is known to be on the disk; the disk's goroutine's
	torn  bool        // a write failed: what the file holds beyond state is not known; the disk's goroutine's
	hints []byte      // as found at the start

	commit func(func(*bbolt.Tx) error) error // db.Update, or a test's
}

// Open opens or makes the file in a directory. Genesis is the identity for a disk that is empty; 0 draws one. A file that
// can't be read is set aside, named in aside, and the machine comes back as a stranger with an identity of its own.
func Open(dir string, genesis swarm.AcceptorID) (s *Store, aside string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, "", eris.Wrap(err, "the data directory can't be made")
	}
	path := filepath.Join(dir, fileName)
	defer func() {
		if err == nil {
			s, err = named(s, dir)
		}
	}()
	if _, err := os.Stat(path); err == nil {
		// A file that is there is from an earlier run. If it has no identity, its first use was cut off before any vote.
		if s, err = openFile(path, genesis); err == nil {
			return s, "", nil
		}
		aside = path + ".damaged-" + time.Now().UTC().Format("20060102T150405")
		if renamed := os.Rename(path, aside); renamed != nil {
			return nil, "", eris.Wrapf(err, "the state file can't be read, nor set aside (%v)", renamed)
		}
		genesis = 0
	}
	s, err = openFile(path, genesis)
	return s, aside, err
}

func openFile(path string, genesis swarm.AcceptorID) (s *Store, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a page that is not in the file any more
	defer func() {
		if r := recover(); r != nil { // the library panics on pages that are not as they should be
			s, err = nil, eris.Errorf("the state file is damaged: %v", r)
		}
	}()
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: time.Second, InitialMmapSize: 4 << 20})
	if err != nil {
		return nil, err
	}
	if err = whole(db, path); err != nil {
		db.Close()
		return nil, err
	}
	s = &Store{db: db, commit: db.Update, work: make(chan func(), 64), quit: make(chan struct{}), done: make(chan struct{})}
	if err = db.Update(func(tx *bbolt.Tx) error { return s.load(tx, genesis) }); err != nil {
		db.Close()
		return nil, err
	}
	go s.run()
	return s, nil
}

// whole tells what is wrong with a file's pages.
func whole(db *bbolt.DB, path string) error {
	return db.View(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(path); err != nil || info.Size() < tx.Size() {
			return eris.New("the state file is shorter than it says")
		}
		for fault := range tx.Check() {
			return eris.Wrap(fault, "the state file is damaged")
		}
		return nil
	})
}

func (s *Store) load(tx *bbolt.Tx, genesis swarm.AcceptorID) error {
	b, err := tx.CreateBucketIfNotExists(bucket)
	if err != nil {
		return err
	}
	if form := b.Get(keyForm); form != nil && binary.BigEndian.Uint64(form) != Format {
		return eris.Errorf("the state file has form %d, this program reads %d", binary.BigEndian.Uint64(form), Format)
	}
	s.hints = bytes.Clone(b.Get(keyHints))
	if id := b.Get(keyID); len(id) == 8 {
		s.state.ID = swarm.AcceptorID(binary.BigEndian.Uint64(id))
		return s.read(b)
	}
	if s.state.ID = genesis; genesis == 0 {
		s.state.ID = Draw()
	}
	if err := b.Put(keyForm, binary.BigEndian.AppendUint64(nil, Format)); err != nil {
		return err
	}
	return b.Put(keyID, binary.BigEndian.AppendUint64(nil, uint64(s.state.ID)))
}

func (s *Store) read(b *bbolt.Bucket) error {
	if text := b.Get(keyState); text != nil {
		m := &dance.Promise{}
		if err := proto.Unmarshal(text, m); err != nil {
			return eris.Wrap(err, "the state is damaged")
		}
		s.state.Promised, s.state.Accepted = dance.ToBallot(m.Promised), dance.ToBallot(m.Accepted)
	}
	if text := b.Get(keyValue); text != nil {
		m := &dance.Value{}
		if err := proto.Unmarshal(text, m); err != nil {
			return eris.Wrap(err, "the value is damaged")
		}
		s.state.Value = dance.ToValue(m, nil)
	}
	return nil
}

// Draw draws an identity.
func Draw() swarm.AcceptorID {
	var b [8]byte
	rand.Read(b[:])
	return swarm.AcceptorID(binary.BigEndian.Uint64(b[:]) | 1)
}

func (s *Store) run() {
	defer close(s.done)
	for {
		select {
		case f := <-s.work:
			f()
		case <-s.quit:
			for range len(s.work) { // what was taken is done
				(<-s.work)()
			}
			return
		}
	}
}

// Update hands the state to step, in the order of the calls; what step returns is stored and then told through after,
// with an error where it could not be stored. Both run on the disk's goroutine: they must not wait. ErrBusy is returned
// at once where too much waits already.
func (s *Store) Update(step func(swarm.State) swarm.State, after func(swarm.State, error)) error {
	select {
	case <-s.quit:
		return ErrBusy // a round that is still on its way at the end
	default:
	}
	select {
	case s.work <- func() {
		next := step(s.state)
		if !next.Changed(s.state) {
			after(s.state, nil)
			return
		}
		err := s.write(next)
		if s.torn = err != nil; err == nil {
			s.state = next
		}
		after(s.state, err)
	}:
		return nil
	default:
		return ErrBusy
	}
}

// write stores a state. One whose write failed may be in the file all the same, in whole: the value is then written again
// with the next state, or a ballot would stand there beside another's value.
func (s *Store) write(next swarm.State) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("the state file is damaged: %v", r)
		}
	}()
	return s.commit(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		text, err := proto.Marshal(&dance.Promise{Promised: dance.FromBallot(next.Promised), Accepted: dance.FromBallot(next.Accepted)})
		if err != nil {
			return err
		}
		if err := b.Put(keyState, text); err != nil {
			return err
		}
		if next.Value == s.state.Value && !s.torn {
			return nil
		}
		if next.Value == nil {
			return b.Delete(keyValue)
		}
		if text, err = proto.Marshal(dance.FromValue(next.Value, "")); err != nil {
			return err
		}
		return b.Put(keyValue, text)
	})
}

// Hints are what KeepHints last stored, as found at the start; nil = nothing. They help, and nothing depends on them.
func (s *Store) Hints() []byte { return s.hints }

// KeepHints stores hints where the disk has nothing else to do, else it tells false and nothing happens. After, on the
// disk's goroutine, is told how it went.
func (s *Store) KeepHints(hints []byte, after func(error)) bool {
	if len(s.work) > 0 {
		return false
	}
	select {
	case s.work <- func() {
		after(s.commit(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(keyHints, hints) }))
	}:
		return true
	default:
		return false
	}
}

// State is the state as found at the start. It may be called before the first Update only.
func (s *Store) State() swarm.State { return s.state }

// Close ends the goroutine and closes the file. It must be called once. Updates that come later are refused.
func (s *Store) Close() error {
	close(s.quit)
	<-s.done
	return s.db.Close()
}
