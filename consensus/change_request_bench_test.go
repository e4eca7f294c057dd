package consensus

import (
	"fmt"
	"testing"
)

// BenchmarkChange measures the cost of evaluating a configuration change after a given number of earlier versions, for
// docs/CAPACITY.md:
//
//	go test -run xxx -bench Change -benchmem ./consensus
func BenchmarkChange(b *testing.B) {
	for _, versions := range []int{1, 100, 1000, 10_000} {
		v := Genesis([]Member{{1, "10.0.0.1:1"}, {2, "10.0.0.2:1"}, {3, "10.0.0.3:1"}, {4, "10.0.0.4:1"}, {5, "10.0.0.5:1"}})
		for i := range versions {
			v, _ = changeRequest(i + 1).Evaluate(v)
		}
		request := changeRequest(versions + 1)
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request.Evaluate(v)
			}
		})
	}
}
