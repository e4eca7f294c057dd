package simcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestUndispatchedRequestsAreRejected cuts the power of all servers of two services, with no connection to them left, so
// that requests can't be dispatched. Each is answered that it was not executed, and, once the servers are known to be
// unresponsive, within a quarter of the target latency.
func TestUndispatchedRequestsAreRejected(t *testing.T) {
	const (
		requests       = 48
		learning       = 8 // requests until the gateway knows that no server responds
		targetLatency  = 300 * time.Millisecond
		mostLate       = 10 // probes find out whether a server is back
		longestTimeout = 2500 * time.Millisecond
	)
	timeouts := []time.Duration{250 * time.Millisecond, 350 * time.Millisecond, time.Second, longestTimeout}
	routes := []struct{ method, path string }{{http.MethodPost, "/once/x"}, {http.MethodGet, "/one/x"}}
	runCluster(t, 81, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		for _, server := range serversOf(cluster, nonRetryableService, singleService) {
			server.Crash(true)
		}
		late := 0
		for i := range requests {
			route, timeout := routes[i%len(routes)], timeouts[i/2%len(timeouts)]
			response := cluster.SendRequest(cluster.Gateways[0], route.method, exampleHost, route.path, fmt.Sprint("n", i), timeout)
			expectStatus(t, response.Status, http.StatusServiceUnavailable,
				"undispatched request on %s with time-out %v, after %v", route.path, timeout, response.Elapsed)
			if i >= learning && response.Elapsed > targetLatency/4 {
				late++
			}
			if timeout == longestTimeout && response.Elapsed > timeout/2 {
				t.Errorf("undispatched request on %s is rejected after %v of %v", route.path, response.Elapsed, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if late > mostLate {
			t.Errorf("%d of %d undispatched requests are rejected later than a quarter of the target latency, want at most %d",
				late, requests-learning, mostLate)
		}
	})
}
