package controlplane

import "time"

const (
	verifyTimeout  = 500 * time.Millisecond // for a majority's replies to what it is sent from a moment on
	verifyInterval = 20 * time.Millisecond  // between two rounds of gossip that verifications cause
)

// contactVerifier waits until a majority has replied to what it was sent after a moment. This controller's clock, which may have
// stood still with the machine, can't stand in for that. It belongs to the event loop.
type contactVerifier struct {
	contact    *contactMonitor
	peers      *peerSet
	pending    []verification // the oldest first
	gossipAt   time.Duration  // when the peers are to be sent gossip; 0 = they need not be
	gossipedAt time.Duration  // when they last were
}

type verification struct {
	since time.Duration
	done  func(verified bool)
}

func newContactVerifier(contact *contactMonitor, peers *peerSet) *contactVerifier {
	return &contactVerifier{contact: contact, peers: peers}
}

// verify calls done, on the event loop, once a majority has replied to what it is sent from now on, or with false after
// verifyTimeout.
func (v *contactVerifier) verify(now time.Duration, done func(verified bool)) {
	v.pending = append(v.pending, verification{now, done})
	if v.gossipAt == 0 {
		v.gossipAt = max(now, v.gossipedAt+verifyInterval, 1)
	}
	v.finish(now)
}

// finish ends the verifications that are confirmed or timed out.
func (v *contactVerifier) finish(now time.Duration) {
	if len(v.pending) == 0 {
		return
	}
	since, ok := v.contact.since(now)
	var finished []verification
	remaining := v.pending[:0]
	for _, p := range v.pending {
		if ok && since >= p.since || now >= p.since+verifyTimeout {
			finished = append(finished, p)
		} else {
			remaining = append(remaining, p)
		}
	}
	clear(v.pending[len(remaining):])
	v.pending = remaining
	for _, p := range finished { // these may add others
		p.done(ok && since >= p.since)
	}
}

// check sends gossip where a verification waits for it, and returns when to call again.
func (v *contactVerifier) check(now time.Duration) (next time.Duration) {
	v.finish(now)
	if v.gossipAt != 0 && now >= v.gossipAt {
		v.gossipAt, v.gossipedAt = 0, now
		v.peers.gossipNow()
	}
	next = now + housekeepingInterval
	if v.gossipAt != 0 {
		next = v.gossipAt
	}
	if len(v.pending) > 0 {
		next = min(next, v.pending[0].since+verifyTimeout)
	}
	return next
}
