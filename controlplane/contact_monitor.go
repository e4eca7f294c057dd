package controlplane

import (
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
)

// Contact with a majority of the acceptors: docs/design/control-safety.md has the argument.
const (
	contactLifetime = 2 * time.Second        // a hive is in contact so long after it asked those of a majority that answered
	verifyTimeout   = 500 * time.Millisecond // for a majority's answers to what it is asked from a moment on
	verifyInterval  = 20 * time.Millisecond  // between two such questions
)

// inContact tells whether this hive was of late in contact with a majority of the acceptors.
func (h *Controller) inContact(now time.Duration) bool {
	since, ok := h.contactTime(now)
	return ok && now-since < contactLifetime
}

// contactTime is the newest time before which nothing was decided that this hive does not know. Its own disk answers at once.
func (h *Controller) contactTime(now time.Duration) (since time.Duration, ok bool) {
	own := quorum.Reply{Incarnation: h.self.incarnation, SentAt: now, Slot: consensus.Slot(h.acceptor.acceptedSlot.Load())}
	h.contact.ObserveReply(h.self.id, own, h.learner.value.Slot)
	return h.contact.Since(h.learner.value.Members, h.learner.value.Slot)
}

// checkContact has all gatherers that wait told as soon as contact is lost, and returns when to look again.
func (h *Controller) checkContact(now time.Duration) time.Duration {
	since, ok := h.contactTime(now)
	was := h.wasInContact
	if h.wasInContact = ok && now-since < contactLifetime; h.wasInContact {
		return since + contactLifetime
	}
	if was {
		for w := range h.waiters {
			h.answerPoll(w, now)
		}
	}
	return now + housekeepingInterval
}

// verifications wait until a majority has answered what it was asked after each of them came. This hive's clock, which may
// have stood still with the machine, has no say in that. Emptied by answers and by verifyTimeout.
type verifications struct {
	pending    []verification
	gossipAt   time.Duration // when the others are to be asked, 0 = they need not be;
	gossipedAt time.Duration // when they last were
}

type verification struct {
	since time.Duration
	done  func(verified bool)
}

// verifyContact calls done, on the owner, once a majority has answered what it is asked from now on, or when it did not in time.
func (h *Controller) verifyContact(now time.Duration, done func(verified bool)) {
	h.verifier.pending = append(h.verifier.pending, verification{now, done})
	if h.verifier.gossipAt == 0 {
		h.verifier.gossipAt = max(now, h.verifier.gossipedAt+verifyInterval, 1)
	}
	h.finishVerifications(now)
}

// finishVerifications ends the verifications that are over.
func (h *Controller) finishVerifications(now time.Duration) {
	if len(h.verifier.pending) == 0 {
		return
	}
	since, ok := h.contactTime(now)
	var over []verification
	kept := h.verifier.pending[:0]
	for _, v := range h.verifier.pending {
		if ok && since >= v.since || now >= v.since+verifyTimeout {
			over = append(over, v)
		} else {
			kept = append(kept, v)
		}
	}
	clear(h.verifier.pending[len(kept):])
	h.verifier.pending = kept
	for _, v := range over {
		v.done(ok && since >= v.since)
	}
}

// checkVerifications asks the others where somebody waits for it, and returns when to look again.
func (h *Controller) checkVerifications(now time.Duration) time.Duration {
	h.finishVerifications(now)
	if h.verifier.gossipAt != 0 && now >= h.verifier.gossipAt {
		h.verifier.gossipAt, h.verifier.gossipedAt = 0, now
		h.gossipNow()
	}
	next := now + housekeepingInterval
	if h.verifier.gossipAt != 0 {
		next = h.verifier.gossipAt
	}
	if len(h.verifier.pending) > 0 { // the oldest is the first
		next = min(next, h.verifier.pending[0].since+verifyTimeout)
	}
	return next
}
