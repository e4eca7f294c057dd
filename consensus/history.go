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
	unsaved        []HistoryRecord         // learned since TakeUnsaved, MaxUnsavedHistory at most
}

// HistoryRecord is a committed revision of the configuration or of a document, as it is stored.
type HistoryRecord struct {
	Document    string // its name; "" = the configuration
	Version     Version
	Fingerprint Fingerprint // of its base and digest
}

// MaxUnsavedHistory is how many revisions a History keeps for TakeUnsaved. Older ones are dropped: nothing depends on them.
const MaxUnsavedHistory = 4096

// Learn records a decided value. All revisions that it lists were committed before it.
func (h *History) Learn(decided *Value) {
	h.addAll("", decided.Revisions())
	for name := range h.documents {
		if decided.Document(name).Version == 0 {
			delete(h.documents, name)
		}
	}
	for _, d := range decided.Documents {
		h.addAll(d.Name, d.Revisions())
	}
}

// addAll adds revisions of a document, "" = the configuration, oldest first.
func (h *History) addAll(document string, revisions []Revision) {
	log := h.log(document)
	for _, r := range revisions {
		if r.Digest == "" || r.Version <= log.newest {
			continue
		}
		record := HistoryRecord{Document: document, Version: r.Version, Fingerprint: fingerprintOf(r)}
		log.add(record)
		h.unsaved = append(h.unsaved, record)
	}
	if surplus := len(h.unsaved) - MaxUnsavedHistory; surplus > 0 {
		h.unsaved = slices.Delete(h.unsaved, 0, surplus)
	}
}

// log returns the log of a document, which it makes if there is none.
func (h *History) log(document string) *revisionLog {
	if document == "" {
		return &h.configurations
	}
	if h.documents == nil {
		h.documents = map[string]*revisionLog{}
	}
	if h.documents[document] == nil {
		h.documents[document] = &revisionLog{}
	}
	return h.documents[document]
}

// Restore adds records that an earlier run of the process stored, by rising versions of each document. It must be called before
// Learn.
func (h *History) Restore(records []HistoryRecord) {
	for _, r := range records {
		h.log(r.Document).add(r)
	}
}

// TakeUnsaved returns the records that were learned since the last call, oldest first. The caller stores them, or calls ReturnUnsaved.
func (h *History) TakeUnsaved() []HistoryRecord {
	records := h.unsaved
	h.unsaved = nil
	return records
}

// HasUnsaved reports whether TakeUnsaved would return any.
func (h *History) HasUnsaved() bool { return len(h.unsaved) > 0 }

// ReturnUnsaved takes back records that could not be stored.
func (h *History) ReturnUnsaved(records []HistoryRecord) {
	h.unsaved = append(records, h.unsaved...)
	if surplus := len(h.unsaved) - MaxUnsavedHistory; surplus > 0 {
		h.unsaved = slices.Delete(h.unsaved, 0, surplus)
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
	fingerprint Fingerprint
}

// Fingerprint stands for the base and the digest of a revision, in fewer bytes.
type Fingerprint [16]byte

func fingerprintOf(r Revision) Fingerprint {
	sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, uint64(r.BasedOn)), r.Digest...))
	return Fingerprint(sum[:len(Fingerprint{})])
}

// add appends a revision above all that the log holds, and skips others: those are in it already, or are older than what it
// retains, or were missed. Skipping is safe, as the log is positive evidence alone.
func (l *revisionLog) add(r HistoryRecord) {
	if r.Version <= l.newest {
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
	l.blocks[last] = append(l.blocks[last], historyEntry{version: r.Version, fingerprint: r.Fingerprint})
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
