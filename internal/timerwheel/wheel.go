// Package timerwheel is a hierarchical timing wheel: many time limits, most of which are cancelled before they come, in a few
// bytes each and without a runtime timer. It owns its entries alone, does no I/O, and is told the time by whoever turns
// it. It is one goroutine's at a time.
//
// Moments are whole ticks of the owner's choosing. Four levels of 64 slots reach 16.7 million ticks ahead; what lies further is
// kept in the last level's furthest slot and placed anew when that comes round.
package timerwheel

import "math/bits"

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	levels        = 4
	horizon       = 1 << (slotBits * levels) // ticks
)

// Handle names an entry until it fires or is cancelled. The zero Handle names none.
type Handle uint64

// entry is one time limit, in a list of its slot. 32 bytes.
type entry struct {
	deadline   int64
	next, prev int32 // in its slot's list, or the free list; -1 = end
	generation uint32
	slot       uint16 // level * slots + slot, or unused
	value      uint32
}

const freeSlot = ^uint16(0)

// Wheel is a timing wheel.
type Wheel struct {
	now       int64 // all up to and with it has fired
	entries   []entry
	free      int32
	slotHeads [levels * slotsPerLevel]int32
	occupied  [levels]uint64 // which slots hold anything
	count     int
}

// New makes a wheel that stands at a moment.
func New(now int64) *Wheel {
	w := &Wheel{now: now, free: -1}
	for i := range w.slotHeads {
		w.slotHeads[i] = -1
	}
	return w
}

// Len is how many entries there are.
func (w *Wheel) Len() int { return w.count }

// Add sets a value to fire at a moment, or at the next tick where that has passed.
func (w *Wheel) Add(at int64, value uint32) Handle {
	i := w.free
	if i >= 0 {
		w.free = w.entries[i].next
	} else {
		i = int32(len(w.entries))
		w.entries = append(w.entries, entry{})
	}
	e := &w.entries[i]
	e.deadline, e.value = max(at, w.now+1), value
	e.generation++
	w.insert(i)
	w.count++
	return Handle(e.generation)<<32 | Handle(i+1)
}

// insert puts an entry into the slot that its distance asks for.
func (w *Wheel) insert(i int32) {
	e := &w.entries[i]
	ahead := min(e.deadline-w.now, horizon-1)
	level := max(bits.Len64(uint64(ahead))-1, 0) / slotBits
	at := w.now + ahead
	slot := int(at>>(slotBits*level)) & (slotsPerLevel - 1)
	n := level*slotsPerLevel + slot
	e.slot, e.prev, e.next = uint16(n), -1, w.slotHeads[n]
	if e.next >= 0 {
		w.entries[e.next].prev = i
	}
	w.slotHeads[n] = i
	w.occupied[level] |= 1 << slot
}

// unlink takes an entry out of its slot.
func (w *Wheel) unlink(i int32) {
	e := &w.entries[i]
	if e.prev >= 0 {
		w.entries[e.prev].next = e.next
	} else if w.slotHeads[e.slot] = e.next; e.next < 0 {
		w.occupied[e.slot/slotsPerLevel] &^= 1 << (e.slot % slotsPerLevel)
	}
	if e.next >= 0 {
		w.entries[e.next].prev = e.prev
	}
}

func (w *Wheel) release(i int32) {
	e := &w.entries[i]
	e.slot, e.next = freeSlot, w.free
	w.free = i
	w.count--
}

// Cancel takes an entry out; false = it has fired, or been cancelled, before.
func (w *Wheel) Cancel(h Handle) bool {
	i := int32(uint32(h)) - 1
	if i < 0 || int(i) >= len(w.entries) || w.entries[i].generation != uint32(h>>32) || w.entries[i].slot == freeSlot {
		return false
	}
	w.unlink(i)
	w.release(i)
	return true
}

// Next is a moment by which Turn should be called: no entry fires before it. false = there is none.
func (w *Wheel) Next() (int64, bool) {
	if w.count == 0 {
		return 0, false
	}
	best, found := int64(0), false
	for level, taken := range w.occupied {
		if taken == 0 {
			continue
		}
		shift := slotBits * level
		at := w.now >> shift
		// The slots from the one behind the present on, in turn; the present one again comes last.
		turned := bits.RotateLeft64(taken, -int((at+1)&(slotsPerLevel-1)))
		next := (at + 1 + int64(bits.TrailingZeros64(turned))) << shift
		if !found || next < best {
			best, found = next, true
		}
	}
	return best, found
}

// Advance turns the wheel to a moment and fires what is due, in the order of its ticks. fire may add and cancel entries.
func (w *Wheel) Advance(now int64, fire func(value uint32)) {
	for w.now < now {
		next, any := w.Next()
		if !any || next > now {
			w.now = now
			return
		}
		w.now = next
		// From the upper levels down: what a slot holds is placed anew, closer.
		for level := levels - 1; level > 0; level-- {
			if next&(1<<(slotBits*level)-1) == 0 {
				n := level*slotsPerLevel + int(next>>(slotBits*level))&(slotsPerLevel-1)
				for i := w.slotHeads[n]; i >= 0; i = w.slotHeads[n] {
					w.unlink(i)
					if w.entries[i].deadline <= next {
						w.insertDue(i)
					} else {
						w.insert(i)
					}
				}
			}
		}
		n := int(next) & (slotsPerLevel - 1)
		for i := w.slotHeads[n]; i >= 0; i = w.slotHeads[n] {
			w.unlink(i)
			value := w.entries[i].value
			w.release(i)
			fire(value)
		}
	}
}

// insertDue puts an entry that an upper slot held for just now where Turn fires it next.
func (w *Wheel) insertDue(i int32) {
	e := &w.entries[i]
	n := int(w.now) & (slotsPerLevel - 1)
	e.slot, e.prev, e.next = uint16(n), -1, w.slotHeads[n]
	if e.next >= 0 {
		w.entries[e.next].prev = i
	}
	w.slotHeads[n] = i
	w.occupied[0] |= 1 << n
}
