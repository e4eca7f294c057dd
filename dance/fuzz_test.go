package dance

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
)

// FuzzFrames: a stranger's bytes are no frame or one that is bounded; values survive the way to the wire and back.
func FuzzFrames(f *testing.F) {
	for _, m := range []*Frame{{Id: 7, Body: &Frame_Ask{Ask: &Ask{Turn: 1}}}, {Answer: true, Body: &Frame_News{News: &News{Notes: []*Note{{Name: "tenants", Version: 2, Body: []byte("{}")}}}}},
		{Body: &Frame_Loads{Loads: &Loads{Words: []*Word{{Instance: "i", Kind: 9}}}}}, {Body: &Frame_Accept{Accept: &Accept{Value: &Value{Turn: 3}}}}} {
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
				v := ToValue(a.Value, nil)
				if v != nil && !v.Equal(ToValue(FromValue(v, ""), nil)) {
					t.Fatal("a value is another after the way to the wire and back")
				}
			}
			_ = ToBallot(m.GetPrepare().GetBallot()).Compare(consensus.Ballot{})
		}
	})
}
