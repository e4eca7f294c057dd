package rpc

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
)

// FuzzFrames: a stranger's bytes are no frame or one that is bounded; values survive the way to the wire and back.
func FuzzFrames(f *testing.F) {
	for _, m := range []*Frame{{Id: 7, Body: &Frame_Poll{Poll: &Poll{Slot: 1}}}, {Response: true, Body: &Frame_Update{Update: &Update{Documents: []*Document{{Name: "tenants", Version: 2, Body: []byte("{}")}}}}},
		{Body: &Frame_LoadReport{LoadReport: &LoadReport{Observations: []*Observation{{Instance: "i", Kind: 9}}}}}, {Body: &Frame_Accept{Accept: &Accept{Value: &Value{Slot: 3}}}}} {
		text, _ := proto.Marshal(m)
		f.Add(append([]byte{byte(len(text) >> 24), byte(len(text) >> 16), byte(len(text) >> 8), byte(len(text))}, text...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(bytes.NewReader(text))
		for range 8 {
			m, _, err := readFrame(r, nil)
			if err != nil {
				return
			}
			if a := m.GetAccept(); a != nil {
				v := ValueFromProto(a.Value, nil)
				if v != nil && !v.Equal(ValueFromProto(ValueToProto(v, ""), nil)) {
					t.Fatal("a value is another after the way to the wire and back")
				}
			}
			_ = BallotFromProto(m.GetPrepare().GetBallot()).Compare(consensus.Ballot{})
		}
	})
}
