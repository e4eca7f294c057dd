package lease

import (
	"fmt"
	"testing"
	"time"

	"oxbowspan/rendezvous"
)

// BenchmarkSetMembers measures the cost of an unchanged membership by its size, for docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./lease
func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3300} {
		var members []rendezvous.Name
		for i := range n {
			members = append(members, rendezvous.Name(fmt.Sprintf("gateway-%d", i)))
		}
		b.Run(fmt.Sprintf("gateways=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			tracker := NewTracker(members[0])
			for b.Loop() {
				tracker.SetMembers(members, time.Second)
			}
		})
	}
}
