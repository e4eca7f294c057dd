package swarm

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// How much a Ledger holds of one sequence of versions.
const (
	ledgerBlock  = 1024 // entries that are dropped together
	ledgerBlocks = 32
	// LedgerEntries is how many versions of one sequence are remembered at least, once there were so many: over a day at
	// 24,000 changes a day.
	LedgerEntries = ledgerBlock * (ledgerBlocks - 1)
)

// fingerprint stands for the base and the digest of a version, in fewer bytes.
type fingerprint [16]byte

func fingerprintOf(p Past) (f fingerprint) {
	sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, uint64(p.BasedOn)), p.Digest...))
	copy(f[:], sum[:])
	return f
}

// ledgerEntry is a version that is known to be agreed.
type ledgerEntry struct {
	version Version
	print   fingerprint
}

// sequence is the agreed versions of one document, rising, the oldest dropped in blocks.
type sequence struct {
	blocks [][]ledgerEntry
	newest Version
}

// add takes a version above all that are there; others are there already, or older than what is remembered.
func (s *sequence) add(p Past) {
	if p.Digest == "" || p.Version <= s.newest {
		return
	}
	s.newest = p.Version
	last := len(s.blocks) - 1
	if last < 0 || len(s.blocks[last]) == ledgerBlock {
		if len(s.blocks) == ledgerBlocks {
			s.blocks = slices.Delete(s.blocks, 0, 1)
		}
		s.blocks = append(s.blocks, make([]ledgerEntry, 0, ledgerBlock))
		last = len(s.blocks) - 1
	}
	s.blocks[last] = append(s.blocks[last], ledgerEntry{p.Version, fingerprintOf(p)})
}

func (s *sequence) addAll(agreed []Past) {
	for _, p := range agreed {
		s.add(p)
	}
}

func (s *sequence) holds(p Past) bool {
	for _, block := range s.blocks {
		if p.Version > block[len(block)-1].version {
			continue
		}
		at, found := slices.BinarySearchFunc(block, p.Version, func(e ledgerEntry, v Version) int {
			return cmp.Compare(e.version, v)
		})
		return found && block[at].print == fingerprintOf(p)
	}
	return false
}

// Ledger is what one machine knows to have been agreed: positive evidence, for calls that are older than what the value
// itself remembers. That a version is not in it says nothing, as this machine may not have heard of it.
//
// It is filled from decided values alone. What was only voted for may yet lose.
type Ledger struct {
	configurations sequence
	notes          map[string]*sequence // by name; those of the newest value
}

// Learn takes a value that is decided. All that it remembers was agreed on before it.
func (l *Ledger) Learn(decided *Value) {
	l.configurations.addAll(decided.Agreed())
	if l.notes == nil {
		l.notes = map[string]*sequence{}
	}
	for name := range l.notes {
		if decided.Note(name).Version == 0 {
			delete(l.notes, name)
		}
	}
	for _, n := range decided.Notes {
		s := l.notes[n.Name]
		if s == nil {
			s = &sequence{}
			l.notes[n.Name] = s
		}
		s.addAll(n.Agreed())
	}
}

// HoldsCall tells whether the configuration of a call is known to have been agreed.
func (l *Ledger) HoldsCall(c Call) bool { return l.configurations.holds(c.past()) }

// HoldsNote tells whether the note of a call is known to have been agreed.
func (l *Ledger) HoldsNote(c NoteCall) bool {
	s := l.notes[c.Name]
	return s != nil && s.holds(c.past())
}
