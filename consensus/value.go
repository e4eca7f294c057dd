package consensus

import "slices"

// Revision identifies a decided version of the configuration or of a document.
type Revision struct {
	Version Version
	BasedOn Version // version that it replaced
	Digest  string  // digest of its body
}

// RetainedRevisions is the maximum number of earlier configurations that a value lists. They are sent with every value in an
// Accept; a History retains more.
const RetainedRevisions = 32

// Value is the value that is proposed and decided for one slot. Values are immutable: the With methods return new values that
// share memory with the receiver.
type Value struct {
	Slot           Slot
	Members        []Member   // the acceptors from this slot on
	PriorMembers   []Member   // the acceptors of the previous slot
	Version        Version    // version of the configuration
	BasedOn        Version    // version that the configuration replaced
	Digest         string     // digest of Body; "" = no configuration yet
	Body           []byte     // the configuration
	PriorRevisions []Revision // earlier configurations, oldest first, at most RetainedRevisions
	Documents      []Document // sorted by name
}

// Genesis returns the value of slot 0. The members are the acceptors given at the first start of the cluster.
func Genesis(members []Member) *Value { return &Value{Members: members, PriorMembers: members} }

// RecoveryBase returns the base from which a proposer may start after a restart of its process, given the value accepted last
// according to its disk.
//
// The accepted value shows the members of the slot before it, but not what these members decided: it may succeed a value that
// was itself never decided. So the base is at slot 0, and any value that a majority of these members reports is newer.
func RecoveryBase(accepted *Value) *Value {
	return &Value{Members: accepted.PriorMembers, PriorMembers: accepted.PriorMembers}
}

// ProposalBase returns the base from which a proposer starts, given the value accepted last according to its disk and the
// newest value that the proposer knows to be decided. Either may be nil, but not both.
//
// A decided value that is two or more slots behind the accepted value is not used, as its list of members is less reliable
// than that of the accepted value: its members may have left since, together with their disks. A process learns such a value
// from a process that was unavailable for a long time.
func ProposalBase(accepted, decided *Value) *Value {
	if decided == nil || accepted != nil && decided.Slot+1 < accepted.Slot {
		return RecoveryBase(accepted)
	}
	return decided
}

// Confirmed reports whether the value's members equal its prior members. Only then may a successor with a change be proposed.
func (v *Value) Confirmed() bool { return sameMembers(v.Members, v.PriorMembers) }

// Equal reports whether two values are equal. Bodies are compared by their digests.
func (v *Value) Equal(other *Value) bool {
	return v.Slot == other.Slot &&
		v.Version == other.Version &&
		v.Digest == other.Digest &&
		sameMembers(v.Members, other.Members) &&
		sameMembers(v.PriorMembers, other.PriorMembers) &&
		slices.EqualFunc(v.Documents, other.Documents, Document.sameRevision)
}

// Revisions returns the configurations that the value lists, oldest first, including its own as the last.
func (v *Value) Revisions() []Revision {
	if v.Digest == "" {
		return v.PriorRevisions
	}
	own := Revision{Version: v.Version, BasedOn: v.BasedOn, Digest: v.Digest}
	return append(slices.Clone(v.PriorRevisions), own)
}

// Acceptors returns the acceptors whose replies count towards the quorum of the value: its members and its prior members.
func (v *Value) Acceptors() []Member {
	all := slices.Clone(v.Members)
	for _, m := range v.PriorMembers {
		if !Contains(all, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// WithConfiguration returns the value of the next slot with a new configuration. The receiver must be confirmed.
func (v *Value) WithConfiguration(version, basedOn Version, digest string, body []byte) *Value {
	next := v.Confirm()
	next.Version = version
	next.BasedOn = basedOn
	next.Digest = digest
	next.Body = body
	next.PriorRevisions = newestRevisions(v.Revisions(), RetainedRevisions)
	return next
}

// WithMembers returns the value of the next slot with a new set of acceptors. The receiver must be confirmed unless its
// members are passed unchanged.
func (v *Value) WithMembers(members []Member) *Value {
	next := *v
	next.Slot++
	next.Members = members
	next.PriorMembers = v.Members
	return &next
}

// Confirm returns the value of the next slot with the same members, which confirms a preceding membership change.
func (v *Value) Confirm() *Value { return v.WithMembers(v.Members) }

// newestRevisions returns the last revisions of a list, at most limit.
func newestRevisions(revisions []Revision, limit int) []Revision {
	return revisions[max(0, len(revisions)-limit):]
}
