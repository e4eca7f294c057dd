// Package sparkline draws figures as one line of text.
package sparkline

var bars = []rune("▁▂▃▄▅▆▇█")

// Line draws figures from nothing to their most.
func Line(values []float64) string {
	maximum := 0.0
	for _, x := range values {
		maximum = max(maximum, x)
	}
	out := make([]rune, 0, len(values))
	for _, x := range values {
		level := 0
		if maximum > 0 {
			level = min(int(x/maximum*float64(len(bars))), len(bars)-1)
		}
		out = append(out, bars[max(level, 0)])
	}
	return string(out)
}
