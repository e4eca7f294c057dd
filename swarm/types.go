// Package swarm agrees on one value by ballots among acceptors with disks, as a swarm agrees on a nest: without a leader,
// whoever has found something proposes it, and a majority decides. It owns what an acceptor promises and votes, how a
// proposer's round goes, and which sets of acceptors may decide. It has no I/O, no clock and no goroutine: the caller
// stores what an acceptor returns before it tells anybody, and carries messages.
//
// The value is a register (turns 1, 2, 3, ...): each turn's value holds the operator's configuration and the set of
// acceptors. A round first learns the newest value that may have been decided, then proposes that value again or one that
// follows it. docs/design/system.md has the argument why two sets never decide apart.
package swarm

import (
	"cmp"
	"slices"
)

type (
	AcceptorID uint64 // an acceptor's disk: drawn when the disk is first used; 0 = none
	ProposerID uint64 // one life of a proposing process, drawn when it starts
	Turn       uint64 // how many values were decided up to one; 0 = none
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

// Past is a configuration that was agreed.
type Past struct {
	Version, BasedOn Version
	Digest           string
}

// KeptPasts is how many agreed configurations a value remembers besides its own: those within can be told from others that
// lost. They go along in every vote; a Ledger remembers more.
const KeptPasts = 32

// Value is what is agreed on at one turn.
type Value struct {
	Turn           Turn
	Members, Prior []Member // the acceptors from this turn on, and those of the turn before
	Version        Version
	BasedOn        Version
	Digest         string // of Body; "" = no configuration yet
	Body           []byte
	Past           []Past // the oldest first, without this one
	Notes          []Note // by name
}

// Note is a document that stands beside the configuration: it has versions of its own, and neither changes the other.
type Note struct {
	Name    string
	Version Version // 1 at first, one more with each change
	Digest  string  // of Body
	Body    []byte
	Past    []Past // those before it, the oldest first
}

// KeptNotes is how many versions of a note are remembered besides its own.
const KeptNotes = 16

// Note is the note of a name; the zero Note where there is none yet.
func (v *Value) Note(name string) Note {
	for _, n := range v.Notes {
		if n.Name == name {
			return n
		}
	}
	return Note{Name: name}
}

// WithNote returns the value of the next turn with a note changed. The value must be settled.
func (v *Value) WithNote(name, digest string, body []byte) *Value {
	old := v.Note(name)
	past := old.Agreed()
	note := Note{name, old.Version + 1, digest, body, past[max(0, len(past)-KeptNotes):]}
	next := v.Settle()
	next.Notes = slices.DeleteFunc(slices.Clone(v.Notes), func(n Note) bool { return n.Name == name })
	next.Notes = append(next.Notes, note)
	slices.SortFunc(next.Notes, func(a, b Note) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

// Settled tells whether the value's acceptors are those of the turn before: only then may another follow it.
func (v *Value) Settled() bool { return sameMembers(v.Members, v.Prior) }

// Same tells whether two values are one.
func (v *Value) Same(o *Value) bool {
	return v.Turn == o.Turn && v.Version == o.Version && v.Digest == o.Digest && sameMembers(v.Members, o.Members) &&
		sameMembers(v.Prior, o.Prior) && slices.EqualFunc(v.Notes, o.Notes, func(a, b Note) bool {
		return a.Name == b.Name && a.Version == b.Version && a.Digest == b.Digest
	})
}

// Agreed is the configurations that the value remembers, the oldest first, its own last.
func (v *Value) Agreed() []Past {
	if v.Digest == "" {
		return v.Past
	}
	return append(slices.Clone(v.Past), Past{v.Version, v.BasedOn, v.Digest})
}

// Agreed is the versions that the note remembers, the oldest first, its own last.
func (n Note) Agreed() []Past {
	if n.Version == 0 {
		return n.Past
	}
	return append(slices.Clone(n.Past), Past{n.Version, n.Version - 1, n.Digest})
}

// WithConfig returns the value of the next turn with another configuration. The value must be settled.
func (v *Value) WithConfig(version, basedOn Version, digest string, body []byte) *Value {
	past := v.Agreed()
	return &Value{v.Turn + 1, v.Members, v.Members, version, basedOn, digest, body, past[max(0, len(past)-KeptPasts):], v.Notes}
}

// WithMembers returns the value of the next turn with another set of acceptors. The value must be settled.
func (v *Value) WithMembers(members []Member) *Value {
	return &Value{v.Turn + 1, members, v.Members, v.Version, v.BasedOn, v.Digest, v.Body, v.Past, v.Notes}
}

// Settle returns the value of the next turn, which confirms a change of the acceptors.
func (v *Value) Settle() *Value { return v.WithMembers(v.Members) }

// Genesis is the value before any was agreed, with the acceptors that the first start names.
func Genesis(members []Member) *Value { return &Value{Members: members, Prior: members} }

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !Has(b, m.ID) })
}

// Has tells whether an acceptor is among members.
func Has(members []Member, id AcceptorID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// Majority tells whether more than half of the members satisfy a condition. No members have no majority.
func Majority(members []Member, is func(AcceptorID) bool) bool {
	n := 0
	for _, m := range members {
		if is(m.ID) {
			n++
		}
	}
	return 2*n > len(members)
}

// decides tells whether acceptors who satisfy a condition decide a value: a majority of its set and of the one before.
func decides(v *Value, is func(AcceptorID) bool) bool {
	return Majority(v.Members, is) && Majority(v.Prior, is)
}

// Voters are the acceptors whose word counts for a value: its set and the one before.
func (v *Value) Voters() []Member {
	all := slices.Clone(v.Members)
	for _, m := range v.Prior {
		if !Has(all, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// Restarted is what a proposer may start a round from after its process began again, given the value that its disk voted for.
// The acceptors of the turn before that vote are known; what they agreed on is not, as the vote may follow a value that was
// never decided itself. So the turn is 0, and whatever a majority of them reports is newer.
func Restarted(vote *Value) *Value {
	return &Value{Members: vote.Prior, Prior: vote.Prior}
}
