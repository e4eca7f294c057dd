package rendezvous

import (
	"fmt"
	"testing"
)

// What a gatherer spends on naming others and holders, by number of gatherers, for docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./rendezvous

func benchNames(kind string, n int) (out []Name) {
	for i := range n {
		out = append(out, Name(fmt.Sprintf("%s-%d", kind, i)))
	}
	return out
}

func BenchmarkRendezvous(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3300} {
		all, servers := benchNames("gatherer", n), benchNames("server", 72)
		run := func(name string, what func()) {
			b.Run(fmt.Sprintf("%s/gatherers=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					what()
				}
			})
		}
		run("watched", func() { Peers(all[0], all, PeerCount) })
		run("holder", func() { Owner("server-1", all) })
		run("seats at 72 servers of 280 connections", func() { AssignedServers(all[0], all, servers, ConnectionSlots(280)) })
		run("seats at 8 servers of 280 connections", func() { AssignedServers(all[0], all, servers[:8], ConnectionSlots(280)) })
	}
}
