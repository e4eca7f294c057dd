package dance

import "oxbowspan/swarm"

// FromValue and the others below turn what is agreed on into messages and back.
func FromValue(v *swarm.Value, have string) *Value {
	if v == nil {
		return nil
	}
	m := &Value{Turn: uint64(v.Turn), Members: fromMembers(v.Members), Prior: fromMembers(v.Prior),
		Version: uint64(v.Version), BasedOn: uint64(v.BasedOn), Digest: []byte(v.Digest), Body: v.Body}
	if have != "" && have == v.Digest {
		m.Body, m.BodyLeftOut = nil, true
	}
	for _, p := range v.Past {
		m.Past = append(m.Past, &Past{Version: uint64(p.Version), BasedOn: uint64(p.BasedOn), Digest: []byte(p.Digest)})
	}
	return m
}

// ToValue returns the value, with the reader's own body where it was left out.
func ToValue(m *Value, body []byte) *swarm.Value {
	if m == nil {
		return nil
	}
	v := &swarm.Value{Turn: swarm.Turn(m.Turn), Members: toMembers(m.Members), Prior: toMembers(m.Prior),
		Version: swarm.Version(m.Version), BasedOn: swarm.Version(m.BasedOn), Digest: string(m.Digest), Body: m.Body}
	if m.BodyLeftOut {
		v.Body = body
	}
	for _, p := range m.Past {
		v.Past = append(v.Past, swarm.Past{Version: swarm.Version(p.Version), BasedOn: swarm.Version(p.BasedOn), Digest: string(p.Digest)})
	}
	return v
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
