package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// Shares never add up to more than the whole, while the whole is enough for one each.
func TestConnectionShareStaysWithinLimit(t *testing.T) {
	for _, limit := range []int{0, 68, 72, 280, 400} {
		for fleet := 1; fleet <= 90; fleet++ {
			if n := ConnectionShare(limit, fleet); limit >= fleet && n*fleet > limit || limit > 0 && n < 1 || limit == 0 && n != 0 {
				t.Fatalf("%d gatherers get %d of %d each", fleet, n, limit)
			}
		}
	}
}

// One that goes changes only the few of those that watched it.
func TestPeersChangeLittleOnRemoval(t *testing.T) {
	var all []Name
	for i := range 90 {
		all = append(all, Name(fmt.Sprint("g", i)))
	}
	for _, self := range all[1:] {
		before, after := Peers(self, all, PeerCount), Peers(self, all[1:], PeerCount)
		kept := 0
		for _, n := range after {
			for _, o := range before {
				if n == o {
					kept++
				}
			}
		}
		if kept < PeerCount-1 || len(after) != PeerCount {
			t.Fatalf("%s watches %v, then %v", self, before, after)
		}
	}
}

// Where a server has fewer seats than there are gatherers, few use it, each gatherer has some server, and one that goes moves
// little.
func TestAssignedServersRespectSlots(t *testing.T) {
	var all, servers []Name
	for i := range 90 {
		all = append(all, Name(fmt.Sprint("g", i)))
	}
	for i := range 8 {
		servers = append(servers, Name(fmt.Sprint("s", i)))
	}
	for _, limit := range []int{2, 10, 30, 60, 99} {
		seats := ConnectionSlots(limit)
		users, moved := map[Name]int{}, 0
		for _, g := range all[1:] {
			own := AssignedServers(g, all, servers, seats)
			if len(own) == 0 {
				t.Fatalf("limit %d: %s has no server", limit, g)
			}
			for _, s := range own {
				users[s]++
			}
			for _, s := range AssignedServers(g, all[1:], servers, seats) {
				if !slices.Contains(own, s) {
					moved++
				}
			}
		}
		if moved > 2*len(servers) {
			t.Errorf("limit %d: one that goes moves %d", limit, moved)
		}
		for s, n := range users {
			if n > limit && seats*len(servers) >= len(all) { // else there are not enough for one each
				t.Errorf("limit %d: %d gatherers use %s", limit, n, s)
			}
		}
		t.Logf("limit %d: %v", limit, users)
	}
}
