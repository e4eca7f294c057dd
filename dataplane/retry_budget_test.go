package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"oxbowspan/internal/settings"
)

// When failures start suddenly and persist, the retries in each window of the budget do not exceed the allowance plus the budget's ratio
// of the requests in that window or in the one before it.
func TestRetriesOfEachWindowStayWithinBudget(t *testing.T) {
	for _, allowance := range []int{20, 0} {
		t.Run(fmt.Sprint("allowance ", allowance), func(t *testing.T) { checkRetriesOfEachWindow(t, allowance) })
	}
}

func checkRetriesOfEachWindow(t *testing.T, allowance int) {
	t.Helper()
	const (
		window   = 10 * time.Second
		ratio    = 0.2
		interval = 10 * time.Millisecond // between requests
		failFrom = 14 * time.Second
		duration = 36 * time.Second
	)
	bounds := settings.Bounds{HasRetryBudget: true, RetryBudgetRatio: ratio, BudgetWindowS: window.Seconds(), BudgetExtraTries: float64(allowance)}
	servers := &recordingServers{serviceTime: time.Millisecond}
	runWithRecordingServers(t, servers, scenario{}, bounds, func(t *testing.T, b *testbed) {
		start := time.Now()
		servers.malformedEvery, servers.malformedFrom = 2, start.Add(failFrom)
		for i := 0; time.Since(start) < duration; i++ {
			conn := b.dialGateway(t)
			io.WriteString(conn, requestText("GET", "/one/x", fmt.Sprint("request-", i), 300*time.Millisecond))
			go func() {
				time.Sleep(400 * time.Millisecond)
				conn.Close()
			}()
			time.Sleep(interval)
		}
		time.Sleep(time.Second)
		retries := servers.retryTimes()
		requests := float64(window / interval)
		maxRetries := 0
		for i, from := range retries {
			count := 0
			for _, at := range retries[i:] {
				if at.Sub(from) < window {
					count++
				}
			}
			maxRetries = max(maxRetries, count)
		}
		allowed := int(ratio*requests) + allowance
		if maxRetries > allowed {
			t.Errorf("%d retries in a window of %v with %.0f requests, want at most %d", maxRetries, window, requests, allowed)
		}
		if maxRetries < allowed/2 {
			t.Errorf("%d retries in a window, want at least %d: the test does not exercise the budget", maxRetries, allowed/2)
		}
	})
}

// A gateway serves requests of all kinds whatever the bounds of its retry budget are, and with a budget of 0 it sends no retry. A gateway
// with budget_extra_tries = 0 ended at the first request.
func TestRequestsAreServedAtEdgesOfRetryBudget(t *testing.T) {
	for _, test := range []struct {
		name   string
		bounds settings.Bounds
	}{
		{"allowance 0", settings.Bounds{HasRetryBudget: true, RetryBudgetRatio: 0.2, BudgetWindowS: 10}},
		{"allowance and ratio 0", settings.Bounds{HasRetryBudget: true, BudgetWindowS: 10}},
		{"window 0", settings.Bounds{HasRetryBudget: true, RetryBudgetRatio: 0.2, BudgetExtraTries: 54}},
		{"all 0", settings.Bounds{HasRetryBudget: true}},
		{"allowance below 0", settings.Bounds{HasRetryBudget: true, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetExtraTries: -1}},
		{"no budget", settings.Bounds{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: time.Millisecond}
			runWithRecordingServers(t, servers, scenario{}, test.bounds, func(t *testing.T, b *testbed) {
				for i, path := range []string{"/one/x", "/all/x", nonRetryablePath + "x"} {
					conn := b.dialGateway(t)
					io.WriteString(conn, requestText("GET", path, fmt.Sprint("request-", i), 300*time.Millisecond))
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil || resp.StatusCode != http.StatusOK {
						t.Errorf("%s: response %v, error %v, want status %d", path, resp, err, http.StatusOK)
					}
					conn.Close()
				}
				if retries := len(servers.retryTimes()) - 1; retries != 0 { // each shard of the gathered route gets an attempt
					t.Errorf("%d retries of requests that were answered at once", retries)
				}
			})
		})
	}
}

// retryTimes returns the arrival times of all attempts except the first one of each request, in order.
func (s *recordingServers) retryTimes() (times []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for _, a := range s.attempts {
		if seen[a.id] {
			times = append(times, a.arrived)
		}
		seen[a.id] = true
	}
	return times
}
