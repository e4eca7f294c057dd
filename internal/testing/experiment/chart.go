package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jedib0t/go-pretty/v6/table"
)

// ChartNames lists the charts of a record: its own, and "latency" where latencies were recorded.
func (r *Record) ChartNames() (out []string) {
	if len(r.Latencies) > 0 {
		out = append(out, "latency")
	}
	for _, s := range r.Series {
		if !slices.Contains(out, s.Chart) {
			out = append(out, s.Chart)
		}
	}
	return out
}

// WriteChart draws one as SVG.
func (r *Record) WriteChart(name string, w io.Writer) error {
	lines := []Series{}
	for _, s := range r.Series {
		if s.Chart == name {
			lines = append(lines, s)
		}
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s (run %s)", r.Experiment, name, r.ID)
	if name == "latency" {
		for _, l := range r.Latencies {
			s := Series{Name: l.Name, X: "share of searches that took longer", Y: "milliseconds"}
			for _, point := range l.Points {
				// One in how many searches took longer: what is rare gets as much room as what is usual.
				if rest := 100 - point[0]; rest < 100 {
					s.Points = append(s.Points, [2]float64{100 / rest, point[1]})
				}
			}
			lines = append(lines, s)
		}
		p.X.Label.Text = "one search in so many took longer"
	}
	if len(lines) == 0 {
		return fmt.Errorf("run %s has no chart %q: %s are there", r.ID, name, strings.Join(r.ChartNames(), ", "))
	}
	if p.X.Label.Text == "" {
		p.X.Label.Text = lines[0].X
	}
	p.Y.Label.Text = lines[0].Y
	p.Add(plotter.NewGrid())
	wideX, wideY := needLogScale(lines)
	if wideX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if wideY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, s := range lines {
		var points plotter.XYs
		for _, xy := range s.Points {
			if (!wideX || xy[0] > 0) && (!wideY || xy[1] > 0) {
				points = append(points, plotter.XY{X: xy[0], Y: xy[1]})
			}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("line %s: %w", s.Name, err)
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes, marks.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(s.Name, line, marks)
	}
	p.Legend.Top, p.Legend.Left = true, true
	out, err := p.WriterTo(20*vg.Centimeter, 12*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

// needLogScale tells which axes hold figures so far apart that only a logarithm shows them.
func needLogScale(lines []Series) (x, y bool) {
	var least, most [2]float64
	least = [2]float64{math.Inf(1), math.Inf(1)}
	for _, s := range lines {
		for _, p := range s.Points {
			for i := range 2 {
				if p[i] > 0 {
					least[i] = min(least[i], p[i])
				}
				most[i] = max(most[i], p[i])
			}
		}
	}
	return most[0] > 30*least[0], most[1] > 30*least[1]
}

// WriteText writes a record's tables: for a terminal, or as Markdown.
func (r *Record) WriteText(w io.Writer, markdown bool) {
	show := func(name string, head []string, rows [][]string) {
		t := table.NewWriter()
		t.SetStyle(table.StyleLight)
		var h table.Row
		for _, x := range head {
			h = append(h, x)
		}
		t.AppendHeader(h)
		for _, row := range rows {
			var cells table.Row
			for _, x := range row {
				cells = append(cells, x)
			}
			t.AppendRow(cells)
		}
		if markdown {
			fmt.Fprintf(w, "\n%s\n\n%s\n", name, t.RenderMarkdown())
		} else {
			fmt.Fprintf(w, "\n%s\n%s\n", name, t.Render())
		}
	}
	var rows [][]string
	for _, l := range r.Latencies {
		f := func(v float64) string { return fmt.Sprintf("%.2f", v) }
		rows = append(rows, []string{l.Name, fmt.Sprint(l.Count), f(l.P50), f(l.P90), f(l.P99), f(l.P999), f(l.Max)})
	}
	if len(rows) > 0 {
		show("Latency, milliseconds", []string{"what", "count", "p50", "p90", "p99", "p99.9", "most"}, rows)
	}
	for _, t := range r.Tables {
		show(t.Name, t.Header, t.Rows)
	}
	rows = nil
	var names []string
	for name := range r.Metrics {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		rows = append(rows, []string{name, fmt.Sprintf("%.6g", r.Metrics[name])})
	}
	if len(rows) > 0 {
		show("Figures", []string{"figure", "value"}, rows)
	}
}
