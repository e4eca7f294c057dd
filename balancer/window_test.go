package balancer

import (
	"testing"

	"pgregory.net/rapid"
)

// The bounds of a windowCounter must hold for events at any times.
func TestWindowCounterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := counterSlots * Time(rapid.IntRange(1, 400).Draw(t, "slot length"))
		counter, now := newWindowCounter(window), Time(1000000)
		var events []Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += Time(rapid.IntRange(0, int(window)).Draw(t, "gap"))
			counter.add(now, 1)
			events = append(events, now)
			within := 0.0
			for _, at := range events {
				if at > now-window {
					within++
				}
			}
			if upper, lower := counter.upper(now), counter.lower(now); upper < within || lower > within {
				t.Fatalf("%v events within %d, bounds %v to %v", within, window, lower, upper)
			}
		}
		if left := counter.upper(now + 2*window + counterSlots); left != 0 {
			t.Errorf("%v left after two windows", left)
		}
	})
}

func TestRandomNumbers(t *testing.T) {
	const n, draws = 10, 10000
	random := newMWC(7)
	counts := make([]int, n)
	for range draws {
		counts[random.intN(n)]++
	}
	for i, count := range counts {
		if count < draws/n*8/10 || count > draws/n*12/10 {
			t.Errorf("%d drawn %d times of %d", i, count, draws)
		}
	}
	if a, b := newMWC(1), newMWC(2); a.intN(1<<30) == b.intN(1<<30) {
		t.Error("two seeds generate the same number")
	}
}
