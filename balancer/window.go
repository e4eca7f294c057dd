package balancer

// Helpers: counts over a span, and chance.

import "math"

// windowCounter counts over the last span, in slots; it empties itself as time goes by.
type windowCounter struct {
	slotLength, current Time // a slot's length, and the number of the present one
	counts              [counterSlots + 1]float64
}

const counterSlots = 16

func newWindowCounter(span Time) windowCounter {
	return windowCounter{slotLength: max(1, (span+counterSlots-1)/counterSlots), current: -never}
}

// slotAt is the slot so many after the present one, once time has passed to now.
func (t *windowCounter) slotAt(now, after Time) *float64 {
	for t.current = max(t.current, now/t.slotLength-counterSlots-1); t.current < now/t.slotLength; {
		t.current++
		t.counts[(t.current%(counterSlots+1)+counterSlots+1)%(counterSlots+1)] = 0
	}
	return &t.counts[((t.current+after)%(counterSlots+1)+counterSlots+1)%(counterSlots+1)]
}

func (t *windowCounter) add(now Time, v float64) { *t.slotAt(now, 0) += v }

// upper is the count over the span and up to a slot more; least, over up to a slot less.
func (t *windowCounter) upper(now Time) (sum float64) {
	t.slotAt(now, 0)
	for _, v := range t.counts {
		sum += v
	}
	return sum
}

func (t *windowCounter) lower(now Time) float64 { return t.upper(now) - *t.slotAt(now, 1) }

// mwc is a multiply-with-carry generator: the low half is the last number, the high half the carry.
type mwc uint64

const mwcFactor = 4294957665

func newMWC(seed uint64) mwc { return mwc((seed>>32)%(mwcFactor-1)<<32 | seed&math.MaxUint32 | 1) }

func (m *mwc) intN(n int) int {
	*m = (*m&math.MaxUint32)*mwcFactor + *m>>32
	return int(uint64(uint32(*m)) * uint64(n) >> 32)
}
