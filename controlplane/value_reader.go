package controlplane

import (
	"context"
	"time"

	"oxbowspan/consensus"
)

// verifiedReadTimeout is how long a read waits for a majority to confirm the value that this controller knows before it runs a
// proposal to determine the newest one. It is longer than a round trip between regions; where a round trip takes longer than this,
// reads are as slow as proposals.
const verifiedReadTimeout = 150 * time.Millisecond

// valueReader reads the newest value that is decided at the time of the call.
//
// If a majority replies to messages sent after the call that it has accepted nothing newer than the value that this controller knows
// to be decided, that value is the newest (docs/design/control-safety.md, section 1). This needs no ballot, so that reads don't delay
// changes, however many reads there are. Otherwise, for instance if a value was accepted that no controller knows to be decided, a
// proposal determines the newest value. There is no lease: a result never depends on a clock.
type valueReader struct {
	loop     *eventLoop
	clock    *monotonicClock
	learner  *learner
	verifier *contactVerifier
	proposer *proposer
}

// read returns the newest decided value. The only error is errNoQuorum.
func (r *valueReader) read(ctx context.Context) (*consensus.Value, error) {
	if v := r.readVerified(ctx); v != nil {
		return v, nil
	}
	return r.proposer.read(ctx)
}

// readVerified returns the value that this controller knows once a majority confirms that it is the newest, or nil if that doesn't
// happen in time.
func (r *valueReader) readVerified(ctx context.Context) *consensus.Value {
	verified := make(chan *consensus.Value, 1)
	r.loop.post(func() {
		r.verifier.verify(r.clock.now(), func(ok bool) {
			if !ok {
				verified <- nil
				return
			}
			verified <- r.learner.decided()
		})
	})
	select {
	case v := <-verified:
		return v
	case <-time.After(verifiedReadTimeout):
	case <-ctx.Done():
	case <-r.loop.stopped:
	}
	return nil
}
