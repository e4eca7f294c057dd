package raftlog

import (
	"encoding/binary"
	"errors"
)

// ErrMalformedEntry is returned for a log entry that does not begin with a valid proposalID.
var ErrMalformedEntry = errors.New("malformed log entry")

// proposalID identifies a proposal, so that its proposer can match the applied entry with it. It precedes the command
// in the log entry.
type proposalID struct {
	proposer ID
	term     uint64 // term in which the proposer was leader
	sequence uint64 // sequence number among the proposer's proposals
}

// wrapProposal returns the data of a log entry: the three numbers of the ID as varints, followed by the encoded command.
func wrapProposal(id proposalID, command []byte) []byte {
	data := binary.AppendUvarint(nil, uint64(id.proposer))
	data = binary.AppendUvarint(data, id.term)
	data = binary.AppendUvarint(data, id.sequence)
	return append(data, command...)
}

// unwrapProposal parses the data of a log entry.
func unwrapProposal(data []byte) (id proposalID, command []byte, err error) {
	for _, field := range []*uint64{(*uint64)(&id.proposer), &id.term, &id.sequence} {
		v, n := binary.Uvarint(data)
		if n <= 0 {
			return proposalID{}, nil, ErrMalformedEntry
		}
		*field, data = v, data[n:]
	}
	return id, data, nil
}
