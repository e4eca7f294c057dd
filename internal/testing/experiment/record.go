package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"
)

// recordIDFormat is the time format of a record's id, so that ids sort by time.
const recordIDFormat = "20060102T150405.000"

// Record is the archived description and results of a run. Its methods may be called concurrently.
type Record struct {
	ID         string             `json:"id"`
	Experiment string             `json:"experiment"`
	StartedAt  time.Time          `json:"began"`
	Seconds    float64            `json:"seconds"`
	Seed       uint64             `json:"seed"`
	Quick      bool               `json:"quick"`
	Program    string             `json:"program"` // the program's version
	Machine    string             `json:"machine"`
	Finding    string             `json:"failed,omitempty"` // the fault that ended the run
	Metrics    map[string]float64 `json:"figures"`
	Latencies  []LatencySummary   `json:"latencies,omitempty"`
	Tables     []Table            `json:"tables,omitempty"`
	Series     []Series           `json:"series,omitempty"`

	mu sync.Mutex
}

// LatencySummary holds the percentiles of recorded latencies in milliseconds.
type LatencySummary struct {
	Name   string       `json:"name"`
	Count  int64        `json:"count"`
	P50    float64      `json:"p50"`
	P90    float64      `json:"p90"`
	P99    float64      `json:"p99"`
	P999   float64      `json:"p999"`
	Max    float64      `json:"max"`
	Points [][2]float64 `json:"points"` // percentile, milliseconds
}

// Table is a table of text cells.
type Table struct {
	Name   string     `json:"name"`
	Header []string   `json:"head"`
	Rows   [][]string `json:"rows"`
}

// Series is one line of a chart.
type Series struct {
	Chart  string       `json:"chart"`
	Name   string       `json:"name"`
	X      string       `json:"x"` // label of the axis
	Y      string       `json:"y"` // label of the axis
	Points [][2]float64 `json:"points"`
}

func newRecord(experiment string) *Record {
	now := time.Now()
	return &Record{
		ID:         now.UTC().Format(recordIDFormat),
		Experiment: experiment,
		StartedAt:  now,
		Machine:    fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()),
		Metrics:    map[string]float64{},
	}
}

// SetMetric sets a metric to a value.
func (r *Record) SetMetric(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[name] = value
}

// AddToMetric adds a value to a metric, whose initial value is 0.
func (r *Record) AddToMetric(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[name] += value
}

// Metric returns the value of a metric, 0 if it was never set.
func (r *Record) Metric(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Metrics[name]
}

// AddLatency adds a summary of the recorded latencies under a name.
func (r *Record) AddLatency(name string, l *LatencyRecorder) {
	summary := l.summary(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Latencies = append(r.Latencies, summary)
}

// AddRow adds a row to a table. The first row of a table creates it with the header.
func (r *Record) AddRow(table string, header []string, row ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := slices.IndexFunc(r.Tables, func(t Table) bool { return t.Name == table })
	if index < 0 {
		index = len(r.Tables)
		r.Tables = append(r.Tables, Table{Name: table, Header: header})
	}
	r.Tables[index].Rows = append(r.Tables[index].Rows, row)
}

// AddPoint adds a point to a line of a chart. The first point of a line creates it with the labels of the axes.
func (r *Record) AddPoint(chart, xLabel, yLabel, line string, x, y float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := slices.IndexFunc(r.Series, func(s Series) bool { return s.Chart == chart && s.Name == line })
	if index < 0 {
		index = len(r.Series)
		r.Series = append(r.Series, Series{Chart: chart, Name: line, X: xLabel, Y: yLabel})
	}
	r.Series[index].Points = append(r.Series[index].Points, [2]float64{x, y})
}

// formatCell formats a number for a table with the given number of decimals.
func formatCell(value float64, decimals int) string { return fmt.Sprintf("%.*f", decimals, value) }

// formatMiB formats a number of bytes in MiB.
func formatMiB(bytes int64) string { return formatCell(toMiB(bytes), 1) }

func toMiB(bytes int64) float64 { return float64(bytes) / (1 << 20) }
