package consensus

import (
	"fmt"
	"slices"
)

// Outcome is what becomes of a request to change the configuration or a document. It holds once the value that it was
// found from is decided, not before.
//
// OutcomeConflict and OutcomeVersionTooLow are final: no copy of the request that is still in flight can be committed later,
// as versions only rise.
type Outcome uint8

// The outcomes.
const (
	// OutcomeCommitted: the request is committed, now or since it was first sent.
	OutcomeCommitted Outcome = iota
	// OutcomeConflict: the newest version is not the one that the request is based on. It was never committed and
	// never will be.
	OutcomeConflict
	// OutcomeVersionTooLow: the request's version is not above the one that it is based on.
	OutcomeVersionTooLow
	// OutcomeUnknown: the request may have been committed before all revisions that the value lists, or may be later.
	OutcomeUnknown
	// OutcomeIncompatible: the document does not fit the configuration beside which it would be. Another configuration may
	// follow that it fits.
	OutcomeIncompatible
)

// String returns the outcome in words.
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

// ChangeRequest asks for a configuration to be committed on top of another version.
type ChangeRequest struct {
	Version Version
	BasedOn Version // the version that must be the newest
	Digest  string  // of Body
	Body    []byte
}

// Evaluate returns the request's outcome where v is the newest value, and the value to propose: v itself, or one that
// follows it with the request's configuration.
//
// A request that was committed before is found among the revisions that v lists, whatever version is the newest now: one that is sent
// again after an unclear answer must not be reported as a conflict. One that is older than all revisions that v lists has
// OutcomeUnknown; a History may know more.
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

// DocumentChangeRequest asks for a document to be committed on top of another version of it.
type DocumentChangeRequest struct {
	Name       string
	BasedOn    Version // of the document; 0 = it does not exist yet
	Digest     string  // of Body
	Body       []byte
	Compatible func(v *Value) bool // reports whether the document may be in a value that follows v; nil = in any
}

// Evaluate returns the request's outcome as ChangeRequest.Evaluate does, and the document's version: the one that the
// request created where it is committed, else the newest one.
//
// Compatibility is checked only where the revision would be new: what was committed once is not compared with a
// configuration that came later.
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

// evaluate returns the outcome of a requested revision, given those that are listed, oldest first, and whether it is to
// follow them.
//
// Versions rise, and each names the one before it. So none was committed between a listed revision and its base, and one
// based on a version below the newest can never be committed later. What is left unknown is what came before all listed
// revisions, and what is based on a version that is not committed yet: that version may follow, and a copy of the
// request after it.
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
	case revision.Version <= revision.BasedOn: // never to be committed, whatever the newest version is
		return OutcomeConflict, false
	case revision.BasedOn == newest:
		return OutcomeCommitted, true
	case revision.BasedOn > newest, revision.Version <= horizon:
		return OutcomeUnknown, false
	}
	return OutcomeConflict, false
}
