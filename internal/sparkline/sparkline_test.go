package sparkline

import "testing"

func TestLine(t *testing.T) {
	for _, test := range []struct {
		name   string
		values []float64
		want   string
	}{
		{"empty", nil, ""},
		{"all zero", []float64{0, 0}, "▁▁"},
		{"scaled to the maximum", []float64{0, 5, 10}, "▁▅█"},
		{"negative", []float64{-3, 1}, "▁█"},
		{"all negative", []float64{-3, -1}, "▁▁"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Line(test.values); got != test.want {
				t.Errorf("Line(%v) = %q, want %q", test.values, got, test.want)
			}
		})
	}
}
