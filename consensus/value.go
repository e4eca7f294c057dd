package consensus

import "slices"

// Revision identifies a decided version of the configuration or of a document.
type Revision struct {
	Version Version
	BasedOn Version // the version before it
	Digest  string  // of its body
}

// RetainedRevisions is the number of earlier configurations that a value lists. They travel with every value that is
// accepted; a History retains more.
const RetainedRevisions = 32

// Value is what is decided for one slot. Values are immutable: the With methods return new ones that share parts with them.
type Value struct {
	Slot           Slot
	Members        []Member   // the acceptors from this slot on
	PriorMembers   []Member   // the acceptors of the slot before
	Version        Version    // of the configuration
	BasedOn        Version    // the version before it
	Digest         string     // of Body; "" = no configuration yet
	Body           []byte     // the configuration
	PriorRevisions []Revision // earlier configurations, oldest first, RetainedRevisions at most
	Documents      []Document // ordered by name
}

// Genesis returns the value of slot 0, with the acceptors that the first start of a cluster names.
func Genesis(members []Member) *Value { return &Value{Members: members, PriorMembers: members} }

// RecoveryBase returns the value that a proposer may start from after a restart of its process, given the value that its
// disk accepted last.
//
// The members of the slot before the accepted value are known. What they decided is not known, as the accepted value may
// follow a value that was itself never decided. So the base is at slot 0, where any value that a majority of these members
// reports is newer.
func RecoveryBase(accepted *Value) *Value {
	return &Value{Members: accepted.PriorMembers, PriorMembers: accepted.PriorMembers}
}

// ProposalBase returns the value that a proposer starts from, given the value that its disk accepted last and the newest value that
// it knows to be decided; each may be nil, but not both.
//
// A decided value that is two slots or more behind the accepted one says less of the members: those after it may have left with
// their disks since. A process learns such a value from one that was away for long.
func ProposalBase(accepted, decided *Value) *Value {
	if decided == nil || accepted != nil && decided.Slot+1 < accepted.Slot {
		return RecoveryBase(accepted)
	}
	return decided
}

// Confirmed reports whether the value's members are those of the slot before. Only then may another value follow it.
func (v *Value) Confirmed() bool { return sameMembers(v.Members, v.PriorMembers) }

// Equal reports whether two values are the same. Bodies are compared by their digests.
func (v *Value) Equal(other *Value) bool {
	return v.Slot == other.Slot &&
		v.Version == other.Version &&
		v.Digest == other.Digest &&
		sameMembers(v.Members, other.Members) &&
		sameMembers(v.PriorMembers, other.PriorMembers) &&
		slices.EqualFunc(v.Documents, other.Documents, Document.sameRevision)
}

// Revisions returns the configurations that the value lists, oldest first, its own last.
func (v *Value) Revisions() []Revision {
	if v.Digest == "" {
		return v.PriorRevisions
	}
	own := Revision{Version: v.Version, BasedOn: v.BasedOn, Digest: v.Digest}
	return append(slices.Clone(v.PriorRevisions), own)
}

// Acceptors returns the acceptors whose replies count for the value: its members and those before them.
func (v *Value) Acceptors() []Member {
	all := slices.Clone(v.Members)
	for _, m := range v.PriorMembers {
		if !Contains(all, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// WithConfiguration returns the value of the next slot with another configuration. The value must be confirmed.
func (v *Value) WithConfiguration(version, basedOn Version, digest string, body []byte) *Value {
	next := v.Confirm()
	next.Version = version
	next.BasedOn = basedOn
	next.Digest = digest
	next.Body = body
	next.PriorRevisions = newestRevisions(v.Revisions(), RetainedRevisions)
	return next
}

// WithMembers returns the value of the next slot with another set of acceptors. The value must be confirmed, or the members
// be its own.
func (v *Value) WithMembers(members []Member) *Value {
	next := *v
	next.Slot++
	next.Members = members
	next.PriorMembers = v.Members
	return &next
}

// Confirm returns the value of the next slot with the same members, which confirms a change of them.
func (v *Value) Confirm() *Value { return v.WithMembers(v.Members) }

// newestRevisions returns the last revisions of a list, limit of them at most.
func newestRevisions(revisions []Revision, limit int) []Revision {
	return revisions[max(0, len(revisions)-limit):]
}
