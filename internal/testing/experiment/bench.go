package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// errNoBenchmark is returned for an input without benchmark results.
var errNoBenchmark = errors.New("there are no benchmark results")

// benchmarkPrefix is the prefix of each line of results.
const benchmarkPrefix = "Benchmark"

// ReadBenchmarks adds the results in the output of 'go test -bench': one table, and a chart for each metric. In a name such as
// Merge/page=50/segments=8/tree the last part with a number is the value on the x axis, and the other parts name the line.
func (r *Record) ReadBenchmarks(in io.Reader) error {
	count := 0
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmarkPrefix) {
			continue
		}
		if err := r.addBenchmark(fields); err != nil {
			return err
		}
		count++
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if count == 0 {
		return errNoBenchmark
	}
	return nil
}

// addBenchmark adds one line of results: the name, the number of iterations, and pairs of a value and its unit.
func (r *Record) addBenchmark(fields []string) error {
	name := parseBenchmarkName(fields[0])
	header, row := []string{"benchmark"}, []string{name.text}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("benchmark %s: malformed value %q", name.text, fields[i])
		}
		unit := fields[i+1]
		header = append(header, unit)
		row = append(row, strconv.FormatFloat(value, 'f', -1, 64))
		if name.xLabel != "" {
			r.AddPoint(unit, name.xLabel, unit, name.line, name.x, value)
		}
	}
	r.AddRow(fmt.Sprintf("Benchmarks (%s)", strings.Join(header[1:], ", ")), header, row...)
	return nil
}

// benchmarkName is the name of a benchmark, its line in a chart and its value on the x axis.
type benchmarkName struct {
	text   string
	line   string
	xLabel string // "" if no part has a number
	x      float64
}

func parseBenchmarkName(text string) benchmarkName {
	name := benchmarkName{text: strings.TrimPrefix(text, benchmarkPrefix)}
	if i := strings.LastIndexByte(name.text, '-'); i > 0 {
		if _, err := strconv.Atoi(name.text[i+1:]); err == nil {
			name.text = name.text[:i] // without the number of processors
		}
	}
	var line []string
	for _, part := range strings.Split(name.text, "/") {
		key, number, ok := strings.Cut(part, "=")
		x, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			line = append(line, part)
			continue
		}
		if name.xLabel != "" {
			line = append(line, fmt.Sprintf("%s %g", name.xLabel, name.x))
		}
		name.xLabel, name.x = key, x
	}
	name.line = strings.Join(line, " ")
	return name
}
