// Package quorum determines up to which time a process is certain that nothing was decided beyond the slot that it knows: the
// time of its last contact with a majority of the acceptors. Contact counts from the time at which a request was sent, never
// from when its reply was received or read. So a process that was frozen, or one that receives messages from its peers but
// cannot reach them, has no contact. The package performs no I/O, reads no clock and starts no goroutines; times are durations
// on the caller's monotonic clock.
package quorum

import (
	"slices"
	"time"

	"oxbowspan/consensus"
)

// Reply is an acceptor's reply to a request.
type Reply struct {
	Incarnation uint64         // incarnation of the process that replied
	SentAt      time.Duration  // when the request was sent
	Slot        consensus.Slot // newest slot in which the acceptor had accepted a value or which it knew to be decided
}

// ContactTracker records the newest replies of each acceptor. ObserveIncarnation and Prune remove them.
type ContactTracker struct {
	acceptors map[consensus.AcceptorID]*replyRecord
}

// replyRecord is the record of one acceptor's replies from its current incarnation.
type replyRecord struct {
	newest       Reply
	hasConfirmed bool          // a reply before the newest reported no slot beyond the one known at the time
	confirmedAt  time.Duration // when the request of the last such reply was sent
}

// NewContactTracker returns a tracker without replies.
func NewContactTracker() *ContactTracker {
	return &ContactTracker{acceptors: map[consensus.AcceptorID]*replyRecord{}}
}

// ObserveReply records an acceptor's reply. The known slot is the newest one that the caller knows to be decided. A reply is
// ignored if its request was sent before that of the newest reply, for example a late reply of a process that has ended
// since.
func (t *ContactTracker) ObserveReply(id consensus.AcceptorID, reply Reply, known consensus.Slot) {
	r := t.acceptors[id]
	switch {
	case r != nil && reply.SentAt < r.newest.SentAt:
		return
	case r == nil || r.newest.Incarnation != reply.Incarnation:
		t.acceptors[id] = &replyRecord{newest: reply}
		return
	}
	if r.newest.Slot <= known {
		r.hasConfirmed, r.confirmedAt = true, r.newest.SentAt
	}
	r.newest = reply
}

// ObserveIncarnation records the incarnation under which an acceptor's process runs now: replies of other incarnations no
// longer count. It is not contact: the acceptor can reach this process, but this process may be unable to reach it.
func (t *ContactTracker) ObserveIncarnation(id consensus.AcceptorID, incarnation uint64) {
	if r := t.acceptors[id]; r != nil && r.newest.Incarnation != incarnation {
		delete(t.acceptors, id)
	}
}

// Prune removes the acceptors that have not replied to any request sent at the given time or later.
func (t *ContactTracker) Prune(before time.Duration) {
	for id, r := range t.acceptors {
		if r.newest.SentAt < before {
			delete(t.acceptors, id)
		}
	}
}

// ContactSince returns the latest time such that a majority of the members replied to requests sent at that time or
// later without reporting a slot beyond the known one. It returns ok = false if there is no such time. The members must
// be those of the value decided in the known slot, including the caller if it votes.
//
// No later slot was decided before that time: a majority of these members would have had to accept a value in it first, and
// any two majorities have a member in common, which would have reported that slot.
func (t *ContactTracker) ContactSince(members []consensus.Member, known consensus.Slot) (since time.Duration, ok bool) {
	var times []time.Duration
	for _, m := range members {
		if at, confirmed := t.lastConfirmation(m.ID, known); confirmed {
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

// lastConfirmation returns the time at which the newest request was sent to which the acceptor replied without reporting a
// slot beyond the known one.
func (t *ContactTracker) lastConfirmation(id consensus.AcceptorID, known consensus.Slot) (at time.Duration, confirmed bool) {
	r := t.acceptors[id]
	switch {
	case r == nil:
		return 0, false
	case r.newest.Slot <= known:
		return r.newest.SentAt, true
	}
	return r.confirmedAt, r.hasConfirmed
}
