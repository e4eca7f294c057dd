// Package deadlineheap orders what is due by its moment.
package deadlineheap

import "container/heap"

// Heap holds entries by moment. The zero Heap is empty. What empties it: Pop.
type Heap[T any] struct{ entries entryHeap[T] }

type entry[T any] struct {
	deadline int64
	value    T
}

type entryHeap[T any] []entry[T]

func (e entryHeap[T]) Len() int           { return len(e) }
func (e entryHeap[T]) Less(i, j int) bool { return e[i].deadline < e[j].deadline }
func (e entryHeap[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entryHeap[T]) Push(x any)        { *e = append(*e, x.(entry[T])) }
func (e *entryHeap[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*e = old[:len(old)-1]
	return last
}

// Push adds an entry.
func (h *Heap[T]) Push(deadline int64, value T) { heap.Push(&h.entries, entry[T]{deadline, value}) }

// Next is the first entry's moment; false = there is none.
func (h *Heap[T]) Next() (int64, bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].deadline, true
}

// Pop takes the first entry out. There must be one.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.entries).(entry[T]).value }

// Len is how many entries there are.
func (h *Heap[T]) Len() int { return len(h.entries) }
