package outlier

import (
	"fmt"
	"testing"
	"time"
)

// These benchmarks measure the cost of outlier detection at a gateway by number of servers and observations, for docs/CAPACITY.md:
//
//	go test -run xxx -bench Detector -benchmem ./outlier

const benchPeers = 3299 // number of other gateways

func benchServers(count int) map[Instance]Shard {
	servers := map[Instance]Shard{}
	for i := range count {
		servers[Instance(fmt.Sprint("i-", i))] = Shard(fmt.Sprint("service-", i/72))
	}
	return servers
}

func BenchmarkDetector(b *testing.B) {
	for _, count := range []int{1000, 10_000, 96_000} {
		servers := benchServers(count)
		detector := NewDetector(1)
		detector.SetServers(servers, benchPeers)
		b.Run(fmt.Sprintf("SetServers/servers=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				detector.SetServers(servers, benchPeers)
			}
		})
		now, sequence := time.Hour, uint32(0)
		b.Run(fmt.Sprintf("Receive/servers=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				detector.Receive(Observation{
					Server:     Instance(fmt.Sprint("i-", sequence%10)),
					Observer:   Observer(2 + sequence%400),
					Sequence:   sequence,
					Kind:       ObservedSlow,
					Ratio:      4,
					Responses:  5,
					ObservedAt: now,
				}, now)
			}
		})
		b.Run(fmt.Sprintf("Advance/servers=%d,active=10,observations=400", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				detector.Advance(now)
			}
		})
	}
}

// BenchmarkDetectorMemory measures the bytes that a detector allocates for its servers.
func BenchmarkDetectorMemory(b *testing.B) {
	for _, count := range []int{1000, 10_000, 96_000} {
		servers := benchServers(count)
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewDetector(1).SetServers(servers, benchPeers)
			}
		})
	}
}
