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
)

const (
	// latencyChart is the name of the chart of a record's latencies.
	latencyChart = "latency"
	// logScaleRatio is the ratio of the greatest to the least value above which an axis is logarithmic.
	logScaleRatio = 30

	chartWidth  = 20 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
)

// ChartNames returns the names of the record's charts.
func (r *Record) ChartNames() []string {
	var names []string
	if len(r.Latencies) > 0 {
		names = append(names, latencyChart)
	}
	for _, s := range r.Series {
		if !slices.Contains(names, s.Chart) {
			names = append(names, s.Chart)
		}
	}
	return names
}

// WriteChart draws a chart as SVG.
func (r *Record) WriteChart(name string, w io.Writer) error {
	lines := r.chartLines(name)
	if len(lines) == 0 {
		return fmt.Errorf("run %s has no chart %q; it has %s", r.ID, name, strings.Join(r.ChartNames(), ", "))
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s (run %s)", r.Experiment, name, r.ID)
	p.X.Label.Text = lines[0].X
	p.Y.Label.Text = lines[0].Y
	p.Add(plotter.NewGrid())
	logX, logY := needLogScale(lines)
	if logX {
		setLogScale(&p.X)
	}
	if logY {
		setLogScale(&p.Y)
	}
	for i, line := range lines {
		if err := addLine(p, i, line, logX, logY); err != nil {
			return fmt.Errorf("line %s: %w", line.Name, err)
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	svg, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}

// chartLines returns the lines of a chart; none if there is no such chart.
func (r *Record) chartLines(name string) []Series {
	var lines []Series
	for _, s := range r.Series {
		if s.Chart == name {
			lines = append(lines, s)
		}
	}
	if name == latencyChart {
		for _, l := range r.Latencies {
			lines = append(lines, latencyLine(l))
		}
	}
	return lines
}

// latencyLine returns the line of a latency summary. A value n on the x axis means that one in n requests took longer, so that
// high percentiles are as visible as low ones.
func latencyLine(l LatencySummary) Series {
	line := Series{Name: l.Name, X: "one in so many requests took longer", Y: "milliseconds"}
	for _, point := range l.Points {
		if above := 100 - point[0]; above < 100 {
			line.Points = append(line.Points, [2]float64{100 / above, point[1]})
		}
	}
	return line
}

// addLine adds a line and its legend to a plot. Points that a logarithmic axis cannot show are omitted.
func addLine(p *plot.Plot, index int, s Series, logX, logY bool) error {
	var points plotter.XYs
	for _, xy := range s.Points {
		if (!logX || xy[0] > 0) && (!logY || xy[1] > 0) {
			points = append(points, plotter.XY{X: xy[0], Y: xy[1]})
		}
	}
	line, markers, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, markers.Color = plotutil.Color(index), plotutil.Color(index)
	line.Dashes, markers.Shape = plotutil.Dashes(index), plotutil.Shape(index)
	p.Add(line, markers)
	p.Legend.Add(s.Name, line, markers)
	return nil
}

func setLogScale(axis *plot.Axis) {
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = plot.LogTicks{Prec: -1}
}

// needLogScale reports which axes need a logarithmic scale because of the range of their values.
func needLogScale(lines []Series) (x, y bool) {
	least := [2]float64{math.Inf(1), math.Inf(1)} // of the positive values
	var greatest [2]float64
	for _, line := range lines {
		for _, point := range line.Points {
			for i, value := range point {
				if value > 0 {
					least[i] = min(least[i], value)
				}
				greatest[i] = max(greatest[i], value)
			}
		}
	}
	return greatest[0] > logScaleRatio*least[0], greatest[1] > logScaleRatio*least[1]
}
