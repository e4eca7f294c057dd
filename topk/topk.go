// Package topk makes one answer of the parts that servers gave: the greatest records of 16 bytes, compared byte by byte.
// It has no I/O, no clock and no goroutine.
package topk

import (
	"encoding/binary"
	"slices"
)

// RecordBytes is the length of a record. A shorter remainder of a part is none.
const RecordBytes = 16

type record struct{ high, low uint64 }

// greater tells whether a record is greater than another.
func (a record) greater(b record) bool {
	return a.high > b.high || a.high == b.high && a.low > b.low
}

// descending orders records, the greatest first.
func descending(a, b record) int {
	switch {
	case a.greater(b):
		return -1
	case b.greater(a):
		return 1
	}
	return 0
}

// Selector appends to dst the top greatest records of all parts, greatest first; equal ones all count. Room is used again
// by the next call.
type Selector struct{ buffer []record }

// Append does so.
func (s *Selector) Append(dst []byte, k int, lists ...[]byte) []byte {
	all := s.buffer[:0]
	for _, list := range lists {
		for ; len(list) >= RecordBytes; list = list[RecordBytes:] {
			all = append(all, record{binary.BigEndian.Uint64(list), binary.BigEndian.Uint64(list[8:])})
		}
	}
	s.buffer = all[:0]
	all = selectTop(all, k)
	slices.SortFunc(all, descending)
	for _, r := range all {
		dst = binary.BigEndian.AppendUint64(dst, r.high)
		dst = binary.BigEndian.AppendUint64(dst, r.low)
	}
	return dst
}

// selectTop returns the top greatest of all, in no order: it halves around a middle record until the cut falls on top.
func selectTop(all []record, k int) []record {
	k = max(k, 0)
	if k >= len(all) {
		return all
	}
	low, high := 0, len(all) // the cut lies between
	for high-low > 8 {
		pivot := median(all[low], all[(low+high)/2], all[high-1])
		i, j := low, high-1
		for i <= j {
			for all[i].greater(pivot) {
				i++
			}
			for pivot.greater(all[j]) {
				j--
			}
			if i <= j {
				all[i], all[j] = all[j], all[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case k <= j:
			high = j + 1
		case k >= i:
			low = i
		default:
			return all[:k]
		}
	}
	slices.SortFunc(all[low:high], descending)
	return all[:k]
}

func median(a, b, c record) record {
	if a.greater(b) {
		a, b = b, a
	}
	if b.greater(c) {
		b = c
		if a.greater(b) {
			b = a
		}
	}
	return b
}
