package simcluster

import (
	"sync"
	"time"
)

// requestKey identifies a request to a service.
type requestKey struct {
	service, requestID string
}

// RequestLog records the requests that clients sent and that servers received and executed. Its methods are safe for
// concurrent use.
type RequestLog struct {
	mu         sync.Mutex
	executions map[requestKey]int
	arrivals   map[requestKey]int     // executed or rejected
	requests   map[string][]time.Time // times at which clients sent requests, by service
	retries    map[string][]time.Time // times of second and later arrivals of a request, by service
}

func newRequestLog() *RequestLog {
	return &RequestLog{
		executions: map[requestKey]int{},
		arrivals:   map[requestKey]int{},
		requests:   map[string][]time.Time{},
		retries:    map[string][]time.Time{},
	}
}

// RecordRequest records that a client sends a request on a route to the services.
func (l *RequestLog) RecordRequest(services ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range services {
		l.requests[service] = append(l.requests[service], time.Now())
	}
}

// recordArrival records that a server received a request.
func (l *RequestLog) recordArrival(service, requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := requestKey{service, requestID}
	l.arrivals[key]++
	if l.arrivals[key] > 1 {
		l.retries[service] = append(l.retries[service], time.Now())
	}
}

// recordExecution records that a server executes a request.
func (l *RequestLog) recordExecution(service, requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[requestKey{service, requestID}]++
}

// Executions returns how many times servers of a service executed a request.
func (l *RequestLog) Executions(service, requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[requestKey{service, requestID}]
}

// RetryBudgetUse returns the highest share of the retry budget that was used at any service in any window, and that service.
// The budget of a window is ratio times the requests sent in it plus the allowance; 1 means that all of it was used.
func (l *RequestLog) RetryBudgetUse(window time.Duration, ratio, allowance float64) (highest float64, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, retries := range l.retries {
		for i, end := range retries {
			budget := ratio*float64(countWithin(l.requests[name], end, window)) + allowance
			if use := float64(countWithin(retries[:i+1], end, window)) / budget; use > highest {
				highest, service = use, name
			}
		}
	}
	return highest, service
}

// countWithin counts the times in the window before end, including end and excluding the start of the window.
func countWithin(times []time.Time, end time.Time, window time.Duration) (count int) {
	for _, t := range times {
		if age := end.Sub(t); age >= 0 && age < window {
			count++
		}
	}
	return count
}
