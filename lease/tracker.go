package lease

import (
	"slices"
	"time"

	"oxbowspan/rendezvous"
)

// Tracker decides which singleton roles a gateway holds. The gateway holds none before its first membership is received.
type Tracker struct {
	self      rendezvous.Name
	members   []rendezvous.Name // sorted
	renewedAt time.Duration     // when the latest request whose response confirmed members was sent
	changedAt time.Duration     // when members changed, or may have changed without notice
}

// NewTracker returns a tracker for the gateway self.
func NewTracker(self rendezvous.Name) *Tracker { return &Tracker{self: self, renewedAt: -TTL} }

// SetMembers sets the list of live gateways, which includes this one. After a change the gateway holds no role for TTL,
// so that former owners have stopped.
func (t *Tracker) SetMembers(members []rendezvous.Name, now time.Duration) {
	members = slices.Clone(members)
	slices.Sort(members)
	if !slices.Equal(members, t.members) {
		t.members = members
		t.changedAt = now
	}
}

// Renew records that a response received now confirmed the members. Their TTL starts when the request was sent, as the
// response may be old. After a gap of at least TTL between requests, other gateways may have taken over roles of this one
// and left again, so the gateway waits as after a change even if the members are the same.
func (t *Tracker) Renew(requestedAt, now time.Duration) {
	if requestedAt-t.renewedAt >= TTL {
		t.changedAt = now
	}
	t.renewedAt = max(t.renewedAt, requestedAt)
}

// Holds reports whether this gateway currently holds the role of a key.
func (t *Tracker) Holds(key rendezvous.Name, now time.Duration) bool {
	return t.HoldsAmong(key, t.members, now)
}

// HoldsAmong reports whether this gateway currently holds a role that only the candidates, a subset of the members, may
// hold.
func (t *Tracker) HoldsAmong(key rendezvous.Name, candidates []rendezvous.Name, now time.Duration) bool {
	confirmed := now-t.renewedAt < TTL
	settled := now-t.changedAt > TTL
	return confirmed && settled && rendezvous.Owner(key, candidates) == t.self
}
