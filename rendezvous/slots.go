package rendezvous

import (
	"cmp"
	"slices"
)

// reservedShare is the fraction of a server's connections that is reserved for gateways that have started but are not yet
// in the membership of all other gateways.
const reservedShare = 0.1

// ConnectionSlots returns the number of gateways that may use a server at the same time, where limit is the number of
// connections that the server accepts from all gateways together; 0 = unlimited, for both. Each gateway needs at least one
// connection.
func ConnectionSlots(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*(1-reservedShare)))
}

// ConnectionShare returns one gateway's share of the limit of connections that a server accepts from all gateways
// together, at least 1; 0 = unlimited, for both.
func ConnectionShare(limit, gateways int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, ConnectionSlots(limit)/max(gateways, 1))
}

// AssignedServers returns the servers that a gateway may use, where each server has slots for fewer gateways than there
// are. All gateways with the same lists of gateways and servers compute the same assignment, in two passes:
//
//  1. The gateways, in ascending order of their weights for the empty key, are each assigned to the server that ranks them
//     highest among the servers with a free slot. If there are fewer slots than gateways, the remaining gateways are
//     assigned to servers without a free slot, as each gateway must have a server.
//  2. The remaining slots of each server are assigned to the gateways that it ranks highest.
func AssignedServers(self Name, gateways, servers []Name, slots int) []Name {
	servers = slices.Clone(servers)
	slices.Sort(servers)
	first, slotsUsed := assignFirstServers(gateways, servers, slots)
	var assigned []Name
	for _, server := range servers {
		if first[self] == server || rankInSecondPass(self, gateways, server, first) < slots-slotsUsed[server] {
			assigned = append(assigned, server)
		}
	}
	return assigned
}

// assignFirstServers is the first pass. It returns the server assigned to each gateway, "" if there are no servers, and
// the number of gateways assigned to each server. The servers must be sorted.
func assignFirstServers(gateways, servers []Name, slots int) (first map[Name]Name, slotsUsed map[Name]int) {
	gateways = slices.Clone(gateways)
	slices.SortFunc(gateways, func(a, b Name) int {
		return cmp.Or(cmp.Compare(Weight(a, ""), Weight(b, "")), cmp.Compare(a, b))
	})
	first = map[Name]Name{}
	slotsUsed = map[Name]int{}
	for _, gateway := range gateways {
		server := preferredServer(gateway, servers, func(s Name) bool { return slotsUsed[s] < slots })
		first[gateway] = server
		if server != "" {
			slotsUsed[server]++
		}
	}
	return first, slotsUsed
}

// preferredServer returns the server that ranks a gateway highest among those with a free slot, or among all servers if
// none has a free slot.
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

// rankInSecondPass returns the number of gateways that precede a gateway in a server's second pass: those that the first
// pass assigned to other servers and that the server ranks higher.
func rankInSecondPass(self Name, gateways []Name, server Name, first map[Name]Name) int {
	rank := 0
	own := Weight(self, server)
	for _, gateway := range gateways {
		if gateway != self && first[gateway] != server && Weight(gateway, server) > own {
			rank++
		}
	}
	return rank
}
