package quorum

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// locations returns members in the zones and regions named by the letters of zones; "?" means not known.
func locations(zones string) (members []Location) {
	for _, zone := range strings.Split(zones, "") {
		if zone == "?" {
			zone = ""
		}
		members = append(members, Location{Zone: zone, Region: zone})
	}
	return members
}

func TestTolerableZones(t *testing.T) {
	for zones, want := range map[string]int{
		"a": 0, "abc": 1, "aab": 0, "aabbc": 1, "aaabb": 0, "aaabc": 0, "abcde": 2, "aabbccd": 1, "aaabbcc": 1, "abcdefg": 3, "aaaabbb": 0,
		"ab?": 0, "abcd?": 1, "abcde??": 1, "???": 0, "abcd": 1, "aabb": 0,
	} {
		if got := TolerableZones(locations(zones)); got != want {
			t.Errorf("members in zones %s survive the loss of %d zones, want %d", zones, got, want)
		}
	}
}

// TestTolerableZonesMatchesEnumeration compares TolerableZones with an enumeration of all sets of zones: whichever of that
// many zones are lost, more than half of the members remain, and the loss of some set with one more zone leaves no majority.
func TestTolerableZonesMatchesEnumeration(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		count, zoneCount := 1+random.IntN(9), 1+random.IntN(6)
		members := make([]Location, count)
		for i := range members {
			members[i].Zone = string(rune('a' + random.IntN(zoneCount)))
		}
		if got, want := TolerableZones(members), enumerateTolerable(members, zoneCount); got != want {
			t.Fatalf("members in %v survive the loss of %d zones, want %d by enumeration", members, got, want)
		}
	}
}

// enumerateTolerable computes the number of tolerable zones by trying every set of zones.
func enumerateTolerable(members []Location, zoneCount int) int {
	smallest := zoneCount + 1 // size of the smallest set of zones whose loss leaves no majority
	for set := range 1 << zoneCount {
		size, remaining := 0, 0
		for zone := range zoneCount {
			size += set >> zone & 1
		}
		for _, m := range members {
			if set>>(m.Zone[0]-'a')&1 == 0 {
				remaining++
			}
		}
		if 2*remaining <= len(members) {
			smallest = min(smallest, size)
		}
	}
	return smallest - 1
}

func TestToleranceShortfall(t *testing.T) {
	for _, test := range []struct {
		tolerance Tolerance
		zones     string
		count     int
		shortfall int
	}{
		{Tolerance{Machines: 1}, "aaa", 3, 0},
		{Tolerance{Machines: 1, Zones: 1}, "aab", 3, 1},
		{Tolerance{Machines: 1, Zones: 1}, "aaa", 3, 2},
		{Tolerance{Machines: 2, Zones: 1, Regions: 1}, "aabbc", 5, 0},
		{Tolerance{Zones: 2}, "aabbc", 5, 2},
		{Tolerance{Zones: 2, Regions: 2}, "aabbc", 5, 4},
		{Tolerance{Zones: 2}, "abcde", 5, 0},
		{Tolerance{Zones: 9}, "abc", 19, 2},
	} {
		if got := test.tolerance.MemberCount(); got != test.count {
			t.Errorf("%+v requires %d members, want %d", test.tolerance, got, test.count)
		}
		if got := test.tolerance.Shortfall(locations(test.zones)); got != test.shortfall {
			t.Errorf("%+v with members in zones %s: shortfall %d, want %d", test.tolerance, test.zones, got, test.shortfall)
		}
	}
}
