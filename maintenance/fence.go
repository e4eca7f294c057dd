package maintenance

import (
	"maps"
	"slices"
)

// Fence tells what was said before from what is new, by numbers that grow with each word of a speaker. It holds the last number of each
// speaker; past most of them the lower half goes, and what it held is refused to everybody, so that nothing passes twice.
type Fence struct {
	most  int
	least uint64 // numbers up to it are refused
	last  map[string]uint64
}

// NewFence refuses all numbers up to least: what was said before the fence stood is not known to be new.
func NewFence(least uint64, most int) *Fence {
	return &Fence{most: most, least: least, last: map[string]uint64{}}
}

// Pass takes a word's number; false = it is not new, and least is the number that the speaker's next must be above.
func (f *Fence) Pass(speaker string, no uint64) (ok bool, least uint64) {
	if least = max(f.least, f.last[speaker]); no <= least {
		return false, least
	}
	if _, known := f.last[speaker]; !known && len(f.last) >= f.most {
		all := slices.Sorted(maps.Values(f.last))
		f.least = max(f.least, all[len(all)/2])
		maps.DeleteFunc(f.last, func(_ string, no uint64) bool { return no <= f.least })
		if no <= f.least {
			return false, f.least
		}
	}
	f.last[speaker] = no
	return true, no
}
