// Package rendezvous assigns keys to nodes by rendezvous hashing (highest random weight): all that know the same nodes make
// the same assignment without agreeing on it, and a node that joins or leaves changes few assignments. It names a gateway's
// peers, the owner of a singleton role, and the servers that a gateway may use where not all gateways can use all servers.
//
// The package has no I/O, no clock and no goroutines. Its results depend on the set of names alone, not on their order.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Name identifies a node, a gateway or a server, or the key of a singleton role.
type Name string

// PeerCount is the number of peers that a gateway exchanges loads and observations with.
const PeerCount = 4

// Weight returns the weight of a node for a key. The node with the highest weight has the key. All processes of a cluster
// must compute the same weights, so the hash must not change.
func Weight(node, key Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(node))
	d.Write([]byte{0}) // keeps apart pairs that concatenate to the same
	d.WriteString(string(key))
	return d.Sum64()
}

// Peers returns the nodes with the highest weights for a node, the highest first: count of them, without the node itself, or
// all others where there are fewer.
func Peers(self Name, nodes []Name, count int) []Name {
	others := slices.DeleteFunc(slices.Clone(nodes), func(o Name) bool { return o == self })
	slices.SortFunc(others, func(a, b Name) int {
		return cmp.Or(cmp.Compare(Weight(b, self), Weight(a, self)), cmp.Compare(a, b))
	})
	return others[:min(count, len(others))]
}

// Owner returns the node with the highest weight for a key, other than the key itself; "" if there is none. Of equal weights
// the lower name wins.
func Owner(key Name, nodes []Name) Name {
	var owner Name
	highest := uint64(0)
	for _, node := range nodes {
		if node == key {
			continue
		}
		w := Weight(node, key)
		if owner == "" || w > highest || w == highest && node < owner {
			owner = node
			highest = w
		}
	}
	return owner
}
