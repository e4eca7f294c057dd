package merge_test

import (
	"testing"

	"oxbowspan/merge"
)

// TestParseRequestErrors checks the error texts of malformed requests, because clients see them.
func TestParseRequestErrors(t *testing.T) {
	for name, test := range map[string]struct{ raw, want string }{
		"type":     {`{"limit":"x"}`, "merge is not in its form: cannot unmarshal string into Go struct field Terms.limit of type int"},
		"unknown":  {`{"limits":1}`, `merge is not in its form: unknown field "limits"`},
		"trailing": {`{"limit":1} 2`, "merge is not in its form: something follows it"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := merge.ParseRequest([]byte(test.raw)); err == nil || err.Error() != test.want {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}
