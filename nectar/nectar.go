// Package nectar makes one answer of the parts that servers gave: the greatest records of 16 bytes, compared byte by byte.
// It has no I/O, no clock and no goroutine.
package nectar

import (
	"encoding/binary"
	"slices"
)

// RecordBytes is the length of a record. A shorter remainder of a part is none.
const RecordBytes = 16

type record struct{ high, low uint64 }

// above tells whether a record is greater than another.
func (a record) above(b record) bool {
	return a.high > b.high || a.high == b.high && a.low > b.low
}

// falling orders records, the greatest first.
func falling(a, b record) int {
	switch {
	case a.above(b):
		return -1
	case b.above(a):
		return 1
	}
	return 0
}

// Greatest appends to dst the top greatest records of all parts, greatest first; equal ones all count. Room is used again
// by the next call.
type Greatest struct{ room []record }

// Append does so.
func (g *Greatest) Append(dst []byte, top int, parts ...[]byte) []byte {
	all := g.room[:0]
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			all = append(all, record{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:])})
		}
	}
	g.room = all[:0]
	all = greatest(all, top)
	slices.SortFunc(all, falling)
	for _, r := range all {
		dst = binary.BigEndian.AppendUint64(dst, r.high)
		dst = binary.BigEndian.AppendUint64(dst, r.low)
	}
	return dst
}

// greatest returns the top greatest of all, in no order: it halves around a middle record until the cut falls on top.
func greatest(all []record, top int) []record {
	top = max(top, 0)
	if top >= len(all) {
		return all
	}
	low, high := 0, len(all) // the cut lies between
	for high-low > 8 {
		pivot := middle(all[low], all[(low+high)/2], all[high-1])
		i, j := low, high-1
		for i <= j {
			for all[i].above(pivot) {
				i++
			}
			for pivot.above(all[j]) {
				j--
			}
			if i <= j {
				all[i], all[j] = all[j], all[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case top <= j:
			high = j + 1
		case top >= i:
			low = i
		default:
			return all[:top]
		}
	}
	slices.SortFunc(all[low:high], falling)
	return all[:top]
}

func middle(a, b, c record) record {
	if a.above(b) {
		a, b = b, a
	}
	if b.above(c) {
		b = c
		if a.above(b) {
			b = a
		}
	}
	return b
}
