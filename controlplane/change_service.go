package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oxbowspan/consensus"
)

// consensusTimeout limits a proposal that an operator waits for. changeTimeout adds time for long bodies.
const consensusTimeout = 900 * time.Millisecond

// change is a new version of the configuration or of a document, as submitted by an operator.
type change interface {
	// version returns the version of the change itself, basedOn the version that it replaces.
	version() consensus.Version
	basedOn() consensus.Version
	// evaluate applies the change to the newest value v. It returns the value to propose, the newest committed version,
	// and the outcome of the change.
	evaluate(v *consensus.Value) (next *consensus.Value, current consensus.Version, outcome consensus.Outcome)
	// isRecordedIn reports whether a history contains the change.
	isRecordedIn(h *consensus.History) bool
	// incompatibilities describes why the last evaluation found the change incompatible with the configuration.
	incompatibilities() string
}

// changeResult is the result of a submitted change.
type changeResult struct {
	outcome consensus.Outcome
	slot    consensus.Slot
	current consensus.Version // the newest committed version
}

// changeService submits changes to the consensus protocol.
type changeService struct {
	loop     *eventLoop
	learner  *learner
	proposer *proposer
}

func newChangeService(loop *eventLoop, learner *learner, proposer *proposer) *changeService {
	return &changeService{loop: loop, learner: learner, proposer: proposer}
}

// changeTimeout returns the time limit of a change whose body has the given length in bytes. Long bodies take longer to send and
// to store.
func changeTimeout(length int) time.Duration {
	return consensusTimeout + time.Duration(length/1000)*time.Millisecond
}

// submit proposes a change until its outcome is decided. The only error is errNoQuorum; the change may still be decided after it.
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

// isDecided reports whether this controller's history contains a change that the newest value no longer lists.
func (s *changeService) isDecided(c change) bool {
	found, ok := query(s.loop, func() bool { return c.isRecordedIn(&s.learner.history) })
	return ok && found
}

// problem returns the error response for a change that was not committed; nil if it was committed.
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
