// Package spark draws figures as one line of text.
package spark

var bars = []rune("▁▂▃▄▅▆▇█")

// Line draws figures from nothing to their most.
func Line(v []float64) string {
	most := 0.0
	for _, x := range v {
		most = max(most, x)
	}
	out := make([]rune, 0, len(v))
	for _, x := range v {
		at := 0
		if most > 0 {
			at = min(int(x/most*float64(len(bars))), len(bars)-1)
		}
		out = append(out, bars[max(at, 0)])
	}
	return string(out)
}
