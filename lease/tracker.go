package lease

import (
	"slices"
	"time"

	"oxbowspan/rendezvous"
)

// Tracker decides which singleton roles one gateway holds. It holds none until it has received a membership.
type Tracker struct {
	self      rendezvous.Name
	members   []rendezvous.Name // sorted
	renewedAt time.Duration     // when the newest request that confirmed members was sent
	changedAt time.Duration     // when members changed, or may have changed without this gateway
}

// NewTracker returns the tracker of one gateway.
func NewTracker(self rendezvous.Name) *Tracker { return &Tracker{self: self, renewedAt: -TTL} }

// SetMembers takes the list of live gateways, this one among them. A change starts the wait for former owners to stop.
func (t *Tracker) SetMembers(members []rendezvous.Name, now time.Duration) {
	members = slices.Clone(members)
	slices.Sort(members)
	if !slices.Equal(members, t.members) {
		t.members = members
		t.changedAt = now
	}
}

// Renew records that the members were confirmed now, by the response to a request that was sent at a time: the members
// count from then, as the response may be old. After a gap of a TTL others may have replaced this gateway and left again,
// so it waits as after a change, though the members are the same.
func (t *Tracker) Renew(requestedAt, now time.Duration) {
	if requestedAt-t.renewedAt >= TTL {
		t.changedAt = now
	}
	t.renewedAt = max(t.renewedAt, requestedAt)
}

// Holds reports whether this gateway holds the role of a key now.
func (t *Tracker) Holds(key rendezvous.Name, now time.Duration) bool {
	return t.HoldsAmong(key, t.members, now)
}

// HoldsAmong reports whether it holds a role that only some of the members may hold.
func (t *Tracker) HoldsAmong(key rendezvous.Name, candidates []rendezvous.Name, now time.Duration) bool {
	confirmed := now-t.renewedAt < TTL
	settled := now-t.changedAt > TTL
	return confirmed && settled && rendezvous.Owner(key, candidates) == t.self
}
