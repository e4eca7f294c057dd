// Package consensus agrees on one value by ballots among acceptors with disks, as a swarm agrees on a nest: without a leader,
// whoever has found something proposes it, and a majority decides. It owns what an acceptor promises and votes, how a
// proposer's round goes, and which sets of acceptors may decide. It has no I/O, no clock and no goroutine: the caller
// stores what an acceptor returns before it tells anybody, and carries messages.
//
// The value is a register (turns 1, 2, 3, ...): each turn's value holds the operator's configuration and the set of
// acceptors. A round first learns the newest value that may have been decided, then proposes that value again or one that
// follows it. docs/design/system.md has the argument why two sets never decide apart.
package consensus

import (
	"cmp"
	"slices"
)

type (
	AcceptorID uint64 // an acceptor's disk: drawn when the disk is first used; 0 = none
	ProposerID uint64 // one life of a proposing process, drawn when it starts
	Slot       uint64 // how many values were decided up to one; 0 = none
	Version    uint64 // of the operator's configuration; 0 = none
)

// Ballot orders rounds: by number, then by who proposes. The zero Ballot comes before all.
type Ballot struct {
	Number uint64
	By     ProposerID
}

// Compare returns -1, 0 or 1 as b comes before, is or comes after o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.By, o.By))
}

// Member is an acceptor and where it was last reached.
type Member struct {
	ID      AcceptorID
	Address string
}

// Revision is a configuration that was agreed.
type Revision struct {
	Version, BasedOn Version
	Digest           string
}

// RetainedRevisions is how many agreed configurations a value remembers besides its own: those within can be told from others that
// lost. They go along in every vote; a Ledger remembers more.
const RetainedRevisions = 32

// Value is what is agreed on at one turn.
type Value struct {
	Slot                  Slot
	Members, PriorMembers []Member // the acceptors from this turn on, and those of the turn before
	Version               Version
	BasedOn               Version
	Digest                string // of Body; "" = no configuration yet
	Body                  []byte
	PriorRevisions        []Revision // the oldest first, without this one
	Documents             []Document // by name
}

// Document is a document that stands beside the configuration: it has versions of its own, and neither changes the other.
type Document struct {
	Name           string
	Version        Version // 1 at first, one more with each change
	Digest         string  // of Body
	Body           []byte
	PriorRevisions []Revision // those before it, the oldest first
}

// RetainedDocumentRevisions is how many versions of a note are remembered besides its own.
const RetainedDocumentRevisions = 16

// Document is the note of a name; the zero Note where there is none yet.
func (v *Value) Document(name string) Document {
	for _, n := range v.Documents {
		if n.Name == name {
			return n
		}
	}
	return Document{Name: name}
}

// WithDocument returns the value of the next turn with a note changed. The value must be settled.
func (v *Value) WithDocument(name, digest string, body []byte) *Value {
	old := v.Document(name)
	past := old.Revisions()
	note := Document{name, old.Version + 1, digest, body, past[max(0, len(past)-RetainedDocumentRevisions):]}
	next := v.Confirm()
	next.Documents = slices.DeleteFunc(slices.Clone(v.Documents), func(n Document) bool { return n.Name == name })
	next.Documents = append(next.Documents, note)
	slices.SortFunc(next.Documents, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

// Confirmed tells whether the value's acceptors are those of the turn before: only then may another follow it.
func (v *Value) Confirmed() bool { return sameMembers(v.Members, v.PriorMembers) }

// Equal tells whether two values are one.
func (v *Value) Equal(o *Value) bool {
	return v.Slot == o.Slot && v.Version == o.Version && v.Digest == o.Digest && sameMembers(v.Members, o.Members) &&
		sameMembers(v.PriorMembers, o.PriorMembers) && slices.EqualFunc(v.Documents, o.Documents, func(a, b Document) bool {
		return a.Name == b.Name && a.Version == b.Version && a.Digest == b.Digest
	})
}

// Revisions is the configurations that the value remembers, the oldest first, its own last.
func (v *Value) Revisions() []Revision {
	if v.Digest == "" {
		return v.PriorRevisions
	}
	return append(slices.Clone(v.PriorRevisions), Revision{v.Version, v.BasedOn, v.Digest})
}

// Revisions is the versions that the note remembers, the oldest first, its own last.
func (n Document) Revisions() []Revision {
	if n.Version == 0 {
		return n.PriorRevisions
	}
	return append(slices.Clone(n.PriorRevisions), Revision{n.Version, n.Version - 1, n.Digest})
}

// WithConfiguration returns the value of the next turn with another configuration. The value must be settled.
func (v *Value) WithConfiguration(version, basedOn Version, digest string, body []byte) *Value {
	past := v.Revisions()
	return &Value{v.Slot + 1, v.Members, v.Members, version, basedOn, digest, body, past[max(0, len(past)-RetainedRevisions):], v.Documents}
}

// WithMembers returns the value of the next turn with another set of acceptors. The value must be settled.
func (v *Value) WithMembers(members []Member) *Value {
	return &Value{v.Slot + 1, members, v.Members, v.Version, v.BasedOn, v.Digest, v.Body, v.PriorRevisions, v.Documents}
}

// Confirm returns the value of the next turn, which confirms a change of the acceptors.
func (v *Value) Confirm() *Value { return v.WithMembers(v.Members) }

// Genesis is the value before any was agreed, with the acceptors that the first start names.
func Genesis(members []Member) *Value { return &Value{Members: members, PriorMembers: members} }

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !Contains(b, m.ID) })
}

// Contains tells whether an acceptor is among members.
func Contains(members []Member, id AcceptorID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// HasMajority tells whether more than half of the members satisfy a condition. No members have no majority.
func HasMajority(members []Member, is func(AcceptorID) bool) bool {
	n := 0
	for _, m := range members {
		if is(m.ID) {
			n++
		}
	}
	return 2*n > len(members)
}

// hasQuorum tells whether acceptors who satisfy a condition decide a value: a majority of its set and of the one before.
func hasQuorum(v *Value, is func(AcceptorID) bool) bool {
	return HasMajority(v.Members, is) && HasMajority(v.PriorMembers, is)
}

// Acceptors are the acceptors whose word counts for a value: its set and the one before.
func (v *Value) Acceptors() []Member {
	all := slices.Clone(v.Members)
	for _, m := range v.PriorMembers {
		if !Contains(all, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// RecoveryBase is what a proposer may start a round from after its process began again, given the value that its disk voted for.
// The acceptors of the turn before that vote are known; what they agreed on is not, as the vote may follow a value that was
// never decided itself. So the turn is 0, and whatever a majority of them reports is newer.
func RecoveryBase(accepted *Value) *Value {
	return &Value{Members: accepted.PriorMembers, PriorMembers: accepted.PriorMembers}
}
