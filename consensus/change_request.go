package consensus

import "slices"

// Outcome is what becomes of a call.
type Outcome uint8

// The fates. Each holds once the value that it was found from is decided, not before. Outrun and OutcomeVersionTooLow are final: no copy
// of the call that is still on its way can be agreed later, as versions only rise.
const (
	OutcomeCommitted     Outcome = iota // it is agreed, now or since it was first sent
	OutcomeConflict                     // another version is in place than the one that it builds on, and it never was nor will be agreed
	OutcomeVersionTooLow                // its version is not above the one that it builds on
	OutcomeUnknown                      // it may have been agreed before all that the value remembers, or may be later: neither taken nor refused
	OutcomeIncompatible                 // a note that does not fit the configuration beside which it would stand
)

// String is the fate in words.
func (f Outcome) String() string {
	switch f {
	case OutcomeCommitted:
		return "taken"
	case OutcomeConflict:
		return "another version is in place"
	case OutcomeVersionTooLow:
		return "not above its base"
	case OutcomeUnknown:
		return "not known"
	case OutcomeIncompatible:
		return "does not fit the configuration"
	}
	return "unknown fate"
}

// ChangeRequest is what an operator wants agreed: a configuration on top of the version that it builds on.
type ChangeRequest struct {
	Version, BasedOn Version
	Digest           string // of Body
	Body             []byte
}

// Evaluate tells a call's fate where v is the newest value, and the value to be proposed: v itself, or one that follows it with
// the call's configuration. A call that was taken before is found among those that v remembers, whatever is in place now:
// one sent again after no clear answer must not be told that it lost. One that is older than all that v remembers is
// Unclear; a Ledger may know more.
func (c ChangeRequest) Evaluate(v *Value) (next *Value, outcome Outcome) {
	outcome, follows := evaluate(c.revision(), v.Revisions())
	if !follows {
		return v, outcome
	}
	return v.WithConfiguration(c.Version, c.BasedOn, c.Digest, c.Body), outcome
}

func (c ChangeRequest) revision() Revision { return Revision{c.Version, c.BasedOn, c.Digest} }

// DocumentChangeRequest is what an operator wants agreed beside the configuration: a note on top of the version of it that it builds on.
type DocumentChangeRequest struct {
	Name       string
	BasedOn    Version // of the note; 0 = there is none yet
	Digest     string  // of Body
	Body       []byte
	Compatible func(v *Value) bool // whether it may stand in a value that follows v; nil = in any
}

// Evaluate tells a note's fate as Call.Meet does a configuration's, and the version that it has where it is taken. Whether it
// fits is asked only where it would be new: what was taken once is not held against what came later.
func (c DocumentChangeRequest) Evaluate(v *Value) (next *Value, version Version, outcome Outcome) {
	n := v.Document(c.Name)
	outcome, follows := evaluate(c.revision(), n.Revisions())
	switch {
	case outcome == OutcomeCommitted && !follows:
		return v, c.revision().Version, outcome
	case !follows:
		return v, n.Version, outcome
	case c.Compatible != nil && !c.Compatible(v):
		return v, n.Version, OutcomeIncompatible
	}
	return v.WithDocument(c.Name, c.Digest, c.Body), c.revision().Version, outcome
}

func (c DocumentChangeRequest) revision() Revision {
	return Revision{c.BasedOn + 1, c.BasedOn, c.Digest}
}

// evaluate tells the fate of a version beside those that are remembered, the oldest first, and whether it is to follow them.
//
// Versions rise, and each names the one before it. So none was agreed between a remembered one and the one that it builds
// on; and one that builds on a version below the newest can never be agreed later. What is left is what came before all
// that are remembered, and what builds on a version that is not there yet: the base may come, and a copy of the call with it.
func evaluate(revision Revision, agreed []Revision) (outcome Outcome, follows bool) {
	newest, horizon := Version(0), Version(0)
	if n := len(agreed); n > 0 {
		newest, horizon = agreed[n-1].Version, agreed[0].BasedOn
	}
	switch {
	case slices.Contains(agreed, revision):
		return OutcomeCommitted, false
	case revision.Version <= revision.BasedOn && revision.BasedOn == newest:
		return OutcomeVersionTooLow, false
	case revision.Version <= revision.BasedOn: // never to be agreed, whatever comes
		return OutcomeConflict, false
	case revision.BasedOn == newest:
		return OutcomeCommitted, true
	case revision.BasedOn > newest, revision.Version <= horizon:
		return OutcomeUnknown, false
	}
	return OutcomeConflict, false
}
