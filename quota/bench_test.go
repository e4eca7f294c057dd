package quota

import (
	"fmt"
	"testing"
	"time"
)

// What fair shares of connections cost, by number of servers and of gatherers, for docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./pollen

// BenchmarkLimiterSetServer puts a whole list of servers in place, as a gatherer's first list and each change of the number of
// gatherers do.
func BenchmarkLimiterSetServer(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				limiter := NewLimiter(1)
				for i := range servers {
					limiter.SetServer(ServerID(i), Service(fmt.Sprint("service-", i/72)), 2, 250)
				}
			}
		})
	}
}

func BenchmarkAllocator(b *testing.B) {
	for _, gateways := range []int{30, 300, 3300} {
		b.Run(fmt.Sprintf("asked by one of/gatherers=%d", gateways), func(b *testing.B) {
			allocator := NewAllocator()
			demands := []Demand{{"a", 2, 1}, {"b", 1, 2}, {"c", 0.5, 1}}
			for incarnation := range gateways {
				allocator.Request(uint64(incarnation), demands, 0, 1000, time.Second)
			}
			b.ReportAllocs()
			incarnation := uint64(0)
			for b.Loop() {
				incarnation++
				allocator.Request(incarnation%uint64(gateways), demands, 1, 1000, time.Second)
			}
		})
	}
}
