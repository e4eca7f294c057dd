package registry

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// RangeCount is the number of ranges of instance ids that Digests are made over.
const RangeCount = 16

// Digests returns a digest of each range of records, for anti-entropy between controllers. Equal tables have equal digests,
// whatever way they were filled. What changes with each heartbeat is left out.
func (t *Table) Digests() [RangeCount]uint64 {
	var digests [RangeCount]uint64
	for id, r := range t.records {
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{0, byte(r.State)})
		h.Write([]byte(r.Address))
		// XOR, as the records of a range come in no order.
		digests[rangeOf(id)] ^= h.Sum64()
	}
	return digests
}

// Range returns the records of one range, by instance id.
func (t *Table) Range(number int) []*Record {
	var records []*Record
	for id, r := range t.records {
		if rangeOf(id) == number {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.Instance, b.Instance) })
	return records
}

// rangeOf returns the range of an instance. All controllers must agree on it.
func rangeOf(id InstanceID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % RangeCount)
}
