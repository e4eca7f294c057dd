// Package kin names, for each gatherer, the few others that it knows and watches, and the one that holds a duty: by
// rendezvous hashing, so that all who know the same fleet name the same, and one that comes or goes moves little. It has
// no I/O, no clock and no goroutine.
package kin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Name is a gatherer or a key of a duty.
type Name string

// Few is how many others a gatherer watches.
const Few = 4

// Weight is the rank of one name for another; the highest wins.
func Weight(of, for_ Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(of))
	d.Write([]byte{0})
	d.WriteString(string(for_))
	return d.Sum64()
}

// Watched names the n of all that one watches, itself left out, the highest rank first.
func Watched(self Name, all []Name, n int) []Name {
	others := slices.DeleteFunc(slices.Clone(all), func(o Name) bool { return o == self })
	slices.SortFunc(others, func(a, b Name) int {
		return cmp.Or(cmp.Compare(Weight(b, self), Weight(a, self)), cmp.Compare(a, b))
	})
	return others[:min(n, len(others))]
}

// Holder names who of all holds a key; "" = nobody is there.
func Holder(key Name, all []Name) Name {
	var first Name
	most := uint64(0)
	for _, o := range all {
		if w := Weight(o, key); o != key && (first == "" || w > most || w == most && o < first) {
			first, most = o, w
		}
	}
	return first
}

// shareSpare is what is left of a server's connections for a gatherer that comes before all others know of it.
const shareSpare = 0.1

// Seats is how many gatherers may use a server at once that takes so many connections from all together; 0 = no limit.
func Seats(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*(1-shareSpare)))
}

// Share is one gatherer's part of the connections that a server takes from a fleet together, at least one; 0 = no limit.
func Share(limit, fleet int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, Seats(limit)/max(fleet, 1))
}

// Seated names which of some servers a gatherer may use where each has fewer seats than there are gatherers. All who know the
// same gatherers and servers come to the same. First each gatherer, in an order drawn from its name, takes a seat at the server
// that ranks it highest of those that have one left; then the seats still free go to those whom their servers rank highest. Where
// there are not seats enough for one each, who is left without takes one too many: none must have no server.
func Seated(self Name, all, servers []Name, seats int) (own []Name) {
	all, servers = slices.Clone(all), slices.Clone(servers)
	slices.SortFunc(all, func(a, b Name) int { return cmp.Or(cmp.Compare(Weight(a, ""), Weight(b, "")), cmp.Compare(a, b)) })
	slices.Sort(servers)
	taken := map[Name]int{}
	first := map[Name]Name{}
	for _, g := range all {
		var best Name
		free := false
		for _, s := range servers {
			has := taken[s] < seats
			if best == "" || has && !free || has == free && Weight(g, s) > Weight(g, best) {
				best, free = s, has
			}
		}
		if first[g] = best; best != "" {
			taken[best]++
		}
	}
	for _, s := range servers {
		if first[self] == s {
			own = append(own, s)
			continue
		}
		before := 0
		for _, o := range all {
			if o != self && first[o] != s && Weight(o, s) > Weight(self, s) {
				before++
			}
		}
		if before < seats-taken[s] {
			own = append(own, s)
		}
	}
	return own
}
