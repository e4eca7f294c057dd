package simcluster

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestSeedsStartLast sends the first change before any controller listens, and repeats it until it is committed. Controllers start
// in reverse order, the seeds last. Processes that start later have other seeds, one without power and one partitioned.
func TestSeedsStartLast(t *testing.T) {
	runBubble(t, 77, 5, 3, func(t *testing.T, cluster *Cluster) {
		var operator sync.WaitGroup
		status := 0
		operator.Go(func() { status = replaceWithRetry(cluster, 0, ExampleConfiguration(1, ExampleSharding), 40) })
		for _, gateway := range cluster.Gateways {
			gateway.Start()
		}
		for i := range cluster.Controllers { // the first three are the seeds
			time.Sleep(60 * time.Millisecond)
			requireNoError(t, cluster.Controllers[len(cluster.Controllers)-1-i].Start())
		}
		cluster.firstStart = false
		operator.Wait()
		requireStatus(t, status, http.StatusOK, "first configuration, sent until it is committed")
		awaitVersion(t, cluster, 1, configurationApplyMax)
		time.Sleep(3 * time.Second)

		withoutPower, partitioned := cluster.Controllers[3], cluster.Controllers[4]
		withoutPower.Kill(true)
		isolate(cluster, partitioned)
		cluster.SetSeeds(withoutPower, partitioned, cluster.Controllers[2])
		cluster.Gateways[0].Kill(false)
		cluster.Gateways[0].Start()
		added := cluster.AddController()
		requireNoError(t, added.Start())
		commitVersion(t, cluster, 2)
		awaitVersion(t, cluster, 2, catchUpTime)
		expectRead(t, added, cluster.ReadConfiguration(added), ExampleConfiguration(2, ExampleSharding))
	})
}
