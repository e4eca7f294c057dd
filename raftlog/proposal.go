package raftlog

import (
	"encoding/binary"
	"errors"
)

// wrapProposal puts before a command who proposed it, in which term, and its number there, so that its proposer is told its result and no
// other's.
func wrapProposal(by, term, seq uint64, b []byte) []byte {
	out := binary.AppendUvarint(nil, by)
	out = binary.AppendUvarint(out, term)
	out = binary.AppendUvarint(out, seq)
	return append(out, b...)
}

func unwrapProposal(b []byte) (by, term, seq uint64, rest []byte, err error) {
	for _, v := range []*uint64{&by, &term, &seq} {
		var n int
		if *v, n = binary.Uvarint(b); n <= 0 {
			return 0, 0, 0, nil, errors.New("an entry of the log does not say who proposed it")
		}
		b = b[n:]
	}
	return by, term, seq, b, nil
}
