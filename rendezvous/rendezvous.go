// Package rendezvous assigns keys to nodes by rendezvous hashing (highest random weight): all processes that have the
// same set of nodes compute the same assignment without coordination, and a node that joins or leaves changes few
// assignments. The package determines the peers of a gateway, the owner of a singleton role, and the servers that a
// gateway may use where not all gateways can use all servers.
//
// The package has no I/O, no clock and no goroutines. Results depend only on the set of names, not on their order.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Name identifies a node (a gateway or a server), or is the key of a singleton role.
type Name string

// PeerCount is the number of peers with which a gateway exchanges loads and observations.
const PeerCount = 4

// Weight returns the weight of a node for a key. The node with the highest weight owns the key. All processes of a cluster
// must compute the same weights, so the hash function must not change.
func Weight(node, key Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(node))
	d.Write([]byte{0}) // distinguishes pairs with the same concatenation
	d.WriteString(string(key))
	return d.Sum64()
}

// Peers returns the count nodes with the highest weights for the key self, in descending order of weight, or all nodes if
// there are fewer. The node self is excluded. Nodes of equal weight are ordered by name.
func Peers(self Name, nodes []Name, count int) []Name {
	others := slices.DeleteFunc(slices.Clone(nodes), func(node Name) bool { return node == self })
	slices.SortFunc(others, func(a, b Name) int {
		return cmp.Or(cmp.Compare(Weight(b, self), Weight(a, self)), cmp.Compare(a, b))
	})
	return others[:min(count, len(others))]
}

// Owner returns the node with the highest weight for a key, "" if there is none. A node whose name equals the key is
// excluded. Among equal weights, the lower name wins.
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
