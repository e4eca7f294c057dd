package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// The sum of the shares does not exceed the limit, provided the limit allows one connection per gateway.
func TestConnectionShareStaysWithinLimit(t *testing.T) {
	for _, limit := range []int{0, 68, 72, 280, 400} {
		t.Run(fmt.Sprintf("limit=%d", limit), func(t *testing.T) {
			for gateways := 1; gateways <= 90; gateways++ {
				share := ConnectionShare(limit, gateways)
				switch {
				case limit == 0 && share != 0, limit > 0 && share < 1:
					t.Fatalf("each of %d gateways has a share of %d, want 0 without a limit and at least 1 with one", gateways, share)
				case limit >= gateways && share*gateways > limit:
					t.Fatalf("%d gateways with a share of %d each exceed the limit", gateways, share)
				}
			}
		})
	}
}

// When servers have slots for fewer gateways than there are, no server is assigned to too many gateways, each gateway has
// a server, and the removal of a gateway changes few assignments.
func TestAssignedServersRespectSlots(t *testing.T) {
	gateways, servers := testNames("g", 90), testNames("s", 8)
	for _, limit := range []int{2, 10, 30, 60, 99} {
		t.Run(fmt.Sprintf("limit=%d", limit), func(t *testing.T) {
			slots := ConnectionSlots(limit)
			users, added := map[Name]int{}, 0
			for _, g := range gateways[1:] {
				assigned := AssignedServers(g, gateways, servers, slots)
				if len(assigned) == 0 {
					t.Fatalf("%s has no assigned server", g)
				}
				for _, s := range assigned {
					users[s]++
				}
				for _, s := range AssignedServers(g, gateways[1:], servers, slots) {
					if !slices.Contains(assigned, s) {
						added++
					}
				}
			}
			t.Logf("number of gateways by server: %v", users)
			if added > 2*len(servers) {
				t.Errorf("the removal of a gateway adds %d assignments", added)
			}
			if slots*len(servers) < len(gateways) {
				return // fewer slots than gateways: servers are assigned beyond their slots
			}
			for s, n := range users {
				if n > limit {
					t.Errorf("%d gateways are assigned to %s", n, s)
				}
			}
		})
	}
}
