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
	first := Watched(key, all, 1)
	if len(first) == 0 {
		return ""
	}
	return first[0]
}

// shareSpare is what is left of a server's connections for a gatherer that comes before all others know of it.
const shareSpare = 0.1

// Share is one gatherer's part of the connections that a server takes from a fleet together, at least one; 0 = no limit.
func Share(limit, fleet int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*(1-shareSpare))/max(fleet, 1))
}
