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

// reference pairs a wheel with a map of the entries that it must hold.
type reference struct {
	wheel   *Wheel
	now     int64
	entries map[uint32]referenceEntry // by value
	added   uint32
}

type referenceEntry struct {
	deadline int64
	handle   Handle
}

func (r *reference) add(t *rapid.T) {
	for range rapid.IntRange(1, 5).Draw(t, "adds") {
		ahead := rapid.OneOf(rapid.Int64Range(-3, 70), rapid.Int64Range(0, 5000), rapid.Int64Range(0, 3*horizon)).Draw(t, "ahead")
		r.added++
		deadline := r.now + ahead
		r.entries[r.added] = referenceEntry{max(deadline, r.now+1), r.wheel.Add(deadline, r.added)}
	}
}

func (r *reference) cancelSome(t *rapid.T) {
	for value, e := range r.entries {
		if value%3 == uint32(r.now)%3 {
			if !r.wheel.Cancel(e.handle) || r.wheel.Cancel(e.handle) {
				t.Fatalf("entry %d was not cancelled exactly once", value)
			}
			delete(r.entries, value)
		}
	}
}

func (r *reference) advance(t *rapid.T) {
	to := r.now + rapid.OneOf(rapid.Int64Range(0, 10), rapid.Int64Range(0, 5000), rapid.Int64Range(0, 2*horizon)).Draw(t, "advance")
	last := int64(0)
	r.wheel.Advance(to, func(value uint32) {
		e, ok := r.entries[value]
		if !ok || e.deadline > to || e.deadline < last || e.deadline != r.wheel.now {
			t.Fatalf("entry %d due at %d fired at %d, after one due at %d; entry exists: %t", value, e.deadline, r.wheel.now, last, ok)
		}
		last = e.deadline
		delete(r.entries, value)
	})
	r.now = to
	for value, e := range r.entries {
		if e.deadline <= r.now {
			t.Fatalf("entry %d due at %d has not fired by %d", value, e.deadline, r.now)
		}
	}
}

func (r *reference) check(t *rapid.T) {
	if r.wheel.Len() != len(r.entries) {
		t.Fatalf("%d entries, want %d", r.wheel.Len(), len(r.entries))
	}
	next, ok := r.wheel.Next()
	if ok != (len(r.entries) > 0) {
		t.Fatalf("Next returns ok = %t with %d entries", ok, len(r.entries))
	}
	for value, e := range r.entries {
		if e.deadline < next {
			t.Fatalf("entry %d is due at %d, before the next tick %d", value, e.deadline, next)
		}
	}
}

// Every entry fires exactly once, at its deadline. Cancelled entries do not fire.
func TestWheelMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 1<<30).Draw(t, "start")
		r := &reference{wheel: New(now), now: now, entries: map[uint32]referenceEntry{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				r.add(t)
			case 1:
				r.cancelSome(t)
			case 2:
				r.advance(t)
			}
			r.check(t)
		}
	})
}

func TestStaleHandle(t *testing.T) {
	w := New(0)
	stale := w.Add(5, 1)
	w.Advance(5, func(uint32) {})
	w.Add(9, 2)
	if w.Cancel(stale) || w.Len() != 1 || w.Cancel(0) {
		t.Error("a stale or zero handle cancelled another entry")
	}
	var fired []uint32
	w.Advance(20, func(value uint32) {
		fired = append(fired, value)
		if value == 2 {
			w.Add(1, 3) // in the past: fires at the next tick
		}
	})
	if !slices.Equal(fired, []uint32{2, 3}) {
		t.Errorf("fired %v, want 2 and 3", fired)
	}
}

const (
	benchmarkTimeout = 3000 // ticks
	benchmarkSpread  = 1000 // ticks over which the first deadlines are spread
	resetsPerTick    = 64
)

// BenchmarkLimits measures the timer work of an active connection: its timeout is cancelled and set again, and time advances.
//
//	go test -run xxx -bench Limits -benchmem ./internal/timerwheel
func BenchmarkLimits(b *testing.B) {
	for _, n := range []int{1000, 20_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d/wheel", n), func(b *testing.B) { benchmarkWheel(b, n) })
		b.Run(fmt.Sprintf("entries=%d/heap", n), func(b *testing.B) { benchmarkHeap(b, n) })
		b.Run(fmt.Sprintf("entries=%d/runtime", n), func(b *testing.B) { benchmarkRuntimeTimers(b, n) })
	}
}

func benchmarkWheel(b *testing.B, n int) {
	before := heapBytes()
	w := New(0)
	handles := make([]Handle, n)
	for i := range handles {
		handles[i] = w.Add(int64(benchmarkTimeout+i%benchmarkSpread), uint32(i))
	}
	bytes := heapBytes() - before
	now, i := int64(0), 0
	for b.Loop() {
		w.Cancel(handles[i])
		handles[i] = w.Add(now+benchmarkTimeout, uint32(i))
		if i++; i == n {
			i = 0
		}
		if i%resetsPerTick == 0 {
			now++
			w.Advance(now, func(value uint32) { handles[value] = w.Add(now+benchmarkTimeout, value) })
		}
	}
	b.ReportMetric(float64(bytes)/float64(n), "B/entry")
	runtime.KeepAlive(w)
}

// heapEntry is a timeout in a deadlineheap.
type heapEntry struct{ deadlineheap.Position }

func benchmarkHeap(b *testing.B, n int) {
	before := heapBytes()
	var h deadlineheap.Indexed[*heapEntry]
	entries := make([]*heapEntry, n)
	for i := range entries {
		entries[i] = &heapEntry{}
		h.Push(int64(benchmarkTimeout+i%benchmarkSpread), entries[i])
	}
	bytes := heapBytes() - before
	now, i := int64(0), 0
	for b.Loop() {
		h.Remove(entries[i])
		h.Push(now+benchmarkTimeout, entries[i])
		if i++; i == n {
			i = 0
		}
		if i%resetsPerTick == 0 {
			now++
			for {
				deadline, _ := h.Next()
				if deadline > now {
					break
				}
				first, _ := h.First()
				h.Reschedule(now+benchmarkTimeout, first)
			}
		}
	}
	b.ReportMetric(float64(bytes)/float64(n), "B/entry")
	runtime.KeepAlive(&h)
}

func benchmarkRuntimeTimers(b *testing.B, n int) {
	before := heapBytes()
	timers := make([]*time.Timer, n)
	for i := range timers {
		timers[i] = time.AfterFunc(time.Hour, func() {})
	}
	bytes := heapBytes() - before
	i := 0
	for b.Loop() {
		timers[i].Stop()
		timers[i].Reset(time.Hour)
		if i++; i == n {
			i = 0
		}
	}
	b.ReportMetric(float64(bytes)/float64(n), "B/entry")
	for _, t := range timers {
		t.Stop()
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
