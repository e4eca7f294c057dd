package acceptorstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// FormatVersion is the format version of the files that the store writes. Files of the previous version, formatInlineBodies,
// are converted when they are opened; files of other versions are rejected.
//
// Version 1 stored the bodies inside the value, so that each promise wrote them again. Version 2 stores each body in its own
// bucket, named by its digest: it is written once, however often a value that contains it is accepted.
const (
	FormatVersion      = 2
	formatInlineBodies = 1
)

const (
	fileName    = "hive.db"
	ballotBytes = 16 // size of an encoded ballot
)

// Names of the file's buckets and keys.
var (
	stateBucket = []byte("hive")
	formatKey   = []byte("format")   // 8 bytes, big-endian
	identityKey = []byte("identity") // 8 bytes, big-endian
	stateKey    = []byte("state")    // an rpc.PrepareReply with only the ballots set
	valueKey    = []byte("value")    // an rpc.Value without bodies
	decidedKey  = []byte("decided")  // the ballot of the last acceptance that was known to be decided; may be absent

	bodiesBucket = []byte("bodies") // contains a bucket for each body, named by its digest
	bodyKey      = []byte("body")

	historyBucket = []byte("history") // maps historyKey to the fingerprint of each revision; may be absent

	departuresBucket = []byte("departures") // maps instances to their reports; holds what hintsKey may lack; may be absent

	hintsBucket = []byte("others")
	hintsKey    = []byte("hints") // an rpc.Gossip with only the reports set; in version 1 in stateBucket
)

// readFormat returns the format version; 0 if none has been written.
func readFormat(b *bbolt.Bucket) uint64 {
	if format := b.Get(formatKey); len(format) == 8 {
		return binary.BigEndian.Uint64(format)
	}
	return 0
}

func writeFormat(b *bbolt.Bucket) error {
	return b.Put(formatKey, binary.BigEndian.AppendUint64(nil, FormatVersion))
}

// isReadable reports whether a format version is supported.
func isReadable(format uint64) bool { return format == FormatVersion || format == formatInlineBodies }

// readIdentity returns the acceptor's identifier; ok is false if none is stored.
func readIdentity(b *bbolt.Bucket) (id consensus.AcceptorID, ok bool) {
	value := b.Get(identityKey)
	if len(value) != 8 {
		return 0, false
	}
	return consensus.AcceptorID(binary.BigEndian.Uint64(value)), true
}

func writeIdentity(b *bbolt.Bucket, id consensus.AcceptorID) error {
	return b.Put(identityKey, binary.BigEndian.AppendUint64(nil, uint64(id)))
}

// checkIntegrity checks the file's size and the consistency of all its pages.
func checkIntegrity(db *bbolt.DB, path string) error {
	return db.View(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(path); err != nil || info.Size() < tx.Size() {
			return fmt.Errorf("%w: it is shorter than the size in its header", ErrCorrupt)
		}
		for err := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return nil
	})
}

// readState reads the ballots and the value with its bodies into a state.
func readState(tx *bbolt.Tx, b *bbolt.Bucket, state *consensus.AcceptorState) error {
	if encoded := b.Get(stateKey); encoded != nil {
		m := &rpc.PrepareReply{}
		if err := proto.Unmarshal(encoded, m); err != nil {
			return fmt.Errorf("%w: state: %w", ErrCorrupt, err)
		}
		state.Promised, state.Accepted = rpc.BallotFromProto(m.Promised), rpc.BallotFromProto(m.Accepted)
	}
	state.Decided = decodeBallot(b.Get(decidedKey))
	if encoded := b.Get(valueKey); encoded != nil {
		m := &rpc.Value{}
		if err := proto.Unmarshal(encoded, m); err != nil {
			return fmt.Errorf("%w: value: %w", ErrCorrupt, err)
		}
		if state.Value = rpc.ValueFromProto(m, readBodies(tx)); state.Value == nil {
			return fmt.Errorf("%w: a body of the value is missing", ErrCorrupt)
		}
	}
	return nil
}

// readBodies returns all bodies of the file as documents of an otherwise empty value, as rpc.ValueFromProto expects them.
func readBodies(tx *bbolt.Tx) *consensus.Value {
	v := &consensus.Value{}
	bodies := tx.Bucket(bodiesBucket)
	if bodies == nil {
		return v
	}
	bodies.ForEachBucket(func(digest []byte) error {
		body := bytes.Clone(bodies.Bucket(digest).Get(bodyKey))
		v.Documents = append(v.Documents, consensus.Document{Digest: string(digest), Body: body})
		return nil
	})
	return v
}

