package kin

import (
	"fmt"
	"testing"
)

// Shares never add up to more than the whole, while the whole is enough for one each.
func TestSharesKeepWithinTheWhole(t *testing.T) {
	for _, limit := range []int{0, 68, 72, 280, 400} {
		for fleet := 1; fleet <= 90; fleet++ {
			if n := Share(limit, fleet); limit >= fleet && n*fleet > limit || limit > 0 && n < 1 || limit == 0 && n != 0 {
				t.Fatalf("%d gatherers get %d of %d each", fleet, n, limit)
			}
		}
	}
}

// One that goes changes only the few of those that watched it.
func TestOneThatGoesMovesLittle(t *testing.T) {
	var all []Name
	for i := range 90 {
		all = append(all, Name(fmt.Sprint("g", i)))
	}
	for _, self := range all[1:] {
		before, after := Watched(self, all, Few), Watched(self, all[1:], Few)
		kept := 0
		for _, n := range after {
			for _, o := range before {
				if n == o {
					kept++
				}
			}
		}
		if kept < Few-1 || len(after) != Few {
			t.Fatalf("%s watches %v, then %v", self, before, after)
		}
	}
}
