package timerwheel

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oxbowspan/internal/deadlineheap"
)

// The wheel against a plain list: every entry fires at its tick, once, and none that was cancelled.
func TestWheelMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 1<<30).Draw(t, "start")
		w := New(now)
		type limit struct {
			at int64
			h  Handle
		}
		open := map[uint32]limit{}
		next := uint32(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				for range rapid.IntRange(1, 5).Draw(t, "adds") {
					at := now + rapid.OneOf(rapid.Int64Range(-3, 70), rapid.Int64Range(0, 5000), rapid.Int64Range(0, 3*horizon)).Draw(t, "ahead")
					next++
					open[next] = limit{max(at, now+1), w.Add(at, next)}
				}
			case 1:
				for v, l := range open {
					if v%3 == uint32(now)%3 {
						if !w.Cancel(l.h) || w.Cancel(l.h) {
							t.Fatalf("entry %d is not cancelled once", v)
						}
						delete(open, v)
					}
				}
			case 2:
				to := now + rapid.OneOf(rapid.Int64Range(0, 10), rapid.Int64Range(0, 5000), rapid.Int64Range(0, 2*horizon)).Draw(t, "turn")
				last := int64(0)
				w.Advance(to, func(v uint32) {
					l, ok := open[v]
					if !ok || l.at > to || l.at < last || l.at != w.now {
						t.Fatalf("entry %d for %d fires at %d, behind %d, known %t", v, l.at, w.now, last, ok)
					}
					last = l.at
					delete(open, v)
				})
				now = to
				for v, l := range open {
					if l.at <= now {
						t.Fatalf("entry %d for %d has not fired by %d", v, l.at, now)
					}
				}
			}
			if w.Len() != len(open) {
				t.Fatalf("%d entries, want %d", w.Len(), len(open))
			}
			first, any := w.Next()
			if any != (len(open) > 0) {
				t.Fatalf("next is %t with %d entries", any, len(open))
			}
			for v, l := range open {
				if l.at < first {
					t.Fatalf("entry %d fires at %d, before the next moment %d", v, l.at, first)
				}
			}
		}
	})
}

func TestStaleHandle(t *testing.T) {
	w := New(0)
	old := w.Add(5, 1)
	w.Advance(5, func(uint32) {})
	w.Add(9, 2)
	if w.Cancel(old) || w.Len() != 1 || w.Cancel(0) {
		t.Error("a handle that is over cancels another entry")
	}
	var fired []uint32
	w.Advance(20, func(v uint32) {
		fired = append(fired, v)
		if v == 2 {
			w.Add(1, 3) // in the past: at the next tick
		}
	})
	if !slices.Equal(fired, []uint32{2, 3}) {
		t.Errorf("fired %v", fired)
	}
}

// heapEntry is an entry of the heap that the benchmark compares the wheel with.
type heapEntry struct {
	deadlineheap.Position
	value uint32
}

// One operation is what an idle connection causes: its limit is cancelled and set anew, and the clock moves on.
//
//	go test -run xxx -bench Limits -benchmem ./internal/timerwheel
func BenchmarkLimits(b *testing.B) {
	for _, n := range []int{1000, 20_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d/wheel", n), func(b *testing.B) {
			before := heapBytes()
			w := New(0)
			hs := make([]Handle, n)
			for i := range hs {
				hs[i] = w.Add(int64(3000+i%1000), uint32(i))
			}
			bytes := heapBytes() - before
			now, i := int64(0), 0
			for b.Loop() {
				w.Cancel(hs[i])
				hs[i] = w.Add(now+3000, uint32(i))
				if i++; i == n {
					i = 0
				}
				if i%64 == 0 {
					now++
					w.Advance(now, func(v uint32) { hs[v] = w.Add(now+3000, v) })
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/entry")
			runtime.KeepAlive(w)
		})
		b.Run(fmt.Sprintf("entries=%d/heap", n), func(b *testing.B) {
			before := heapBytes()
			var h deadlineheap.Indexed[*heapEntry]
			es := make([]*heapEntry, n)
			for i := range es {
				es[i] = &heapEntry{value: uint32(i)}
				h.Push(int64(3000+i%1000), es[i])
			}
			bytes := heapBytes() - before
			now, i := int64(0), 0
			for b.Loop() {
				h.Remove(es[i])
				h.Push(now+3000, es[i])
				if i++; i == n {
					i = 0
				}
				if i%64 == 0 {
					now++
					for next, _ := h.Next(); next <= now; next, _ = h.Next() {
						first, _ := h.First()
						h.Reschedule(now+3000, first)
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/entry")
			runtime.KeepAlive(&h)
		})
		b.Run(fmt.Sprintf("entries=%d/runtime", n), func(b *testing.B) {
			before := heapBytes()
			ts := make([]*time.Timer, n)
			for i := range ts {
				ts[i] = time.AfterFunc(time.Hour, func() {})
			}
			bytes := heapBytes() - before
			i := 0
			for b.Loop() {
				ts[i].Stop()
				ts[i].Reset(time.Hour)
				if i++; i == n {
					i = 0
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/entry")
			for _, t := range ts {
				t.Stop()
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
