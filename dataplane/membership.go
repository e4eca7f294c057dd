package dataplane

import (
	"time"

	"oxbowspan/lease"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// membership is the list of live gateways as last reported by the controllers, and the singleton roles that are assigned by it. It is
// owned by the loop.
type membership struct {
	self  rendezvous.Name
	zone  string
	roles *lease.Tracker

	gateways   []rendezvous.Name            // all live gateways, this one first
	byZone     map[string][]rendezvous.Name // nil = no list received yet
	otherZones []rendezvous.Name            // the gateways outside this gateway's zone
}

func newMembership(p *process) *membership {
	return &membership{
		self:     p.name,
		zone:     p.settings.Zone,
		roles:    lease.NewTracker(p.name),
		gateways: []rendezvous.Name{p.name},
	}
}

// update replaces the list of live gateways. This gateway is always a member.
func (m *membership) update(list []*rpc.Gateway, now time.Duration) {
	all := []rendezvous.Name{m.self}
	byZone := map[string][]rendezvous.Name{m.zone: {m.self}}
	m.otherZones = nil
	for _, gateway := range list {
		name := rendezvous.Name(gateway.Address)
		if name == m.self {
			continue
		}
		all = append(all, name)
		byZone[gateway.Zone] = append(byZone[gateway.Zone], name)
		if gateway.Zone != m.zone {
			m.otherZones = append(m.otherZones, name)
		}
	}
	m.gateways, m.byZone = all, byZone
	m.roles.SetMembers(all, now)
}

// size returns the number of live gateways, this one included.
func (m *membership) size() int { return len(m.gateways) }

// sameZone returns the gateways of this gateway's zone, this one first; nil if no list was received yet.
func (m *membership) sameZone() []rendezvous.Name { return m.byZone[m.zone] }

// holdsRole reports whether this gateway may act in a singleton role now.
func (m *membership) holdsRole(role rendezvous.Name, now time.Duration) bool {
	return m.roles.Holds(role, now)
}

// holdsZoneRole reports whether this gateway may act now in a role that is assigned to one gateway of a zone. The role of a zone without
// gateways is assigned to one of all gateways.
func (m *membership) holdsZoneRole(zone string, role rendezvous.Name, now time.Duration) bool {
	candidates := m.byZone[zone]
	if len(candidates) == 0 {
		candidates = m.gateways
	}
	return m.roles.HoldsAmong(role, candidates, now)
}

// roleOwner returns the gateway that a singleton role is assigned to.
func (m *membership) roleOwner(role rendezvous.Name) rendezvous.Name {
	return rendezvous.Owner(role, m.gateways)
}

// renew extends the lease on the roles. The list was confirmed at now, by the response to a poll sent at polledAt.
func (m *membership) renew(polledAt, now time.Duration) { m.roles.Renew(polledAt, now) }
