package consensus

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Bounds of a revisionLog.
const (
	historyBlockSize  = 1024 // entries that are dropped together
	historyBlockCount = 32
)

// MinHistoryEntries is the number of revisions that a History retains at least of the configuration, and of each document,
// once there were so many: more than a day's at 24,000 changes a day.
const MinHistoryEntries = historyBlockSize * (historyBlockCount - 1)

// History records revisions that one process knows to be committed, for requests that are older than the revisions that a
// value lists. It is positive evidence alone: a revision that is not in it may have been committed without the process
// learning of it.
//
// It is filled from decided values only. A value that was merely accepted may still lose.
type History struct {
	configurations revisionLog
	documents      map[string]*revisionLog // by name; those of the newest value
}

// Learn records a decided value. All revisions that it lists were committed before it.
func (h *History) Learn(decided *Value) {
	h.configurations.addAll(decided.Revisions())
	if h.documents == nil {
		h.documents = map[string]*revisionLog{}
	}
	for name := range h.documents {
		if decided.Document(name).Version == 0 {
			delete(h.documents, name)
		}
	}
	for _, d := range decided.Documents {
		log := h.documents[d.Name]
		if log == nil {
			log = &revisionLog{}
			h.documents[d.Name] = log
		}
		log.addAll(d.Revisions())
	}
}

// ContainsChange reports whether the request's configuration is known to be committed.
func (h *History) ContainsChange(r ChangeRequest) bool {
	return h.configurations.contains(r.revision())
}

// ContainsDocumentChange reports whether the request's document is known to be committed.
func (h *History) ContainsDocumentChange(r DocumentChangeRequest) bool {
	log := h.documents[r.Name]
	return log != nil && log.contains(r.revision())
}

// revisionLog holds the committed revisions of the configuration or of one document, by rising versions. The oldest are
// dropped in blocks, historyBlockSize at a time.
type revisionLog struct {
	blocks [][]historyEntry // none is empty
	newest Version
}

// historyEntry is a committed revision.
type historyEntry struct {
	version     Version
	fingerprint fingerprint
}

// fingerprint stands for the base and the digest of a revision, in fewer bytes.
type fingerprint [16]byte

func fingerprintOf(r Revision) fingerprint {
	sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, uint64(r.BasedOn)), r.Digest...))
	return fingerprint(sum[:len(fingerprint{})])
}

func (l *revisionLog) addAll(revisions []Revision) {
	for _, r := range revisions {
		l.add(r)
	}
}

// add appends a revision above all that the log holds, and skips others: those are in it already, or are older than what it
// retains, or were missed. Skipping is safe, as the log is positive evidence alone.
func (l *revisionLog) add(r Revision) {
	if r.Digest == "" || r.Version <= l.newest {
		return
	}
	l.newest = r.Version
	last := len(l.blocks) - 1
	if last < 0 || len(l.blocks[last]) == historyBlockSize {
		if len(l.blocks) == historyBlockCount {
			l.blocks = slices.Delete(l.blocks, 0, 1)
		}
		l.blocks = append(l.blocks, make([]historyEntry, 0, historyBlockSize))
		last = len(l.blocks) - 1
	}
	l.blocks[last] = append(l.blocks[last], historyEntry{version: r.Version, fingerprint: fingerprintOf(r)})
}

func (l *revisionLog) contains(r Revision) bool {
	for _, block := range l.blocks {
		if r.Version > block[len(block)-1].version {
			continue
		}
		i, found := slices.BinarySearchFunc(block, r.Version, func(e historyEntry, v Version) int {
			return cmp.Compare(e.version, v)
		})
		return found && block[i].fingerprint == fingerprintOf(r)
	}
	return false
}
