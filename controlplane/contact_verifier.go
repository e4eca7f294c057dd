package controlplane

import "time"

const (
	verifyTimeout  = 500 * time.Millisecond // limit for a majority to reply to messages sent after verify was called
	verifyInterval = 20 * time.Millisecond  // minimum time between two rounds of gossip started for verifications
)

// contactVerifier waits until a majority has replied to messages that were sent after a given time. The age of earlier contact
// is not sufficient: this controller's clock may have stopped while the machine was suspended. It is owned by the event loop.
type contactVerifier struct {
	contact      *contactMonitor
	peers        *peerSet
	pending      []verification // ordered by since, oldest first
	nextGossipAt time.Duration  // when the next round of gossip is due; 0 = none is due
	lastGossipAt time.Duration  // when the last round was started
}

// verification is a pending call of verify.
type verification struct {
	since time.Duration
	done  func(verified bool)
}

func newContactVerifier(contact *contactMonitor, peers *peerSet) *contactVerifier {
	return &contactVerifier{contact: contact, peers: peers}
}

// verify calls done(true) on the event loop once a majority has replied to messages sent from now on, or done(false) after
// verifyTimeout.
func (v *contactVerifier) verify(now time.Duration, done func(verified bool)) {
	v.pending = append(v.pending, verification{now, done})
	if v.nextGossipAt == 0 {
		v.nextGossipAt = max(now, v.lastGossipAt+verifyInterval, 1)
	}
	v.finish(now)
}

// finish completes the verifications that are confirmed or have timed out.
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
	for _, p := range finished { // done may call verify again
		p.done(ok && since >= p.since)
	}
}

// check completes verifications, starts a round of gossip if one is due, and returns when to call it again.
func (v *contactVerifier) check(now time.Duration) (next time.Duration) {
	v.finish(now)
	if v.nextGossipAt != 0 && now >= v.nextGossipAt {
		v.nextGossipAt, v.lastGossipAt = 0, now
		v.peers.gossipNow()
	}
	next = now + housekeepingInterval
	if v.nextGossipAt != 0 {
		next = v.nextGossipAt
	}
	if len(v.pending) > 0 {
		next = min(next, v.pending[0].since+verifyTimeout)
	}
	return next
}
