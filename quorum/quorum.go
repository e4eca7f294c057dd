// Package quorum determines since when a process knows that nothing newer was decided than what it knows: the time of its last
// contact with a majority of the acceptors. Contact counts from when a request was sent, never from when its reply was received or read: a
// process that was frozen, or that its peers reach while it reaches none of them, has no contact. The package has no I/O, clock or
// goroutine; times are those of the caller's steady clock.
package quorum

import (
	"slices"
	"time"

	"oxbowspan/consensus"
)

// Reply is an acceptor's reply to a request.
type Reply struct {
	Incarnation uint64         // of the process that replied
	SentAt      time.Duration  // when the request was sent
	Slot        consensus.Slot // the newest in which the acceptor had accepted a value, or which it knew to be decided
}

// ContactTracker holds the newest replies of each acceptor. ObserveIncarnation and Prune remove them.
type ContactTracker struct {
	acceptors map[consensus.AcceptorID]*replyRecord
}

type replyRecord struct {
	newest       Reply
	hasConfirmed bool          // a reply before the newest reported no slot beyond the one that was known,
	confirmedAt  time.Duration // and its request was sent then
}

// NewContactTracker returns a tracker without replies.
func NewContactTracker() *ContactTracker {
	return &ContactTracker{acceptors: map[consensus.AcceptorID]*replyRecord{}}
}

// ObserveReply takes an acceptor's reply. Known is the newest slot that the caller knows to be decided. A reply to a request that was
// sent before that of the newest one, as of a process that has ended since, is ignored.
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

// ObserveIncarnation notes that an acceptor's process runs under an incarnation: replies of another one no longer count. That is no
// contact: the acceptor reaches this process, but this process may not reach it.
func (t *ContactTracker) ObserveIncarnation(id consensus.AcceptorID, incarnation uint64) {
	if r := t.acceptors[id]; r != nil && r.newest.Incarnation != incarnation {
		delete(t.acceptors, id)
	}
}

// Prune drops the acceptors that replied to no request sent at a time or later.
func (t *ContactTracker) Prune(before time.Duration) {
	for id, r := range t.acceptors {
		if r.newest.SentAt < before {
			delete(t.acceptors, id)
		}
	}
}

// Since returns the newest time such that a majority of the members replied to requests sent then or later, and reported no slot
// beyond the known one; ok is false when there is none. Members are those of the value that is decided in the known slot, the caller
// among them if it votes.
//
// No later slot was decided before that time: a majority of these members would have accepted a value in it first, and any two
// majorities share a member, which would have reported it.
func (t *ContactTracker) Since(members []consensus.Member, known consensus.Slot) (since time.Duration, ok bool) {
	var times []time.Duration
	for _, m := range members {
		if at, confirmed := t.lastConfirmed(m.ID, known); confirmed {
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

// lastConfirmed returns when the newest request was sent to which an acceptor replied without a slot beyond the known one.
func (t *ContactTracker) lastConfirmed(id consensus.AcceptorID, known consensus.Slot) (at time.Duration, confirmed bool) {
	r := t.acceptors[id]
	switch {
	case r == nil:
		return 0, false
	case r.newest.Slot <= known:
		return r.newest.SentAt, true
	}
	return r.confirmedAt, r.hasConfirmed
}
