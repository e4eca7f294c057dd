package consensus

import (
	"fmt"
	"testing"
)

// What a change of the configuration costs in the pure part of agreement, by how many versions there were before it, for
// docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./swarm

func BenchmarkChange(b *testing.B) {
	for _, versions := range []int{1, 100, 1000, 10_000} {
		v := Genesis([]Member{{1, "10.0.0.1:1"}, {2, "10.0.0.2:1"}, {3, "10.0.0.3:1"}, {4, "10.0.0.4:1"}, {5, "10.0.0.5:1"}})
		for i := range versions {
			v, _ = ChangeRequest{Version: Version(i + 1), BasedOn: Version(i), Digest: fmt.Sprintf("%032d", i+1)}.Evaluate(v)
		}
		call := ChangeRequest{Version: Version(versions + 1), BasedOn: Version(versions), Digest: fmt.Sprintf("%032d", versions+1)}
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				call.Evaluate(v)
			}
		})
	}
}
