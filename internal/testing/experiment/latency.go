package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the maximum latency; longer ones are recorded as this value.
	maxLatency = time.Minute
	// latencyDigits is the number of significant decimal digits of a recorded latency.
	latencyDigits = 3
)

// summaryPercentiles are the points of a latency chart.
var summaryPercentiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99}

// LatencyRecorder records latencies in microseconds. Its methods may be called concurrently.
type LatencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyRecorder returns an empty recorder.
func NewLatencyRecorder() *LatencyRecorder {
	return &LatencyRecorder{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// Add records a latency.
func (l *LatencyRecorder) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// reset removes all latencies.
func (l *LatencyRecorder) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Reset()
}

// percentile returns a percentile in milliseconds.
func (l *LatencyRecorder) percentile(q float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.percentileLocked(q)
}

func (l *LatencyRecorder) percentileLocked(q float64) float64 {
	return float64(l.histogram.ValueAtQuantile(q)) / 1000
}

// summary returns the percentiles of the recorded latencies.
func (l *LatencyRecorder) summary(name string) LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LatencySummary{
		Name:  name,
		Count: l.histogram.TotalCount(),
		P50:   l.percentileLocked(50),
		P90:   l.percentileLocked(90),
		P99:   l.percentileLocked(99),
		P999:  l.percentileLocked(99.9),
		Max:   float64(l.histogram.Max()) / 1000,
	}
	for _, q := range summaryPercentiles {
		s.Points = append(s.Points, [2]float64{q, l.percentileLocked(q)})
	}
	return s
}

// milliseconds converts a duration to a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
