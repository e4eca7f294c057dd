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
	return &consensus.Value{Slot: 7, Members: members, PriorMembers: members, Version: 5, BasedOn: 3, Digest: "d5", Body: []byte("five"),
		PriorRevisions: []consensus.Revision{{Version: 3, BasedOn: 1, Digest: "d3"}},
		Documents:      []consensus.Document{{Name: "x", Version: 2, Digest: "dx", Body: []byte("note"), PriorRevisions: []consensus.Revision{{Version: 1, Digest: "d1"}}}}}
}

// Bodies that the reader holds are left out, and put in again by their digests; nothing else is lost.
func TestOmittedBodiesAreRestored(t *testing.T) {
	v := testValue()
	full, omitted := ValueToProto(v), ValueToProto(v, BodyDigests(v)...)
	if proto.Size(omitted) >= proto.Size(full) || omitted.Body != nil || omitted.Documents[0].Body != nil {
		t.Fatalf("%v leaves nothing out", omitted)
	}
	other := &consensus.Value{Digest: "other", Body: []byte("other")}
	for name, got := range map[string]*consensus.Value{"whole": ValueFromProto(full), "whole, beside another": ValueFromProto(full, other),
		"bare": ValueFromProto(omitted, v), "bare, beside others": ValueFromProto(omitted, nil, other, v),
		"one left out": ValueFromProto(ValueToProto(v, "dx"), v), "an unknown digest": ValueFromProto(ValueToProto(v, "no such"))} {
		if !reflect.DeepEqual(got, v) {
			t.Errorf("%s: %+v", name, got)
		}
	}
	for name, got := range map[string]*consensus.Value{"none": ValueFromProto(omitted), "another": ValueFromProto(omitted, other), "nothing": ValueFromProto(nil, v),
		"one of two": ValueFromProto(omitted, &consensus.Value{Digest: "d5", Body: v.Body})} {
		if got != nil {
			t.Errorf("%s gives %+v", name, got)
		}
	}
	if ValueToProto(&consensus.Value{}, "").BodyOmitted {
		t.Error("a value without a configuration leaves one out")
	}
}

// BenchmarkAccept tells how long an Accept is, and what making and reading it takes, with its body and without, by the body's
// size.
func BenchmarkAccept(b *testing.B) {
	for _, size := range []int{2 << 10, 170 << 10, 1700 << 10} {
		v := testValue()
		v.Body = make([]byte, size)
		v.PriorRevisions = nil
		for i := range consensus.RetainedRevisions {
			v.PriorRevisions = append(v.PriorRevisions, consensus.Revision{Version: consensus.Version(i + 2), BasedOn: consensus.Version(i + 1), Digest: string(make([]byte, 32))})
		}
		for name, has := range map[string][]string{"whole": nil, "left out": BodyDigests(v)} {
			b.Run(fmt.Sprintf("%s/body=%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				length := 0
				for range b.N {
					text, err := proto.Marshal(&Accept{Acceptor: 1, Ballot: BallotToProto(consensus.Ballot{Number: 9, By: 1}), Value: ValueToProto(v, has...)})
					if err != nil {
						b.Fatal(err)
					}
					m := &Accept{}
					if proto.Unmarshal(text, m) != nil || ValueFromProto(m.Value, v) == nil {
						b.Fatal("it can't be read")
					}
					length = len(text)
				}
				b.ReportMetric(float64(length), "wire-B")
			})
		}
	}
}
