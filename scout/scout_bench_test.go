package scout

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

func BenchmarkBoard(b *testing.B) {
	for _, servers := range []int{1000, 10_000, 96_000} {
		all := benchServers(servers)
		board := NewBoard(1)
		board.List(all, 3299)
		b.Run(fmt.Sprintf("list/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				board.List(all, 3299)
			}
		})
		now, no := time.Hour, uint32(0)
		b.Run(fmt.Sprintf("word taken/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				no++
				board.Take(Word{Server: Instance(fmt.Sprint("i-", no%10)), Observer: Observer(2 + no%400), No: no, Kind: Slow, Ratio: 4, Answers: 5, At: now}, now)
			}
		})
		b.Run(fmt.Sprintf("pass over ten of 400 words/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				board.Pass(now)
			}
		})
	}
}

// BenchmarkBoardMemory tells the bytes that a board holds for its servers.
func BenchmarkBoardMemory(b *testing.B) {
	for _, servers := range []int{1000, 10_000, 96_000} {
		all := benchServers(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewBoard(1).List(all, 3299)
			}
		})
	}
}
