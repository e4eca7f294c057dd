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

// Answer is what an acceptor told when it was asked.
type Answer struct {
	Life   uint64         // of the process that answered
	SentAt time.Duration  // when it was asked
	Turn   consensus.Slot // the newest that it had voted for or knew to be decided
}

// Contact holds the newest answers of each acceptor. What empties it: Began and Forget.
type Contact struct {
	acceptors map[consensus.AcceptorID]*record
}

type record struct {
	newest    Answer
	vouched   bool          // an answer before the newest told of no turn beyond the one that was known,
	vouchedAt time.Duration // and was asked for then
}

// NewContact makes a contact with nobody.
func NewContact() *Contact { return &Contact{acceptors: map[consensus.AcceptorID]*record{}} }

// Answered takes an acceptor's answer. Known is the turn that the asker knows to be decided. An answer that is older than one
// that was taken, as of a process that has ended since, says nothing.
func (c *Contact) Answered(id consensus.AcceptorID, a Answer, known consensus.Slot) {
	r := c.acceptors[id]
	switch {
	case r != nil && a.SentAt < r.newest.SentAt:
		return
	case r == nil || r.newest.Life != a.Life:
		c.acceptors[id] = &record{newest: a}
		return
	}
	if r.newest.Turn <= known {
		r.vouched, r.vouchedAt = true, r.newest.SentAt
	}
	r.newest = a
}

// Began notes that an acceptor's process was heard under a life: what another one answered does not count any more. It is no
// contact: that the acceptor reaches this machine does not say that this machine reaches it.
func (c *Contact) Began(id consensus.AcceptorID, life uint64) {
	if r := c.acceptors[id]; r != nil && r.newest.Life != life {
		delete(c.acceptors, id)
	}
}

// Forget drops the acceptors that answered no question sent at a time or later.
func (c *Contact) Forget(before time.Duration) {
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
func (c *Contact) Since(members []consensus.Member, known consensus.Slot) (since time.Duration, ok bool) {
	var times []time.Duration
	for _, m := range members {
		if at, vouches := c.vouched(m.ID, known); vouches {
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

// vouched is when an acceptor was asked that told of no turn beyond the known one.
func (c *Contact) vouched(id consensus.AcceptorID, known consensus.Slot) (time.Duration, bool) {
	r := c.acceptors[id]
	switch {
	case r == nil:
		return 0, false
	case r.newest.Turn <= known:
		return r.newest.SentAt, true
	}
	return r.vouchedAt, r.vouched
}
