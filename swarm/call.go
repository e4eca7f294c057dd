package swarm

import "slices"

// Call is what an operator wants agreed: a configuration on top of the version that it builds on.
type Call struct {
	Version, BasedOn Version
	Digest           string // of Body
	Body             []byte
}

// Fate is what becomes of a call.
type Fate uint8

// The fates. Each holds once the value that it was found from is decided, not before.
const (
	Taken    Fate = iota // it is agreed, now or since it was first sent
	Outrun               // another version is in place than the one it builds on
	NotAbove             // its version is not above the one in place
)

// Meet tells a call's fate where v is the newest value, and the value to be proposed: v itself, or one that follows it with
// the call's configuration. A call that was taken before is found among those that v remembers, whatever is in place now:
// one sent again after no clear answer must not be told that it lost.
func (c Call) Meet(v *Value) (next *Value, fate Fate) {
	switch {
	case v.Fate(c.Version, c.BasedOn, c.Digest):
		return v, Taken
	case v.Version != c.BasedOn:
		return v, Outrun
	case c.Version <= v.Version:
		return v, NotAbove
	}
	return v.WithConfig(c.Version, c.BasedOn, c.Digest, c.Body), Taken
}

// NoteCall is what an operator wants agreed beside the configuration: a note on top of the version of it that it builds on.
type NoteCall struct {
	Name    string
	BasedOn Version // of the note; 0 = there is none yet
	Digest  string  // of Body
	Body    []byte
}

// Meet tells a note's fate as Call.Meet does a configuration's, and the version that it has where it is taken.
func (c NoteCall) Meet(v *Value) (next *Value, at Version, fate Fate) {
	n := v.Note(c.Name)
	took := Past{c.BasedOn + 1, c.BasedOn, c.Digest}
	switch {
	case n.Version == took.Version && n.Digest == c.Digest || slices.Contains(n.Past, took):
		return v, took.Version, Taken
	case n.Version != c.BasedOn:
		return v, n.Version, Outrun
	}
	return v.WithNote(c.Name, c.Digest, c.Body), took.Version, Taken
}
