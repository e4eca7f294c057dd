// Package alarm orders what is due by its moment.
package alarm

import "container/heap"

// Heap holds entries by moment. The zero Heap is empty. What empties it: Pop.
type Heap[T any] struct{ h entries[T] }

type entry[T any] struct {
	at int64
	v  T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int           { return len(e) }
func (e entries[T]) Less(i, j int) bool { return e[i].at < e[j].at }
func (e entries[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)        { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*e = old[:len(old)-1]
	return last
}

// Push adds an entry.
func (h *Heap[T]) Push(at int64, v T) { heap.Push(&h.h, entry[T]{at, v}) }

// Next is the first entry's moment; false = there is none.
func (h *Heap[T]) Next() (int64, bool) {
	if len(h.h) == 0 {
		return 0, false
	}
	return h.h[0].at, true
}

// Pop takes the first entry out. There must be one.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.h).(entry[T]).v }

// Len is how many entries there are.
func (h *Heap[T]) Len() int { return len(h.h) }
