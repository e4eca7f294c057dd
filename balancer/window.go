package balancer

// counterSlots is the number of slots of a windowCounter, not counting the current one.
const counterSlots = 16

// windowCounter is a sum over a sliding window, divided into slots. The window is rounded up to a multiple of
// counterSlots.
type windowCounter struct {
	slotLength Time
	current    Time // number of the current slot
	counts     [counterSlots + 1]float64
}

func newWindowCounter(window Time) windowCounter {
	return windowCounter{slotLength: max(1, (window+counterSlots-1)/counterSlots), current: -Never}
}

// slotAt clears the slots that have expired and returns the slot at an offset after the current one.
func (w *windowCounter) slotAt(now, after Time) *float64 {
	const slots = counterSlots + 1
	for w.current = max(w.current, now/w.slotLength-slots); w.current < now/w.slotLength; {
		w.current++
		w.counts[(w.current%slots+slots)%slots] = 0
	}
	return &w.counts[((w.current+after)%slots+slots)%slots]
}

func (w *windowCounter) add(now Time, v float64) { *w.slotAt(now, 0) += v }

// upper returns an upper bound of the sum over the window: the sum over the window and up to one slot more.
func (w *windowCounter) upper(now Time) (sum float64) {
	w.slotAt(now, 0)
	for _, v := range w.counts {
		sum += v
	}
	return sum
}

// lower returns a lower bound of the sum over the window: the sum over the window less up to one slot.
func (w *windowCounter) lower(now Time) float64 { return w.upper(now) - *w.slotAt(now, 1) }
