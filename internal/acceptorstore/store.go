// Package acceptorstore keeps an acceptor's state on its disk. One goroutine waits for the disk; nobody else does: what can't be
// stored in time is refused, and the rest of the program goes on.
package acceptorstore

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

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// Format is the number of the file's form. Files of the form before it are read, and turned into this one as they are opened;
// others are not.
//
// In form 1 the value held its bodies, in the leaf that each promise writes anew. In form 2 each body lies in a bucket of its
// own, under its digest: it is written once, however many votes are cast for it.
const (
	FormatVersion      = 2
	formatInlineBodies = 1 // values with their bodies
)

const fileName = "hive.db"

var (
	stateBucket = []byte("hive")
	formatKey   = []byte("format")
	identityKey = []byte("identity")
	stateKey    = []byte("state")
	valueKey    = []byte("value")

	bodiesBucket = []byte("bodies") // a bucket for each body, by digest
	bodyKey      = []byte("body")

	hintsBucket = []byte("others") // what nothing depends on
	hintsKey    = []byte("hints")  // in form 1 in the first bucket
)

// ErrBusy says that the disk is behind.
var ErrBusy = errors.New("the disk is behind")

// Store is one acceptor's file.
type Store struct {
	db             *bbolt.DB
	queue          chan func()
	closing        chan struct{}
	done           chan struct{}
	state          consensus.AcceptorState // the last that is known to be on the disk; the disk's goroutine's
	writeUncertain bool                    // a write failed: what the file holds beyond state is not known; the disk's goroutine's
	hints          []byte                  // as found at the start

	commit func(func(*bbolt.Tx) error) error // db.Update, or a test's
}

// Open opens or makes the file in a directory. Genesis is the identity for a disk that is empty; 0 draws one. A file that
// can't be read is set aside, named in aside, and the machine comes back as a stranger with an identity of its own.
func Open(dir string, genesis consensus.AcceptorID) (s *Store, setAsidePath string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, "", eris.Wrap(err, "the data directory can't be made")
	}
	path := filepath.Join(dir, fileName)
	defer func() {
		if err == nil {
			s, err = syncName(s, dir)
		}
	}()
	if _, err := os.Stat(path); err == nil {
		// A file that is there is from an earlier run. If it has no identity, its first use was cut off before any vote.
		if s, err = openFile(path, genesis); err == nil {
			return s, "", nil
		}
		setAsidePath = path + ".damaged-" + time.Now().UTC().Format("20060102T150405")
		if renamed := os.Rename(path, setAsidePath); renamed != nil {
			return nil, "", eris.Wrapf(err, "the state file can't be read, nor set aside (%v)", renamed)
		}
		genesis = 0
	}
	s, err = openFile(path, genesis)
	return s, setAsidePath, err
}

func openFile(path string, genesis consensus.AcceptorID) (s *Store, err error) {
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
	if err = checkIntegrity(db, path); err != nil {
		db.Close()
		return nil, err
	}
	s = &Store{db: db, commit: db.Update, queue: make(chan func(), 64), closing: make(chan struct{}), done: make(chan struct{})}
	if err = db.Update(func(tx *bbolt.Tx) error { return s.loadOrInitialize(tx, genesis) }); err != nil {
		db.Close()
		return nil, err
	}
	go s.run()
	return s, nil
}

