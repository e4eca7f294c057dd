package controlplane

import (
	"context"
	"time"

	"oxbowspan/consensus"
)

// verifiedReadTimeout is how long a read waits for a majority to confirm the value that this controller knows, before it has the
// newest one decided again. It is longer than a round trip between regions; where that is longer yet, reads are as slow as proposals.
const verifiedReadTimeout = 150 * time.Millisecond

// valueReader reads the newest decided value, as of the call.
//
// Where a majority replies, to what it is sent after the call, that it has accepted nothing beyond the value that this controller
// knows to be decided, that value is the newest (docs/design/control-safety.md, section 1). That takes no ballot, so that reads
// delay no change, however many there are. Otherwise, as when a value was accepted whose decision nobody knows, the newest is found
// by a proposal. There is no lease: an answer never rests on a clock.
type valueReader struct {
	loop     *eventLoop
	clock    *steadyClock
	learner  *learner
	verifier *contactVerifier
	proposer *proposer
}

// read returns the newest decided value. Its error is errNoQuorum.
func (r *valueReader) read(ctx context.Context) (*consensus.Value, error) {
	if v := r.readVerified(ctx); v != nil {
		return v, nil
	}
	return r.proposer.read(ctx)
}

// readVerified returns the value that this controller knows once a majority confirms it; nil = none did in time.
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
