package simcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestUndispatchedRequestsAreRejected cuts the power of all servers of two services, which also ends all connections to them, so
// that requests cannot be dispatched. Each request must be answered with status 503, which reports that it was not executed, and
// nearly all within a quarter of the target latency once the gateway has found the servers unresponsive.
func TestUndispatchedRequestsAreRejected(t *testing.T) {
	const (
		requests       = 48
		warmUpRequests = 8 // requests until the gateway has found that no server responds
		targetLatency  = 300 * time.Millisecond
		maxLate        = 10 // requests that the gateway uses to probe whether a server responds again
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
			if i >= warmUpRequests && response.Elapsed > targetLatency/4 {
				late++
			}
			if timeout == longestTimeout && response.Elapsed > timeout/2 {
				t.Errorf("undispatched request on %s is rejected after %v of %v", route.path, response.Elapsed, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if late > maxLate {
			t.Errorf("%d of %d undispatched requests are rejected later than a quarter of the target latency, want at most %d",
				late, requests-warmUpRequests, maxLate)
		}
	})
}
