package consensus

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Limits of a revisionLog.
const (
	historyBlockSize  = 1024 // entries per block; a block is dropped at once
	historyBlockCount = 32
)

// MinHistoryEntries is the minimum number of revisions that a History retains of the configuration and of each document once
// that many have been added: more than one day's revisions at 24,000 changes a day.
const MinHistoryEntries = historyBlockSize * (historyBlockCount - 1)

// History records revisions that this process knows to be committed. It is used to answer requests that are older than the
// revisions that a value lists. Only the presence of a revision is conclusive: a revision that is absent may have been
// committed without the process learning of it.
//
// A History is filled from decided values only. A value that is accepted but not decided may still lose to another value.
type History struct {
	configurations revisionLog
	documents      map[string]*revisionLog // by name; only documents that exist in the value learned last
	unsaved        []HistoryRecord         // learned since the last TakeUnsaved, at most MaxUnsavedHistory
}

// HistoryRecord is the stored form of a committed revision of the configuration or of a document.
type HistoryRecord struct {
	Document    string // name of the document; "" = the configuration
	Version     Version
	Fingerprint Fingerprint // of the revision's base and digest
}

// MaxUnsavedHistory is the maximum number of revisions that a History retains for TakeUnsaved. Older ones are dropped, as
// nothing depends on them.
const MaxUnsavedHistory = 4096

// Learn records the revisions of a decided value. The value and all revisions that it lists are committed.
func (h *History) Learn(decided *Value) {
	h.addRevisions("", decided.Revisions())
	for name := range h.documents {
		if decided.Document(name).Version == 0 {
			delete(h.documents, name)
		}
	}
	for _, d := range decided.Documents {
		h.addRevisions(d.Name, d.Revisions())
	}
}

// addRevisions adds revisions of a document, or of the configuration if document is "". They must be ordered oldest first.
func (h *History) addRevisions(document string, revisions []Revision) {
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

// log returns the log of a document, or of the configuration if document is "". It creates the log if there is none.
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

// Restore adds records that an earlier run of the process stored. The records of each document must be in ascending order of
// version. Restore must be called before Learn.
func (h *History) Restore(records []HistoryRecord) {
	for _, r := range records {
		h.log(r.Document).add(r)
	}
}

// TakeUnsaved removes and returns the records that were learned since the last call, oldest first. The caller stores them; if
// that fails, it calls ReturnUnsaved.
func (h *History) TakeUnsaved() []HistoryRecord {
	records := h.unsaved
	h.unsaved = nil
	return records
}

// HasUnsaved reports whether TakeUnsaved would return any records.
func (h *History) HasUnsaved() bool { return len(h.unsaved) > 0 }

// ReturnUnsaved puts back records that could not be stored, ahead of those learned since. At most MaxUnsavedHistory are
// retained.
func (h *History) ReturnUnsaved(records []HistoryRecord) {
	h.unsaved = append(records, h.unsaved...)
	if surplus := len(h.unsaved) - MaxUnsavedHistory; surplus > 0 {
		h.unsaved = slices.Delete(h.unsaved, 0, surplus)
	}
}

// ContainsChange reports whether the history contains the requested configuration, which is then committed.
func (h *History) ContainsChange(r ChangeRequest) bool {
	return h.configurations.contains(r.revision())
}

// ContainsDocumentChange reports whether the history contains the requested document revision, which is then committed.
func (h *History) ContainsDocumentChange(r DocumentChangeRequest) bool {
	log := h.documents[r.Name]
	return log != nil && log.contains(r.revision())
}

// revisionLog contains the committed revisions of the configuration or of one document in ascending order of version. The
// oldest are dropped in blocks of historyBlockSize.
type revisionLog struct {
	blocks [][]historyEntry // no block is empty
	newest Version
}

// historyEntry is a committed revision.
type historyEntry struct {
	version     Version
	fingerprint Fingerprint
}

// Fingerprint is a truncated SHA-256 hash of the base and the digest of a revision. It takes less memory than these.
type Fingerprint [16]byte

// fingerprintOf computes the fingerprint of a revision.
func fingerprintOf(r Revision) Fingerprint {
	sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, uint64(r.BasedOn)), r.Digest...))
	return Fingerprint(sum[:len(Fingerprint{})])
}

// add appends a revision if its version is above all others in the log, and skips it otherwise: it is then already present,
// older than the retained revisions, or was missed earlier. Skipping is safe, as only the presence of a revision is
// conclusive.
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

// contains reports whether the log contains the revision, comparing version, base and digest.
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
