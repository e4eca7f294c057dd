package rendezvous

import (
	"fmt"
	"testing"
)

// BenchmarkRendezvous measures the cost of assignments at one gateway by the number of gateways, for docs/CAPACITY.md:
//
//	go test -run xxx -bench . -benchmem ./rendezvous
func BenchmarkRendezvous(b *testing.B) {
	servers := testNames("server-", 72)
	for _, n := range []int{100, 300, 1000, 3300} {
		gateways := testNames("gateway-", n)
		for _, c := range []struct {
			name      string
			operation func()
		}{
			{"peers", func() { Peers(gateways[0], gateways, PeerCount) }},
			{"owner", func() { Owner("server-1", gateways) }},
			{"72 servers of 280 connections", func() { AssignedServers(gateways[0], gateways, servers, ConnectionSlots(280)) }},
			{"8 servers of 280 connections", func() { AssignedServers(gateways[0], gateways, servers[:8], ConnectionSlots(280)) }},
		} {
			b.Run(fmt.Sprintf("%s/gateways=%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.operation()
				}
			})
		}
	}
}
