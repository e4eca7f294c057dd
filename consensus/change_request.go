package consensus

import (
	"fmt"
	"slices"
)

// Outcome is the outcome of a request to change the configuration or a document. It is valid only once the value from which
// it was determined is decided.
//
// OutcomeConflict and OutcomeVersionTooLow are final: no copy of the request that is still in flight can be committed later,
// because versions only increase.
type Outcome uint8

// Outcomes of a change request.
const (
	// OutcomeCommitted means that the request is committed, either by this evaluation or by an earlier copy of it.
	OutcomeCommitted Outcome = iota
	// OutcomeConflict means that the request is not based on the newest version. It was never committed and never will be.
	OutcomeConflict
	// OutcomeVersionTooLow means that the request's version is not above the version that it is based on.
	OutcomeVersionTooLow
	// OutcomeUnknown means that the request may have been committed before all revisions that the value lists, or may still
	// be committed later.
	OutcomeUnknown
	// OutcomeIncompatible means that the document is incompatible with the configuration in the same value. It may be
	// compatible with a later configuration.
	OutcomeIncompatible
)

// String returns a description of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeCommitted:
		return "committed"
	case OutcomeConflict:
		return "conflict"
	case OutcomeVersionTooLow:
		return "version too low"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeIncompatible:
		return "incompatible with the configuration"
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

// ChangeRequest is a request to commit a configuration as the successor of a given version.
type ChangeRequest struct {
	Version Version
	BasedOn Version // the request conflicts unless this is the newest version
	Digest  string  // digest of Body
	Body    []byte
}

// Evaluate returns the outcome of the request if v is the newest value, and the value to propose: either v itself or its
// successor with the requested configuration.
//
// A request that was committed earlier is recognized among the revisions that v lists, whatever the newest version is: a
// request that is sent again after an unclear reply must not be reported as a conflict. A request that is older than all
// revisions that v lists has OutcomeUnknown; a History may contain it.
func (r ChangeRequest) Evaluate(v *Value) (next *Value, outcome Outcome) {
	outcome, follows := evaluate(r.revision(), v.Revisions())
	if !follows {
		return v, outcome
	}
	return v.WithConfiguration(r.Version, r.BasedOn, r.Digest, r.Body), outcome
}

// revision returns the revision that the request asks for.
func (r ChangeRequest) revision() Revision {
	return Revision{Version: r.Version, BasedOn: r.BasedOn, Digest: r.Digest}
}

// DocumentChangeRequest is a request to commit a document as the successor of a given version of that document.
type DocumentChangeRequest struct {
	Name       string
	BasedOn    Version // version of the document that must be the newest; 0 = the document must not exist yet
	Digest     string  // digest of Body
	Body       []byte
	Compatible func(v *Value) bool // reports whether a successor of v may contain the document; nil = always
}

// Evaluate returns the value to propose and the outcome of the request like ChangeRequest.Evaluate, and a version of the
// document: the one that the request created if it is committed, otherwise the newest one.
//
// Compatibility is checked only if the revision would be new: a revision that is already committed is not checked against a
// later configuration.
func (r DocumentChangeRequest) Evaluate(v *Value) (next *Value, version Version, outcome Outcome) {
	current := v.Document(r.Name)
	outcome, follows := evaluate(r.revision(), current.Revisions())
	switch {
	case outcome == OutcomeCommitted && !follows:
		return v, r.revision().Version, outcome
	case !follows:
		return v, current.Version, outcome
	case r.Compatible != nil && !r.Compatible(v):
		return v, current.Version, OutcomeIncompatible
	}
	return v.WithDocument(r.Name, r.Digest, r.Body), r.revision().Version, outcome
}

// revision returns the revision that the request asks for.
func (r DocumentChangeRequest) revision() Revision {
	return Revision{Version: r.BasedOn + 1, BasedOn: r.BasedOn, Digest: r.Digest}
}

// evaluate returns the outcome of a requested revision, given the listed revisions, oldest first. The result follows reports
// whether the revision must be added as the successor of the newest listed one.
//
// Versions only increase, and each revision names the version that it replaced. So no version between a listed revision and
// its base was ever committed, and a revision that is based on a version below the newest can never be committed later. Two
// cases remain unknown: a revision that is not above the base of the oldest listed one (horizon), and a revision based on a
// version that is not committed yet. That version may still be committed, and a copy of the request after it.
func evaluate(revision Revision, listed []Revision) (outcome Outcome, follows bool) {
	var newest, horizon Version
	if len(listed) > 0 {
		newest = listed[len(listed)-1].Version
		horizon = listed[0].BasedOn
	}
	switch {
	case slices.Contains(listed, revision):
		return OutcomeCommitted, false
	case revision.Version <= revision.BasedOn && revision.BasedOn == newest:
		return OutcomeVersionTooLow, false
	case revision.Version <= revision.BasedOn: // can never be committed, whatever the newest version is
		return OutcomeConflict, false
	case revision.BasedOn == newest:
		return OutcomeCommitted, true
	case revision.BasedOn > newest, revision.Version <= horizon:
		return OutcomeUnknown, false
	}
	return OutcomeConflict, false
}