// writeState writes the ballots of a state and, if withValue is set, its value.
func writeState(tx *bbolt.Tx, next consensus.AcceptorState, withValue bool) error {
	b := tx.Bucket(stateBucket)
	encoded, err := proto.Marshal(&rpc.PrepareReply{Promised: rpc.BallotToProto(next.Promised), Accepted: rpc.BallotToProto(next.Accepted)})
	if err != nil {
		return err
	}
	if err := b.Put(stateKey, encoded); err != nil {
		return err
	}
	if err := writeDecided(b, next.Decided); err != nil || !withValue {
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
	if encoded, err = proto.Marshal(rpc.ValueToProto(next.Value, rpc.BodyDigests(next.Value)...)); err != nil {
		return err
	}
	return b.Put(valueKey, encoded)
}

// writeDecided stores the ballot of a known decision; most files have none.
//
// A release that does not support this key ignores it, and may accept other values while the key remains. That is harmless, as
// the ballot identifies the acceptance that the decision refers to.
func writeDecided(b *bbolt.Bucket, decided consensus.Ballot) error {
	if decided == (consensus.Ballot{}) || decodeBallot(b.Get(decidedKey)) == decided {
		return nil
	}
	encoded := binary.BigEndian.AppendUint64(nil, decided.Number)
	return b.Put(decidedKey, binary.BigEndian.AppendUint64(encoded, uint64(decided.Proposer)))
}

// decodeBallot decodes a ballot that writeDecided stored; it returns the zero Ballot if there is none.
func decodeBallot(encoded []byte) consensus.Ballot {
	if len(encoded) != ballotBytes {
		return consensus.Ballot{}
	}
	return consensus.Ballot{
		Number:   binary.BigEndian.Uint64(encoded),
		Proposer: consensus.ProposerID(binary.BigEndian.Uint64(encoded[8:])),
	}
}

// writeBodies stores the bodies of a value and deletes all others. Bodies that the file already contains are not written again.
// Which these are is read from the file, as after a failed write no state in memory shows it.
func writeBodies(tx *bbolt.Tx, v *consensus.Value) error {
	bodies, err := tx.CreateBucketIfNotExists(bodiesBucket)
	if err != nil {
		return err
	}
	wanted := rpc.BodiesByDigest(v)
	if err := deleteBodies(bodies, wanted); err != nil {
		return err
	}
	for digest, body := range wanted {
		if bodies.Bucket([]byte(digest)) != nil {
			continue
		}
		b, err := bodies.CreateBucket([]byte(digest))
		if err != nil {
			return err
		}
		if err := b.Put(bodyKey, body); err != nil {
			return err
		}
	}
	return nil
}

// deleteBodies deletes all bodies except those whose digests are keys of keep.
func deleteBodies(bodies *bbolt.Bucket, keep map[string][]byte) error {
	var unwanted [][]byte
	bodies.ForEachBucket(func(digest []byte) error {
		if _, found := keep[string(digest)]; !found {
			unwanted = append(unwanted, bytes.Clone(digest))
		}
		return nil
	})
	for _, digest := range unwanted {
		if err := bodies.DeleteBucket(digest); err != nil {
			return err
		}
	}
	return nil
}

// readHints returns the hints, from where either format version stores them; nil if there are none.
func readHints(tx *bbolt.Tx, b *bbolt.Bucket) []byte {
	if hints := tx.Bucket(hintsBucket); hints != nil {
		return hints.Get(hintsKey)
	}
	return b.Get(hintsKey)
}

// migrateHints returns the hints. It moves those of version 1 from the state bucket to the hints bucket of version 2.
func migrateHints(tx *bbolt.Tx, b *bbolt.Bucket) ([]byte, error) {
	hints, err := tx.CreateBucketIfNotExists(hintsBucket)
	if err != nil {
		return nil, err
	}
	old := bytes.Clone(b.Get(hintsKey))
	if old == nil {
		return bytes.Clone(hints.Get(hintsKey)), nil
	}
	if err := b.Delete(hintsKey); err != nil {
		return nil, err
	}
	return old, hints.Put(hintsKey, old)
}
