package quorum

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// locations returns members in zones that are named by letters; "?" = not known.
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

// Whichever zones are lost, as many as are said to be tolerable, more than half of the members stay; with one more, some choice
// leaves no majority.
func TestTolerableZonesMatchesEnumeration(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		count, zoneCount := 1+random.IntN(9), 1+random.IntN(6)
		members := make([]Location, count)
		for i := range members {
			members[i].Zone = string(rune('a' + random.IntN(zoneCount)))
		}
		if got, want := TolerableZones(members), enumerateTolerable(members, zoneCount); got != want {
			t.Fatalf("%v: %d zones, by enumeration %d", members, got, want)
		}
	}
}

// enumerateTolerable tries every set of zones.
func enumerateTolerable(members []Location, zoneCount int) int {
	worst := zoneCount + 1 // the smallest set of zones whose loss leaves no majority
	for set := range 1 << zoneCount {
		size, stay := 0, 0
		for zone := range zoneCount {
			size += set >> zone & 1
		}
		for _, m := range members {
			if set>>(m.Zone[0]-'a')&1 == 0 {
				stay++
			}
		}
		if 2*stay <= len(members) {
			worst = min(worst, size)
		}
	}
	return worst - 1
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
			t.Errorf("%+v takes %d members, want %d", test.tolerance, got, test.count)
		}
		if got := test.tolerance.Shortfall(locations(test.zones)); got != test.shortfall {
			t.Errorf("%+v in zones %s falls short by %d, want %d", test.tolerance, test.zones, got, test.shortfall)
		}
	}
}
