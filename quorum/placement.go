package quorum

import (
	"cmp"
	"maps"
	"slices"
)

// Location is where a member's machine stands. "" = not known.
type Location struct {
	Zone   string
	Region string
}

// Tolerance is what must be tolerated, each by itself: so many members, zones or regions may be lost at once, and those that stay
// are a majority and hold what was acknowledged.
type Tolerance struct {
	Machines, Zones, Regions int
}

// MemberCount returns the number of members that the tolerance takes: n losses take 2n+1 members, each in a domain of its own.
func (t Tolerance) MemberCount() int { return 2*max(t.Machines, t.Zones, t.Regions) + 1 }

// Shortfall returns by how many members the worst loss of the tolerated zones exceeds a minority, and adds the same for regions.
// At 0 the tolerance holds.
func (t Tolerance) Shortfall(members []Location) int {
	return excess(members, zoneOf, t.Zones) + excess(members, regionOf, t.Regions)
}

func excess(members []Location, domain func(Location) string, tolerated int) int {
	lost := 0
	for _, size := range firstOf(domainSizes(members, domain), tolerated) {
		lost += size
	}
	return max(lost-(len(members)-1)/2, 0)
}

// firstOf returns the first values of a list, all where there are fewer.
func firstOf(values []int, count int) []int { return values[:min(max(count, 0), len(values))] }

// TolerableZones returns how many zones may be lost, whichever they are, such that a majority of the members stays.
func TolerableZones(members []Location) int { return tolerableDomains(members, zoneOf) }

// TolerableRegions is TolerableZones for regions.
func TolerableRegions(members []Location) int { return tolerableDomains(members, regionOf) }

func zoneOf(l Location) string   { return l.Zone }
func regionOf(l Location) string { return l.Region }

func tolerableDomains(members []Location, domain func(Location) string) (domains int) {
	lost := 0
	for _, size := range domainSizes(members, domain) {
		if lost += size; 2*(len(members)-lost) <= len(members) {
			break
		}
		domains++
	}
	return domains
}

// domainSizes returns how many members are in each domain, the largest first, and zeros for domains beyond those, as many as there
// are members. Members whose domain is not known count as in the largest one, as they may be.
func domainSizes(members []Location, domain func(Location) string) []int {
	counts := map[string]int{}
	unknown := 0
	for _, m := range members {
		if name := domain(m); name != "" {
			counts[name]++
		} else {
			unknown++
		}
	}
	sizes := slices.SortedFunc(maps.Values(counts), func(a, b int) int { return cmp.Compare(b, a) })
	sizes = append(sizes, make([]int, len(members)+1-len(sizes))...)
	sizes[0] += unknown
	return sizes
}
