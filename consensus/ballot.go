package consensus

import "cmp"

type (
	// AcceptorID identifies an acceptor's disk. It is generated at random when the disk is first used; 0 means no acceptor.
	AcceptorID uint64
	// ProposerID identifies one run of a proposing process. It is generated at random when the process starts.
	ProposerID uint64
	// Slot is a position in the register: the number of values decided up to and including this one. Slot 0 precedes the
	// first decided value.
	Slot uint64
	// Version is the version number of a configuration or of a document; 0 means that there is none.
	Version uint64
)

// Ballot is the proposal number of Paxos. Ballots are ordered by Number, then by Proposer; the zero Ballot precedes all
// others.
//
// The JSON names are part of the output of the controller command that inspects stored state.
type Ballot struct {
	Number   uint64     `json:"Number"`
	Proposer ProposerID `json:"By"`
}

// Compare returns -1 if b precedes other, 0 if they are equal, and 1 if b follows other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Proposer, other.Proposer))
}
