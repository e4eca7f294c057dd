// Package rendezvous names, for each gatherer, the few others that it knows and watches, and the one that holds a duty: by
// rendezvous hashing, so that all who know the same fleet name the same, and one that comes or goes moves little. It has
// no I/O, no clock and no goroutine.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Name is a gatherer or a key of a duty.
type Name string

// PeerCount is how many others a gatherer watches.
const PeerCount = 4

// Weight is the rank of one name for another; the highest wins.
func Weight(node, key Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(node))
	d.Write([]byte{0})
	d.WriteString(string(key))
	return d.Sum64()
}

// Peers names the n of all that one watches, itself left out, the highest rank first.
func Peers(self Name, all []Name, n int) []Name {
	others := slices.DeleteFunc(slices.Clone(all), func(o Name) bool { return o == self })
	slices.SortFunc(others, func(a, b Name) int {
		return cmp.Or(cmp.Compare(Weight(b, self), Weight(a, self)), cmp.Compare(a, b))
	})
	return others[:min(n, len(others))]
}

// Owner names who of all holds a key; "" = nobody is there.
func Owner(key Name, all []Name) Name {
	var first Name
	most := uint64(0)
	for _, o := range all {
		if w := Weight(o, key); o != key && (first == "" || w > most || w == most && o < first) {
			first, most = o, w
		}
	}
	return first
}

// reservedShare is what is left of a server's connections for a gatherer that comes before all others know of it.
const reservedShare = 0.1

// ConnectionSlots is how many gatherers may use a server at once that takes so many connections from all together; 0 = no limit.
func ConnectionSlots(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*(1-reservedShare)))
}

// ConnectionShare is one gatherer's part of the connections that a server takes from a fleet together, at least one; 0 = no limit.
func ConnectionShare(limit, gateways int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, ConnectionSlots(limit)/max(gateways, 1))
}

// AssignedServers names which of some servers a gatherer may use where each has fewer seats than there are gatherers. All who know the
// same gatherers and servers come to the same. First each gatherer, in an order drawn from its name, takes a seat at the server
// that ranks it highest of those that have one left; then the seats still free go to those whom their servers rank highest. Where
// there are not seats enough for one each, who is left without takes one too many: none must have no server.
func AssignedServers(self Name, all, servers []Name, slots int) (own []Name) {
	all, servers = slices.Clone(all), slices.Clone(servers)
	slices.SortFunc(all, func(a, b Name) int { return cmp.Or(cmp.Compare(Weight(a, ""), Weight(b, "")), cmp.Compare(a, b)) })
	slices.Sort(servers)
	taken := map[Name]int{}
	first := map[Name]Name{}
	for _, g := range all {
		var best Name
		free := false
		for _, s := range servers {
			has := taken[s] < slots
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
		if before < slots-taken[s] {
			own = append(own, s)
		}
	}
	return own
}
