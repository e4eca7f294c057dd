package deadlineheap

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// reference is a handwritten heap for container/heap. The heaps of the package must return elements with equal deadlines in
// the same order.
type reference []*item

type item struct {
	Position
	deadline int64
	value    int
	index    int // position in the reference
}

func (r reference) Len() int           { return len(r) }
func (r reference) Less(i, j int) bool { return r[i].deadline < r[j].deadline }
func (r reference) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

func (r *reference) Push(x any) {
	i := x.(*item)
	i.index = len(*r)
	*r = append(*r, i)
}

func (r *reference) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

func TestEmptyHeap(t *testing.T) {
	var h Heap[string]
	if deadline, ok := h.Next(); ok || h.Len() != 0 {
		t.Errorf("an empty heap has %d entries, the first with deadline %d", h.Len(), deadline)
	}
	var indexed Indexed[*item]
	if first, ok := indexed.First(); ok || indexed.Len() != 0 {
		t.Errorf("an empty heap has %d elements, the first is %v", indexed.Len(), first)
	}
	if deadline, ok := indexed.Next(); ok {
		t.Errorf("the first element of an empty heap has deadline %d", deadline)
	}
}

func TestHeapOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var h Heap[int]
	var want reference
	for step := range 20_000 {
		if h.Len() == 0 || rng.IntN(5) < 3 {
			deadline := int64(rng.IntN(50)) // small range, so that many are equal
			h.Push(deadline, step)
			heap.Push(&want, &item{deadline: deadline, value: step})
			continue
		}
		deadline, ok := h.Next()
		first := heap.Pop(&want).(*item)
		if got := h.Pop(); !ok || deadline != first.deadline || got != first.value {
			t.Fatalf("step %d: value %d due at %d came first, want %d due at %d", step, got, deadline, first.value, first.deadline)
		}
	}
}

func TestIndexedOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var h Indexed[*item]
	var want reference
	for step := range 20_000 {
		switch action := rng.IntN(10); {
		case h.Len() == 0 || action < 5:
			added := &item{deadline: int64(rng.IntN(50)), value: step}
			h.Push(added.deadline, added)
			heap.Push(&want, added)
		case action < 8:
			removed := want[rng.IntN(len(want))]
			h.Remove(removed)
			heap.Remove(&want, removed.index)
		default:
			moved := want[rng.IntN(len(want))]
			moved.deadline = int64(rng.IntN(50))
			h.Reschedule(moved.deadline, moved)
			heap.Fix(&want, moved.index)
		}
		if h.Len() != len(want) {
			t.Fatalf("step %d: the heap has %d elements, want %d", step, h.Len(), len(want))
		}
		if got := slices.Collect(h.All()); !slices.Equal(got, want) {
			t.Fatalf("step %d: the elements differ from the reference's", step)
		}
		first, ok := h.First()
		deadline, _ := h.Next()
		if ok != (len(want) > 0) || ok && (first != want[0] || deadline != first.deadline) {
			t.Fatalf("step %d: the first element is %v, due at %d", step, first, deadline)
		}
	}
}
