// Package metrics writes a process's metrics in the Prometheus text exposition format, version 0.0.4.
package metrics

import (
	"net/http"
	"strconv"
	"time"
)

// ContentType is that of the text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Path is where the metrics are served.
const Path = "/metrics"

// Timeouts of the endpoint.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// Type is the type of a metric.
type Type string

// Types of metrics.
const (
	Counter Type = "counter" // rises, and begins anew with the process
	Gauge   Type = "gauge"
)

// Sample is one value of a metric. A metric with a label has a sample for each of the label's values.
type Sample struct {
	LabelValue string // "" = the metric has no label
	Value      float64
}

// Metric is a metric with its samples.
type Metric struct {
	Name    string // with the unit and, of a counter, "_total" at its end
	Help    string // one line
	Type    Type
	Label   string // name of its label, "" = none
	Samples []Sample
}

// Append appends the text of metrics to b.
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

// Single returns the samples of a metric without a label.
func Single(value float64) []Sample { return []Sample{{Value: value}} }

// NewServer returns an HTTP server that serves what collect returns. It is called for each request, on a goroutine of its own.
func NewServer(collect func() []Metric) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		w.Write(Append(nil, collect()...))
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
