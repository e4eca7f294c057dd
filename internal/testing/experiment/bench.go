package experiment

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// ReadBenchmarks takes what `go test -bench` printed into a record: a table of all, and for each metric a chart. In a name
// such as Merge/page=50/segments=8/tree the last part with a number is the chart's x, the others name the line.
func (r *Record) ReadBenchmarks(in io.Reader) error {
	n := 0
	for s := bufio.NewScanner(in); s.Scan(); {
		words := strings.Fields(s.Text())
		if len(words) < 4 || !strings.HasPrefix(words[0], "Benchmark") {
			continue
		}
		name := strings.TrimPrefix(words[0], "Benchmark")
		if at := strings.LastIndexByte(name, '-'); at > 0 {
			if _, err := strconv.Atoi(name[at+1:]); err == nil {
				name = name[:at] // the number of processors
			}
		}
		x, label, line := 0.0, "", []string{}
		for _, part := range strings.Split(name, "/") {
			key, value, ok := strings.Cut(part, "=")
			v, err := strconv.ParseFloat(value, 64)
			if ok && err == nil {
				if label != "" {
					line = append(line, fmt.Sprintf("%s %g", label, x))
				}
				x, label = v, key
				continue
			}
			line = append(line, part)
		}
		row := []string{name}
		head := []string{"benchmark"}
		for i := 2; i+1 < len(words); i += 2 {
			v, err := strconv.ParseFloat(words[i], 64)
			if err != nil {
				return fmt.Errorf("benchmark %s: %q is no number", name, words[i])
			}
			unit := words[i+1]
			head, row = append(head, unit), append(row, strconv.FormatFloat(v, 'f', -1, 64))
			if label != "" {
				r.AddPoint(unit, label, unit, strings.Join(line, " "), x, v)
			}
		}
		r.AddRow(fmt.Sprintf("Benchmarks (%s)", strings.Join(head[1:], ", ")), head, row...)
		n++
	}
	if n == 0 {
		return fmt.Errorf("there is no benchmark in it")
	}
	return nil
}
