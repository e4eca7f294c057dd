// Package deadlineheap provides priority queues ordered by deadline, earliest first. The caller chooses the unit of deadlines.
// Entries with equal deadlines are removed in the order of container/heap, which is deterministic but not the insertion order.
package deadlineheap

import "container/heap"

// Heap is a priority queue of values. The zero Heap is empty and ready to use. It must not be used concurrently.
type Heap[T any] struct {
	entries entries[T]
}

// Push inserts a value with its deadline.
func (h *Heap[T]) Push(deadline int64, value T) {
	heap.Push(&h.entries, entry[T]{deadline: deadline, value: value})
}

// Next returns the earliest deadline; ok is false if the heap is empty.
func (h *Heap[T]) Next() (deadline int64, ok bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].deadline, true
}

// Pop removes the value with the earliest deadline and returns it. It panics if the heap is empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.entries).(entry[T]).value }

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.entries) }

type entry[T any] struct {
	deadline int64
	value    T
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int           { return len(e) }
func (e entries[T]) Less(i, j int) bool { return e[i].deadline < e[j].deadline }
func (e entries[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)        { *e = append(*e, x.(entry[T])) }

func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{} // so that the value can be garbage-collected
	*e = old[:len(old)-1]
	return last
}
