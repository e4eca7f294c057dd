package maintenance

import (
	"maps"
	"slices"
)

// ReplayFilter tells what was said before from what is new, by numbers that grow with each word of a speaker. It holds the last number of each
// speaker; past most of them the lower half goes, and what it held is refused to everybody, so that nothing passes twice.
type ReplayFilter struct {
	maxSenders int
	floor      uint64 // numbers up to it are refused
	last       map[string]uint64
}

// NewReplayFilter refuses all numbers up to least: what was said before the fence stood is not known to be new.
func NewReplayFilter(least uint64, most int) *ReplayFilter {
	return &ReplayFilter{maxSenders: most, floor: least, last: map[string]uint64{}}
}

// Accept takes a word's number; false = it is not new, and least is the number that the speaker's next must be above.
func (f *ReplayFilter) Accept(speaker string, no uint64) (ok bool, least uint64) {
	if least = max(f.floor, f.last[speaker]); no <= least {
		return false, least
	}
	if _, known := f.last[speaker]; !known && len(f.last) >= f.maxSenders {
		all := slices.Sorted(maps.Values(f.last))
		f.floor = max(f.floor, all[len(all)/2])
		maps.DeleteFunc(f.last, func(_ string, no uint64) bool { return no <= f.floor })
		if no <= f.floor {
			return false, f.floor
		}
	}
	f.last[speaker] = no
	return true, no
}
