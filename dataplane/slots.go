package dataplane

import (
	"slices"

	"oxbowspan/registry"
	"oxbowspan/rendezvous"
)

// slotAssignment is the set of servers of one service that this gateway may use, kept with what it was computed from.
type slotAssignment struct {
	servers  []rendezvous.Name // in order
	gateways []rendezvous.Name
	slots    int             // gateways that may use one server
	assigned map[string]bool // by instance
}

// computedFrom reports whether the assignment is valid for these inputs.
func (a *slotAssignment) computedFrom(servers, gateways []rendezvous.Name, slots int) bool {
	return a.slots == slots && slices.Equal(a.servers, servers) && slices.Equal(a.gateways, gateways)
}

// assignedServers returns, for each service whose servers have fewer connection slots than there are gateways, the instances that
// this gateway may use. A service that is missing in the result may be used without such a limit.
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

func (t *endpointTable) assignSlots(servers, gateways []rendezvous.Name, slots int) *slotAssignment {
	result := &slotAssignment{servers: servers, gateways: gateways, slots: slots, assigned: map[string]bool{}}
	for _, server := range rendezvous.AssignedServers(t.members.self, gateways, servers, slots) {
		result.assigned[string(server)] = true
	}
	return result
}

// usableServers returns the servers of a service that can take requests, in order.
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
