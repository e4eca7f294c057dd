package sparkline

import "testing"

func TestLine(t *testing.T) {
	for want, v := range map[string][]float64{"": nil, "▁▁": {0, 0}, "▁▅█": {0, 5, 10}} {
		if got := Line(v); got != want {
			t.Errorf("%v: %q, want %q", v, got, want)
		}
	}
}
