// Package metrics encodes and serves the metrics of a process in the Prometheus text exposition format, version 0.0.4.
package metrics

import (
	"net/http"
	"strconv"
	"time"
)

// ContentType is the content type of the exposition format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Path is the URL path under which the metrics are served.
const Path = "/metrics"

// Timeouts of the HTTP server.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// Type is the type of a metric.
type Type string

// Types of metrics.
const (
	Counter Type = "counter" // only increases, and restarts at 0 with the process
	Gauge   Type = "gauge"
)

// Sample is one value of a metric. A metric with a label has one sample for each value of the label.
type Sample struct {
	LabelValue string // "" = the metric has no label
	Value      float64
}

// Metric is a metric with its samples.
type Metric struct {
	Name    string // includes the unit; that of a counter ends in "_total"
	Help    string // a single line
	Type    Type
	Label   string // name of the label, "" = none
	Samples []Sample
}

// Append appends metrics to b in the exposition format.
func Append(b []byte, metrics ...Metric) []byte {
	for _, m := range metrics {
		b = append(b, "# HELP "+m.Name+" "+m.Help+"\n# TYPE "+m.Name+" "+string(m.Type)+"\n"...)
		for _, s := range m.Samples {
			b = append(b, m.Name...)
			if s.LabelValue != "" {
				b = append(b, "{"+m.Label+"="+strconv.Quote(s.LabelValue)+"}"...)
			}
			b = append(b, ' ')
			b = strconv.AppendFloat(b, s.Value, 'g', -1, 64)
			b = append(b, '\n')
		}
	}
	return b
}

// Single returns the single sample of a metric without a label.
func Single(value float64) []Sample { return []Sample{{Value: value}} }

// NewServer returns an HTTP server that serves the metrics returned by collect. collect is called for each request on the goroutine of
// that request, so it must be safe for concurrent use.
func NewServer(collect func() []Metric) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		w.Write(Append(nil, collect()...))
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
