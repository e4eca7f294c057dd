package simcluster

import "testing"

// Processes whose numbers select the same group of zones place their clusters in different ones: two soaks at a time used to meet at the same
// addresses now and then, and the second one ended.
func TestZoneGroupsAreReserved(t *testing.T) {
	const start = 7
	used := map[int]bool{}
	for range 3 {
		zone, reservation := reserveZones(start)
		if reservation == nil || used[zone] {
			t.Fatalf("zone %d is reserved twice, or no group is free", zone)
		}
		defer reservation.Close()
		used[zone] = true
	}
}
