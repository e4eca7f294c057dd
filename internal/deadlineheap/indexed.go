package deadlineheap

import (
	"container/heap"
	"iter"
)

// Element is the constraint for the elements of an Indexed heap: a pointer to a struct that embeds Position.
type Element interface {
	position() *Position
}

// Position is embedded in the elements of an Indexed heap and records an element's position in it. An element can be in only
// one heap at a time.
type Position struct {
	index    int
	deadline int64
	element  any // the element that embeds this Position; nil outside a heap
}

func (p *Position) position() *Position { return p }

// Indexed is a priority queue whose elements can be removed or rescheduled at any position. The zero Indexed is empty and ready
// to use. It must not be used concurrently.
type Indexed[E Element] struct {
	positions positions
}

// Push inserts an element with its deadline.
func (h *Indexed[E]) Push(deadline int64, element E) {
	p := element.position()
	p.deadline, p.element = deadline, element
	heap.Push(&h.positions, p)
}

// Next returns the earliest deadline; ok is false if the heap is empty.
func (h *Indexed[E]) Next() (deadline int64, ok bool) {
	if len(h.positions) == 0 {
		return 0, false
	}
	return h.positions[0].deadline, true
}

// First returns the element with the earliest deadline; ok is false if the heap is empty.
func (h *Indexed[E]) First() (element E, ok bool) {
	if len(h.positions) == 0 {
		return element, false
	}
	return h.positions[0].element.(E), true
}

// Remove removes an element, which must be in the heap.
func (h *Indexed[E]) Remove(element E) {
	p := element.position()
	heap.Remove(&h.positions, p.index)
	p.element = nil
}

// Reschedule changes the deadline of an element, which must be in the heap.
func (h *Indexed[E]) Reschedule(deadline int64, element E) {
	p := element.position()
	p.deadline = deadline
	heap.Fix(&h.positions, p.index)
}

// Len returns the number of elements.
func (h *Indexed[E]) Len() int { return len(h.positions) }

// All iterates over the elements in heap order: the first has the earliest deadline, the others are only partly sorted. The heap
// must not be changed during the iteration.
func (h *Indexed[E]) All() iter.Seq[E] {
	return func(yield func(E) bool) {
		for _, p := range h.positions {
			if !yield(p.element.(E)) {
				return
			}
		}
	}
}

// positions implements heap.Interface. It is not generic, so that comparisons and swaps cost no more than in a heap implemented
// for a single type.
type positions []*Position

func (p positions) Len() int           { return len(p) }
func (p positions) Less(i, j int) bool { return p[i].deadline < p[j].deadline }

func (p positions) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index, p[j].index = i, j
}

func (p *positions) Push(x any) {
	position := x.(*Position)
	position.index = len(*p)
	*p = append(*p, position)
}

func (p *positions) Pop() any {
	old := *p
	last := old[len(old)-1]
	old[len(old)-1] = nil // so that the element can be garbage-collected
	*p = old[:len(old)-1]
	return last
}
