package maintenance

import (
	"maps"
	"slices"
)

// ReplayFilter rejects messages that were seen before. Each sender numbers its messages in rising order; the filter keeps the last
// number of each sender. Beyond maxSenders it drops the lower half of the numbers and rejects them from all senders, so that nothing
// is accepted twice.
type ReplayFilter struct {
	maxSenders int
	floor      uint64 // numbers up to it are rejected
	last       map[string]uint64
}

// NewReplayFilter returns a filter that rejects all numbers up to floor: messages from before the filter existed are not known to be
// new.
func NewReplayFilter(floor uint64, maxSenders int) *ReplayFilter {
	return &ReplayFilter{maxSenders: maxSenders, floor: floor, last: map[string]uint64{}}
}

// Accept reports whether a sender's message with this number is new, and records it. last is the number that the sender's next one
// must exceed.
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

// raiseFloor raises the floor to the median of the kept numbers and drops those below it.
func (f *ReplayFilter) raiseFloor() {
	numbers := slices.Sorted(maps.Values(f.last))
	f.floor = max(f.floor, numbers[len(numbers)/2])
	maps.DeleteFunc(f.last, func(_ string, number uint64) bool { return number <= f.floor })
}
