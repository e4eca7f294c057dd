package dance

import (
	"slices"

	"oxbowspan/consensus"
)

// FromValue and the others below turn what is agreed on into messages and back. Bodies whose digests the reader has are left
// out.
func FromValue(v *consensus.Value, has ...string) *Value {
	if v == nil {
		return nil
	}
	m := &Value{Turn: uint64(v.Slot), Members: fromMembers(v.Members), Prior: fromMembers(v.PriorMembers),
		Version: uint64(v.Version), BasedOn: uint64(v.BasedOn), Digest: []byte(v.Digest), Body: v.Body, Past: fromPast(v.PriorRevisions)}
	if leaveOut(v.Digest, has) {
		m.Body, m.BodyLeftOut = nil, true
	}
	for _, n := range v.Documents {
		note := FromNote(n)
		if leaveOut(n.Digest, has) {
			note.Body, note.BodyLeftOut = nil, true
		}
		m.Notes = append(m.Notes, note)
	}
	return m
}

func leaveOut(digest string, has []string) bool { return digest != "" && slices.Contains(has, digest) }

// ToValue returns the value, with bodies that were left out taken from values that the reader holds. It returns nil where one
// of them is in none of these: such a value is not to be used.
func ToValue(m *Value, held ...*consensus.Value) *consensus.Value {
	if m == nil {
		return nil
	}
	bodies := Bodies(held...)
	v := &consensus.Value{Slot: consensus.Slot(m.Turn), Members: toMembers(m.Members), PriorMembers: toMembers(m.Prior),
		Version: consensus.Version(m.Version), BasedOn: consensus.Version(m.BasedOn), Digest: string(m.Digest), Body: m.Body, PriorRevisions: toPast(m.Past)}
	if m.BodyLeftOut {
		body, found := bodies[v.Digest]
		if !found {
			return nil
		}
		v.Body = body
	}
	for _, n := range m.Notes {
		note := consensus.Document{Name: n.Name, Version: consensus.Version(n.Version), Digest: string(n.Digest), Body: n.Body, PriorRevisions: toPast(n.Past)}
		if n.BodyLeftOut {
			body, found := bodies[note.Digest]
			if !found {
				return nil
			}
			note.Body = body
		}
		v.Documents = append(v.Documents, note)
	}
	return v
}

// Digests are those of the bodies that a value holds.
func Digests(v *consensus.Value) (out []string) {
	for digest := range Bodies(v) {
		out = append(out, digest)
	}
	return out
}

// Bodies are those that values hold, by digest.
func Bodies(values ...*consensus.Value) map[string][]byte {
	bodies := map[string][]byte{}
	for _, v := range values {
		if v == nil {
			continue
		}
		if v.Digest != "" {
			bodies[v.Digest] = v.Body
		}
		for _, n := range v.Documents {
			if n.Digest != "" {
				bodies[n.Digest] = n.Body
			}
		}
	}
	return bodies
}

// FromDigests turns digests into those of a message.
func FromDigests(digests []string) (out [][]byte) {
	for _, d := range digests {
		out = append(out, []byte(d))
	}
	return out
}

// ToDigests is its inverse.
func ToDigests(digests [][]byte) (out []string) {
	for _, d := range digests {
		out = append(out, string(d))
	}
	return out
}

// FromNote turns a note into a message.
func FromNote(n consensus.Document) *Note {
	return &Note{Name: n.Name, Version: uint64(n.Version), Digest: []byte(n.Digest), Body: n.Body, Past: fromPast(n.PriorRevisions)}
}

func fromPast(in []consensus.Revision) (out []*Past) {
	for _, p := range in {
		out = append(out, &Past{Version: uint64(p.Version), BasedOn: uint64(p.BasedOn), Digest: []byte(p.Digest)})
	}
	return out
}

func toPast(in []*Past) (out []consensus.Revision) {
	for _, p := range in {
		out = append(out, consensus.Revision{Version: consensus.Version(p.Version), BasedOn: consensus.Version(p.BasedOn), Digest: string(p.Digest)})
	}
	return out
}

func fromMembers(in []consensus.Member) (out []*Member) {
	for _, m := range in {
		out = append(out, &Member{Id: uint64(m.ID), Address: m.Address})
	}
	return out
}

func toMembers(in []*Member) (out []consensus.Member) {
	for _, m := range in {
		out = append(out, consensus.Member{ID: consensus.AcceptorID(m.Id), Address: m.Address})
	}
	return out
}

// FromBallot turns a ballot into a message.
func FromBallot(b consensus.Ballot) *Ballot { return &Ballot{Number: b.Number, By: uint64(b.By)} }

// ToBallot is its inverse; nil is the zero ballot.
func ToBallot(m *Ballot) consensus.Ballot {
	return consensus.Ballot{Number: m.GetNumber(), By: consensus.ProposerID(m.GetBy())}
}
