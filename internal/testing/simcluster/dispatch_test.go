package simcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Where all servers of a service have just gone dark, with no connection to them left, nothing can be offered: what can't be served is
// told that it has not run, and once the servers are known to be dark within a quarter of its target.
func TestUndispatchedRequestsAreRejected(t *testing.T) {
	runCluster(t, 81, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		for _, s := range cluster.Servers {
			if s.Service == "once" || s.Service == "one" {
				s.Crash(true)
			}
		}
		const known, target = 8, 300 * time.Millisecond
		held := 0
		for i := range 48 {
			service := []string{"once", "one"}[i%2]
			method := map[string]string{"once": "POST", "one": "GET"}[service]
			id := fmt.Sprint("n", i)
			patience := []time.Duration{250 * time.Millisecond, 350 * time.Millisecond, time.Second, 2500 * time.Millisecond}[i/2%4]
			response := cluster.SendRequest(cluster.Gateways[0], method, "h.example", "/"+service+"/x", id, patience)
			if response.Status != http.StatusServiceUnavailable {
				t.Errorf("%s with %v to wait is answered %d after %v, though it was never offered", service, patience, response.Status, response.Elapsed)
			}
			if i >= known && response.Elapsed > target/4 {
				held++
			}
			if response.Elapsed > patience/2 && patience > 2*time.Second {
				t.Errorf("%s was held for %v of %v without an offer", service, response.Elapsed, patience)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if held > 10 { // trials find out whether a server is back
			t.Errorf("%d of 40 requests were held past a quarter of their target without an offer", held)
		}
	})
}
