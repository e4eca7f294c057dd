package acceptorstore

import (
	"bytes"
	"encoding/binary"

	"go.etcd.io/bbolt"

	"oxbowspan/consensus"
)

// MaxStoredHistory is the number of committed revisions that the file retains for the configuration and for each document, and
// historyPruneSize the number of further ones that it may contain before the oldest are deleted: about 200 kB for each.
//
// When a change whose revision is no longer stored is retried after a restart, whether it was committed is unknown, and the
// response says so.
const (
	MaxStoredHistory = 4096
	historyPruneSize = 256
)

const versionBytes = 8 // size of the version at the end of a key

// historyKey returns the key of a revision: the document's name, a zero byte, which no name contains, and the version in
// big-endian order, so that the keys of a document are sorted by version.
func historyKey(document string, version consensus.Version) []byte {
	key := append([]byte(document), 0)
	return binary.BigEndian.AppendUint64(key, uint64(version))
}

// readHistory returns the stored revisions, ordered by document and version. Malformed entries are skipped.
func readHistory(tx *bbolt.Tx) (records []consensus.HistoryRecord) {
	b := tx.Bucket(historyBucket)
	if b == nil {
		return nil
	}
	b.ForEach(func(key, value []byte) error {
		name, ok := bytes.CutSuffix(key[:max(len(key)-versionBytes, 0)], []byte{0})
		if !ok || len(value) != len(consensus.Fingerprint{}) {
			return nil
		}
		records = append(records, consensus.HistoryRecord{
			Document:    string(name),
			Version:     consensus.Version(binary.BigEndian.Uint64(key[len(key)-versionBytes:])),
			Fingerprint: consensus.Fingerprint(value),
		})
		return nil
	})
	return records
}

// writeHistory stores revisions.
func writeHistory(tx *bbolt.Tx, records []consensus.HistoryRecord) error {
	if len(records) == 0 {
		return nil
	}
	b, err := tx.CreateBucketIfNotExists(historyBucket)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := b.Put(historyKey(r.Document, r.Version), r.Fingerprint[:]); err != nil {
			return err
		}
	}
	return nil
}

// pruneHistory deletes the oldest revisions of a document, at most count of them.
func pruneHistory(tx *bbolt.Tx, document string, count int) error {
	prefix := historyKey(document, 0)
	prefix = prefix[:len(prefix)-versionBytes]
	c := tx.Bucket(historyBucket).Cursor()
	for key, _ := c.Seek(prefix); count > 0 && isHistoryKey(key, prefix); key, _ = c.Seek(prefix) {
		if err := c.Delete(); err != nil {
			return err
		}
		count--
	}
	return nil
}

func isHistoryKey(key, prefix []byte) bool {
	return len(key) == len(prefix)+versionBytes && bytes.HasPrefix(key, prefix)
}

// saveHistory stores revisions and prunes documents that exceed MaxStoredHistory by historyPruneSize. It must be called on the
// store's goroutine.
func (s *Store) saveHistory(tx *bbolt.Tx, records []consensus.HistoryRecord) error {
	if err := writeHistory(tx, records); err != nil {
		return err
	}
	counts := map[string]int{}
	for _, r := range records {
		counts[r.Document]++
	}
	for document, added := range counts {
		surplus := s.historyCounts[document] + added - MaxStoredHistory
		if surplus < historyPruneSize {
			continue
		}
		if err := pruneHistory(tx, document, surplus); err != nil {
			return err
		}
	}
	return nil
}

// countHistory updates historyCounts for revisions that saveHistory stored, including its pruning.
func (s *Store) countHistory(records []consensus.HistoryRecord) {
	for _, r := range records {
		s.historyCounts[r.Document]++
	}
	for document, count := range s.historyCounts {
		if count-MaxStoredHistory >= historyPruneSize {
			s.historyCounts[document] = MaxStoredHistory
		}
	}
}
