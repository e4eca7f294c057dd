package quorum

import (
	"cmp"
	"maps"
	"slices"
)

// Location is the failure domains of a member's machine. "" means that a domain is not known.
type Location struct {
	Zone   string
	Region string
}

// Tolerance is the number of members (Machines), zones or regions whose simultaneous loss must be tolerated, each kind by
// itself: the remaining members are a majority and store all acknowledged changes.
type Tolerance struct {
	Machines, Zones, Regions int
}

// MemberCount returns the number of members that the tolerance requires: n losses require 2n+1 members, each in a separate
// domain.
func (t Tolerance) MemberCount() int { return 2*max(t.Machines, t.Zones, t.Regions) + 1 }

// Shortfall returns by how many members the worst-case loss of t.Zones zones exceeds a minority, plus the same for t.Regions
// regions. The tolerance for zones and regions is met if the result is 0.
func (t Tolerance) Shortfall(members []Location) int {
	return lossBeyondMinority(members, zoneOf, t.Zones) + lossBeyondMinority(members, regionOf, t.Regions)
}

// lossBeyondMinority returns by how many members the loss of the largest domains, as many as tolerated, exceeds a minority.
func lossBeyondMinority(members []Location, domain func(Location) string, tolerated int) int {
	lost := 0
	for _, size := range firstN(domainSizes(members, domain), tolerated) {
		lost += size
	}
	return max(lost-(len(members)-1)/2, 0)
}

// firstN returns the first count values of a list, or all values if there are fewer.
func firstN(values []int, count int) []int { return values[:min(max(count, 0), len(values))] }

// TolerableZones returns the largest number of zones such that a majority of the members remains whichever of them are lost.
func TolerableZones(members []Location) int { return tolerableDomains(members, zoneOf) }

// TolerableRegions returns the largest number of regions such that a majority of the members remains whichever of them are
// lost.
func TolerableRegions(members []Location) int { return tolerableDomains(members, regionOf) }

func zoneOf(l Location) string   { return l.Zone }
func regionOf(l Location) string { return l.Region }

// tolerableDomains returns the largest number of domains such that a majority of the members remains when the largest ones
// are lost.
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

// domainSizes returns the number of members in each domain in descending order, padded with zeros to one more than the number
// of members. Members whose domain is not known are counted in the largest one, as they may belong to it.
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
