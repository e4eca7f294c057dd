package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteText writes a record's latencies, tables and metrics as tables, in Markdown or for a terminal.
func (r *Record) WriteText(w io.Writer, markdown bool) {
	tables := []Table{r.latencyTable()}
	tables = append(tables, r.Tables...)
	tables = append(tables, r.metricTable())
	for _, t := range tables {
		if len(t.Rows) == 0 {
			continue
		}
		if markdown {
			fmt.Fprintf(w, "\n%s\n\n%s\n", t.Name, t.writer().RenderMarkdown())
		} else {
			fmt.Fprintf(w, "\n%s\n%s\n", t.Name, t.writer().Render())
		}
	}
}

func (r *Record) latencyTable() Table {
	t := Table{Name: "Latency, milliseconds", Header: []string{"what", "count", "p50", "p90", "p99", "p99.9", "max"}}
	for _, l := range r.Latencies {
		row := []string{l.Name, fmt.Sprint(l.Count)}
		for _, value := range []float64{l.P50, l.P90, l.P99, l.P999, l.Max} {
			row = append(row, formatCell(value, 2))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

func (r *Record) metricTable() Table {
	t := Table{Name: "Metrics", Header: []string{"metric", "value"}}
	for _, name := range slices.Sorted(maps.Keys(r.Metrics)) {
		t.Rows = append(t.Rows, []string{name, fmt.Sprintf("%.6g", r.Metrics[name])})
	}
	return t
}

func (t Table) writer() table.Writer {
	w := table.NewWriter()
	w.SetStyle(table.StyleLight)
	w.AppendHeader(tableRow(t.Header))
	for _, row := range t.Rows {
		w.AppendRow(tableRow(row))
	}
	return w
}

func tableRow(cells []string) table.Row {
	var row table.Row
	for _, cell := range cells {
		row = append(row, cell)
	}
	return row
}
