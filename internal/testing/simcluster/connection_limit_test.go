package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// TestConnectionLimitBelowGatewayCount runs servers that together accept fewer connections than there are gateways, and
// close those beyond. Each gateway uses a subset of the servers, so that hardly any connection is closed, also while
// gateways restart, and everything is served.
func TestConnectionLimitBelowGatewayCount(t *testing.T) {
	const (
		gateways         = 30
		servers          = 6
		connectionLimit  = 6
		mostRejected     = 40  // before gateways restart
		mostRejectedEver = 120 // and with restarts
	)
	runCluster(t, 93, 3, gateways, func(t *testing.T, cluster *Cluster) {
		limited := replaceSingleServers(t, cluster, servers, connectionLimit)
		commitInitial(t, cluster, 1, editConfiguration(t, ExampleConfiguration(1, FirstSharding), func(c *config.Configuration) {
			setConnectionLimit(c, singleService, connectionLimit)
		}))
		time.Sleep(6 * time.Second)

		var requests tally
		sendSingleLoad(cluster, &requests, 10*time.Second)
		rejected := rejectedConnections(limited)
		for _, gateway := range cluster.Gateways[:5] {
			gateway.Kill(false)
			gateway.Start()
		}
		time.Sleep(2 * time.Second)
		sendSingleLoad(cluster, &requests, 10*time.Second)
		rejectedEver := rejectedConnections(limited)
		t.Logf("%v served; connections beyond the limit: %d before restarts, %d in all", &requests, rejected, rejectedEver)
		if rejected > mostRejected || rejectedEver > mostRejectedEver {
			t.Errorf("%d connections beyond the limit before restarts, %d in all; want at most %d and %d",
				rejected, rejectedEver, mostRejected, mostRejectedEver)
		}
		requests.expectServed(t, 97, "requests")
	})
}

// replaceSingleServers ends the example's servers of the single service and starts others with a connection limit.
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

// sendSingleLoad sends two hundred requests a second to all gateways in turn and waits for the responses.
func sendSingleLoad(cluster *Cluster, requests *tally, duration time.Duration) {
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