// checkIntegrity tells what is wrong with a file's pages.
func checkIntegrity(db *bbolt.DB, path string) error {
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

func (s *Store) loadOrInitialize(tx *bbolt.Tx, genesis consensus.AcceptorID) error {
	b, err := tx.CreateBucketIfNotExists(stateBucket)
	if err != nil {
		return err
	}
	form := readFormat(b)
	if form != 0 && form != FormatVersion && form != formatInlineBodies {
		return eris.Errorf("the state file has form %d, this program reads %d and %d", form, formatInlineBodies, FormatVersion)
	}
	if s.hints, err = migrateHints(tx, b); err != nil {
		return err
	}
	if id := b.Get(identityKey); len(id) == 8 {
		s.state.ID = consensus.AcceptorID(binary.BigEndian.Uint64(id))
		if err := s.readState(tx, b); err != nil || form == FormatVersion {
			return err
		}
		return s.writeState(tx, s.state, true)
	}
	if s.state.ID = genesis; genesis == 0 {
		s.state.ID = NewAcceptorID()
	}
	if err := writeFormat(b); err != nil {
		return err
	}
	return b.Put(identityKey, binary.BigEndian.AppendUint64(nil, uint64(s.state.ID)))
}

// readFormat is the number of a file's form; 0 = it has none yet.
func readFormat(b *bbolt.Bucket) uint64 {
	if form := b.Get(formatKey); len(form) == 8 {
		return binary.BigEndian.Uint64(form)
	}
	return 0
}

func writeFormat(b *bbolt.Bucket) error {
	return b.Put(formatKey, binary.BigEndian.AppendUint64(nil, FormatVersion))
}

// migrateHints returns the hints, moved to where they belong.
func migrateHints(tx *bbolt.Tx, b *bbolt.Bucket) ([]byte, error) {
	o, err := tx.CreateBucketIfNotExists(hintsBucket)
	if err != nil {
		return nil, err
	}
	if old := bytes.Clone(b.Get(hintsKey)); old != nil {
		if err := b.Delete(hintsKey); err != nil {
			return nil, err
		}
		return old, o.Put(hintsKey, old)
	}
	return bytes.Clone(o.Get(hintsKey)), nil
}

func (s *Store) readState(tx *bbolt.Tx, b *bbolt.Bucket) error {
	if text := b.Get(stateKey); text != nil {
		m := &rpc.PrepareReply{}
		if err := proto.Unmarshal(text, m); err != nil {
			return eris.Wrap(err, "the state is damaged")
		}
		s.state.Promised, s.state.Accepted = rpc.BallotFromProto(m.Promised), rpc.BallotFromProto(m.Accepted)
	}
	if text := b.Get(valueKey); text != nil {
		m := &rpc.Value{}
		if err := proto.Unmarshal(text, m); err != nil {
			return eris.Wrap(err, "the value is damaged")
		}
		if s.state.Value = rpc.ValueFromProto(m, readBodies(tx)); s.state.Value == nil {
			return eris.New("a body of the value is missing")
		}
	}
	return nil
}

// readBodies is a value that holds all bodies of the file, and nothing else.
func readBodies(tx *bbolt.Tx) *consensus.Value {
	v := &consensus.Value{}
	all := tx.Bucket(bodiesBucket)
	if all == nil {
		return v
	}
	all.ForEachBucket(func(digest []byte) error {
		body := bytes.Clone(all.Bucket(digest).Get(bodyKey))
		v.Documents = append(v.Documents, consensus.Document{Digest: string(digest), Body: body})
		return nil
	})
	return v
}

// NewAcceptorID draws an identity.
func NewAcceptorID() consensus.AcceptorID {
	var b [8]byte
	rand.Read(b[:])
	return consensus.AcceptorID(binary.BigEndian.Uint64(b[:]) | 1)
}

func (s *Store) run() {
	defer close(s.done)
	for {
		select {
		case f := <-s.queue:
			f()
		case <-s.closing:
			for range len(s.queue) { // what was taken is done
				(<-s.queue)()
			}
			return
		}
	}
}

// Update hands the state to step, in the order of the calls; what step returns is stored and then told through after,
// with an error where it could not be stored. Both run on the disk's goroutine: they must not wait. ErrBusy is returned
// at once where too much waits already.
func (s *Store) Update(step func(consensus.AcceptorState) consensus.AcceptorState, after func(consensus.AcceptorState, error)) error {
	select {
	case <-s.closing:
		return ErrBusy // a round that is still on its way at the end
	default:
	}
	select {
	case s.queue <- func() {
		next := step(s.state)
		if !next.DiffersFrom(s.state) {
			after(s.state, nil)
			return
		}
		err := s.commitState(next)
		if s.writeUncertain = err != nil; err == nil {
			s.state = next
		}
		after(s.state, err)
	}:
		return nil
	default:
		return ErrBusy
	}
}

// commitState stores a state. One whose write failed may be in the file all the same, in whole: the value is then written again
// with the next state, or a ballot would stand there beside another's value.
func (s *Store) commitState(next consensus.AcceptorState) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("the state file is damaged: %v", r)
		}
	}()
	return s.commit(func(tx *bbolt.Tx) error {
		return s.writeState(tx, next, next.Value != s.state.Value || s.writeUncertain)
	})
}

// writeState puts a state into the file, and its value where that is another.
func (s *Store) writeState(tx *bbolt.Tx, next consensus.AcceptorState, value bool) error {
	b := tx.Bucket(stateBucket)
	text, err := proto.Marshal(&rpc.PrepareReply{Promised: rpc.BallotToProto(next.Promised), Accepted: rpc.BallotToProto(next.Accepted)})
	if err != nil {
		return err
	}
	if err := b.Put(stateKey, text); err != nil || !value {
		return err
	}
	if err := writeFormat(b); err != nil {
		return err
	}
	if err := writeBodies(tx, next.Value); err != nil {
		return err
	}
	if next.Value == nil {
		return b.Delete(valueKey)
	}
	if text, err = proto.Marshal(rpc.ValueToProto(next.Value, rpc.BodyDigests(next.Value)...)); err != nil {
		return err
	}
	return b.Put(valueKey, text)
}

// writeBodies has the file hold the bodies of a value and no others. What it holds already is not written again: the file is
// asked, as after a write that failed nobody else knows.
func writeBodies(tx *bbolt.Tx, v *consensus.Value) error {
	all, err := tx.CreateBucketIfNotExists(bodiesBucket)
	if err != nil {
		return err
	}
	wanted := rpc.BodiesByDigest(v)
	var unwanted [][]byte
	all.ForEachBucket(func(digest []byte) error {
		if _, found := wanted[string(digest)]; !found {
			unwanted = append(unwanted, bytes.Clone(digest))
		}
		return nil
	})
	for _, digest := range unwanted {
		if err := all.DeleteBucket(digest); err != nil {
			return err
		}
	}
	for digest, body := range wanted {
		if all.Bucket([]byte(digest)) != nil {
			continue
		}
		own, err := all.CreateBucket([]byte(digest))
		if err != nil {
			return err
		}
		if err := own.Put(bodyKey, body); err != nil {
			return err
		}
	}
	return nil
}

// Hints are what SaveHints last stored, as found at the start; nil = nothing. They help, and nothing depends on them.
func (s *Store) Hints() []byte { return s.hints }

// SaveHints stores hints where the disk has nothing else to do, else it tells false and nothing happens. After, on the
// disk's goroutine, is told how it went.
func (s *Store) SaveHints(hints []byte, after func(error)) bool {
	if len(s.queue) > 0 {
		return false
	}
	select {
	case s.queue <- func() {
		after(s.commit(func(tx *bbolt.Tx) error { return tx.Bucket(hintsBucket).Put(hintsKey, hints) }))
	}:
		return true
	default:
		return false
	}
}

// State is the state as found at the start. It may be called before the first Update only.
func (s *Store) State() consensus.AcceptorState { return s.state }

// Close ends the goroutine and closes the file. It must be called once. Updates that come later are refused.
func (s *Store) Close() error {
	close(s.closing)
	<-s.done
	return s.db.Close()
}
