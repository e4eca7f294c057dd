package quota

import (
	"fmt"
	"testing"
	"time"
)

// Benchmarks of the limiter and the allocator by the number of servers and gateways, for docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./quota

// BenchmarkLimiterSetServer sets all servers, as a gateway does when it receives its first server list and when the
// number of gateways changes.
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

// BenchmarkAllocator measures one request of a gateway when all gateways have grants.
func BenchmarkAllocator(b *testing.B) {
	for _, gateways := range []int{30, 300, 3300} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			allocator := NewAllocator()
			demands := []Demand{
				{Tenant: "a", Connections: 2, Weight: 1},
				{Tenant: "b", Connections: 1, Weight: 2},
				{Tenant: "c", Connections: 0.5, Weight: 1},
			}
			for incarnation := range gateways {
				allocator.RequestGrant(uint64(incarnation), demands, 0, 1000, time.Second)
			}
			b.ReportAllocs()
			incarnation := uint64(0)
			for b.Loop() {
				incarnation++
				allocator.RequestGrant(incarnation%uint64(gateways), demands, 1, 1000, time.Second)
			}
		})
	}
}
