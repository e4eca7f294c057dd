package rpc

import (
	"bufio"
	"bytes"
	"testing"

	"oxbowspan/consensus"
)

// FuzzFrames checks that arbitrary bytes either fail to decode or yield a frame of bounded size, and that encoding and
// decoding a decoded value again does not change it.
func FuzzFrames(f *testing.F) {
	for _, frame := range []*Frame{
		{Id: 7, Body: &Frame_Poll{Poll: &Poll{Slot: 1}}},
		{Response: true, Body: &Frame_Update{Update: &Update{Documents: []*Document{{Name: "tenants", Version: 2, Body: []byte("{}")}}}}},
		{Body: &Frame_LoadReport{LoadReport: &LoadReport{Observations: []*Observation{{Instance: "i", Kind: 9}}}}},
		{Body: &Frame_Accept{Accept: &Accept{Value: &Value{Slot: 3}}}},
	} {
		encoded, err := appendFrame(nil, frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bufio.NewReader(bytes.NewReader(stream))
		for range 8 {
			frame, _, err := readFrame(r, nil)
			if err != nil {
				return
			}
			if accept := frame.GetAccept(); accept != nil {
				v := ValueFromProto(accept.Value, nil)
				if v != nil && !v.Equal(ValueFromProto(ValueToProto(v, ""), nil)) {
					t.Fatalf("%+v changed in a round trip", v)
				}
			}
			_ = BallotFromProto(frame.GetPrepare().GetBallot()).Compare(consensus.Ballot{})
		}
	})
}
