package dance

import "oxbowspan/swarm"

// FromValue and the others below turn what is agreed on into messages and back.
func FromValue(v *swarm.Value, have string) *Value {
	if v == nil {
		return nil
	}
	m := &Value{Turn: uint64(v.Turn), Members: fromMembers(v.Members), Prior: fromMembers(v.Prior),
		Version: uint64(v.Version), BasedOn: uint64(v.BasedOn), Digest: []byte(v.Digest), Body: v.Body, Past: fromPast(v.Past)}
	if have != "" && have == v.Digest {
		m.Body, m.BodyLeftOut = nil, true
	}
	for _, n := range v.Notes {
		m.Notes = append(m.Notes, FromNote(n))
	}
	return m
}

// ToValue returns the value, with the reader's own body where it was left out.
func ToValue(m *Value, body []byte) *swarm.Value {
	if m == nil {
		return nil
	}
	v := &swarm.Value{Turn: swarm.Turn(m.Turn), Members: toMembers(m.Members), Prior: toMembers(m.Prior),
		Version: swarm.Version(m.Version), BasedOn: swarm.Version(m.BasedOn), Digest: string(m.Digest), Body: m.Body, Past: toPast(m.Past)}
	if m.BodyLeftOut {
		v.Body = body
	}
	for _, n := range m.Notes {
		v.Notes = append(v.Notes, swarm.Note{Name: n.Name, Version: swarm.Version(n.Version), Digest: string(n.Digest), Body: n.Body, Past: toPast(n.Past)})
	}
	return v
}

// FromNote turns a note into a message.
func FromNote(n swarm.Note) *Note {
	return &Note{Name: n.Name, Version: uint64(n.Version), Digest: []byte(n.Digest), Body: n.Body, Past: fromPast(n.Past)}
}

func fromPast(in []swarm.Past) (out []*Past) {
	for _, p := range in {
		out = append(out, &Past{Version: uint64(p.Version), BasedOn: uint64(p.BasedOn), Digest: []byte(p.Digest)})
	}
	return out
}

func toPast(in []*Past) (out []swarm.Past) {
	for _, p := range in {
		out = append(out, swarm.Past{Version: swarm.Version(p.Version), BasedOn: swarm.Version(p.BasedOn), Digest: string(p.Digest)})
	}
	return out
}

func fromMembers(in []swarm.Member) (out []*Member) {
	for _, m := range in {
		out = append(out, &Member{Id: uint64(m.ID), Address: m.Address})
	}
	return out
}

func toMembers(in []*Member) (out []swarm.Member) {
	for _, m := range in {
		out = append(out, swarm.Member{ID: swarm.AcceptorID(m.Id), Address: m.Address})
	}
	return out
}

// FromBallot turns a ballot into a message.
func FromBallot(b swarm.Ballot) *Ballot { return &Ballot{Number: b.Number, By: uint64(b.By)} }

// ToBallot is its inverse; nil is the zero ballot.
func ToBallot(m *Ballot) swarm.Ballot {
	return swarm.Ballot{Number: m.GetNumber(), By: swarm.ProposerID(m.GetBy())}
}
