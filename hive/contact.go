package hive

import (
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
)

// Contact with a majority of the acceptors: docs/design/control-safety.md has the argument.
const (
	contactFor  = 2 * time.Second        // a hive is in contact so long after it asked those of a majority that answered
	verifyLimit = 500 * time.Millisecond // for a majority's answers to what it is asked from a moment on
	verifyPause = 20 * time.Millisecond  // between two such questions
)

// inContact tells whether this hive was of late in contact with a majority of the acceptors.
func (h *Hive) inContact(now time.Duration) bool {
	since, ok := h.contactSince(now)
	return ok && now-since < contactFor
}

// contactSince is the newest time before which nothing was decided that this hive does not know. Its own disk answers at once.
func (h *Hive) contactSince(now time.Duration) (since time.Duration, ok bool) {
	own := quorum.Answer{Life: h.life, SentAt: now, Turn: consensus.Slot(h.voteTurn.Load())}
	h.contact.Answered(h.self, own, h.known.Slot)
	return h.contact.Since(h.known.Members, h.known.Slot)
}

// watchContact has all gatherers that wait told as soon as contact is lost, and returns when to look again.
func (h *Hive) watchContact(now time.Duration) time.Duration {
	since, ok := h.contactSince(now)
	was := h.touching
	if h.touching = ok && now-since < contactFor; h.touching {
		return since + contactFor
	}
	if was {
		for w := range h.waiters {
			h.answer(w, now)
		}
	}
	return now + tidyEvery
}

// verifications wait until a majority has answered what it was asked after each of them came. This hive's clock, which may
// have stood still with the machine, has no say in that. Emptied by answers and by verifyLimit.
type verifications struct {
	all     []verification
	askAt   time.Duration // when the others are to be asked, 0 = they need not be;
	askedAt time.Duration // when they last were
}

type verification struct {
	since time.Duration
	done  func(verified bool)
}

// verifyContact calls done, on the owner, once a majority has answered what it is asked from now on, or when it did not in time.
func (h *Hive) verifyContact(now time.Duration, done func(verified bool)) {
	h.verify.all = append(h.verify.all, verification{now, done})
	if h.verify.askAt == 0 {
		h.verify.askAt = max(now, h.verify.askedAt+verifyPause, 1)
	}
	h.verified(now)
}

// verified ends the verifications that are over.
func (h *Hive) verified(now time.Duration) {
	if len(h.verify.all) == 0 {
		return
	}
	since, ok := h.contactSince(now)
	var over []verification
	kept := h.verify.all[:0]
	for _, v := range h.verify.all {
		if ok && since >= v.since || now >= v.since+verifyLimit {
			over = append(over, v)
		} else {
			kept = append(kept, v)
		}
	}
	clear(h.verify.all[len(kept):])
	h.verify.all = kept
	for _, v := range over {
		v.done(ok && since >= v.since)
	}
}

// watchVerifications asks the others where somebody waits for it, and returns when to look again.
func (h *Hive) watchVerifications(now time.Duration) time.Duration {
	h.verified(now)
	if h.verify.askAt != 0 && now >= h.verify.askAt {
		h.verify.askAt, h.verify.askedAt = 0, now
		h.hurry()
	}
	next := now + tidyEvery
	if h.verify.askAt != 0 {
		next = h.verify.askAt
	}
	if len(h.verify.all) > 0 { // the oldest is the first
		next = min(next, h.verify.all[0].since+verifyLimit)
	}
	return next
}
