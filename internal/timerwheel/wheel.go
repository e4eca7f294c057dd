// Package timerwheel provides a hierarchical timing wheel for many timeouts of which most are cancelled before they expire. An
// entry uses 32 bytes and no runtime timer. A Wheel does no I/O, reads no clock and must not be used concurrently: its owner
// advances it.
//
// Times are whole ticks, whose length the owner chooses. Four levels of 64 slots cover 16.7 million ticks. Entries beyond that
// are kept in the farthest slot of the last level and inserted again when that slot is reached.
package timerwheel

import "math/bits"

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	levels        = 4
	horizon       = 1 << (slotBits * levels) // number of ticks that the levels cover
)

// Handle identifies an entry until it fires or is cancelled. The zero Handle identifies no entry.
type Handle uint64

// entry is a timeout, an element of the doubly linked list of its slot. Its size is 32 bytes.
type entry struct {
	deadline   int64
	next, prev int32  // indexes of the adjacent entries in the slot's list or the free list; noEntry at its ends
	generation uint32 // number of uses of this index, so that earlier handles do not match
	slot       uint16 // index in Wheel.slotHeads, or freeSlot
	value      uint32
}

const (
	noEntry  = int32(-1)
	freeSlot = ^uint16(0)
)

// Wheel is a hierarchical timing wheel.
type Wheel struct {
	now       int64 // current tick: all entries due by it have fired
	entries   []entry
	freeHead  int32 // head of the free list
	slotHeads [levels * slotsPerLevel]int32
	occupied  [levels]uint64 // bit set of the non-empty slots of each level
	count     int
}

// New returns an empty wheel whose current tick is now.
func New(now int64) *Wheel {
	w := &Wheel{now: now, freeHead: noEntry}
	for i := range w.slotHeads {
		w.slotHeads[i] = noEntry
	}
	return w
}

// Len returns the number of entries.
func (w *Wheel) Len() int { return w.count }

// Add inserts an entry that fires with a value at a deadline, or at the next tick if the deadline has passed.
func (w *Wheel) Add(deadline int64, value uint32) Handle {
	i := w.freeHead
	if i >= 0 {
		w.freeHead = w.entries[i].next
	} else {
		i = int32(len(w.entries))
		w.entries = append(w.entries, entry{})
	}
	e := &w.entries[i]
	e.deadline, e.value = max(deadline, w.now+1), value
	e.generation++
	w.insert(i)
	w.count++
	return Handle(e.generation)<<32 | Handle(i+1)
}

// Cancel removes an entry. It returns false if the entry has already fired or been cancelled.
func (w *Wheel) Cancel(h Handle) bool {
	i := int32(uint32(h)) - 1
	if i < 0 || int(i) >= len(w.entries) {
		return false
	}
	if e := &w.entries[i]; e.generation != uint32(h>>32) || e.slot == freeSlot {
		return false
	}
	w.unlink(i)
	w.release(i)
	return true
}

// insert inserts an entry into the slot for the time left to its deadline.
func (w *Wheel) insert(i int32) {
	distance := min(w.entries[i].deadline-w.now, horizon-1)
	level := max(bits.Len64(uint64(distance))-1, 0) / slotBits
	w.pushFront(i, level, slotOf(w.now+distance, level))
}

// slotOf returns the slot of a tick in a level.
func slotOf(tick int64, level int) int { return int(tick>>(slotBits*level)) & (slotsPerLevel - 1) }

// pushFront inserts an entry at the head of a slot's list.
func (w *Wheel) pushFront(i int32, level, slot int) {
	n := level*slotsPerLevel + slot
	e := &w.entries[i]
	e.slot, e.prev, e.next = uint16(n), noEntry, w.slotHeads[n]
	if e.next >= 0 {
		w.entries[e.next].prev = i
	}
	w.slotHeads[n] = i
	w.occupied[level] |= 1 << slot
}

// unlink removes an entry from its slot's list.
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

// release inserts an unlinked entry into the free list.
func (w *Wheel) release(i int32) {
	e := &w.entries[i]
	e.slot, e.next = freeSlot, w.freeHead
	w.freeHead = i
	w.count--
}

// Next returns a tick before which no entry fires, so that Advance need not be called before it. ok is false if the wheel is
// empty.
func (w *Wheel) Next() (tick int64, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	for level, occupied := range w.occupied {
		if occupied == 0 {
			continue
		}
		shift := slotBits * level
		current := w.now >> shift
		// After the rotation, bit 0 is the slot after the current one, and the current one is the last bit.
		rotated := bits.RotateLeft64(occupied, -int((current+1)&(slotsPerLevel-1)))
		next := (current + 1 + int64(bits.TrailingZeros64(rotated))) << shift
		if !ok || next < tick {
			tick, ok = next, true
		}
	}
	return tick, ok
}

// Advance advances the wheel to a tick and fires the entries that are due, in order of their deadlines. fire may add and
// cancel entries.
func (w *Wheel) Advance(now int64, fire func(value uint32)) {
	for w.now < now {
		next, ok := w.Next()
		if !ok || next > now {
			w.now = now
			return
		}
		w.now = next
		for level := levels - 1; level > 0; level-- {
			if next&(1<<(slotBits*level)-1) == 0 { // the level advances to a new slot
				w.cascade(level)
			}
		}
		n := slotOf(next, 0)
		for i := w.slotHeads[n]; i >= 0; i = w.slotHeads[n] {
			w.unlink(i)
			value := w.entries[i].value
			w.release(i)
			fire(value)
		}
	}
}

// cascade moves the entries of a level's current slot to lower levels. Entries that are due now move to the slot that
// Advance fires next.
func (w *Wheel) cascade(level int) {
	n := level*slotsPerLevel + slotOf(w.now, level)
	for i := w.slotHeads[n]; i >= 0; i = w.slotHeads[n] {
		w.unlink(i)
		if w.entries[i].deadline <= w.now {
			w.pushFront(i, 0, slotOf(w.now, 0))
		} else {
			w.insert(i)
		}
	}
}
