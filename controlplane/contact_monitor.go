package controlplane

import (
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
)

// contactLifetime is how long a controller counts as being in contact with a majority, measured from when it sent the requests
// that the majority answered. docs/design/control-safety.md explains why this is safe.
const contactLifetime = 2 * time.Second

// contactMonitor determines whether this controller was recently in contact with a majority of the acceptors. It is owned by the
// event loop.
type contactMonitor struct {
	self      identity
	acceptor  *acceptorEndpoint
	learner   *learner
	tracker   *quorum.ContactTracker
	inContact bool // as of the last call of check
}

func newContactMonitor(self identity, acceptor *acceptorEndpoint, learner *learner) *contactMonitor {
	return &contactMonitor{self: self, acceptor: acceptor, learner: learner, tracker: quorum.NewContactTracker()}
}

// hasQuorum reports whether this controller is in contact with a majority.
func (m *contactMonitor) hasQuorum(now time.Duration) bool {
	since, ok := m.since(now)
	return ok && now-since < contactLifetime
}

// isCurrent reports whether this controller's value is known to be decided and a majority recently confirmed it as the newest.
func (m *contactMonitor) isCurrent(now time.Duration) bool {
	return m.learner.confirmed && m.hasQuorum(now)
}

// since returns the latest time for which it is known that this controller has learned everything decided before it. Its own
// acceptor is treated as one that replies immediately. ok is false if no majority has replied.
func (m *contactMonitor) since(now time.Duration) (since time.Duration, ok bool) {
	accepted := consensus.Slot(m.acceptor.acceptedSlot.Load())
	m.observeReply(m.self.id, quorum.Reply{Incarnation: m.self.incarnation, SentAt: now, Slot: accepted})
	return m.tracker.ContactSince(m.learner.value.Members, m.learner.value.Slot)
}

// observeReply records an acceptor's reply to a request.
func (m *contactMonitor) observeReply(id consensus.AcceptorID, reply quorum.Reply) {
	m.tracker.ObserveReply(id, reply, m.learner.value.Slot)
}

// observeIncarnation records the incarnation of an acceptor's process.
func (m *contactMonitor) observeIncarnation(id consensus.AcceptorID, incarnation uint64) {
	m.tracker.ObserveIncarnation(id, incarnation)
}

// check reports whether contact was lost since the last call, and returns when to call it again.
func (m *contactMonitor) check(now time.Duration) (lost bool, next time.Duration) {
	since, ok := m.since(now)
	before := m.inContact
	m.inContact = ok && now-since < contactLifetime
	if m.inContact {
		return false, since + contactLifetime
	}
	return before, now + housekeepingInterval
}

// prune removes the replies that are too old to affect the result.
func (m *contactMonitor) prune(now time.Duration) { m.tracker.Prune(now - 2*contactLifetime) }
