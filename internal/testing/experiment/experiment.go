// Package experiment is the load and experiment tool: it starts built gatherers and stand-ins on loopback, plays an experiment
// on them, checks what comes back, and keeps the results.
//
// An experiment is a Run function in a file of its own, registered in its init; see merge.go. It gets an Env: seed,
// scale, progress, and a Record to put figures, latencies and series into. What it returns as an error is a finding
// against the program and ends the tool with a code of its own.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/schollz/progressbar/v3"
)

// Experiment is one that can be run by name.
type Experiment struct {
	Name  string
	Short string // one line
	Long  string // what it does, checks and records
	Run   func(ctx context.Context, e *Env) error
}

var experiments = map[string]Experiment{} // filled by init functions alone

// Register makes an experiment known. Each has a name of its own.
func Register(x Experiment) {
	if _, twice := experiments[x.Name]; twice {
		panic("experiment " + x.Name + " is registered twice")
	}
	experiments[x.Name] = x
}

// Names lists the experiments.
func Names() (out []string) {
	for name := range experiments {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Env is what an experiment is given.
type Env struct {
	Seed         uint64
	Quick        bool   // a scale that ends within 40 s
	Sizes        string // sizes of one's own, for experiments that take any; "" = the experiment's
	GathererPath string // the built gatherer
	Dir          string // for files; it goes when the run ends
	Record       *Record
	Out          io.Writer // for the experiment's own words

	mu  sync.Mutex
	bar *progressbar.ProgressBar
}

// Scale picks a size: small with Quick, else full.
func (e *Env) Scale(small, full int) int {
	if e.Quick {
		return small
	}
	return full
}

// Progress begins a bar of so many steps.
func (e *Env) Progress(what string, steps int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bar != nil {
		e.bar.Finish()
	}
	e.bar = progressbar.NewOptions(steps, progressbar.OptionSetWriter(e.Out), progressbar.OptionSetDescription(fmt.Sprintf("%-28s", what)),
		progressbar.OptionShowCount(), progressbar.OptionSetWidth(30), progressbar.OptionThrottle(200*time.Millisecond),
		progressbar.OptionSetPredictTime(true), progressbar.OptionOnCompletion(func() { fmt.Fprintln(e.Out) }))
}

// Step moves the bar.
func (e *Env) Step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bar != nil {
		e.bar.Add(1)
	}
}

// Command makes a command that runs the built gatherer. Nothing of the environment reaches it but what it needs to run.
func (e *Env) Command(args ...string) *exec.Cmd {
	c := exec.Command(e.GathererPath, args...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + e.Dir}
	return c
}

// WriteFile writes a file into the run's directory.
func (e *Env) WriteFile(name, text string) (string, error) {
	path := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// LatencyRecorder is a latency record that several goroutines may add to: microseconds up to a minute, three digits.
type LatencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyRecorder makes an empty one.
func NewLatencyRecorder() *LatencyRecorder {
	return &LatencyRecorder{histogram: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// Add adds one.
func (l *LatencyRecorder) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.RecordValue(min(max(d.Microseconds(), 1), time.Minute.Microseconds()))
}

// reset forgets what was added.
func (l *LatencyRecorder) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Reset()
}

// Record is what a run leaves in the archive.
type Record struct {
	ID         string             `json:"id"`
	Experiment string             `json:"experiment"`
	StartedAt  time.Time          `json:"began"`
	Seconds    float64            `json:"seconds"`
	Seed       uint64             `json:"seed"`
	Quick      bool               `json:"quick"`
	Program    string             `json:"program"` // its version, as it says
	Machine    string             `json:"machine"`
	Finding    string             `json:"failed,omitempty"` // the finding that ended it
	Metrics    map[string]float64 `json:"figures"`
	Latencies  []LatencySummary   `json:"latencies,omitempty"`
	Tables     []Table            `json:"tables,omitempty"`
	Series     []Series           `json:"series,omitempty"`

	mu sync.Mutex
}

// LatencySummary is one latency record of a run, in milliseconds.
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

// Table is rows of text under a head.
type Table struct {
	Name   string     `json:"name"`
	Header []string   `json:"head"`
	Rows   [][]string `json:"rows"`
}

// Series is points of one line of a chart.
type Series struct {
	Chart  string       `json:"chart"`
	Name   string       `json:"name"`
	X      string       `json:"x"`
	Y      string       `json:"y"`
	Points [][2]float64 `json:"points"`
}

// SetMetric sets a figure of the run.
func (r *Record) SetMetric(name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[name] = v
}

// AddToMetric adds to a figure of the run.
func (r *Record) AddToMetric(name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[name] += v
}

// Metric is a figure of the run; 0 where there is none.
func (r *Record) Metric(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Metrics[name]
}

// AddLatency keeps a latency record under a name.
func (r *Record) AddLatency(name string, l *LatencyRecorder) {
	row := l.summary(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Latencies = append(r.Latencies, row)
}

// summary sums up what was added.
func (l *LatencyRecorder) summary(name string) LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	row := LatencySummary{Name: name, Count: l.histogram.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(l.histogram.Max()) / 1000}
	for _, q := range []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99} {
		row.Points = append(row.Points, [2]float64{q, ms(q)})
	}
	return row
}

// AddRow adds a row to a table, which it makes where there is none yet.
func (r *Record) AddRow(table string, head []string, row ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.Tables, func(t Table) bool { return t.Name == table })
	if at < 0 {
		at = len(r.Tables)
		r.Tables = append(r.Tables, Table{Name: table, Header: head})
	}
	r.Tables[at].Rows = append(r.Tables[at].Rows, row)
}

// AddPoint adds a point to a line of a chart.
func (r *Record) AddPoint(chart, x, y, line string, px, py float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.Series, func(s Series) bool { return s.Chart == chart && s.Name == line })
	if at < 0 {
		at = len(r.Series)
		r.Series = append(r.Series, Series{Chart: chart, Name: line, X: x, Y: y})
	}
	r.Series[at].Points = append(r.Series[at].Points, [2]float64{px, py})
}
