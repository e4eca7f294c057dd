package swarm

import "slices"

// Fate is what becomes of a call.
type Fate uint8

// The fates. Each holds once the value that it was found from is decided, not before. Outrun and NotAbove are final: no copy
// of the call that is still on its way can be agreed later, as versions only rise.
const (
	Taken    Fate = iota // it is agreed, now or since it was first sent
	Outrun               // another version is in place than the one that it builds on, and it never was nor will be agreed
	NotAbove             // its version is not above the one that it builds on
	Unclear              // it may have been agreed before all that the value remembers, or may be later: neither taken nor refused
	Unfit                // a note that does not fit the configuration beside which it would stand
)

// String is the fate in words.
func (f Fate) String() string {
	switch f {
	case Taken:
		return "taken"
	case Outrun:
		return "another version is in place"
	case NotAbove:
		return "not above its base"
	case Unclear:
		return "not known"
	case Unfit:
		return "does not fit the configuration"
	}
	return "unknown fate"
}

// Call is what an operator wants agreed: a configuration on top of the version that it builds on.
type Call struct {
	Version, BasedOn Version
	Digest           string // of Body
	Body             []byte
}

// Meet tells a call's fate where v is the newest value, and the value to be proposed: v itself, or one that follows it with
// the call's configuration. A call that was taken before is found among those that v remembers, whatever is in place now:
// one sent again after no clear answer must not be told that it lost. One that is older than all that v remembers is
// Unclear; a Ledger may know more.
func (c Call) Meet(v *Value) (next *Value, fate Fate) {
	fate, follows := meet(c.past(), v.Agreed())
	if !follows {
		return v, fate
	}
	return v.WithConfig(c.Version, c.BasedOn, c.Digest, c.Body), fate
}

func (c Call) past() Past { return Past{c.Version, c.BasedOn, c.Digest} }

// NoteCall is what an operator wants agreed beside the configuration: a note on top of the version of it that it builds on.
type NoteCall struct {
	Name    string
	BasedOn Version // of the note; 0 = there is none yet
	Digest  string  // of Body
	Body    []byte
	Fits    func(v *Value) bool // whether it may stand in a value that follows v; nil = in any
}

// Meet tells a note's fate as Call.Meet does a configuration's, and the version that it has where it is taken. Whether it
// fits is asked only where it would be new: what was taken once is not held against what came later.
func (c NoteCall) Meet(v *Value) (next *Value, at Version, fate Fate) {
	n := v.Note(c.Name)
	fate, follows := meet(c.past(), n.Agreed())
	switch {
	case fate == Taken && !follows:
		return v, c.past().Version, fate
	case !follows:
		return v, n.Version, fate
	case c.Fits != nil && !c.Fits(v):
		return v, n.Version, Unfit
	}
	return v.WithNote(c.Name, c.Digest, c.Body), c.past().Version, fate
}

func (c NoteCall) past() Past { return Past{c.BasedOn + 1, c.BasedOn, c.Digest} }

// meet tells the fate of a version beside those that are remembered, the oldest first, and whether it is to follow them.
//
// Versions rise, and each names the one before it. So none was agreed between a remembered one and the one that it builds
// on; and one that builds on a version below the newest can never be agreed later. What is left is what came before all
// that are remembered, and what builds on a version that is not there yet: the base may come, and a copy of the call with it.
func meet(p Past, agreed []Past) (fate Fate, follows bool) {
	newest, horizon := Version(0), Version(0)
	if n := len(agreed); n > 0 {
		newest, horizon = agreed[n-1].Version, agreed[0].BasedOn
	}
	switch {
	case slices.Contains(agreed, p):
		return Taken, false
	case p.Version <= p.BasedOn && p.BasedOn == newest:
		return NotAbove, false
	case p.Version <= p.BasedOn: // never to be agreed, whatever comes
		return Outrun, false
	case p.BasedOn == newest:
		return Taken, true
	case p.BasedOn > newest, p.Version <= horizon:
		return Unclear, false
	}
	return Outrun, false
}
