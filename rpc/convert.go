package rpc

import (
	"slices"

	"oxbowspan/consensus"
)

// ValueToProto and the others below turn what is agreed on into messages and back. Bodies whose digests the reader has are left
// out.
func ValueToProto(v *consensus.Value, knownDigests ...string) *Value {
	if v == nil {
		return nil
	}
	m := &Value{Slot: uint64(v.Slot), Members: membersToProto(v.Members), PriorMembers: membersToProto(v.PriorMembers),
		Version: uint64(v.Version), BasedOn: uint64(v.BasedOn), Digest: []byte(v.Digest), Body: v.Body, PriorRevisions: revisionsToProto(v.PriorRevisions)}
	if omitBody(v.Digest, knownDigests) {
		m.Body, m.BodyOmitted = nil, true
	}
	for _, n := range v.Documents {
		document := DocumentToProto(n)
		if omitBody(n.Digest, knownDigests) {
			document.Body, document.BodyOmitted = nil, true
		}
		m.Documents = append(m.Documents, document)
	}
	return m
}

func omitBody(digest string, knownDigests []string) bool {
	return digest != "" && slices.Contains(knownDigests, digest)
}

// ValueFromProto returns the value, with bodies that were left out taken from values that the reader holds. It returns nil where one
// of them is in none of these: such a value is not to be used.
func ValueFromProto(m *Value, known ...*consensus.Value) *consensus.Value {
	if m == nil {
		return nil
	}
	bodies := BodiesByDigest(known...)
	v := &consensus.Value{Slot: consensus.Slot(m.Slot), Members: membersFromProto(m.Members), PriorMembers: membersFromProto(m.PriorMembers),
		Version: consensus.Version(m.Version), BasedOn: consensus.Version(m.BasedOn), Digest: string(m.Digest), Body: m.Body, PriorRevisions: revisionsFromProto(m.PriorRevisions)}
	if m.BodyOmitted {
		body, found := bodies[v.Digest]
		if !found {
			return nil
		}
		v.Body = body
	}
	for _, n := range m.Documents {
		document := consensus.Document{Name: n.Name, Version: consensus.Version(n.Version), Digest: string(n.Digest), Body: n.Body, PriorRevisions: revisionsFromProto(n.PriorRevisions)}
		if n.BodyOmitted {
			body, found := bodies[document.Digest]
			if !found {
				return nil
			}
			document.Body = body
		}
		v.Documents = append(v.Documents, document)
	}
	return v
}

// BodyDigests are those of the bodies that a value holds.
func BodyDigests(v *consensus.Value) (out []string) {
	for digest := range BodiesByDigest(v) {
		out = append(out, digest)
	}
	return out
}

// BodiesByDigest are those that values hold, by digest.
func BodiesByDigest(values ...*consensus.Value) map[string][]byte {
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

// DigestsToProto turns digests into those of a message.
func DigestsToProto(digests []string) (out [][]byte) {
	for _, d := range digests {
		out = append(out, []byte(d))
	}
	return out
}

// DigestsFromProto is its inverse.
func DigestsFromProto(digests [][]byte) (out []string) {
	for _, d := range digests {
		out = append(out, string(d))
	}
	return out
}

// DocumentToProto turns a note into a message.
func DocumentToProto(n consensus.Document) *Document {
	return &Document{Name: n.Name, Version: uint64(n.Version), Digest: []byte(n.Digest), Body: n.Body, PriorRevisions: revisionsToProto(n.PriorRevisions)}
}

func revisionsToProto(in []consensus.Revision) (out []*Revision) {
	for _, p := range in {
		out = append(out, &Revision{Version: uint64(p.Version), BasedOn: uint64(p.BasedOn), Digest: []byte(p.Digest)})
	}
	return out
}

func revisionsFromProto(in []*Revision) (out []consensus.Revision) {
	for _, p := range in {
		out = append(out, consensus.Revision{Version: consensus.Version(p.Version), BasedOn: consensus.Version(p.BasedOn), Digest: string(p.Digest)})
	}
	return out
}

func membersToProto(in []consensus.Member) (out []*Member) {
	for _, m := range in {
		out = append(out, &Member{Id: uint64(m.ID), Address: m.Address})
	}
	return out
}

func membersFromProto(in []*Member) (out []consensus.Member) {
	for _, m := range in {
		out = append(out, consensus.Member{ID: consensus.AcceptorID(m.Id), Address: m.Address})
	}
	return out
}

// BallotToProto turns a ballot into a message.
func BallotToProto(b consensus.Ballot) *Ballot {
	return &Ballot{Number: b.Number, Proposer: uint64(b.By)}
}

// BallotFromProto is its inverse; nil is the zero ballot.
func BallotFromProto(m *Ballot) consensus.Ballot {
	return consensus.Ballot{Number: m.GetNumber(), By: consensus.ProposerID(m.GetProposer())}
}
