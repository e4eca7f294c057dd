package rpc

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
)

func testValue() *consensus.Value {
	members := []consensus.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}}
	return &consensus.Value{
		Slot: 7, Members: members, PriorMembers: members,
		Version: 5, BasedOn: 3, Digest: "d5", Body: []byte("five"),
		PriorRevisions: []consensus.Revision{{Version: 3, BasedOn: 1, Digest: "d3"}},
		Documents: []consensus.Document{{
			Name: "x", Version: 2, Digest: "dx", Body: []byte("document"),
			PriorRevisions: []consensus.Revision{{Version: 1, Digest: "d1"}},
		}},
	}
}

func TestOmittedBodiesAreRestored(t *testing.T) {
	v := testValue()
	full, omitted := ValueToProto(v), ValueToProto(v, BodyDigests(v)...)
	if proto.Size(omitted) >= proto.Size(full) || omitted.Body != nil || omitted.Documents[0].Body != nil {
		t.Fatalf("%v omits no body", omitted)
	}
	other := &consensus.Value{Digest: "other", Body: []byte("other")}
	incomplete := &consensus.Value{Digest: "d5", Body: v.Body} // lacks the document
	cases := []struct {
		name  string
		got   *consensus.Value
		valid bool
	}{
		{"full", ValueFromProto(full), true},
		{"full, with an unrelated known value", ValueFromProto(full, other), true},
		{"omitted, with the value known", ValueFromProto(omitted, v), true},
		{"omitted, with several known values", ValueFromProto(omitted, nil, other, v), true},
		{"only the document omitted", ValueFromProto(ValueToProto(v, "dx"), v), true},
		{"unknown digest", ValueFromProto(ValueToProto(v, "no such")), true},
		{"omitted, with nothing known", ValueFromProto(omitted), false},
		{"omitted, with an unrelated known value", ValueFromProto(omitted, other), false},
		{"omitted, with one of two bodies known", ValueFromProto(omitted, incomplete), false},
		{"nil message", ValueFromProto(nil, v), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			switch {
			case c.valid && !reflect.DeepEqual(c.got, v):
				t.Errorf("got %+v, want %+v", c.got, v)
			case !c.valid && c.got != nil:
				t.Errorf("got %+v, want nil", c.got)
			}
		})
	}
}

func TestValueWithoutConfigurationOmitsNoBody(t *testing.T) {
	if ValueToProto(&consensus.Value{}, "").BodyOmitted {
		t.Error("BodyOmitted is set")
	}
}

// BenchmarkAccept measures encoding and decoding an Accept, with and without its body, and reports its encoded size.
func BenchmarkAccept(b *testing.B) {
	for _, size := range []int{2 << 10, 170 << 10, 1700 << 10} {
		v := testValue()
		v.Body = make([]byte, size)
		v.PriorRevisions = nil
		for i := range consensus.RetainedRevisions {
			v.PriorRevisions = append(v.PriorRevisions, consensus.Revision{
				Version: consensus.Version(i + 2),
				BasedOn: consensus.Version(i + 1),
				Digest:  string(make([]byte, 32)),
			})
		}
		for name, knownDigests := range map[string][]string{"full": nil, "omitted": BodyDigests(v)} {
			b.Run(fmt.Sprintf("%s/body=%d", name, size), func(b *testing.B) {
				benchmarkAccept(b, v, knownDigests)
			})
		}
	}
}

func benchmarkAccept(b *testing.B, v *consensus.Value, knownDigests []string) {
	b.Helper()
	b.ReportAllocs()
	length := 0
	for range b.N {
		request := &Accept{Acceptor: 1, Ballot: BallotToProto(consensus.Ballot{Number: 9, Proposer: 1}), Value: ValueToProto(v, knownDigests...)}
		encoded, err := proto.Marshal(request)
		if err != nil {
			b.Fatal(err)
		}
		decoded := &Accept{}
		if err := proto.Unmarshal(encoded, decoded); err != nil {
			b.Fatal(err)
		}
		if ValueFromProto(decoded.Value, v) == nil {
			b.Fatal("omitted bodies were not restored")
		}
		length = len(encoded)
	}
	b.ReportMetric(float64(length), "wire-B")
}
