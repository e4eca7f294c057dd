package merge

import (
	"container/heap"
	"fmt"
	"runtime"
	"sort"
	"testing"
)

// The benchmarks compare the loser tree with a binary heap of runs and with sorting all rows, at the sizes listed in
// docs/measured/merging.md:
//
//	go test -run xxx -bench Merge -benchmem ./merge

// benchRuns returns one sorted run per segment. Each run has as many rows as the page, with sort keys of typical length.
func benchRuns(segments, page int) [][]Row {
	x := uint64(42)
	runs := make([][]Row, segments)
	for i := range runs {
		for range page {
			x = x*6364136223846793005 + 1442695040888963407
			runs[i] = append(runs[i], Row{key: fmt.Sprintf("\x00%012d\x00\x00a-%06d\x00\x00%04d", x>>40, x>>44%1_000_000, i), segment: Segment(i)})
		}
		sort.Slice(runs[i], func(a, b int) bool { return runs[i][a].key < runs[i][b].key })
	}
	return runs
}

func mergeByTree(runs [][]Row, n int) (out []Row) {
	t := newLoserTree(runs)
	for len(out) < n {
		r, ok := t.next()
		if !ok {
			break
		}
		out = append(out, r)
	}
	return out
}

// runHeap is a binary heap of runs, ordered by their first rows, for container/heap.
type runHeap [][]Row

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(a, b int) bool { return h[a][0].key < h[b][0].key }
func (h runHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.([]Row)) }
func (h *runHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func mergeByHeap(runs [][]Row, n int) (out []Row) {
	h := runHeap{}
	for _, r := range runs {
		if len(r) > 0 {
			h = append(h, r)
		}
	}
	heap.Init(&h)
	for len(out) < n && len(h) > 0 {
		out = append(out, h[0][0])
		if h[0] = h[0][1:]; len(h[0]) == 0 {
			heap.Pop(&h)
		} else {
			heap.Fix(&h, 0)
		}
	}
	return out
}

func mergeBySort(runs [][]Row, n int) []Row {
	var all []Row
	for _, r := range runs {
		all = append(all, r...)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].key < all[b].key })
	return all[:min(n, len(all))]
}

var mergeMethods = []struct {
	name  string
	merge func([][]Row, int) []Row
}{{"tree", mergeByTree}, {"heap", mergeByHeap}, {"sort", mergeBySort}}

func TestMergeMethodsAgree(t *testing.T) {
	for _, segments := range []int{0, 1, 2, 3, 8, 13, 64} {
		for _, page := range []int{0, 1, 7} {
			runs := benchRuns(segments, page)
			want := fmt.Sprint(mergeBySort(runs, segments*page))
			for _, method := range mergeMethods {
				if got := fmt.Sprint(method.merge(append([][]Row(nil), runs...), segments*page)); got != want {
					t.Errorf("%s of %d runs of %d rows:\n%s\nwant\n%s", method.name, segments, page, got, want)
				}
			}
		}
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, page := range []int{50, 1000} {
		for _, segments := range []int{8, 64, 512} {
			runs := benchRuns(segments, page)
			for _, method := range mergeMethods {
				b.Run(fmt.Sprintf("page=%d/segments=%d/%s", page, segments, method.name), func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						method.merge(append([][]Row(nil), runs...), page)
					}
					b.ReportMetric(float64(page)*float64(b.N)/b.Elapsed().Seconds(), "rows/s")
					b.ReportMetric(float64(peakMemory(func() { method.merge(append([][]Row(nil), runs...), page) })), "peak-B")
				})
			}
		}
	}
}

// peakMemory returns the number of bytes that a call allocates. It equals the peak memory of a call that retains all
// allocations until it returns.
func peakMemory(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func BenchmarkRead(b *testing.B) {
	s := &Schema{Name: "arrears/1", Row: -1, Digits: 18}
	for _, text := range []string{"account:text", "customer:text", "due:date", "amount:money", "bills:int+"} {
		c, err := ParseColumn(text)
		if err != nil {
			b.Fatal(err)
		}
		s.Columns = append(s.Columns, c)
	}
	a := &Policy{Schema: s, Kinds: []string{Ranked}, Orders: []string{"due"}, MaxRows: 1000, MaxResponseBytes: 1 << 20, MaxResultBytes: 1 << 20}
	q, err := a.NewQuery(Request{Kind: Ranked, Order: []string{"due"}, Limit: 1000}, []SegmentWeight{{0, 1}}, false, Paging{})
	if err != nil {
		b.Fatal(err)
	}
	const n = 800
	value := fmt.Sprintf("{\"schema\":\"arrears/1\",\"as_of\":7,\"rows\":%d}\n", n)
	for i := range n {
		value += fmt.Sprintf("[\"a-%06d\",\"c-07\",\"2026-%02d-01\",\"120.50\",3]\n", i, 1+i*12/n)
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		if _, err := q.ReadResponse(0, value); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(n*float64(b.N)/b.Elapsed().Seconds(), "rows/s")
}
