package gatherer

import (
	"encoding/json"
	"testing"
)

func TestEncodeAnswer(t *testing.T) {
	for _, text := range []string{"", "plain", `a "quoted" \ text`, "line\nbreak", "<é&ü>", "\x01"} {
		t.Run(text, func(t *testing.T) {
			raw := encodeAnswer(true, []shardValue{{3, text}, {5, "x"}})
			var answer struct {
				Full   bool `json:"full"`
				Pieces []struct {
					Tablet int    `json:"tablet"`
					Cell   string `json:"cell"`
				} `json:"pieces"`
			}
			if err := json.Unmarshal(raw, &answer); err != nil {
				t.Fatalf("%s: %v", raw, err)
			}
			if !answer.Full || len(answer.Pieces) != 2 || answer.Pieces[0].Tablet != 3 || answer.Pieces[0].Cell != text {
				t.Errorf("%q encoded as %s", text, raw)
			}
		})
	}
	if got, want := string(encodeAnswer(false, nil)), `{"full":false,"pieces":[]}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
