package dataplane

import (
	"slices"

	"oxbowspan/registry"
	"oxbowspan/rendezvous"
)

// slotAssignment is the set of servers of one service that this gateway may use, cached together with the inputs of its
// computation.
type slotAssignment struct {
	servers  []rendezvous.Name // sorted
	gateways []rendezvous.Name
	slots    int             // how many gateways may use one server
	assigned map[string]bool // by instance
}

// computedFrom reports whether the assignment was computed from the given inputs and is still valid.
func (a *slotAssignment) computedFrom(servers, gateways []rendezvous.Name, slots int) bool {
	return a.slots == slots && slices.Equal(a.servers, servers) && slices.Equal(a.gateways, gateways)
}

// assignedServers returns, for each service whose servers have fewer connection slots than there are gateways, the
// instances that this gateway may use. All servers of a service that is missing from the result may be used.
func (t *endpointTable) assignedServers() map[string]map[string]bool {
	assigned := map[string]map[string]bool{}
	gateways := t.members.gateways
	for service, limit := range t.connectionLimits {
		slots := rendezvous.ConnectionSlots(limit)
		if slots <= 0 || slots >= len(gateways) {
			delete(t.slots, service)
			continue
		}
		servers := t.usableServers(service)
		if current := t.slots[service]; current == nil || !current.computedFrom(servers, gateways, slots) {
			t.slots[service] = t.assignSlots(servers, gateways, slots)
		}
		assigned[service] = t.slots[service].assigned
	}
	return assigned
}

// assignSlots computes the assignment of one service's servers.
func (t *endpointTable) assignSlots(servers, gateways []rendezvous.Name, slots int) *slotAssignment {
	result := &slotAssignment{servers: servers, gateways: gateways, slots: slots, assigned: map[string]bool{}}
	for _, server := range rendezvous.AssignedServers(t.members.self, gateways, servers, slots) {
		result.assigned[string(server)] = true
	}
	return result
}

// usableServers returns the sorted instances of a service's servers that can accept requests.
func (t *endpointTable) usableServers(service string) []rendezvous.Name {
	var servers []rendezvous.Name
	for _, e := range t.byInstance {
		if e.service == service && e.state == registry.Ready && !e.unresponsive && !e.replaced {
			servers = append(servers, rendezvous.Name(e.instance))
		}
	}
	slices.Sort(servers)
	return servers
}
