package deadlineheap

import "container/heap"

// Element is what an Indexed heap holds: a pointer to a struct that embeds Position.
type Element interface {
	// DueAt returns the deadline. If it changes while the element is in a heap, Fix must be called before anything else.
	DueAt() int64

	position() *int
}

// Position is embedded in elements of an Indexed heap, which keeps the element's place in it. An element can be in one heap at
// a time.
type Position struct{ index int }

func (p *Position) position() *int { return &p.index }

// Indexed is a queue of elements that can be removed or moved at any place. The zero Indexed is empty and ready to use. It
// must not be used concurrently.
type Indexed[E Element] struct {
	elements elements[E]
}

// Push adds an element.
func (h *Indexed[E]) Push(element E) { heap.Push(&h.elements, element) }

// First returns the element with the earliest deadline; ok is false if the heap is empty.
func (h *Indexed[E]) First() (element E, ok bool) {
	if len(h.elements) == 0 {
		return element, false
	}
	return h.elements[0], true
}

// Remove removes an element, which must be in the heap.
func (h *Indexed[E]) Remove(element E) { heap.Remove(&h.elements, *element.position()) }

// Fix restores the order after the deadline of an element has changed.
func (h *Indexed[E]) Fix(element E) { heap.Fix(&h.elements, *element.position()) }

// Len returns the number of elements.
func (h *Indexed[E]) Len() int { return len(h.elements) }

// Elements returns the elements in the order of the heap: the first has the earliest deadline, the rest are sorted in part.
// The slice is the heap's own. It must not be changed and is valid until the heap is.
func (h *Indexed[E]) Elements() []E { return h.elements }

// elements implements heap.Interface.
type elements[E Element] []E

func (e elements[E]) Len() int           { return len(e) }
func (e elements[E]) Less(i, j int) bool { return e[i].DueAt() < e[j].DueAt() }

func (e elements[E]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	*e[i].position(), *e[j].position() = i, j
}

func (e *elements[E]) Push(x any) {
	element := x.(E)
	*element.position() = len(*e)
	*e = append(*e, element)
}

func (e *elements[E]) Pop() any {
	old := *e
	last := old[len(old)-1]
	var none E
	old[len(old)-1] = none // so that the element can be collected
	*e = old[:len(old)-1]
	return last
}
