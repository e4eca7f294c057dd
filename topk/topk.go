// Package topk merges lists of fixed-size records and selects the greatest. It has no I/O, clock or goroutines.
package topk

import (
	"encoding/binary"
	"slices"
)

// RecordBytes is the length of a record. Records are ordered bytewise. A shorter remainder at the end of a list is
// ignored.
const RecordBytes = 16

// maxSortLength is the length up to which a range is sorted instead of partitioned.
const maxSortLength = 8

// record holds the bytes of a record as two big-endian words, whose numeric order is the bytewise order.
type record struct{ high, low uint64 }

func (r record) greater(other record) bool {
	return r.high > other.high || r.high == other.high && r.low > other.low
}

// descending is a comparison function that sorts records in descending order.
func descending(a, b record) int {
	switch {
	case a.greater(b):
		return -1
	case b.greater(a):
		return 1
	}
	return 0
}

// Selector selects the greatest records. Its zero value is ready to use. It reuses a buffer between calls, so calls
// must not be concurrent.
type Selector struct{ buffer []record }

// Append appends the k greatest records of all lists to dst in descending order. Duplicates are kept.
func (s *Selector) Append(dst []byte, k int, lists ...[]byte) []byte {
	records := s.buffer[:0]
	for _, list := range lists {
		for ; len(list) >= RecordBytes; list = list[RecordBytes:] {
			records = append(records, record{binary.BigEndian.Uint64(list), binary.BigEndian.Uint64(list[8:])})
		}
	}
	s.buffer = records[:0]
	records = selectTop(records, k)
	slices.SortFunc(records, descending)
	for _, r := range records {
		dst = binary.BigEndian.AppendUint64(dst, r.high)
		dst = binary.BigEndian.AppendUint64(dst, r.low)
	}
	return dst
}

// selectTop returns the k greatest records in no particular order. It reorders the records by quickselect. Invariant:
// [low, high) contains position k, all records before low are at least as great as those in [low, high), and all
// records from high on are at most as great.
func selectTop(records []record, k int) []record {
	k = max(k, 0)
	if k >= len(records) {
		return records
	}
	low, high := 0, len(records)
	for high-low > maxSortLength {
		i, j := partition(records, low, high)
		switch {
		case k <= j:
			high = j + 1
		case k >= i:
			low = i
		default: // all records between the two parts are equal
			return records[:k]
		}
	}
	slices.SortFunc(records[low:high], descending)
	return records[:k]
}

// partition reorders records[low:high] around a pivot. Records up to j are at least as great as the pivot, records from
// i on at most as great; j < i.
func partition(records []record, low, high int) (i, j int) {
	pivot := median(records[low], records[(low+high)/2], records[high-1])
	i, j = low, high-1
	for i <= j {
		for records[i].greater(pivot) {
			i++
		}
		for pivot.greater(records[j]) {
			j--
		}
		if i <= j {
			records[i], records[j] = records[j], records[i]
			i, j = i+1, j-1
		}
	}
	return i, j
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
