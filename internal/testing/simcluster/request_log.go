package simcluster

import (
	"sync"
	"time"
)

// RequestLog counts what servers ran, by request, and what came to them beyond the first of each.
type RequestLog struct {
	mu         sync.Mutex
	executions map[string]int // by the request's id and the service
	arrivals   map[string]int // the same, turned away ones too
	requests   map[string][]time.Time
	repeats    map[string][]time.Time
}

func newRequestLog() *RequestLog {
	return &RequestLog{executions: map[string]int{}, arrivals: map[string]int{}, requests: map[string][]time.Time{}, repeats: map[string][]time.Time{}}
}

func (l *RequestLog) recordExecution(service, id string) {
	l.mu.Lock()
	l.executions[id+" "+service]++
	l.mu.Unlock()
}

func (l *RequestLog) recordArrival(service, id string) {
	l.mu.Lock()
	if l.arrivals[id+" "+service]++; l.arrivals[id+" "+service] > 1 {
		l.repeats[service] = append(l.repeats[service], time.Now())
	}
	l.mu.Unlock()
}

// RecordRequest notes that a client sends a request on a route to services.
func (l *RequestLog) RecordRequest(services ...string) {
	l.mu.Lock()
	for _, s := range services {
		l.requests[s] = append(l.requests[s], time.Now())
	}
	l.mu.Unlock()
}

// RetryBudgetUse is the most of the budget of further tries that any service saw used in any window, 1 = all of it: what came beyond
// the first of each request, over ratio times the requests in that window and the free tries.
func (l *RequestLog) RetryBudgetUse(window time.Duration, ratio, allowance float64) (highest float64, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, repeats := range l.repeats {
		for i, end := range repeats {
			retries, requests := 0.0, 0.0
			for _, t := range repeats[:i+1] {
				if end.Sub(t) < window {
					retries++
				}
			}
			for _, t := range l.requests[name] {
				if age := end.Sub(t); age >= 0 && age < window {
					requests++
				}
			}
			if use := retries / (ratio*requests + allowance); use > highest {
				highest, service = use, name
			}
		}
	}
	return highest, service
}

// Executions is how often a service ran a request.
func (l *RequestLog) Executions(service, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id+" "+service]
}
