package simcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// TestLargeVersionBurstIsPaced commits sixty large versions in succession. Each gateway must get far fewer of them, but the
// newest one within the bound after its acknowledgement. A drain must reach the gateways without delay during the burst, and a
// single version after a pause must be sent without delay.
func TestLargeVersionBurstIsPaced(t *testing.T) {
	const (
		first, last  = 2, 61
		drainVersion = 30
		maxApplied   = 20 // distinct versions at each gateway
		drainBound   = time.Second
	)
	runCluster(t, 95, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(5 * time.Second)
		applied := map[string]map[uint64]bool{} // versions by IP address of a gateway
		for _, gateway := range cluster.Gateways {
			applied[gateway.IP] = map[uint64]bool{}
		}
		var late func() int
		for version := uint64(first); version <= last; version++ {
			commitLargeVersion(t, cluster, version)
			recordApplied(cluster, applied)
			if version == drainVersion {
				draining := cluster.Servers[drainingServer]
				acknowledgedAt := draining.Drain()
				if acknowledgedAt.IsZero() {
					t.Fatal("a drain is not acknowledged during a burst of versions")
				}
				late = countLateRequests(draining, acknowledgedAt.Add(drainBound))
			}
			sendSingle(cluster, cluster.Gateways[version%3], fmt.Sprint("s", version))
		}
		awaitVersion(t, cluster, last, configurationApplyMax/2)
		for ip, versions := range applied {
			if len(versions) > maxApplied {
				t.Errorf("gateway %s applied %d of %d versions, want at most %d", ip, len(versions), last-first+1, maxApplied)
			}
		}
		time.Sleep(5 * time.Second)
		commitLargeVersion(t, cluster, last+1)
		awaitVersion(t, cluster, last+1, 200*time.Millisecond)
		if count := late(); count > 0 {
			t.Errorf("%d requests reached a server later than %v after its drain was acknowledged", count, drainBound)
		}
	})
}

// commitLargeVersion commits a version of the example with a thousand additional routes.
func commitLargeVersion(t *testing.T, cluster *Cluster, version uint64) {
	t.Helper()
	body := editConfiguration(t, ExampleConfiguration(version, ExampleSharding), func(c *config.Configuration) { addRoutes(c, 1000) })
	requireStatus(t, replaceWithRetry(cluster, version-1, body, 5), http.StatusOK, "version %d", version)
}

// recordApplied records the versions that the gateways apply, five times in a tenth of a second.
func recordApplied(cluster *Cluster, applied map[string]map[uint64]bool) {
	for range 5 {
		time.Sleep(20 * time.Millisecond)
		for _, gateway := range cluster.Gateways {
			applied[gateway.IP][gateway.Gateway.ActiveVersion()] = true
		}
	}
}
