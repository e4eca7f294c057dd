package outlier

import (
	"fmt"
	"testing"
	"time"
)

// What the judgement of replicas costs a gatherer, by number of servers and of words, for docs/CAPACITY.md:
//
//	go test -run xxx -bench Board -benchmem ./scout

func benchServers(servers int) map[Instance]Shard {
	all := map[Instance]Shard{}
	for i := range servers {
		all[Instance(fmt.Sprint("i-", i))] = Shard(fmt.Sprint("service-", i/72))
	}
	return all
}

func BenchmarkDetector(b *testing.B) {
	for _, servers := range []int{1000, 10_000, 96_000} {
		all := benchServers(servers)
		detector := NewDetector(1)
		detector.SetServers(all, 3299)
		b.Run(fmt.Sprintf("list/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				detector.SetServers(all, 3299)
			}
		})
		now, sequence := time.Hour, uint32(0)
		b.Run(fmt.Sprintf("word taken/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				detector.Receive(Observation{Server: Instance(fmt.Sprint("i-", sequence%10)), Observer: Observer(2 + sequence%400), Sequence: sequence, Kind: ObservedSlow, Ratio: 4, Responses: 5, ObservedAt: now}, now)
			}
		})
		b.Run(fmt.Sprintf("pass over ten of 400 words/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				detector.Advance(now)
			}
		})
	}
}

// BenchmarkDetectorMemory tells the bytes that a board holds for its servers.
func BenchmarkDetectorMemory(b *testing.B) {
	for _, servers := range []int{1000, 10_000, 96_000} {
		all := benchServers(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewDetector(1).SetServers(all, 3299)
			}
		})
	}
}
