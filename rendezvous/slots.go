package rendezvous

import (
	"cmp"
	"slices"
)

// reservedShare is the share of a server's connections that is kept for gateways that start before all others know of them.
const reservedShare = 0.1

// ConnectionSlots returns how many gateways may use a server at once that accepts limit connections from all of them together;
// 0 = any number. Each gateway needs one connection at least.
func ConnectionSlots(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*(1-reservedShare)))
}

// ConnectionShare returns one gateway's share of the connections that a server accepts from all gateways together, one at
// least; 0 = any number.
func ConnectionShare(limit, gateways int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, ConnectionSlots(limit)/max(gateways, 1))
}

// AssignedServers returns the servers that a gateway may use, where each server has slots for fewer gateways than there are.
// All gateways that know the same gateways and servers compute the same assignment. It has two passes:
//
//  1. Each gateway, in an order given by its name, takes a slot at the server that ranks it highest of those with a slot left.
//     Where there are not enough slots for all gateways, the remaining ones take a server beyond its slots, as no gateway must
//     be without a server.
//  2. The slots that are left go to the gateways that their servers rank highest.
func AssignedServers(self Name, gateways, servers []Name, slots int) []Name {
	servers = slices.Clone(servers)
	slices.Sort(servers)
	first, used := firstServers(gateways, servers, slots)
	var assigned []Name
	for _, server := range servers {
		if first[self] == server || rankBehindFirst(self, gateways, server, first) < slots-used[server] {
			assigned = append(assigned, server)
		}
	}
	return assigned
}

// firstServers returns the server that each gateway takes first, "" if there are no servers, and how many gateways took each
// server. Servers are sorted.
func firstServers(gateways, servers []Name, slots int) (first map[Name]Name, used map[Name]int) {
	gateways = slices.Clone(gateways)
	slices.SortFunc(gateways, func(a, b Name) int {
		return cmp.Or(cmp.Compare(Weight(a, ""), Weight(b, "")), cmp.Compare(a, b))
	})
	first = map[Name]Name{}
	used = map[Name]int{}
	for _, gateway := range gateways {
		server := preferredServer(gateway, servers, func(s Name) bool { return used[s] < slots })
		first[gateway] = server
		if server != "" {
			used[server]++
		}
	}
	return first, used
}

// preferredServer returns the server that ranks a gateway highest, of those with a free slot if there are any.
func preferredServer(gateway Name, servers []Name, hasFreeSlot func(server Name) bool) Name {
	var preferred Name
	preferredFree := false
	for _, server := range servers {
		free := hasFreeSlot(server)
		better := free && !preferredFree ||
			free == preferredFree && Weight(gateway, server) > Weight(gateway, preferred)
		if preferred == "" || better {
			preferred = server
			preferredFree = free
		}
	}
	return preferred
}

// rankBehindFirst returns how many gateways precede a gateway in the second pass at a server: those that took another server
// first and that it ranks higher.
func rankBehindFirst(self Name, gateways []Name, server Name, first map[Name]Name) int {
	rank := 0
	own := Weight(self, server)
	for _, gateway := range gateways {
		if gateway != self && first[gateway] != server && Weight(gateway, server) > own {
			rank++
		}
	}
	return rank
}
