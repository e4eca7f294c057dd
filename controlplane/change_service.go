package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oxbowspan/consensus"
)

// consensusTimeout is how long a proposal may take that an operator waits for, besides the time for long bodies.
const consensusTimeout = 900 * time.Millisecond

// change is an operator's new version of the configuration or of a document.
type change interface {
	// version is that of the change itself, basedOn the one that it replaces.
	version() consensus.Version
	basedOn() consensus.Version
	// evaluate returns what becomes of the change where v is the newest value, the value to be proposed, and the newest
	// committed version.
	evaluate(v *consensus.Value) (next *consensus.Value, current consensus.Version, outcome consensus.Outcome)
	// isIn reports whether a history holds the change.
	isIn(h *consensus.History) bool
	// incompatibilities is why the last evaluation found it incompatible.
	incompatibilities() string
}

// changeResult is what became of a change.
type changeResult struct {
	outcome consensus.Outcome
	slot    consensus.Slot
	current consensus.Version // the newest committed one
}

// changeService has changes decided.
type changeService struct {
	loop     *eventLoop
	learner  *learner
	proposer *proposer
}

func newChangeService(loop *eventLoop, learner *learner, proposer *proposer) *changeService {
	return &changeService{loop: loop, learner: learner, proposer: proposer}
}

// changeTimeout is how long a change with a body of a length in bytes may take: a long one takes longer to send and to store.
func changeTimeout(length int) time.Duration {
	return consensusTimeout + time.Duration(length/1000)*time.Millisecond
}

// submit proposes a change until it is decided what becomes of it. Its error is errNoQuorum; the change may be decided yet.
func (s *changeService) submit(ctx context.Context, c change) (changeResult, error) {
	var result changeResult
	v, err := s.proposer.propose(ctx, func(v *consensus.Value) *consensus.Value {
		var next *consensus.Value
		next, result.current, result.outcome = c.evaluate(v)
		return next
	})
	if err != nil {
		return changeResult{}, err
	}
	result.slot = v.Slot
	if result.outcome == consensus.OutcomeUnknown && s.isDecided(c) {
		result.outcome = consensus.OutcomeCommitted
	}
	return result, nil
}

// isDecided reports whether a change that the newest value no longer remembers is in this controller's history.
func (s *changeService) isDecided(c change) bool {
	found, ok := query(s.loop, func() bool { return c.isIn(&s.learner.history) })
	return ok && found
}

// problem returns how a change that was not committed is answered; nil = it was committed.
func (r changeResult) problem(c change) *apiError {
	switch r.outcome {
	case consensus.OutcomeCommitted:
		return nil
	case consensus.OutcomeVersionTooLow:
		return &apiError{http.StatusBadRequest, fmt.Sprintf("the version is not above %d, on which it is based", c.basedOn())}
	case consensus.OutcomeIncompatible:
		return &apiError{http.StatusBadRequest, c.incompatibilities()}
	case consensus.OutcomeConflict:
		return &apiError{http.StatusPreconditionFailed, fmt.Sprintf("version %d is in place", r.current)}
	}
	message := fmt.Sprintf("whether it was committed is no longer known: version %d is in place", r.current)
	if c.basedOn() > r.current {
		message = fmt.Sprintf("version %d, on which it is based, is not in place yet: version %d is", c.basedOn(), r.current)
	}
	return &apiError{http.StatusServiceUnavailable, message}
}

func formatVersion(v consensus.Version) string { return strconv.FormatUint(uint64(v), 10) }
