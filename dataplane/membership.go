package dataplane

import (
	"time"

	"oxbowspan/lease"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// membership is the list of live gateways, as the controllers last reported it, and the singleton roles that follow from it. It is
// owned by the loop.
type membership struct {
	self  rendezvous.Name
	zone  string
	roles *lease.Tracker

	gateways   []rendezvous.Name            // all, this one first
	byZone     map[string][]rendezvous.Name // nil = no list has come yet
	otherZones []rendezvous.Name            // those outside of this gateway's zone
}

func newMembership(p *process) *membership {
	return &membership{
		self:     p.name,
		zone:     p.settings.Zone,
		roles:    lease.NewTracker(p.name),
		gateways: []rendezvous.Name{p.name},
	}
}

// update takes a new list of the live gateways.
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

// sameZone returns the gateways of this one's zone, this one first.
func (m *membership) sameZone() []rendezvous.Name { return m.byZone[m.zone] }

// holdsRole reports whether this gateway may act in a singleton role now.
func (m *membership) holdsRole(role rendezvous.Name, now time.Duration) bool {
	return m.roles.Holds(role, now)
}

// holdsZoneRole reports whether this gateway may act in a role that one gateway of a zone has. In a zone without gateways the
// role falls to one of all.
func (m *membership) holdsZoneRole(zone string, role rendezvous.Name, now time.Duration) bool {
	candidates := m.byZone[zone]
	if len(candidates) == 0 {
		candidates = m.gateways
	}
	return m.roles.HoldsAmong(role, candidates, now)
}

// roleOwner returns the gateway to which a singleton role falls.
func (m *membership) roleOwner(role rendezvous.Name) rendezvous.Name {
	return rendezvous.Owner(role, m.gateways)
}

// renew extends the lease on the roles: the list was confirmed at now, in the response to a poll sent at polledAt.
func (m *membership) renew(polledAt, now time.Duration) { m.roles.Renew(polledAt, now) }
