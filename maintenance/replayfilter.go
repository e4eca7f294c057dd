package maintenance

import (
	"maps"
	"slices"
)

// ReplayFilter rejects messages that it has already accepted. Each sender numbers its messages in increasing order, and
// the filter stores the last number of each sender. When a sender beyond maxSenders appears, it drops the lower half of
// the stored numbers and from then on rejects all numbers up to the highest dropped one, whoever the sender is, so that
// no message is accepted twice.
type ReplayFilter struct {
	maxSenders int
	floor      uint64 // numbers up to and including it are rejected
	last       map[string]uint64
}

// NewReplayFilter returns a filter for maxSenders senders that rejects all numbers up to floor. The floor covers the
// numbers used before the filter was created, for which it cannot tell whether a message is new.
func NewReplayFilter(floor uint64, maxSenders int) *ReplayFilter {
	return &ReplayFilter{maxSenders: maxSenders, floor: floor, last: map[string]uint64{}}
}

// Accept reports whether a sender's message with this number is new, and records the number if it is. The sender's next
// number must be greater than last.
func (f *ReplayFilter) Accept(sender string, number uint64) (ok bool, last uint64) {
	last = max(f.floor, f.last[sender])
	if number <= last {
		return false, last
	}
	if _, known := f.last[sender]; !known && len(f.last) >= f.maxSenders {
		f.raiseFloor()
		if number <= f.floor {
			return false, f.floor
		}
	}
	f.last[sender] = number
	return true, number
}

// raiseFloor raises the floor to the median of the stored numbers and drops the numbers up to it.
func (f *ReplayFilter) raiseFloor() {
	numbers := slices.Sorted(maps.Values(f.last))
	f.floor = max(f.floor, numbers[len(numbers)/2])
	maps.DeleteFunc(f.last, func(_ string, number uint64) bool { return number <= f.floor })
}
