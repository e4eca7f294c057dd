package simcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// A storm of long versions: each gatherer is given far fewer than were agreed, has the newest within the bound after each
// acknowledgement, hears of a server that leaves at once all the same, and a single version after a rest goes out at once.
func TestLargeVersionBurstIsPaced(t *testing.T) {
	runCluster(t, 95, 3, 3, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		long := func(version uint64) []byte {
			var conf config.Configuration
			requireNoError(t, json.Unmarshal(ExampleConfiguration(version, FirstSharding), &conf))
			for i := range 1000 {
				r := conf.Routes[1]
				r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/more-%d/", i)
				conf.Routes = append(conf.Routes, r)
			}
			text, _ := json.Marshal(conf)
			return text
		}
		time.Sleep(5 * time.Second)
		const versions, apply = 60, 3 * time.Second
		given := map[string]map[uint64]bool{}
		for v := uint64(2); v < 2+versions; v++ {
			if got := replaceWithRetry(cluster, v-1, long(v), 5); got != http.StatusOK {
				t.Fatalf("version %d: %d", v, got)
			}
			for range 5 {
				time.Sleep(20 * time.Millisecond)
				for _, gateway := range cluster.Gateways {
					if given[gateway.IP] == nil {
						given[gateway.IP] = map[uint64]bool{}
					}
					given[gateway.IP][gateway.Gateway.ActiveVersion()] = true
				}
			}
			if v == 30 {
				draining := cluster.Servers[15]
				acked, late := draining.Drain(), 0
				draining.SetOnRequest(func(at time.Time) {
					if at.Sub(acked) > time.Second {
						late++
					}
				})
				defer func() {
					if late > 0 || acked.IsZero() {
						t.Errorf("DRAIN: %d requests came over a second after a draining amid versions (%v)", late, acked)
					}
				}()
			}
			cluster.SendRequest(cluster.Gateways[v%3], "GET", "h.example", "/one/x", fmt.Sprint("s", v), time.Second)
		}
		awaitVersion(t, cluster, 1+versions, apply/2)
		for ip, versionsHad := range given {
			if n := len(versionsHad); n > 20 {
				t.Errorf("%s was given %d of %d versions", ip, n, versions)
			}
		}
		time.Sleep(5 * time.Second)
		if got := replaceWithRetry(cluster, 1+versions, long(2+versions), 5); got != http.StatusOK {
			t.Fatal(got)
		}
		awaitVersion(t, cluster, 2+versions, 200*time.Millisecond)
	})
}
