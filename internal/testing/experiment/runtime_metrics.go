package experiment

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"oxbowspan/internal/testing/standin"
)

const (
	// memoryEvent identifies the log lines in which a gatherer reports metrics of its runtime and memory budget.
	memoryEvent = "event=memory "
	// reportPollInterval is the interval at which next checks for a new report.
	reportPollInterval = 20 * time.Millisecond
)

// runtimeReport is one report. Sizes are in bytes. Those of the memory budget are 0 if the gatherer has none.
type runtimeReport struct {
	heap, stacks int64
	goroutines   int64
	peak         int64 // maximum of the accounted memory
	limit        int64 // of the accounted memory
	forced       int64 // accounted beyond the limit, because it could not be refused
	refused      int64 // number of refused requests
}

// used returns the bytes of heap and stacks.
func (r runtimeReport) used() int64 { return r.heap + r.stacks }

// parseRuntimeReport parses a line of the log. Fields that are missing or not numbers are 0.
func parseRuntimeReport(line string) runtimeReport {
	number := func(field string) int64 {
		value, _ := strconv.ParseInt(standin.LogField(line, field), 10, 64)
		return value
	}
	return runtimeReport{
		heap:       number("heap"),
		stacks:     number("stacks"),
		goroutines: number("goroutines"),
		peak:       number("peak"),
		limit:      number("most"),
		forced:     number("forced"),
		refused:    number("refused"),
	}
}

// runtimeMetrics collects the reports in a gatherer's log. Its methods may be called concurrently.
type runtimeMetrics struct {
	mu      sync.Mutex
	last    runtimeReport
	reports int // so far
}

// observeLine stores the report in a line of the log, if the line is one.
func (m *runtimeMetrics) observeLine(line string) {
	if !strings.Contains(line, memoryEvent) {
		return
	}
	report := parseRuntimeReport(line)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = report
	m.reports++
}

// next waits for the second report after the call and returns it: all of its values were measured after the call.
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
