package dance

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
)

func sample() *consensus.Value {
	members := []consensus.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}}
	return &consensus.Value{Slot: 7, Members: members, PriorMembers: members, Version: 5, BasedOn: 3, Digest: "d5", Body: []byte("five"),
		PriorRevisions: []consensus.Revision{{Version: 3, BasedOn: 1, Digest: "d3"}},
		Documents:      []consensus.Document{{Name: "x", Version: 2, Digest: "dx", Body: []byte("note"), PriorRevisions: []consensus.Revision{{Version: 1, Digest: "d1"}}}}}
}

// Bodies that the reader holds are left out, and put in again by their digests; nothing else is lost.
func TestBodiesThatTheReaderHoldsAreLeftOut(t *testing.T) {
	v := sample()
	whole, bare := FromValue(v), FromValue(v, Digests(v)...)
	if proto.Size(bare) >= proto.Size(whole) || bare.Body != nil || bare.Notes[0].Body != nil {
		t.Fatalf("%v leaves nothing out", bare)
	}
	other := &consensus.Value{Digest: "other", Body: []byte("other")}
	for name, got := range map[string]*consensus.Value{"whole": ToValue(whole), "whole, beside another": ToValue(whole, other),
		"bare": ToValue(bare, v), "bare, beside others": ToValue(bare, nil, other, v),
		"one left out": ToValue(FromValue(v, "dx"), v), "an unknown digest": ToValue(FromValue(v, "no such"))} {
		if !reflect.DeepEqual(got, v) {
			t.Errorf("%s: %+v", name, got)
		}
	}
	for name, got := range map[string]*consensus.Value{"none": ToValue(bare), "another": ToValue(bare, other), "nothing": ToValue(nil, v),
		"one of two": ToValue(bare, &consensus.Value{Digest: "d5", Body: v.Body})} {
		if got != nil {
			t.Errorf("%s gives %+v", name, got)
		}
	}
	if FromValue(&consensus.Value{}, "").BodyLeftOut {
		t.Error("a value without a configuration leaves one out")
	}
}

// BenchmarkAccept tells how long an Accept is, and what making and reading it takes, with its body and without, by the body's
// size.
func BenchmarkAccept(b *testing.B) {
	for _, size := range []int{2 << 10, 170 << 10, 1700 << 10} {
		v := sample()
		v.Body = make([]byte, size)
		v.PriorRevisions = nil
		for i := range consensus.RetainedRevisions {
			v.PriorRevisions = append(v.PriorRevisions, consensus.Revision{Version: consensus.Version(i + 2), BasedOn: consensus.Version(i + 1), Digest: string(make([]byte, 32))})
		}
		for name, has := range map[string][]string{"whole": nil, "left out": Digests(v)} {
			b.Run(fmt.Sprintf("%s/body=%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				length := 0
				for range b.N {
					text, err := proto.Marshal(&Accept{To: 1, Ballot: FromBallot(consensus.Ballot{Number: 9, By: 1}), Value: FromValue(v, has...)})
					if err != nil {
						b.Fatal(err)
					}
					m := &Accept{}
					if proto.Unmarshal(text, m) != nil || ToValue(m.Value, v) == nil {
						b.Fatal("it can't be read")
					}
					length = len(text)
				}
				b.ReportMetric(float64(length), "wire-B")
			})
		}
	}
}
