package experiment

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryEvent marks the log lines in which a gatherer reports metrics of its runtime and memory budget.
	memoryEvent = "event=memory "
	// reportPollInterval is the time between two looks for a new report.
	reportPollInterval = 20 * time.Millisecond
)

// runtimeReport is the numbers of one report by the name of the log field; sizes are in bytes.
type runtimeReport map[string]int64

// used returns the bytes of heap and stacks.
func (r runtimeReport) used() int64 { return r["heap"] + r["stacks"] }

// runtimeMetrics collects the reports in a gatherer's log. Its methods may be called concurrently.
type runtimeMetrics struct {
	mu      sync.Mutex
	last    runtimeReport
	reports int // so far
}

// observeLine reads a line of the log.
func (m *runtimeMetrics) observeLine(line string) {
	if !strings.Contains(line, memoryEvent) {
		return
	}
	report := runtimeReport{}
	for _, field := range strings.Fields(line) {
		name, text, _ := strings.Cut(field, "=")
		if value, err := strconv.ParseInt(text, 10, 64); err == nil {
			report[name] = value
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = report
	m.reports++
}

// next waits for the second next report, whose values are all from after the call.
func (m *runtimeMetrics) next(ctx context.Context) runtimeReport {
	_, first := m.latest()
	tick := time.NewTicker(reportPollInterval)
	defer tick.Stop()
	for {
		report, count := m.latest()
		if count >= first+2 || ctx.Err() != nil {
			return report
		}
		<-tick.C
	}
}

func (m *runtimeMetrics) latest() (report runtimeReport, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, m.reports
}
