package registry

import (
	"fmt"
	"testing"
)

// The servers that were added last are remembered, and no others.
func TestDepartedIsBounded(t *testing.T) {
	var d Departed
	instance := func(i int) InstanceID { return InstanceID(fmt.Sprint("i-", i)) }
	const added = 2*MaxDeparted + MaxDeparted/2
	for i := range added {
		d.Add(instance(i))
		d.Add(instance(i)) // has no effect
	}
	for i := range added {
		if got, want := d.Contains(instance(i)), i >= added-MaxDeparted; got != want {
			t.Fatalf("server %d of %d is remembered: %v", i, added, got)
		}
	}
	if len(d.known) != MaxDeparted || len(d.order) != MaxDeparted {
		t.Errorf("%d and %d entries, want %d", len(d.known), len(d.order), MaxDeparted)
	}
}
