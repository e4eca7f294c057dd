package rpc

import (
	"slices"

	"oxbowspan/consensus"
)

// ValueToProto encodes a value. It omits the bodies with the known digests, which the receiver has stored. A nil value
// is encoded as nil.
func ValueToProto(v *consensus.Value, knownDigests ...string) *Value {
	if v == nil {
		return nil
	}
	m := &Value{
		Slot:           uint64(v.Slot),
		Members:        membersToProto(v.Members),
		PriorMembers:   membersToProto(v.PriorMembers),
		Version:        uint64(v.Version),
		BasedOn:        uint64(v.BasedOn),
		Digest:         []byte(v.Digest),
		Body:           v.Body,
		PriorRevisions: revisionsToProto(v.PriorRevisions),
	}
	if omitBody(v.Digest, knownDigests) {
		m.Body, m.BodyOmitted = nil, true
	}
	for _, d := range v.Documents {
		document := DocumentToProto(d)
		if omitBody(d.Digest, knownDigests) {
			document.Body, document.BodyOmitted = nil, true
		}
		m.Documents = append(m.Documents, document)
	}
	return m
}

// omitBody reports whether the body with a digest is omitted because the receiver has it. The empty digest means that
// there is no body, and is never marked as omitted.
func omitBody(digest string, knownDigests []string) bool {
	return digest != "" && slices.Contains(knownDigests, digest)
}

// ValueFromProto decodes a value and restores omitted bodies from the known values. It returns nil for a nil message,
// and if an omitted body is in none of the known values: the value is then incomplete and must not be used.
func ValueFromProto(m *Value, known ...*consensus.Value) *consensus.Value {
	if m == nil {
		return nil
	}
	v := &consensus.Value{
		Slot:           consensus.Slot(m.Slot),
		Members:        membersFromProto(m.Members),
		PriorMembers:   membersFromProto(m.PriorMembers),
		Version:        consensus.Version(m.Version),
		BasedOn:        consensus.Version(m.BasedOn),
		Digest:         string(m.Digest),
		Body:           m.Body,
		PriorRevisions: revisionsFromProto(m.PriorRevisions),
	}
	bodies := BodiesByDigest(known...)
	if m.BodyOmitted {
		body, found := bodies[v.Digest]
		if !found {
			return nil
		}
		v.Body = body
	}
	for _, d := range m.Documents {
		document := documentFromProto(d)
		if d.BodyOmitted {
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

// BodyDigests returns the digests of the bodies that a value contains, in arbitrary order.
func BodyDigests(v *consensus.Value) (digests []string) {
	for digest := range BodiesByDigest(v) {
		digests = append(digests, digest)
	}
	return digests
}

// BodiesByDigest returns the bodies of the configurations and documents of the values, by digest. Nil values are skipped.
func BodiesByDigest(values ...*consensus.Value) map[string][]byte {
	bodies := map[string][]byte{}
	for _, v := range values {
		if v == nil {
			continue
		}
		if v.Digest != "" {
			bodies[v.Digest] = v.Body
		}
		for _, d := range v.Documents {
			if d.Digest != "" {
				bodies[d.Digest] = d.Body
			}
		}
	}
	return bodies
}

// DigestsToProto encodes digests.
func DigestsToProto(digests []string) (encoded [][]byte) {
	for _, d := range digests {
		encoded = append(encoded, []byte(d))
	}
	return encoded
}

// DigestsFromProto decodes digests.
func DigestsFromProto(encoded [][]byte) (digests []string) {
	for _, d := range encoded {
		digests = append(digests, string(d))
	}
	return digests
}

// DocumentToProto encodes a document with its body. It does not set the age.
func DocumentToProto(d consensus.Document) *Document {
	return &Document{
		Name:           d.Name,
		Version:        uint64(d.Version),
		Digest:         []byte(d.Digest),
		Body:           d.Body,
		PriorRevisions: revisionsToProto(d.PriorRevisions),
	}
}

func documentFromProto(m *Document) consensus.Document {
	return consensus.Document{
		Name:           m.Name,
		Version:        consensus.Version(m.Version),
		Digest:         string(m.Digest),
		Body:           m.Body,
		PriorRevisions: revisionsFromProto(m.PriorRevisions),
	}
}

func revisionsToProto(revisions []consensus.Revision) (encoded []*Revision) {
	for _, r := range revisions {
		encoded = append(encoded, &Revision{Version: uint64(r.Version), BasedOn: uint64(r.BasedOn), Digest: []byte(r.Digest)})
	}
	return encoded
}

func revisionsFromProto(encoded []*Revision) (revisions []consensus.Revision) {
	for _, m := range encoded {
		revisions = append(revisions, consensus.Revision{
			Version: consensus.Version(m.Version),
			BasedOn: consensus.Version(m.BasedOn),
			Digest:  string(m.Digest),
		})
	}
	return revisions
}

func membersToProto(members []consensus.Member) (encoded []*Member) {
	for _, m := range members {
		encoded = append(encoded, &Member{Id: uint64(m.ID), Address: m.Address})
	}
	return encoded
}

func membersFromProto(encoded []*Member) (members []consensus.Member) {
	for _, m := range encoded {
		members = append(members, consensus.Member{ID: consensus.AcceptorID(m.Id), Address: m.Address})
	}
	return members
}

// BallotToProto encodes a ballot.
func BallotToProto(b consensus.Ballot) *Ballot {
	return &Ballot{Number: b.Number, Proposer: uint64(b.Proposer)}
}

// BallotFromProto decodes a ballot; nil is decoded as the zero ballot.
func BallotFromProto(m *Ballot) consensus.Ballot {
	return consensus.Ballot{Number: m.GetNumber(), Proposer: consensus.ProposerID(m.GetProposer())}
}
