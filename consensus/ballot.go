package consensus

import "cmp"

type (
	// AcceptorID identifies an acceptor's disk. It is drawn at random when the disk is first used; 0 is none.
	AcceptorID uint64
	// ProposerID identifies one run of a proposing process. It is drawn at random when the process starts.
	ProposerID uint64
	// Slot is a position in the register: the number of values that were decided up to and including it; 0 is before all.
	Slot uint64
	// Version numbers configurations, and revisions of a document; 0 is none.
	Version uint64
)

// Ballot is Paxos's proposal number. Ballots are ordered by number, then by proposer; the zero Ballot precedes all others.
//
// The JSON names are part of the output of the controller's command that inspects stored state.
type Ballot struct {
	Number uint64     `json:"Number"`
	By     ProposerID `json:"By"`
}

// Compare returns -1, 0 or 1 as b precedes, equals or follows other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.By, other.By))
}
