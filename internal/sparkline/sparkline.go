// Package sparkline draws a series of numbers as one line of text.
package sparkline

// bars are the characters of a line, from the lowest to the highest.
var bars = []rune("▁▂▃▄▅▆▇█")

// Line returns a line with one bar for each value. Bars are scaled from zero to the largest value; negative values are drawn as zero.
func Line(values []float64) string {
	maximum := 0.0
	for _, value := range values {
		maximum = max(maximum, value)
	}
	line := make([]rune, 0, len(values))
	for _, value := range values {
		line = append(line, bar(value, maximum))
	}
	return string(line)
}

// bar returns the character for a value between zero and the maximum.
func bar(value, maximum float64) rune {
	if maximum <= 0 {
		return bars[0]
	}
	index := int(value / maximum * float64(len(bars)))
	return bars[min(max(index, 0), len(bars)-1)]
}
