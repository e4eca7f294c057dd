package brain

// Helpers: counts over a span, and chance.

import "math"

// tally counts over the last span, in slots; it empties itself as time goes by.
type tally struct {
	slot, last Time // a slot's length, and the number of the present one
	n          [tallySlots + 1]float64
}

const tallySlots = 16

func newTally(span Time) tally {
	return tally{slot: max(1, (span+tallySlots-1)/tallySlots), last: -never}
}

// at is the slot so many after the present one, once time has passed to now.
func (t *tally) at(now, after Time) *float64 {
	for t.last = max(t.last, now/t.slot-tallySlots-1); t.last < now/t.slot; {
		t.last++
		t.n[(t.last%(tallySlots+1)+tallySlots+1)%(tallySlots+1)] = 0
	}
	return &t.n[((t.last+after)%(tallySlots+1)+tallySlots+1)%(tallySlots+1)]
}

func (t *tally) add(now Time, v float64) { *t.at(now, 0) += v }

// most is the count over the span and up to a slot more; least, over up to a slot less.
func (t *tally) most(now Time) (sum float64) {
	t.at(now, 0)
	for _, v := range t.n {
		sum += v
	}
	return sum
}

func (t *tally) least(now Time) float64 { return t.most(now) - *t.at(now, 1) }

// mwc is a multiply-with-carry generator: the low half is the last number, the high half the carry.
type mwc uint64

const mwcFactor = 4294957665

func newMWC(seed uint64) mwc { return mwc((seed>>32)%(mwcFactor-1)<<32 | seed&math.MaxUint32 | 1) }

func (m *mwc) below(n int) int {
	*m = (*m&math.MaxUint32)*mwcFactor + *m>>32
	return int(uint64(uint32(*m)) * uint64(n) >> 32)
}
