package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// TestConnectionLimitBelowGatewayCount runs servers that each accept fewer connections than there are gateways and close
// further ones. Each gateway uses a subset of the servers, so that only few connections are closed, also while gateways
// restart, and nearly all requests are served.
func TestConnectionLimitBelowGatewayCount(t *testing.T) {
	const (
		gateways         = 30
		servers          = 6
		connectionLimit  = 6
		maxRejected      = 40  // before gateways restart
		maxRejectedInAll = 120 // including restarts
	)
	runCluster(t, 93, 3, gateways, func(t *testing.T, cluster *Cluster) {
		limited := replaceSingleServers(t, cluster, servers, connectionLimit)
		commitInitial(t, cluster, 1, editConfiguration(t, ExampleConfiguration(1, ExampleSharding), func(c *config.Configuration) {
			setConnectionLimit(c, singleService, connectionLimit)
		}))
		time.Sleep(6 * time.Second)

		var requests requestCounter
		sendSingleLoad(cluster, &requests, 10*time.Second)
		rejected := rejectedConnections(limited)
		for _, gateway := range cluster.Gateways[:5] {
			gateway.Kill(false)
			gateway.Start()
		}
		time.Sleep(2 * time.Second)
		sendSingleLoad(cluster, &requests, 10*time.Second)
		rejectedInAll := rejectedConnections(limited)
		t.Logf("%v served; connections beyond the limit: %d before restarts, %d in all", &requests, rejected, rejectedInAll)
		if rejected > maxRejected || rejectedInAll > maxRejectedInAll {
			t.Errorf("%d connections beyond the limit before restarts, %d in all; want at most %d and %d",
				rejected, rejectedInAll, maxRejected, maxRejectedInAll)
		}
		requests.expectServed(t, 97, "requests")
	})
}

// replaceSingleServers crashes the example's servers of the single service and starts others with a connection limit.
func replaceSingleServers(t *testing.T, cluster *Cluster, count, connectionLimit int) (servers []*Server) {
	t.Helper()
	for _, server := range serversOf(cluster, singleService) {
		server.Crash(false)
	}
	for range count {
		server := cluster.AddServer(singleService, exampleServiceTime)
		server.ConnectionLimit = connectionLimit
		requireNoError(t, server.Start())
		servers = append(servers, server)
	}
	return servers
}

// sendSingleLoad sends 200 requests per second to all gateways in turn and waits for the responses.
func sendSingleLoad(cluster *Cluster, requests *requestCounter, duration time.Duration) {
	const interval = 5 * time.Millisecond
	var pending sync.WaitGroup
	for n := range int(duration / interval) {
		pending.Go(func() {
			gateway := cluster.Gateways[n%len(cluster.Gateways)]
			requestID := fmt.Sprint("f", requests.sent.Load(), "-", n)
			requests.record(sendSingle(cluster, gateway, requestID).Status == http.StatusOK)
		})
		time.Sleep(interval)
	}
	pending.Wait()
}
