// Package quorum tells since when a machine knows that nothing newer was decided than what it knows: the time of its last
// contact with a majority of the acceptors. Contact is counted from when a question was sent, never from when an answer was
// heard or read: a process that was frozen, or whose peers reach it while it reaches none of them, has no contact to show for
// it. It has no I/O, no clock and no goroutine; times are the caller's steady clock.
package quorum

import (
	"slices"
	"time"

	"oxbowspan/consensus"
)

// Reply is what an acceptor told when it was asked.
type Reply struct {
	Incarnation uint64         // of the process that answered
	SentAt      time.Duration  // when it was asked
	Slot        consensus.Slot // the newest that it had voted for or knew to be decided
}

// ContactTracker holds the newest answers of each acceptor. What empties it: Began and Forget.
type ContactTracker struct {
	acceptors map[consensus.AcceptorID]*replyRecord
}

type replyRecord struct {
	newest       Reply
	hasConfirmed bool          // an answer before the newest told of no turn beyond the one that was known,
	confirmedAt  time.Duration // and was asked for then
}

// NewContactTracker makes a contact with nobody.
func NewContactTracker() *ContactTracker {
	return &ContactTracker{acceptors: map[consensus.AcceptorID]*replyRecord{}}
}

// ObserveReply takes an acceptor's answer. Known is the turn that the asker knows to be decided. An answer that is older than one
// that was taken, as of a process that has ended since, says nothing.
func (c *ContactTracker) ObserveReply(id consensus.AcceptorID, a Reply, known consensus.Slot) {
	r := c.acceptors[id]
	switch {
	case r != nil && a.SentAt < r.newest.SentAt:
		return
	case r == nil || r.newest.Incarnation != a.Incarnation:
		c.acceptors[id] = &replyRecord{newest: a}
		return
	}
	if r.newest.Slot <= known {
		r.hasConfirmed, r.confirmedAt = true, r.newest.SentAt
	}
	r.newest = a
}

// ObserveIncarnation notes that an acceptor's process was heard under a life: what another one answered does not count any more. It is no
// contact: that the acceptor reaches this machine does not say that this machine reaches it.
func (c *ContactTracker) ObserveIncarnation(id consensus.AcceptorID, life uint64) {
	if r := c.acceptors[id]; r != nil && r.newest.Incarnation != life {
		delete(c.acceptors, id)
	}
}

// Prune drops the acceptors that answered no question sent at a time or later.
func (c *ContactTracker) Prune(before time.Duration) {
	for id, r := range c.acceptors {
		if r.newest.SentAt < before {
			delete(c.acceptors, id)
		}
	}
}

// Since is the newest time such that more than half of the members answered questions that were sent then or later, and told
// of no turn beyond the known one. Members are those of the value that is known to be decided at that turn, the asker among
// them where it votes. Then no later turn was decided before that time: a majority of these members would have voted for it
// first, and one of them is among those that answered. False = there is no such time.
func (c *ContactTracker) Since(members []consensus.Member, known consensus.Slot) (since time.Duration, ok bool) {
	var times []time.Duration
	for _, m := range members {
		if at, vouches := c.confirmedAt(m.ID, known); vouches {
			times = append(times, at)
		}
	}
	majority := len(members)/2 + 1
	if len(members) == 0 || len(times) < majority {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-majority], true
}

// confirmedAt is when an acceptor was asked that told of no turn beyond the known one.
func (c *ContactTracker) confirmedAt(id consensus.AcceptorID, known consensus.Slot) (time.Duration, bool) {
	r := c.acceptors[id]
	switch {
	case r == nil:
		return 0, false
	case r.newest.Slot <= known:
		return r.newest.SentAt, true
	}
	return r.confirmedAt, r.hasConfirmed
}
