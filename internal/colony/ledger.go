package colony

import (
	"sync"
	"time"
)

// Ledger counts what servers ran, by request, and what came to them beyond the first of each.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string]int // by the request's id and the service
	came   map[string]int // the same, turned away ones too
	wanted map[string][]time.Time
	again  map[string][]time.Time
}

func newLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, came: map[string]int{}, wanted: map[string][]time.Time{}, again: map[string][]time.Time{}}
}

func (l *Ledger) run(service, id string) {
	l.mu.Lock()
	l.runs[id+" "+service]++
	l.mu.Unlock()
}

func (l *Ledger) arrived(service, id string) {
	l.mu.Lock()
	if l.came[id+" "+service]++; l.came[id+" "+service] > 1 {
		l.again[service] = append(l.again[service], time.Now())
	}
	l.mu.Unlock()
}

// Want notes that a client sends a request on a route to services.
func (l *Ledger) Want(services ...string) {
	l.mu.Lock()
	for _, s := range services {
		l.wanted[s] = append(l.wanted[s], time.Now())
	}
	l.mu.Unlock()
}

// BudgetUse is the most of the budget of further tries that any service saw used in any window, 1 = all of it: what came beyond
// the first of each request, over ratio times the requests in that window and the free tries.
func (l *Ledger) BudgetUse(window time.Duration, ratio, free float64) (most float64, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, again := range l.again {
		for i, end := range again {
			n, requests := 0.0, 0.0
			for _, t := range again[:i+1] {
				if end.Sub(t) < window {
					n++
				}
			}
			for _, t := range l.wanted[name] {
				if d := end.Sub(t); d >= 0 && d < window {
					requests++
				}
			}
			if use := n / (ratio*requests + free); use > most {
				most, service = use, name
			}
		}
	}
	return most, service
}

// Runs is how often a service ran a request.
func (l *Ledger) Runs(service, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id+" "+service]
}
