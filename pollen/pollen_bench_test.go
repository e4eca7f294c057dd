package pollen

import (
	"fmt"
	"testing"
	"time"
)

// What fair shares of connections cost, by number of servers and of gatherers, for docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./pollen

// BenchmarkNodeServers puts a whole list of servers in place, as a gatherer's first list and each change of the number of
// gatherers do.
func BenchmarkNodeServers(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				n := NewNode(1)
				for i := range servers {
					n.Serve(Server(i), Service(fmt.Sprint("service-", i/72)), 2, 250)
				}
			}
		})
	}
}

func BenchmarkKeeper(b *testing.B) {
	for _, gatherers := range []int{30, 300, 3300} {
		b.Run(fmt.Sprintf("asked by one of/gatherers=%d", gatherers), func(b *testing.B) {
			k := NewKeeper()
			wants := []Want{{"a", 2, 1}, {"b", 1, 2}, {"c", 0.5, 1}}
			for life := range gatherers {
				k.Ask(uint64(life), wants, 0, 1000, time.Second)
			}
			b.ReportAllocs()
			life := uint64(0)
			for b.Loop() {
				life++
				k.Ask(life%uint64(gatherers), wants, 1, 1000, time.Second)
			}
		})
	}
}
