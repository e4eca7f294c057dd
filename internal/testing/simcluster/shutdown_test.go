package simcluster

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// readinessStatus sends a readiness probe to a gateway and returns the status; 0 means that there was no response.
func readinessStatus(cluster *Cluster, gateway *GatewayNode) int {
	connection, err := cluster.Network.Host("10.0.9.5").Dial(gateway.readinessAddress(), time.Second)
	if err != nil {
		return 0
	}
	defer connection.Close()
	fmt.Fprintf(connection, "GET /-/readiness HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", gateway.IP)
	connection.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// TestGatewayReadiness checks that a gateway is ready once it has a configuration and servers, remains ready without any
// controller, and is not ready as soon as its shutdown has been requested.
func TestGatewayReadiness(t *testing.T) {
	runCluster(t, 91, 3, 2, func(t *testing.T, cluster *Cluster) {
		gateway := cluster.Gateways[0]
		time.Sleep(2 * time.Second)
		expectStatus(t, readinessStatus(cluster, gateway), http.StatusServiceUnavailable, "readiness without a configuration")
		expectStatus(t, sendSingle(cluster, gateway, "r0").Status, http.StatusServiceUnavailable, "request without a configuration")
		commitFirstVersion(t, cluster)
		time.Sleep(1500 * time.Millisecond) // until all servers have sent heartbeats
		expectStatus(t, readinessStatus(cluster, gateway), http.StatusOK, "readiness with a configuration and servers")
		killAll(true, cluster.Controllers...)
		for range 20 {
			time.Sleep(time.Second)
			requireStatus(t, readinessStatus(cluster, gateway), http.StatusOK, "readiness without controllers")
		}
		expectStatus(t, sendSingle(cluster, gateway, "r1").Status, http.StatusOK, "request without controllers")

		var shutdown sync.WaitGroup
		shutdown.Go(gateway.Shutdown)
		time.Sleep(time.Millisecond)
		if readinessStatus(cluster, gateway) == http.StatusOK {
			t.Error("a gateway that is shutting down is ready")
		}
		shutdown.Wait()
	})
}

// TestGracefulShutdownCompletesRequests checks that a gateway that is shutting down answers the open requests and those that
// still arrive, and closes no connection during a request: a connection is closed after a response that announces it, or while
// it is idle.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	runCluster(t, 92, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		gateway := cluster.Gateways[0]
		for _, server := range serversOf(cluster, nonRetryableService) {
			server.SetServiceTime(1500 * time.Millisecond)
		}
		keepAlive := dialGateway(t, cluster, gateway)
		defer keepAlive.Close()
		expectKeepAliveResponse(t, keepAlive, "k0", false)

		var pending sync.WaitGroup
		for i := range 3 { // requests that are open when the shutdown begins
			pending.Go(func() {
				response := cluster.SendRequest(gateway, http.MethodPost, exampleHost, "/once/x", fmt.Sprint("o", i), 2900*time.Millisecond)
				expectStatus(t, response.Status, http.StatusOK, "open request, after %v", response.Elapsed)
			})
		}
		time.Sleep(300 * time.Millisecond)
		pending.Go(gateway.Shutdown)
		time.Sleep(30 * time.Millisecond)
		expectKeepAliveResponse(t, keepAlive, "k1", true)
		for i := range 15 { // the platform still sends some requests
			response := sendSingle(cluster, gateway, fmt.Sprint("n", i))
			expectStatus(t, response.Status, http.StatusOK, "request %d ms after the shutdown began", 100*i)
			time.Sleep(100 * time.Millisecond)
		}
		pending.Wait()
	})
}

// TestShutdownAnswersWhatIsStillOpen shuts a gateway down while requests are open whose servers do not respond within the grace
// period. Each request must get a complete response before the process exits, which reports that it may have been executed or, if
// it was never dispatched, that it was not.
func TestShutdownAnswersWhatIsStillOpen(t *testing.T) {
	const serviceTime = 30 * time.Second
	runCluster(t, 93, 3, 1, func(t *testing.T, cluster *Cluster) {
		longTimeouts := editConfiguration(t, ExampleConfiguration(1, ExampleSharding), func(c *config.Configuration) {
			for i := range c.Routes {
				c.Routes[i].TimeoutMS = 20000
			}
		})
		commitInitial(t, cluster, 1, longTimeouts)
		time.Sleep(3 * time.Second)
		gateway := cluster.Gateways[0]
		for _, server := range cluster.Servers {
			server.SetServiceTime(serviceTime)
		}
		var pending sync.WaitGroup
		for i, path := range []string{"/once/x", "/one/x", "/all/x"} {
			pending.Go(func() {
				response := cluster.SendRequest(gateway, http.MethodPost, exampleHost, path, fmt.Sprint("o", i), 19*time.Second)
				if response.Status != http.StatusGatewayTimeout || response.Elapsed > gracePeriod {
					t.Errorf("%s is answered with %d after %v, want 504 within the grace period", path, response.Status, response.Elapsed)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		start := time.Now()
		gateway.Shutdown()
		if elapsed := time.Since(start); elapsed > gracePeriod {
			t.Errorf("the gateway ends after %v, its grace period is %v", elapsed, gracePeriod)
		}
		pending.Wait()
		time.Sleep(serviceTime) // until the servers are done
	})
}

// expectKeepAliveResponse sends a request on an open connection and checks that it is served, and whether the response
// announces the end of the connection.
func expectKeepAliveResponse(t *testing.T, connection *rawConnection, requestID string, wantClose bool) {
	t.Helper()
	connection.send(t, requestHead("GET", "/one/x", requestID, 2*time.Second)+"\r\n")
	response, err := connection.receive(2 * time.Second)
	if err != nil {
		t.Fatalf("request %s on an open connection: %v", requestID, err)
	}
	expectStatus(t, response.StatusCode, http.StatusOK, "request %s on an open connection", requestID)
	if response.Close != wantClose {
		t.Errorf("request %s on an open connection: the response announces its end: %t, want %t", requestID, response.Close, wantClose)
	}
}
