package registry

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// DigestRangeCount is the number of ranges into which instance ids are hashed. Digests returns one digest for each range.
const DigestRangeCount = 16

// Digests returns a digest of each range of records, for anti-entropy between controllers. Equal tables have equal digests,
// regardless of the order in which they were filled. A digest covers instance ids, states and addresses; fields that change
// with each heartbeat are excluded.
func (t *Table) Digests() [DigestRangeCount]uint64 {
	var digests [DigestRangeCount]uint64
	for id, r := range t.records {
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{0, byte(r.State)})
		h.Write([]byte(r.Address))
		// XOR is independent of the map's iteration order.
		digests[rangeOf(id)] ^= h.Sum64()
	}
	return digests
}

// RecordsInRange returns the records of one range (0 to DigestRangeCount-1), sorted by instance id.
func (t *Table) RecordsInRange(index int) []*Record {
	var records []*Record
	for id, r := range t.records {
		if rangeOf(id) == index {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.Instance, b.Instance) })
	return records
}

// rangeOf returns the index of an instance's range. All controllers must compute the same index.
func rangeOf(id InstanceID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % DigestRangeCount)
}
