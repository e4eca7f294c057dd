package controlplane

import (
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
)

// contactLifetime is how long a controller counts as in contact with a majority after it sent the requests that the majority
// answered. docs/design/control-safety.md has the argument.
const contactLifetime = 2 * time.Second

// contactMonitor determines whether this controller was recently in contact with a majority of the acceptors. It belongs to the event
// loop.
type contactMonitor struct {
	self      identity
	acceptor  *acceptorEndpoint
	learner   *learner
	tracker   *quorum.ContactTracker
	inContact bool // when check last looked
}

func newContactMonitor(self identity, acceptor *acceptorEndpoint, learner *learner) *contactMonitor {
	return &contactMonitor{self: self, acceptor: acceptor, learner: learner, tracker: quorum.NewContactTracker()}
}

// hasQuorum reports whether this controller is in contact with a majority.
func (m *contactMonitor) hasQuorum(now time.Duration) bool {
	since, ok := m.since(now)
	return ok && now-since < contactLifetime
}

// isCurrent reports whether the newest value is known to be decided and was recently confirmed by a majority.
func (m *contactMonitor) isCurrent(now time.Duration) bool {
	return m.learner.confirmed && m.hasQuorum(now)
}

// since returns the newest time before which nothing was decided that this controller doesn't know. Its own acceptor counts as
// one that answers at once.
func (m *contactMonitor) since(now time.Duration) (since time.Duration, ok bool) {
	accepted := consensus.Slot(m.acceptor.acceptedSlot.Load())
	m.observeReply(m.self.id, quorum.Reply{Incarnation: m.self.incarnation, SentAt: now, Slot: accepted})
	return m.tracker.Since(m.learner.value.Members, m.learner.value.Slot)
}

// observeReply takes what an acceptor replied to a request.
func (m *contactMonitor) observeReply(id consensus.AcceptorID, reply quorum.Reply) {
	m.tracker.ObserveReply(id, reply, m.learner.value.Slot)
}

// observeIncarnation notes that an acceptor's process runs under an incarnation.
func (m *contactMonitor) observeIncarnation(id consensus.AcceptorID, incarnation uint64) {
	m.tracker.ObserveIncarnation(id, incarnation)
}

// check reports whether contact was lost since the last call, and when to call again.
func (m *contactMonitor) check(now time.Duration) (lost bool, next time.Duration) {
	since, ok := m.since(now)
	before := m.inContact
	m.inContact = ok && now-since < contactLifetime
	if m.inContact {
		return false, since + contactLifetime
	}
	return before, now + housekeepingInterval
}

// prune drops acceptors whose replies are too old to matter.
func (m *contactMonitor) prune(now time.Duration) { m.tracker.Prune(now - 2*contactLifetime) }
