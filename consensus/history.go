package consensus

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// How much a Ledger holds of one sequence of versions.
const (
	historyBlockSize  = 1024 // entries that are dropped together
	historyBlockCount = 32
	// MinHistoryEntries is how many versions of one sequence are remembered at least, once there were so many: over a day at
	// 24,000 changes a day.
	MinHistoryEntries = historyBlockSize * (historyBlockCount - 1)
)

// fingerprint stands for the base and the digest of a version, in fewer bytes.
type fingerprint [16]byte

func fingerprintOf(p Revision) (f fingerprint) {
	sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, uint64(p.BasedOn)), p.Digest...))
	copy(f[:], sum[:])
	return f
}

// historyEntry is a version that is known to be agreed.
type historyEntry struct {
	version     Version
	fingerprint fingerprint
}

// revisionLog is the agreed versions of one document, rising, the oldest dropped in blocks.
type revisionLog struct {
	blocks [][]historyEntry
	newest Version
}

// add takes a version above all that are there; others are there already, or older than what is remembered.
func (s *revisionLog) add(p Revision) {
	if p.Digest == "" || p.Version <= s.newest {
		return
	}
	s.newest = p.Version
	last := len(s.blocks) - 1
	if last < 0 || len(s.blocks[last]) == historyBlockSize {
		if len(s.blocks) == historyBlockCount {
			s.blocks = slices.Delete(s.blocks, 0, 1)
		}
		s.blocks = append(s.blocks, make([]historyEntry, 0, historyBlockSize))
		last = len(s.blocks) - 1
	}
	s.blocks[last] = append(s.blocks[last], historyEntry{p.Version, fingerprintOf(p)})
}

func (s *revisionLog) addAll(agreed []Revision) {
	for _, p := range agreed {
		s.add(p)
	}
}

func (s *revisionLog) contains(p Revision) bool {
	for _, block := range s.blocks {
		if p.Version > block[len(block)-1].version {
			continue
		}
		at, found := slices.BinarySearchFunc(block, p.Version, func(e historyEntry, v Version) int {
			return cmp.Compare(e.version, v)
		})
		return found && block[at].fingerprint == fingerprintOf(p)
	}
	return false
}

// History is what one machine knows to have been agreed: positive evidence, for calls that are older than what the value
// itself remembers. That a version is not in it says nothing, as this machine may not have heard of it.
//
// It is filled from decided values alone. What was only voted for may yet lose.
type History struct {
	configurations revisionLog
	documents      map[string]*revisionLog // by name; those of the newest value
}

// Learn takes a value that is decided. All that it remembers was agreed on before it.
func (l *History) Learn(decided *Value) {
	l.configurations.addAll(decided.Revisions())
	if l.documents == nil {
		l.documents = map[string]*revisionLog{}
	}
	for name := range l.documents {
		if decided.Document(name).Version == 0 {
			delete(l.documents, name)
		}
	}
	for _, n := range decided.Documents {
		s := l.documents[n.Name]
		if s == nil {
			s = &revisionLog{}
			l.documents[n.Name] = s
		}
		s.addAll(n.Revisions())
	}
}

// ContainsChange tells whether the configuration of a call is known to have been agreed.
func (l *History) ContainsChange(c ChangeRequest) bool {
	return l.configurations.contains(c.revision())
}

// ContainsDocumentChange tells whether the note of a call is known to have been agreed.
func (l *History) ContainsDocumentChange(c DocumentChangeRequest) bool {
	s := l.documents[c.Name]
	return s != nil && s.contains(c.revision())
}
