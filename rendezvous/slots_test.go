package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// Shares add up to no more than the limit, while the limit is enough for one connection each.
func TestConnectionShareStaysWithinLimit(t *testing.T) {
	for _, limit := range []int{0, 68, 72, 280, 400} {
		t.Run(fmt.Sprintf("limit=%d", limit), func(t *testing.T) {
			for gateways := 1; gateways <= 90; gateways++ {
				share := ConnectionShare(limit, gateways)
				switch {
				case limit == 0 && share != 0, limit > 0 && share < 1:
					t.Fatalf("each of %d gateways has a share of %d", gateways, share)
				case limit >= gateways && share*gateways > limit:
					t.Fatalf("%d gateways have a share of %d each", gateways, share)
				}
			}
		})
	}
}

// Where a server has slots for fewer gateways than there are, not too many use it, each gateway has some server, and one that
// leaves changes few assignments.
func TestAssignedServersRespectSlots(t *testing.T) {
	gateways, servers := testNames("g", 90), testNames("s", 8)
	for _, limit := range []int{2, 10, 30, 60, 99} {
		t.Run(fmt.Sprintf("limit=%d", limit), func(t *testing.T) {
			slots := ConnectionSlots(limit)
			users, moved := map[Name]int{}, 0
			for _, g := range gateways[1:] {
				assigned := AssignedServers(g, gateways, servers, slots)
				if len(assigned) == 0 {
					t.Fatalf("%s has no server", g)
				}
				for _, s := range assigned {
					users[s]++
				}
				for _, s := range AssignedServers(g, gateways[1:], servers, slots) {
					if !slices.Contains(assigned, s) {
						moved++
					}
				}
			}
			t.Logf("gateways by server: %v", users)
			if moved > 2*len(servers) {
				t.Errorf("a gateway that leaves changes %d assignments", moved)
			}
			if slots*len(servers) < len(gateways) {
				return // not enough slots for one each
			}
			for s, n := range users {
				if n > limit {
					t.Errorf("%d gateways use %s", n, s)
				}
			}
		})
	}
}
